//! A balancer in a process of its own, with a bundle rolled to it.
//!
//! The process is the program that is running, acting as `woodladder`: the same
//! code with the same build options.

use std::ffi::OsString;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use tempfile::TempDir;
use woodladder_core::identifier::TargetId;
use woodladder_core::signature::{KEY_LENGTH, OperatorKey};

use super::cpu_time::CpuTime;
use super::{PacketError, Reading};
use crate::demo::{Administration, DemoProcess, ProcessPlan, StopResult};
use crate::stand_in::machine_list::{
    Machine, MachineList, MachineListConfig, MachineRole, MachineState,
};
use crate::stand_in::store::{Store, StoreConfig};

/// Service address in the callers' datagrams.
pub(super) const SERVICE_ADDRESS: SocketAddr =
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(203, 0, 113, 1)), 4433);
const FIRST_TARGET: u32 = 100;
const OPERATOR_KEY: [u8; KEY_LENGTH] = [7; KEY_LENGTH];
const CLUSTER_KEY: &str = "05050505050505050505050505050505";
/// The key of the model's tokens, as a setting.
const TOKEN_KEY: &str = "1:03030303030303030303030303030303";
const ZONE: &str = "zone-1";
const STARTING_LIMIT: Duration = Duration::from_secs(20);
const COMMAND_LIMIT: Duration = Duration::from_secs(30);

/// The balancer, and the platform that it needs.
pub(super) struct BalancerUnderTest {
    process: DemoProcess,
    data: SocketAddr,
    http: SocketAddr,
    client: Administration,
    _store: Store,
    _machine_list: MachineList,
    _directory: TempDir,
}

/// The part of a balancer's status that is read.
#[derive(Deserialize)]
struct Status {
    counters: ForwardedCounter,
}

#[derive(Deserialize)]
struct ForwardedCounter {
    packets_forwarded_total: u64,
}

/// Identifier of the target at a position.
pub(super) fn target_id(position: usize) -> TargetId {
    TargetId(FIRST_TARGET + u32::try_from(position).unwrap_or_default())
}

impl BalancerUnderTest {
    /// Starts a balancer and rolls a bundle with these targets to it.
    pub(super) async fn start(targets: &[SocketAddr]) -> Result<Self, PacketError> {
        let directory = tempfile::tempdir()?;
        let data = free_udp_port()?;
        let control = free_udp_port()?;
        let http = free_tcp_port()?;
        let store = Store::start(StoreConfig::default())
            .await
            .map_err(|error| failed("the store", &error))?;
        let machine_list = MachineList::start(MachineListConfig {
            machines: vec![Machine {
                address: control,
                role: MachineRole::Balancer,
                state: MachineState::Live,
            }],
            ..MachineListConfig::default()
        })
        .await
        .map_err(|error| failed("the machine list", &error))?;
        let platform = Platform {
            store: store.address(),
            machine_list: machine_list.address(),
            control,
        };
        let arguments = platform.balancer(data, http);
        let process = start(directory.path(), "balancer", arguments)?;
        let client = Administration::new().map_err(|error| failed("the HTTP client", &error))?;
        let balancer = Self {
            process,
            data,
            http,
            client,
            _store: store,
            _machine_list: machine_list,
            _directory: directory,
        };
        balancer.wait("/health").await?;
        sign_and_roll(balancer._directory.path(), &platform, targets).await?;
        balancer.wait("/ready").await?;
        Ok(balancer)
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.data
    }

    pub(super) async fn reading(&self) -> Result<Reading, PacketError> {
        let status: Status = self
            .client
            .read(self.http, "/status")
            .await
            .map_err(|error| failed("its status", &error))?;
        let id = self.process.id().ok_or_else(|| ended("the balancer"))?;
        Ok(Reading {
            packets: status.counters.packets_forwarded_total,
            processor: CpuTime::of_process(id)?,
        })
    }

    async fn wait(&self, path: &str) -> Result<(), PacketError> {
        let client = &self.client;
        if client.wait_ready(self.http, path, STARTING_LIMIT).await {
            return Ok(());
        }
        Err(PacketError::Balancer(format!("{path} gave no success")))
    }
}

/// Addresses that the product's processes are told.
struct Platform {
    store: SocketAddr,
    machine_list: SocketAddr,
    control: SocketAddr,
}

impl Platform {
    fn balancer(&self, data: SocketAddr, http: SocketAddr) -> Vec<OsString> {
        let own = [
            ("--data-listen", data.to_string()),
            ("--control-listen", self.control.to_string()),
            ("--http-listen", http.to_string()),
            ("--zone", ZONE.to_owned()),
            ("--token-key-current", TOKEN_KEY.to_owned()),
        ];
        self.command(&["balancer"], &own)
    }

    fn roll(&self, signed: &Path, key: &Path) -> Vec<OsString> {
        let own = [
            ("--signing-key", key.display().to_string()),
            ("--operator", "laboratory".to_owned()),
        ];
        self.command(&["roll", &signed.display().to_string()], &own)
    }

    fn command(&self, first: &[&str], own: &[(&str, String)]) -> Vec<OsString> {
        let public = OperatorKey::from_bytes(OPERATOR_KEY).public();
        let shared = [
            ("--store", self.store.to_string()),
            ("--machine-list", self.machine_list.to_string()),
            ("--seed", self.control.to_string()),
            ("--trusted-key", public.to_string()),
            ("--cluster-key", CLUSTER_KEY.to_owned()),
        ];
        let mut arguments: Vec<OsString> = first.iter().map(OsString::from).collect();
        for (flag, value) in own.iter().chain(&shared) {
            arguments.extend([OsString::from(flag), OsString::from(value)]);
        }
        arguments
    }
}

async fn sign_and_roll(
    directory: &Path,
    platform: &Platform,
    targets: &[SocketAddr],
) -> Result<(), PacketError> {
    let written = directory.join("bundle.toml");
    let signed = directory.join("bundle.signed");
    let key = directory.join("operator.key");
    std::fs::write(&written, bundle(targets))?;
    let digits: String = OPERATOR_KEY
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    std::fs::write(&key, digits)?;
    let sign: Vec<OsString> = vec![
        "bundle".into(),
        "sign".into(),
        "--key".into(),
        key.clone().into(),
        "--out".into(),
        signed.clone().into(),
        written.into(),
    ];
    run(directory, "bundle-sign", sign).await?;
    run(directory, "roll", platform.roll(&signed, &key)).await
}

fn bundle(targets: &[SocketAddr]) -> String {
    let mut text = format!(
        "version = 1\ndeployment = \"laboratory\"\n\n[[zone]]\nname = \"{ZONE}\"\nregion = \"{ZONE}\"\n\n\
         [[service]]\nid = 1\nname = \"measured\"\naddresses = [\"{SERVICE_ADDRESS}\"]\n"
    );
    for (position, address) in targets.iter().enumerate() {
        let id = target_id(position);
        text.push_str(&format!(
            "\n[[service.target]]\nid = {id}\naddress = \"{address}\"\nzone = \"{ZONE}\"\n\
             slots = 7\nconnections = 2000\n"
        ));
    }
    text
}

fn start(
    directory: &Path,
    name: &str,
    arguments: Vec<OsString>,
) -> Result<DemoProcess, PacketError> {
    let mut all = vec![OsString::from("product")];
    all.extend(arguments);
    let plan = ProcessPlan {
        name: name.to_owned(),
        arguments: all,
        log: log_of(directory, name),
    };
    Ok(DemoProcess::start(&std::env::current_exe()?, &plan)?)
}

async fn run(directory: &Path, name: &str, arguments: Vec<OsString>) -> Result<(), PacketError> {
    let mut process = start(directory, name, arguments)?;
    if process.wait(COMMAND_LIMIT).await == StopResult::Clean {
        return Ok(());
    }
    let output = std::fs::read_to_string(log_of(directory, name))?;
    Err(PacketError::Balancer(format!("{name}: {output}")))
}

fn log_of(directory: &Path, name: &str) -> PathBuf {
    directory.join(format!("{name}.log"))
}

fn free_udp_port() -> io::Result<SocketAddr> {
    UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

fn free_tcp_port() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

fn failed(what: &str, error: &dyn std::fmt::Display) -> PacketError {
    PacketError::Balancer(format!("{what}: {error}"))
}

fn ended(what: &str) -> PacketError {
    PacketError::Balancer(format!("{what} has ended"))
}
