//! The control plane of a node: a UDP socket for control messages, the
//! key-value service and the machine list, all driven by the core's replica.
//! Nothing is stored on disk; a starting node gets the roll in force from the
//! key-value service or from other nodes.

mod clock;
mod driver;
mod machine_list;
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

use driver::{DriverInput, ReplicaDriver};

/// Callback that gives the data path a new routing table: that of a roll that
/// comes into force, or one of the same roll with other targets available.
pub type RoutingTableInstaller = Box<dyn Fn(&Arc<RoutingTable>) + Send>;

/// Configuration of the control plane.
pub struct ControlPlaneConfig {
    /// Address that receives control datagrams.
    pub listen: SocketAddr,
    /// Address that other nodes send control datagrams to; the socket's own
    /// when `None`.
    pub advertise: Option<SocketAddr>,
    /// Key that authenticates control messages.
    pub key: TagKey,
    /// Settings of the replica; `control_address` is replaced by the advertised
    /// address.
    pub replica: ReplicaSettings,
    /// The key-value service.
    pub store: Arc<dyn Store>,
    /// Client of the machine list, if there is one.
    pub machine_list: Option<MachineListClient>,
    /// Callback that gives the data path a new routing table: that of a roll
    /// that comes into force, or one of the same roll with other targets
    /// available.
    pub routing_table_installer: RoutingTableInstaller,
    /// Logger of the process.
    pub logger: Logger,
}

/// State of a node's control plane.
#[derive(Clone, Copy, Debug)]
pub struct ControlPlaneStatus {
    /// Random identifier of the process, chosen anew at each start.
    pub node: NodeId,
    /// Whether the node may serve. Once true, the value stays true. A roll has to
    /// be in force, and either the time limit for joining has passed, or all of
    /// these hold:
    ///
    /// - enough peers have answered;
    /// - the key-value service has answered or could not be read;
    /// - no later roll is known or being fetched.
    pub ready: bool,
    /// Whether the process has been suspended by the system, and no peer and no
    /// key-value service has confirmed since that its roll is still the one in
    /// force. The flag is cleared in any case after [`ReplicaTuning::suspect_timeout`].
    pub suspect: bool,
    /// Sequence of the roll in force; zero before the first.
    pub sequence: Sequence,
    /// Version of the bundle in force.
    pub bundle_version: Option<u64>,
    /// Digest of the snapshot in force.
    pub snapshot: Option<Digest>,
    /// Numbers of nodes in the table of members, by state.
    pub members: MemberCounts,
    /// Number of targets that are marked as accepting no new flows.
    pub unavailable_target_count: usize,
    /// Counters since the start.
    pub counters: ReplicaCounters,
}

/// A running control plane; dropping it aborts its tasks.
pub struct ControlPlane {
    address: SocketAddr,
    inputs: mpsc::UnboundedSender<DriverInput>,
    listed_leaving: watch::Receiver<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl ControlPlaneConfig {
    /// Builds the configuration from a node's settings.
    ///
    /// # Errors
    /// [`StartError::PlatformClient`] when a client of the key-value service or
    /// the machine list cannot be created.
    pub fn from_settings(
        node: &NodeSettings,
        role: Role,
        served_target: Option<ServedTarget>,
        routing_table_installer: RoutingTableInstaller,
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
            routing_table_installer,
            logger: logger.clone(),
        })
    }
}

impl ControlPlane {
    /// Binds the control socket and starts the control plane on the running
    /// Tokio runtime.
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
            let polling =
                machine_list::poll_machine_list(list, advertised, inputs, leaving, logger);
            tasks.push(tokio::spawn(polling));
        }
        let settings = ReplicaSettings {
            control_address: advertised,
            ..config.replica
        };
        let driver = ReplicaDriver::new(
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

    /// Address that receives control datagrams.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Current state; `None` once the driver has ended.
    pub async fn status(&self) -> Option<ControlPlaneStatus> {
        let (reply, status) = oneshot::channel();
        self.inputs.send(DriverInput::StatusRequest(reply)).ok()?;
        status.await.ok()
    }

    /// Announces to other nodes that a planned stop of this node has begun.
    pub fn announce_leaving(&self) {
        let _ = self.inputs.send(DriverInput::PlannedStop);
    }

    /// Announces to other nodes whether this node's target accepts new flows.
    pub fn announce_accepting_flows(&self, accepts: bool) {
        let _ = self.inputs.send(DriverInput::AcceptsNewFlows(accepts));
    }

    /// Reports a sequence that the data path has seen in an envelope to the
    /// replica.
    pub fn report_sequence_seen(&self, sequence: Sequence) {
        let _ = self.inputs.send(DriverInput::SequenceSeen(sequence));
    }

    /// Subscribes to whether the machine list lists this machine as leaving.
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
