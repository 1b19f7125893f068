//! Life of the process: exit codes and the signals that ask it to stop.

use std::fmt;
use std::net::SocketAddr;
use std::process::ExitCode;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// How a command ended; the number is the process's exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// It did what it was asked to.
    Success = 0,
    /// It was refused, or a check found faults.
    Refused = 1,
    /// The command line was wrong.
    Usage = 2,
    /// The key-value service cannot be reached or does not answer; nothing
    /// was changed.
    StoreUnreachable = 3,
    /// Another operator's roll took effect first.
    LostRace = 4,
    /// The outcome is not known, or the time for it ran out.
    Unknown = 5,
    /// A fault of the program or of the machine.
    Internal = 70,
}

/// Exit codes, for the end of each help text.
pub const EXIT_CODES_HELP: &str = "Exit codes:
  0   success
  1   refused, or a check found faults
  2   wrong command line
  3   the key-value service cannot be reached; nothing was changed
  4   another operator's roll took effect first
  5   the outcome is not known, or the time for it ran out
  70  a fault of the program or of the machine";

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Tells every part of the process when a planned stop is asked for.
#[derive(Clone, Debug)]
pub struct StopSignal {
    asked: watch::Receiver<bool>,
}

/// Asks for a planned stop.
#[derive(Clone, Debug)]
pub struct StopSwitch {
    asked: watch::Sender<bool>,
}

impl StopSignal {
    /// A signal and the switch that sets it.
    #[must_use]
    pub fn new() -> (StopSwitch, Self) {
        let (sender, receiver) = watch::channel(false);
        (StopSwitch { asked: sender }, Self { asked: receiver })
    }

    /// A signal that SIGTERM, SIGINT and SIGHUP set. SIGHUP is among them
    /// because volo-http's server stops at each of the three.
    ///
    /// # Errors
    /// The system's error when handlers cannot be installed.
    pub fn from_process() -> std::io::Result<Self> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hang_up = signal(SignalKind::hangup())?;
        let (switch, signal) = Self::new();
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
                _ = hang_up.recv() => {}
            }
            switch.stop();
            std::future::pending::<()>().await;
        });
        Ok(signal)
    }

    /// Whether a stop has been asked for.
    #[must_use]
    pub fn is_asked(&self) -> bool {
        *self.asked.borrow()
    }

    /// Waits until a stop is asked for.
    pub async fn asked(&mut self) {
        if self.asked.wait_for(|asked| *asked).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl StopSwitch {
    /// Asks for the stop; further calls change nothing.
    pub fn stop(&self) {
        self.asked.send_replace(true);
    }
}

/// Why a daemon cannot start.
#[derive(Debug)]
pub enum StartError {
    /// An address cannot be listened on.
    Listen {
        /// Setting that names the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's error.
        error: std::io::Error,
    },
    /// Signal handlers cannot be installed.
    Signals(std::io::Error),
    /// A client of the platform's services cannot be made.
    Client(String),
    /// The certificate or its key cannot be used.
    Certificate(String),
    /// The agent's data path cannot start.
    Agent(String),
}

impl StartError {
    /// An address cannot be listened on.
    #[must_use]
    pub fn listen(setting: &'static str, address: SocketAddr, error: std::io::Error) -> Self {
        Self::Listen {
            setting,
            address,
            error,
        }
    }
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen {
                setting,
                address,
                error,
            } => write!(formatter, "{setting}: cannot listen on {address}: {error}"),
            Self::Signals(error) => write!(formatter, "cannot handle signals: {error}"),
            Self::Client(reason) => write!(formatter, "cannot make a client: {reason}"),
            Self::Agent(reason) => write!(formatter, "cannot start the agent: {reason}"),
            Self::Certificate(reason) => write!(formatter, "cannot use the certificate: {reason}"),
        }
    }
}

impl std::error::Error for StartError {}
