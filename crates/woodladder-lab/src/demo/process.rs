//! Child processes of the demo: started, watched and ended by their id.

use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// A process that the demo started.
#[derive(Debug)]
pub struct DemoProcess {
    /// Name in messages, such as `ankang balancer 2`.
    pub name: String,
    child: Child,
}

/// What to start.
#[derive(Clone, Debug)]
pub struct ProcessPlan {
    /// Name in messages.
    pub name: String,
    /// Arguments of the laboratory's own program.
    pub arguments: Vec<OsString>,
    /// File for standard output and standard error.
    pub log: PathBuf,
}

/// How a process that was asked to stop ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopResult {
    /// By itself, with exit code zero.
    Clean,
    /// By itself, with another code or a signal.
    Failed(Option<i32>),
    /// Not within the time allowed.
    StillRunning,
}

impl DemoProcess {
    /// Starts a process; it is killed when the value is dropped.
    ///
    /// # Errors
    /// When the log file or the process cannot be made.
    pub fn start(program: &Path, plan: &ProcessPlan) -> io::Result<Self> {
        let output = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&plan.log)?;
        let errors = output.try_clone()?;
        let child = Command::new(program)
            .args(&plan.arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Self {
            name: plan.name.clone(),
            child,
        })
    }

    /// Whether the process has ended, and how.
    ///
    /// # Errors
    /// When the system cannot tell.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Identifier of the process while it runs.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Asks for a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Kills without warning.
    pub fn kill(&self) {
        self.signal(Signal::SIGKILL);
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Freezes the process and lets it go on after this time, whatever the caller
    /// does meanwhile. Must be called within a Tokio runtime.
    pub fn freeze_for(&self, pause: Duration) {
        self.freeze();
        let id = self.child.id();
        tokio::spawn(async move {
            sleep(pause).await;
            send_signal(id, Signal::SIGCONT);
        });
    }

    /// Waits until the process has ended by itself.
    pub async fn wait(&mut self, limit: Duration) -> StopResult {
        match timeout(limit, self.child.wait()).await {
            Ok(Ok(status)) if status.success() => StopResult::Clean,
            Ok(Ok(status)) => StopResult::Failed(status.code()),
            Ok(Err(_)) | Err(_) => StopResult::StillRunning,
        }
    }

    fn signal(&self, signal: Signal) {
        send_signal(self.child.id(), signal);
    }
}

fn send_signal(process_id: Option<u32>, signal: Signal) {
    if let Some(id) = process_id.and_then(|id| i32::try_from(id).ok()) {
        // A process that has just ended needs no signal.
        let _ = kill(Pid::from_raw(id), signal);
    }
}
