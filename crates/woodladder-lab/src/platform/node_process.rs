//! The real processes of a day.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use super::address::{
    CONTROL_PORT, DATAGRAM_PORT, METRICS_PORT, Network, OUTBOUND_PORT, PEER_PORT, READY_PORT,
    STORE_PORT, TARGET_PORT,
};
use super::zones::zone_of;

/// A whole core, in thousandths.
const WHOLE_CORE: u32 = 1000;

/// Which role a process has.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NodeRole {
    /// Takes callers' packets.
    Balancer,
    /// Stands beside a target of this service.
    Agent(String),
}

/// A process that this day started. It is killed when it is dropped.
#[derive(Debug)]
pub struct NodeProcess {
    child: Child,
}

/// Starts processes.
#[derive(Clone, Debug)]
pub struct Launcher {
    /// Program whose subcommand `platform-node` acts as the product's.
    pub program: PathBuf,
    /// Directory of settings and logs.
    pub directory: PathBuf,
    /// The day's network.
    pub network: Network,
    /// Machines that are named as seeds.
    pub seeds: Vec<u8>,
    /// Processors of machines, in thousandths of a core; one core where none is
    /// given.
    pub processors: BTreeMap<u8, u32>,
    /// Addresses that machines reach the store at, where it is not its own.
    pub store_addresses: BTreeMap<u8, SocketAddrV4>,
    /// Whether proxies stand between the nodes.
    pub has_links: bool,
}

impl Launcher {
    /// Starts a node on a machine. Its log goes on in the same file.
    ///
    /// # Errors
    /// The system's error.
    pub fn start(&self, machine: u8, role: &NodeRole) -> io::Result<NodeProcess> {
        let settings = self.directory.join(format!("node-{machine}.toml"));
        fs::write(&settings, self.settings(machine, role))?;
        let log = append(&self.directory.join(format!("node-{machine}.log")))?;
        let name = match role {
            NodeRole::Balancer => "balancer",
            NodeRole::Agent(_) => "agent",
        };
        let child = Command::new(&self.program)
            .args(["platform-node", name, "--log-level", "debug"])
            .env("WOODLADDER_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        Ok(NodeProcess { child })
    }

    fn settings(&self, machine: u8, role: &NodeRole) -> String {
        let network = &self.network;
        let at = |port| network.at(machine, port);
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{}\"", network.at(*seed, CONTROL_PORT)))
            .collect();
        let target = match role {
            NodeRole::Balancer => String::new(),
            NodeRole::Agent(service) => {
                format!("app = \"{}\"\nservice = \"{service}\"\n", at(TARGET_PORT))
            }
        };
        let outbound = match role {
            NodeRole::Balancer => String::new(),
            NodeRole::Agent(_) => format!("outbound = \"{}\"\n", at(OUTBOUND_PORT)),
        };
        let bind = if self.has_links {
            let own = network.node_at(machine, PEER_PORT);
            format!("peer_bind = \"{}\"\n", own.ip())
        } else {
            String::new()
        };
        let zone = zone_of(machine);
        let store = network.at(1, STORE_PORT);
        let store = self.store_addresses.get(&machine).copied().unwrap_or(store);
        let processor = self.processors.get(&machine).copied().unwrap_or(WHOLE_CORE);
        format!(
            "node_name = \"node-{machine}\"\nip = \"{}\"\nzone = \"{zone}\"\n{bind}\
             port_range = [{PEER_PORT}, {PEER_PORT}]\nseeds = [{}]\n\
             metrics = \"{METRICS_PORT}/metrics\"\n{target}\
             [listen]\ndatagram_addr = \"{}\"\nready = \"{}\"\ncontrol = \"{}\"\n{outbound}\
             [bounds]\nconfig_apply_ms = 3000\ncontact_ms = 4000\ngrace_s = 6\nflow_ttl_s = 60\n\
             warmup_overage = 1.5\nwarmup_slack = 5\n\
             [limits]\ncpu_share = {}\n\
             [platform]\naddress = \"{store}\"\n",
            network.machine(machine),
            seeds.join(", "),
            at(DATAGRAM_PORT),
            at(READY_PORT),
            at(CONTROL_PORT),
            f64::from(processor) / f64::from(WHOLE_CORE),
        )
    }
}

impl NodeProcess {
    /// Sends a signal.
    ///
    /// # Errors
    /// The system's error.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = i32::try_from(self.child.id()).map_err(|_| io::ErrorKind::InvalidData)?;
        kill(Pid::from_raw(id), signal).map_err(io::Error::from)
    }

    /// Whether the process has ended, and with which code.
    ///
    /// # Errors
    /// The system's error.
    pub fn ended(&mut self) -> io::Result<Option<i32>> {
        let status = self.child.try_wait()?;
        Ok(status.map(|status| status.code().unwrap_or(-1)))
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

fn append(path: &Path) -> io::Result<fs::File> {
    fs::OpenOptions::new().create(true).append(true).open(path)
}
