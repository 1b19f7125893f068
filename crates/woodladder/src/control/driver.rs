//! Drives the core's replica: passes events to it and carries out its actions.

use std::sync::Arc;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;
use slog::{Logger, debug, info};
use tokio::sync::{mpsc, oneshot};
use woodladder_core::control::membership::ListedMachine;
use woodladder_core::control::replica::{
    InstalledRoll, Replica, ReplicaAction, ReplicaEvent, ReplicaSettings,
};
use woodladder_core::control::store_operation::{StoreAnswer, StoreOperation, StoreRequestId};
use woodladder_core::identifier::{NodeId, Sequence};
use woodladder_core::packets::routing_table::RoutingTable;

use super::clock::ProcessClock;
use super::socket::{ControlSocket, ReceivedDatagram};
use super::{ControlPlaneStatus, RoutingTableInstaller};
use crate::store::Store;

/// Input to the driver from other tasks.
pub(super) enum DriverInput {
    /// The key-value service answered a request, or the request failed.
    StoreAnswer(StoreRequestId, StoreAnswer),
    /// The machine list was read.
    MachineList(Vec<ListedMachine>),
    /// The data path has seen this sequence in an envelope.
    SequenceSeen(Sequence),
    /// A planned stop of this node has begun.
    PlannedStop,
    /// Whether this node's target accepts new flows.
    AcceptsNewFlows(bool),
    /// Asks for the current state, which is sent through the channel.
    StatusRequest(oneshot::Sender<ControlPlaneStatus>),
}

/// Owns the replica, and the clock, the socket and the store that the replica's
/// actions need.
pub(super) struct ReplicaDriver {
    node: NodeId,
    replica: Replica,
    clock: ProcessClock,
    socket: ControlSocket,
    store: Arc<dyn Store>,
    routing_table_installer: RoutingTableInstaller,
    logger: Logger,
}

impl ReplicaDriver {
    pub(super) fn new(
        settings: ReplicaSettings,
        socket: ControlSocket,
        store: Arc<dyn Store>,
        routing_table_installer: RoutingTableInstaller,
        logger: Logger,
    ) -> Self {
        let clock = ProcessClock::new();
        let random = ChaCha8Rng::from_seed(rand::random());
        Self {
            node: settings.node,
            replica: Replica::new(settings, random, clock.now()),
            clock,
            socket,
            store,
            routing_table_installer,
            logger,
        }
    }

    /// Runs until the task is aborted. Tasks of store operations send their
    /// answers through `answers`.
    pub(super) async fn run(
        mut self,
        answers: mpsc::UnboundedSender<DriverInput>,
        mut inputs: mpsc::UnboundedReceiver<DriverInput>,
    ) {
        loop {
            let wakeup = self.replica.next_wakeup();
            let event = tokio::select! {
                received = self.socket.receive() => Some(message_event(received)),
                Some(input) = inputs.recv() => self.input_event(input),
                () = self.clock.sleep_until(wakeup) => Some(ReplicaEvent::Tick),
            };
            if let Some(event) = event {
                self.handle(event, &answers);
            }
        }
    }

    fn input_event(&self, input: DriverInput) -> Option<ReplicaEvent> {
        match input {
            DriverInput::StoreAnswer(request, answer) => {
                Some(ReplicaEvent::StoreAnswer { request, answer })
            }
            DriverInput::MachineList(machines) => Some(ReplicaEvent::MachineList(machines)),
            DriverInput::SequenceSeen(sequence) => Some(ReplicaEvent::SequenceSeen(sequence)),
            DriverInput::PlannedStop => Some(ReplicaEvent::Leaving),
            DriverInput::AcceptsNewFlows(accepts) => Some(ReplicaEvent::TakesNewFlows(accepts)),
            DriverInput::StatusRequest(reply) => {
                let _ = reply.send(self.status());
                None
            }
        }
    }

    fn handle(&mut self, event: ReplicaEvent, answers: &mpsc::UnboundedSender<DriverInput>) {
        let was_ready = self.replica.is_ready();
        for action in self.replica.handle(event, self.clock.now()) {
            match action {
                ReplicaAction::Send { to, message } => self.socket.send(to, &message),
                ReplicaAction::Store { request, operation } => {
                    self.start_store_operation(request, operation, answers)
                }
                ReplicaAction::Install(installed) => self.install_roll(&installed),
                ReplicaAction::ReplaceDirectory(routing_table) => {
                    self.replace_routing_table(&routing_table)
                }
            }
        }
        if self.replica.is_ready() && !was_ready {
            info!(self.logger, "control: ready"; "sequence" => %self.replica.sequence());
        }
    }

    fn start_store_operation(
        &self,
        request: StoreRequestId,
        operation: StoreOperation,
        answers: &mpsc::UnboundedSender<DriverInput>,
    ) {
        let store = self.store.clone();
        let answers = answers.clone();
        tokio::spawn(async move {
            let answer = store.perform(&operation).await;
            let _ = answers.send(DriverInput::StoreAnswer(request, answer));
        });
    }

    fn install_roll(&self, installed: &Arc<InstalledRoll>) {
        (self.routing_table_installer)(&Arc::new(installed.directory.clone()));
        let statement = &installed.record.statement;
        info!(self.logger, "control: roll in force";
            "sequence" => %statement.sequence,
            "bundle_version" => statement.bundle_version,
            "operator" => &statement.operator);
        debug!(self.logger, "control: snapshot in force"; "digest" => %statement.snapshot_digest);
    }

    fn replace_routing_table(&self, routing_table: &Arc<RoutingTable>) {
        (self.routing_table_installer)(routing_table);
        let unavailable_targets = self.replica.unavailable_target_count();
        info!(self.logger, "control: available targets changed"; "marked" => unavailable_targets);
    }

    fn status(&self) -> ControlPlaneStatus {
        let now = self.clock.now();
        let installed = self.replica.installed();
        ControlPlaneStatus {
            node: self.node,
            ready: self.replica.is_ready(),
            suspect: self.replica.is_suspect(now),
            sequence: self.replica.sequence(),
            bundle_version: installed.map(|installed| installed.snapshot.bundle.version),
            snapshot: installed.map(|installed| installed.digest()),
            members: self.replica.member_counts(now),
            unavailable_target_count: self.replica.unavailable_target_count(),
            counters: *self.replica.counters(),
        }
    }
}

fn message_event(received: ReceivedDatagram) -> ReplicaEvent {
    match received.message {
        Ok(message) => ReplicaEvent::Message {
            from: received.from,
            message,
        },
        Err(error) => ReplicaEvent::BadFrame(error),
    }
}
