//! The processes of one deployment: starting them and waiting until they are ready.

use std::ffi::OsString;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use rcgen::{CertifiedKey, generate_simple_self_signed};
use rustls::pki_types::CertificateDer;
use woodladder_core::bundle::Target;

use super::administration::Administration;
use super::plan::{
    ADMIN_PORT_OFFSET, BACK_END_ADMIN_PORT, BACK_END_PORT, CONTROL_PORT, DATA_PORT, Deployment,
    EGRESS_PORT, HTTP_PORT, MACHINE_LIST_PORT, Machine, STORE_PORT,
};
use super::process::{DemoProcess, ProcessPlan};

/// Name that the agents' certificate carries.
pub const SERVER_NAME: &str = "woodladder.test";
/// Example key files, by deployment.
const ANKANG_KEY: &str = include_str!("../../../../examples/ankang/operator.key");
const ALMATY_KEY: &str = include_str!("../../../../examples/almaty/operator.key");
const READY_LIMIT: Duration = Duration::from_secs(20);
const COMMAND_LIMIT: Duration = Duration::from_secs(30);

/// Why the demo could not go on.
#[derive(Debug)]
pub enum ClusterError {
    /// A file or process could not be made.
    System(io::Error),
    /// The certificate could not be made.
    Certificate(rcgen::Error),
    /// A process did not become ready in time.
    NotReady {
        /// Its name.
        name: String,
    },
    /// A command of the operator failed.
    Command {
        /// Its name.
        name: String,
        /// What it printed.
        output: String,
    },
}

/// Files that the processes of a deployment read and write.
#[derive(Debug)]
struct Files {
    directory: PathBuf,
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
    stand_ins: Vec<DemoProcess>,
    program: PathBuf,
    files: Files,
}

impl Cluster {
    /// Writes the settings and starts every process.
    ///
    /// # Errors
    /// [`ClusterError`] when a file or process cannot be made.
    pub fn start(deployment: Deployment, directory: &Path) -> Result<Self, ClusterError> {
        let files = Files {
            directory: directory.join(deployment.example.name),
        };
        let certificate = files.write(&deployment)?;
        let mut cluster = Self {
            deployment,
            certificate,
            balancers: Vec::new(),
            agents: Vec::new(),
            stand_ins: Vec::new(),
            program: std::env::current_exe()?,
            files,
        };
        cluster.start_platform()?;
        cluster.start_back_ends()?;
        cluster.start_balancers()?;
        cluster.start_agents()?;
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

    /// Signs a bundle of the example and rolls it; returns what `roll` printed.
    ///
    /// # Errors
    /// [`ClusterError::Command`] when a command ends with another code than zero.
    pub async fn sign_and_roll(&self, version: u64) -> Result<String, ClusterError> {
        let written = self.files.path(&format!("bundle-{version}.toml"));
        let signed = self.files.path(&format!("bundle-{version}.signed"));
        let key = self.files.path("operator.key");
        let sign = arguments(&["bundle", "sign"])
            .path("--key", &key)
            .path("--out", &signed)
            .value(written.as_os_str());
        self.command("bundle sign", sign).await?;
        let roll = arguments(&["roll"])
            .value(signed.as_os_str())
            .path("--settings", &self.files.path("operator.toml"))
            .text("--signing-key", &key.to_string_lossy());
        self.command("roll", roll).await
    }

    /// Addresses of the fabric's administrative interface.
    #[must_use]
    pub fn fabric_administration(&self) -> SocketAddr {
        let platform = self.deployment.platform();
        platform.at(EGRESS_PORT + ADMIN_PORT_OFFSET)
    }

    /// Asks all remaining processes to stop.
    pub fn terminate(&self) {
        let nodes = self.balancers.iter().chain(&self.agents);
        for process in nodes.chain(&self.stand_ins) {
            process.terminate();
        }
    }

    fn nodes(&self) -> Vec<(String, Machine)> {
        let mut nodes = Vec::new();
        for (index, machine) in self.deployment.balancers().into_iter().enumerate() {
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

    async fn command(&self, name: &str, arguments: Arguments) -> Result<String, ClusterError> {
        let plan = self.plan(&name.replace(' ', "-"), arguments.product());
        let mut process = DemoProcess::start(&self.program, &plan)?;
        let result = process.wait(COMMAND_LIMIT).await;
        let output = std::fs::read_to_string(&plan.log)?;
        if result == super::process::StopResult::Clean {
            return Ok(output);
        }
        Err(ClusterError::Command {
            name: format!("{} {name}", self.deployment.example.name),
            output,
        })
    }

    fn start_platform(&mut self) -> Result<(), ClusterError> {
        let platform = self.deployment.platform();
        let store = arguments(&["stand-in", "store"])
            .address("--address", platform.at(STORE_PORT))
            .address(
                "--admin-address",
                platform.at(STORE_PORT + ADMIN_PORT_OFFSET),
            );
        self.start_stand_in("store", store)?;
        let mut machines = arguments(&["stand-in", "machine-list"])
            .text("--lag", "1s")
            .address("--address", platform.at(MACHINE_LIST_PORT))
            .address(
                "--admin-address",
                platform.at(MACHINE_LIST_PORT + ADMIN_PORT_OFFSET),
            );
        let mut fabric = arguments(&["stand-in", "fabric"])
            .address("--egress-address", platform.at(EGRESS_PORT))
            .address("--admin-address", self.fabric_administration())
            .text(
                "--one-way-delay",
                &milliseconds(self.deployment.example.caller_delay),
            );
        for balancer in self.deployment.balancers() {
            machines = machines.address("--balancer", balancer.at(CONTROL_PORT));
            let endpoint = format!("{}/{}", balancer.at(DATA_PORT), balancer.at(HTTP_PORT));
            fabric = fabric.text("--balancer", &endpoint);
        }
        for target in &self.deployment.bundle.targets {
            let machine = Machine::of(target.address);
            machines = machines.address("--agent", machine.at(CONTROL_PORT));
        }
        let services = self.deployment.bundle.services.iter();
        for address in services.flat_map(|service| &service.addresses) {
            fabric = fabric.address("--service-address", *address);
        }
        self.start_stand_in("machine-list", machines)?;
        self.start_stand_in("fabric", fabric)
    }

    fn start_back_ends(&mut self) -> Result<(), ClusterError> {
        for target in self.deployment.bundle.targets.clone() {
            let machine = Machine::of(target.address);
            let service = self.deployment.service_of(&target);
            let service = service.map_or_else(String::new, |service| service.name.clone());
            let load = self.deployment.load(&service);
            let service_time = load.map_or(Duration::ZERO, |load| load.service_time);
            let back_end = arguments(&["stand-in", "back-end"])
                .address("--address", machine.at(BACK_END_PORT))
                .address("--admin-address", machine.at(BACK_END_ADMIN_PORT))
                .text("--service", &service)
                .text("--name", &target.id.to_string())
                .text("--slots", &target.slots.to_string())
                .text("--connection-limit", &target.connections.to_string())
                .text("--service-time", &milliseconds(service_time));
            self.start_stand_in(&format!("back-end-{}", target.id), back_end)?;
        }
        Ok(())
    }

    fn start_balancers(&mut self) -> Result<(), ClusterError> {
        let settings = self.files.path("balancer.toml");
        let zones = self.deployment.bundle.zones.clone();
        let machines = self.deployment.balancers();
        for (index, machine) in machines.into_iter().enumerate() {
            let arguments = arguments(&["balancer"])
                .path("--settings", &settings)
                .listen(machine)
                .text("--zone", &zones[index % zones.len()].name);
            let plan = self.plan(&format!("balancer-{}", index + 1), arguments.product());
            self.balancers
                .push(DemoProcess::start(&self.program, &plan)?);
        }
        Ok(())
    }

    fn start_agents(&mut self) -> Result<(), ClusterError> {
        for target in self.deployment.bundle.targets.clone() {
            let arguments = self.agent_arguments(&target);
            let plan = self.plan(&format!("agent-{}", target.id), arguments.product());
            self.agents.push(DemoProcess::start(&self.program, &plan)?);
        }
        Ok(())
    }

    fn agent_arguments(&self, target: &Target) -> Arguments {
        let machine = Machine::of(target.address);
        let zone = &self.deployment.bundle.zones[usize::from(target.zone.0)];
        arguments(&["agent"])
            .path("--settings", &self.files.path("agent.toml"))
            .path("--tls-certificate", &self.files.path("agent.crt"))
            .path("--tls-key", &self.files.path("agent.key"))
            .listen(machine)
            .address("--back-end", machine.at(BACK_END_PORT))
            .text("--target", &target.id.to_string())
            .text("--service", &target.service.to_string())
            .text("--zone", &zone.name)
    }

    fn start_stand_in(&mut self, name: &str, arguments: Arguments) -> Result<(), ClusterError> {
        let plan = self.plan(name, arguments.list);
        self.stand_ins
            .push(DemoProcess::start(&self.program, &plan)?);
        Ok(())
    }

    fn plan(&self, name: &str, arguments: Vec<OsString>) -> ProcessPlan {
        ProcessPlan {
            name: format!("{} {name}", self.deployment.example.name),
            arguments,
            log: self.files.path(&format!("{name}.log")),
        }
    }
}

impl Files {
    /// Writes settings, bundles, keys and the certificate.
    fn write(&self, deployment: &Deployment) -> Result<CertificateDer<'static>, ClusterError> {
        std::fs::create_dir_all(&self.directory)?;
        let example = deployment.example;
        let texts = [
            ("bundle-1.toml", example.first_bundle),
            ("bundle-2.toml", example.second_bundle),
            ("balancer.toml", example.balancer_settings),
            ("agent.toml", example.agent_settings),
            ("operator.toml", example.operator_settings),
        ];
        for (name, text) in texts {
            std::fs::write(self.path(name), deployment.network.text(text))?;
        }
        let key = match example.name {
            "ankang" => ANKANG_KEY,
            _ => ALMATY_KEY,
        };
        std::fs::write(self.path("operator.key"), key)?;
        self.write_certificate()
    }

    fn write_certificate(&self) -> Result<CertificateDer<'static>, ClusterError> {
        let CertifiedKey { cert, signing_key } =
            generate_simple_self_signed(vec![SERVER_NAME.to_owned()])?;
        std::fs::write(self.path("agent.crt"), cert.pem())?;
        std::fs::write(self.path("agent.key"), signing_key.serialize_pem())?;
        Ok(cert.der().clone())
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }
}

/// Arguments of a process, put together one after another.
struct Arguments {
    list: Vec<OsString>,
}

fn arguments(first: &[&str]) -> Arguments {
    Arguments {
        list: first.iter().map(OsString::from).collect(),
    }
}

impl Arguments {
    fn value(mut self, value: &std::ffi::OsStr) -> Self {
        self.list.push(value.to_owned());
        self
    }

    fn text(self, flag: &str, value: &str) -> Self {
        self.value(flag.as_ref()).value(value.as_ref())
    }

    fn path(self, flag: &str, value: &Path) -> Self {
        self.value(flag.as_ref()).value(value.as_os_str())
    }

    fn address(self, flag: &str, value: SocketAddr) -> Self {
        self.text(flag, &value.to_string())
    }

    fn listen(self, machine: Machine) -> Self {
        self.address("--data-listen", machine.at(DATA_PORT))
            .address("--control-listen", machine.at(CONTROL_PORT))
            .address("--http-listen", machine.at(HTTP_PORT))
    }

    /// Arguments that make the laboratory's program act as the product's.
    fn product(self) -> Vec<OsString> {
        let mut list = vec![OsString::from("product")];
        list.extend(self.list);
        list
    }
}

fn milliseconds(duration: Duration) -> String {
    format!("{}ms", duration.as_millis())
}

impl From<io::Error> for ClusterError {
    fn from(error: io::Error) -> Self {
        Self::System(error)
    }
}

impl From<rcgen::Error> for ClusterError {
    fn from(error: rcgen::Error) -> Self {
        Self::Certificate(error)
    }
}

impl fmt::Display for ClusterError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::System(error) => write!(formatter, "the system refused: {error}"),
            Self::Certificate(error) => write!(formatter, "no certificate: {error}"),
            Self::NotReady { name } => write!(formatter, "{name} did not become ready"),
            Self::Command { name, output } => write!(formatter, "{name} failed:\n{output}"),
        }
    }
}

impl std::error::Error for ClusterError {}
