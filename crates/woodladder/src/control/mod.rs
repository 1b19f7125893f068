//! Control traffic of a node: a UDP socket, the key-value service and the
//! machine list, all driven by the core's replica. Nothing is kept on disk; a
//! node that starts learns the roll in force from the service or from others.

mod clock;
mod driver;
mod machines;
mod socket;

use std::net::SocketAddr;
use std::sync::Arc;

use slog::Logger;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use woodladder_core::control::availability::ServedTarget;
use woodladder_core::control::membership::{Locality, MemberCounts, Role};
use woodladder_core::control::replica::{ReplicaCounters, ReplicaSettings, ReplicaTuning};
use woodladder_core::digest::Digest;
use woodladder_core::identifier::{NodeId, Sequence};
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::packets::routing_table::RoutingTable;

use crate::process::StartError;
use crate::settings::NodeSettings;
use crate::store::{ConsulStore, MachineListClient, Store};

pub use clock::ProcessClock;
pub use socket::ControlSocket;

use driver::{Driver, Input};

/// Gives the data path a directory: that of a roll that comes into force, or
/// one of the same roll with other targets available.
pub type RoutingTableInstaller = Box<dyn Fn(&Arc<RoutingTable>) + Send>;

/// What the control traffic is started with.
pub struct ControlPlaneConfig {
    /// Address for control datagrams.
    pub listen: SocketAddr,
    /// Address that other nodes send to; the socket's own when not set.
    pub advertise: Option<SocketAddr>,
    /// Key of control messages.
    pub key: TagKey,
    /// Identity of the node; `control` is replaced by the address advertised.
    pub replica: ReplicaSettings,
    /// The key-value service.
    pub store: Arc<dyn Store>,
    /// The list of machines, if there is one.
    pub machine_list: Option<MachineListClient>,
    /// Gives the data path a directory.
    pub routing_table_installer: RoutingTableInstaller,
    /// Where events are logged.
    pub logger: Logger,
}

/// State of a node's control traffic.
#[derive(Clone, Copy, Debug)]
pub struct ControlPlaneStatus {
    /// Identifier of this run of the process.
    pub node: NodeId,
    /// Whether the node has a roll in force and heard enough to serve.
    pub ready: bool,
    /// Whether the node was paused and its state is not confirmed since.
    pub suspect: bool,
    /// Sequence in force; zero before the first.
    pub sequence: Sequence,
    /// Version of the bundle in force.
    pub bundle_version: Option<u64>,
    /// Digest of the snapshot in force.
    pub snapshot: Option<Digest>,
    /// Counts over the nodes that are known.
    pub members: MemberCounts,
    /// Targets that are known to take no new flows.
    pub unavailable_target_count: usize,
    /// Counts since the start.
    pub counters: ReplicaCounters,
}

/// Running control traffic; it ends when this is dropped.
pub struct ControlPlane {
    address: SocketAddr,
    inputs: mpsc::UnboundedSender<Input>,
    listed_leaving: watch::Receiver<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl ControlPlaneConfig {
    /// The configuration that a node's settings ask for.
    ///
    /// # Errors
    /// [`StartError::Client`] when a client cannot be made.
    pub fn from_settings(
        node: &NodeSettings,
        role: Role,
        served_target: Option<ServedTarget>,
        install: RoutingTableInstaller,
        logger: &Logger,
    ) -> Result<Self, StartError> {
        let stores = node.platform.stores.clone();
        let store = ConsulStore::new(stores, logger.clone()).map_err(StartError::PlatformClient)?;
        let machine_list = node.platform.machine_list.map(MachineListClient::new);
        Ok(Self {
            listen: node.control_listen,
            advertise: node.control_advertise,
            key: node.derived_keys().control,
            replica: ReplicaSettings {
                node: NodeId(rand::random()),
                role,
                locality: Locality::new(&node.region, &node.zone),
                control_address: node.control_listen,
                served_target,
                seeds: node.platform.seeds.clone(),
                trusted: node.trusted_keys.clone(),
                tuning: ReplicaTuning::default(),
            },
            store: Arc::new(store),
            machine_list: machine_list
                .transpose()
                .map_err(StartError::PlatformClient)?,
            routing_table_installer: install,
            logger: logger.clone(),
        })
    }
}

impl ControlPlane {
    /// Binds the socket and starts the traffic on the running Tokio runtime.
    ///
    /// # Errors
    /// [`StartError::Listen`] when the address cannot be listened on.
    pub async fn start(config: ControlPlaneConfig) -> Result<Self, StartError> {
        let listen = config.listen;
        let socket = ControlSocket::bind(listen, config.key)
            .await
            .map_err(|error| StartError::listen("control_listen", listen, error))?;
        let address = socket.address();
        let advertised = config.advertise.unwrap_or(address);
        let (inputs, received) = mpsc::unbounded_channel();
        let (leaving, listed_leaving) = watch::channel(false);
        let mut tasks = Vec::new();
        if let Some(list) = config.machine_list {
            let logger = config.logger.clone();
            let inputs = inputs.clone();
            let poll = machines::poll(list, advertised, inputs, leaving, logger);
            tasks.push(tokio::spawn(poll));
        }
        let settings = ReplicaSettings {
            control_address: advertised,
            ..config.replica
        };
        let driver = Driver::new(
            settings,
            socket,
            config.store,
            config.routing_table_installer,
            config.logger,
        );
        tasks.push(tokio::spawn(driver.run(inputs.clone(), received)));
        Ok(Self {
            address,
            inputs,
            listed_leaving,
            tasks,
        })
    }

    /// Address that control datagrams come to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// State at this moment; `None` once the traffic has ended.
    pub async fn status(&self) -> Option<ControlPlaneStatus> {
        let (reply, status) = oneshot::channel();
        self.inputs.send(Input::Status(reply)).ok()?;
        status.await.ok()
    }

    /// Tells other nodes that a planned stop has begun.
    pub fn announce_leaving(&self) {
        let _ = self.inputs.send(Input::Leaving);
    }

    /// Tells other nodes whether the own target takes new flows.
    pub fn announce_accepting_flows(&self, takes: bool) {
        let _ = self.inputs.send(Input::TakesNewFlows(takes));
    }

    /// Tells the replica that the data path saw this sequence.
    pub fn report_sequence_seen(&self, sequence: Sequence) {
        let _ = self.inputs.send(Input::SequenceSeen(sequence));
    }

    /// Whether the machine list says that this machine is leaving.
    #[must_use]
    pub fn subscribe_listed_leaving(&self) -> watch::Receiver<bool> {
        self.listed_leaving.clone()
    }
}

impl Drop for ControlPlane {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
