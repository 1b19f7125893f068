//! The processes of one deployment: starting them and waiting until they are ready.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustls::pki_types::CertificateDer;

use super::administration::Administration;
use super::arguments::{Arguments, Flag};
use super::error::ClusterError;
use super::files::Files;
use super::plan::{
    ADMIN_PORT_OFFSET, BACK_END_ADMIN_PORT, Deployment, EGRESS_PORT, HTTP_PORT, MACHINE_LIST_PORT,
    Machine,
};
use super::process::{DemoProcess, StopResult};
use super::wiring::Wiring;

const DEFAULT_FEED_INTERVAL: Duration = Duration::from_millis(500);
/// Tells apart the log files of commands.
static COMMANDS: AtomicU64 = AtomicU64::new(1);
const READY_LIMIT: Duration = Duration::from_secs(20);
const COMMAND_LIMIT: Duration = Duration::from_secs(30);

/// How a deployment is started.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// The laboratory's program, which also acts as the product's.
    pub program: PathBuf,
    /// Where logs and settings go.
    pub directory: PathBuf,
    /// Which paths lie behind fault proxies.
    pub wiring: Wiring,
    /// Balancers started at first; the others are started later or never.
    pub balancers: usize,
    /// Time between the ticks of back ends' event streams.
    pub feed_interval: Duration,
    /// Flags of each balancer.
    pub balancer_flags: Vec<Flag>,
    /// Flags of each agent.
    pub agent_flags: Vec<Flag>,
}

/// A command of the operator that runs.
#[derive(Debug)]
pub struct RunningCommand {
    /// Its process.
    pub process: DemoProcess,
    log: PathBuf,
}

/// How a command of the operator ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommandEnd {
    /// How its process ended.
    pub result: StopResult,
    /// What it printed.
    pub output: String,
}

/// The running processes of one deployment.
#[derive(Debug)]
pub struct Cluster {
    /// The deployment.
    pub deployment: Deployment,
    /// Certificate that callers trust.
    pub certificate: CertificateDer<'static>,
    /// Balancers, in the order of the example.
    pub balancers: Vec<DemoProcess>,
    /// Agents, in the order of the bundle's targets.
    pub agents: Vec<DemoProcess>,
    /// Back ends, in the order of the bundle's targets.
    pub back_ends: Vec<DemoProcess>,
    pub(super) stand_ins: Vec<DemoProcess>,
    pub(super) options: ClusterOptions,
    pub(super) files: Files,
}

impl RunningCommand {
    /// Waits until the command has ended.
    ///
    /// # Errors
    /// [`ClusterError::System`] when its output cannot be read.
    pub async fn end(mut self) -> Result<CommandEnd, ClusterError> {
        let result = self.process.wait(COMMAND_LIMIT).await;
        let output = std::fs::read_to_string(&self.log)?;
        Ok(CommandEnd { result, output })
    }
}

impl ClusterOptions {
    /// All processes of a deployment, without fault proxies.
    #[must_use]
    pub fn new(program: PathBuf, directory: &Path) -> Self {
        Self {
            program,
            directory: directory.to_owned(),
            wiring: Wiring::default(),
            balancers: usize::MAX,
            feed_interval: DEFAULT_FEED_INTERVAL,
            balancer_flags: Vec::new(),
            agent_flags: Vec::new(),
        }
    }
}

impl Cluster {
    /// Writes the settings and starts every process.
    ///
    /// # Errors
    /// [`ClusterError`] when a file or process cannot be made.
    pub fn start(deployment: Deployment, options: ClusterOptions) -> Result<Self, ClusterError> {
        let files = Files::new(&options.directory);
        let certificate = files.write(&deployment)?;
        let mut cluster = Self {
            deployment,
            certificate,
            balancers: Vec::new(),
            agents: Vec::new(),
            back_ends: Vec::new(),
            stand_ins: Vec::new(),
            options,
            files,
        };
        cluster.start_all()?;
        Ok(cluster)
    }

    /// Waits until every process answers, ready or not.
    ///
    /// # Errors
    /// [`ClusterError::NotReady`] names the first that does not.
    pub async fn wait_started(&self, client: &Administration) -> Result<(), ClusterError> {
        let platform = self.deployment.platform();
        let machine_list = platform.at(MACHINE_LIST_PORT);
        self.wait(client, "machine list", machine_list, "/machines")
            .await?;
        for (name, machine) in self.nodes() {
            self.wait(client, &name, machine.at(HTTP_PORT), "/health")
                .await?;
        }
        for target in &self.deployment.bundle.targets {
            let back_end = Machine::of(target.address).at(BACK_END_ADMIN_PORT);
            let name = format!("back end {}", target.id);
            self.wait(client, &name, back_end, "/load").await?;
        }
        Ok(())
    }

    /// Waits until every balancer and agent has a bundle in force.
    ///
    /// # Errors
    /// [`ClusterError::NotReady`] names the first that does not.
    pub async fn wait_ready(&self, client: &Administration) -> Result<(), ClusterError> {
        for (name, machine) in self.nodes() {
            self.wait(client, &name, machine.at(HTTP_PORT), "/ready")
                .await?;
        }
        Ok(())
    }

    /// Writes a bundle, in which addresses are the example's.
    ///
    /// # Errors
    /// [`ClusterError::System`] when the file cannot be written.
    pub fn write_bundle(&self, version: u64, text: &str) -> Result<(), ClusterError> {
        let text = self.deployment.network.text(text);
        self.files
            .write_text(&format!("bundle-{version}.toml"), &text)
    }

    /// Signs a bundle and rolls it; returns what `roll` printed.
    ///
    /// # Errors
    /// [`ClusterError::Command`] when a command ends with another code than zero.
    pub async fn sign_and_roll(&self, version: u64) -> Result<String, ClusterError> {
        self.sign(version).await?;
        let end = self.roll(version, &[]).await?;
        self.succeeded("roll", end)
    }

    /// Signs a bundle.
    ///
    /// # Errors
    /// [`ClusterError::Command`] when the command ends with another code than zero.
    pub async fn sign(&self, version: u64) -> Result<(), ClusterError> {
        let written = self.files.path(&format!("bundle-{version}.toml"));
        let sign = Arguments::new(&["bundle", "sign"])
            .path("--key", &self.files.path("operator.key"))
            .path("--out", &self.signed_bundle(version))
            .value(written.as_os_str());
        let end = self.command("bundle-sign", sign).await?;
        self.succeeded("bundle sign", end).map(|_| ())
    }

    /// Rolls a signed bundle and tells how that ended.
    ///
    /// # Errors
    /// [`ClusterError::System`] when the process cannot be started.
    pub async fn roll(&self, version: u64, flags: &[Flag]) -> Result<CommandEnd, ClusterError> {
        self.start_roll(version, flags)?.end().await
    }

    /// Starts to roll a signed bundle.
    ///
    /// # Errors
    /// [`ClusterError::System`] when the process cannot be started.
    pub fn start_roll(&self, version: u64, flags: &[Flag]) -> Result<RunningCommand, ClusterError> {
        let key = self.files.path("operator.key");
        let roll = Arguments::new(&["roll"])
            .value(self.signed_bundle(version).as_os_str())
            .path("--settings", &self.files.path("operator.toml"))
            .path("--signing-key", &key)
            .flags(flags);
        self.start_command("roll", roll)
    }

    /// Address of the fabric's administrative interface.
    #[must_use]
    pub fn fabric_administration(&self) -> SocketAddr {
        let platform = self.deployment.platform();
        platform.at(EGRESS_PORT + ADMIN_PORT_OFFSET)
    }

    /// Asks all remaining processes to stop.
    pub fn terminate(&self) {
        let nodes = self.balancers.iter().chain(&self.agents);
        let others = self.back_ends.iter().chain(&self.stand_ins);
        for process in nodes.chain(others) {
            process.terminate();
        }
    }

    fn signed_bundle(&self, version: u64) -> PathBuf {
        self.files.path(&format!("bundle-{version}.signed"))
    }

    fn nodes(&self) -> Vec<(String, Machine)> {
        let mut nodes = Vec::new();
        let balancers = self.deployment.balancers().into_iter();
        for (index, machine) in balancers.enumerate().take(self.balancers.len()) {
            nodes.push((format!("balancer {}", index + 1), machine));
        }
        for target in &self.deployment.bundle.targets {
            nodes.push((format!("agent {}", target.id), Machine::of(target.address)));
        }
        nodes
    }

    async fn wait(
        &self,
        client: &Administration,
        name: &str,
        address: SocketAddr,
        path: &str,
    ) -> Result<(), ClusterError> {
        if client.wait_ready(address, path, READY_LIMIT).await {
            return Ok(());
        }
        let name = format!("{} {name}", self.deployment.example.name);
        Err(ClusterError::NotReady { name })
    }

    async fn command(&self, name: &str, arguments: Arguments) -> Result<CommandEnd, ClusterError> {
        self.start_command(name, arguments)?.end().await
    }

    fn start_command(
        &self,
        name: &str,
        arguments: Arguments,
    ) -> Result<RunningCommand, ClusterError> {
        let number = COMMANDS.fetch_add(1, Ordering::Relaxed);
        let plan = self.plan(&format!("{name}-{number}"), arguments.product());
        let process = DemoProcess::start(&self.options.program, &plan)?;
        Ok(RunningCommand {
            process,
            log: plan.log,
        })
    }

    fn succeeded(&self, name: &str, end: CommandEnd) -> Result<String, ClusterError> {
        if end.result == StopResult::Clean {
            return Ok(end.output);
        }
        Err(ClusterError::Command {
            name: format!("{} {name}", self.deployment.example.name),
            output: end.output,
        })
    }
}
