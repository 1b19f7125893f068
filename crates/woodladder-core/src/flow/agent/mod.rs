//! The agent on the carrier without tokens.
//!
//! # Lifecycle
//! It starts without knowledge of its target's flows and takes no new flow
//! before the target's first heartbeat. It learns open flows from what the
//! target sends. Once a target has said that it leaves, no new flow reaches
//! it through this agent, whatever any balancer believes.

mod admission;
mod decision;
mod flows;
mod reporting;
mod search;
mod target;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::activation::ActiveMechanisms;
use super::configuration::{Configuration, RouteTable};
use super::excluded_zones::ExcludedZones;
use super::flow_table::FlowTable;
use super::identity::{FlowKey, Incarnation, NodeAddress, ServiceKey, ZoneKey};
use super::log_event::{LogEvent, LogEventBuffer};
use super::message::{
    ForwardHeader, ForwardPurpose, PeerMessage, ReturnReason, Snapshot, SnapshotRequest,
    TargetLoad, TargetState,
};
use super::packet::FlowPacket;
use super::peers::BalancerPeers;
use super::promises::{BrokenPromises, PromiseWatch};
use super::store_session::ListNeed;
use super::target_restart::RestartDetector;
use admission::queue::AdmissionQueue;
use admission::warm_up::WarmUp;
use reporting::flow_statements::FlowStatements;
use reporting::report_schedule::ReportSchedule;
use target::failure_record::FailureRecord;
use target::resting_work::RestingWork;

use crate::clock::Instant;

pub use super::cold_reason::ColdReason;
pub use admission::choosing::QueuedCounts;
pub use admission::held_requests::{
    HELD_BYTES, HELD_FLOWS, HELD_PACKETS, Held, HeldPacket, HeldRequest, HeldRequests, HeldTerms,
};
pub use admission::order::{ServingOrder, WaitingWork, WorkGroup, expected_wait};
pub use admission::queue::{CAPACITY as QUEUE_CAPACITY, LONGEST_WAIT};
pub use admission::service_times::ServiceTimes;
pub use admission::warm_up::WarmUpBounds;
pub use decision::{AgentAction, AgentCounters, ForwardDecision, ReplyBody, TargetPacketDecision};
pub use reporting::flow_statements;
pub use target::failure_record::{AnswerKind, Suspicion};
pub use target::heartbeat::{Heartbeat, HeartbeatError};

/// Settings of an agent.
#[derive(Clone, Copy, Debug)]
pub struct AgentOptions {
    /// Its address for other nodes.
    pub address: NodeAddress,
    /// Zone of the machine.
    pub zone: ZoneKey,
    /// Service of its target.
    pub service: ServiceKey,
    /// A number that differs between starts of the process.
    pub epoch: u64,
    /// Most flows in the table.
    pub flow_capacity: usize,
    /// Least time that a flow at rest stays in the table.
    pub flow_retention: Duration,
    /// Longest life of a flow; after it, the table knows all that are open.
    pub flow_lifetime: Duration,
    /// What cold targets may be handed; `None` when the operators set no limit.
    pub warm_up: Option<WarmUpBounds>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FlowState {
    /// An opening was handed to the target.
    Offered,
    /// The target has answered the opening.
    Accepted,
    /// Packets of an unknown flow were handed to the target; it has not shown
    /// yet whether it holds the flow.
    Unconfirmed,
    /// The target holds the flow.
    Open,
    /// One end has closed its side; the flow makes no load any more.
    Closing,
}

#[derive(Clone, Copy, Debug)]
struct HeldFlow {
    state: FlowState,
    /// Whether it counts as an opening that will become a request.
    is_expected: bool,
    /// Whether the target has answered a request of it.
    has_answered: bool,
    /// Balancer that sent the last packet.
    balancer: NodeAddress,
    /// When the state began.
    since: Instant,
    /// When a request arrived that has no answer yet.
    busy_since: Option<Instant>,
    /// Number after the caller's last new byte.
    caller_next: u32,
    /// Number of the first byte of the latest request.
    request_start: u32,
    /// Whether it is not known yet how the latest request was answered. The
    /// target's end of the flow may overtake its answer.
    awaits_outcome: bool,
}

/// Whether anything listens at the target's address, before its first
/// heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListenState {
    /// It was not asked yet.
    Unknown,
    /// Something listens.
    Listening,
    /// Nothing listens.
    NotListening,
}

/// A start of the target that a later one has replaced.
#[derive(Clone, Copy, Debug)]
struct ReplacedStart {
    incarnation: Incarnation,
    /// The incarnation by its name alone.
    name: Incarnation,
}

#[derive(Clone, Debug)]
struct Target {
    state: TargetState,
    incarnation: Option<Incarnation>,
    /// The incarnation by its name alone.
    name: Option<Incarnation>,
    /// When it began, by what it says, in milliseconds of Unix time.
    born_ms: Option<u64>,
    replaced: Vec<ReplacedStart>,
    succession: RestartDetector,
    /// Whether it has said that it is gone.
    is_deregistered: bool,
    first_beat_at: Option<Instant>,
    sequence: u64,
    capacity: u16,
    warm_at: Instant,
    beat_at: Option<Instant>,
    /// When the incarnation before sent its last heartbeat.
    former_beat_at: Option<Instant>,
    sent_at: Option<Instant>,
    unanswered_since: Option<Instant>,
    presence: ListenState,
    /// Whether the target began while the agent ran, so that the agent has seen each of
    /// its flows.
    began_later: bool,
}

/// The agent's state.
#[derive(Clone, Debug)]
pub struct Agent {
    options: AgentOptions,
    target: Target,
    routes: RouteTable,
    mechanisms: ActiveMechanisms,
    version_known_at: Instant,
    /// When a greater version than the own was first heard of.
    newer_heard_at: Option<Instant>,
    excluded_zones: ExcludedZones,
    /// When a node last told which zones are excluded.
    zones_heard_at: Option<Instant>,
    warm_up: WarmUp,
    balancers: BalancerPeers,
    flows: FlowTable<HeldFlow>,
    queue: AdmissionQueue,
    /// Requests of open flows that wait together with the openings.
    held: HeldRequests,
    order: ServingOrder,
    service_times: ServiceTimes,
    /// Requests at work that are most likely not answered any more.
    doubtful: u16,
    /// Whether the process is about to end.
    is_stopping: bool,
    /// Openings that the target has accepted and whose callers have not sent a
    /// request yet, the oldest first.
    accepted: VecDeque<(FlowKey, Instant)>,
    load: TargetLoad,
    failures: FailureRecord,
    resting_work: RestingWork,
    /// When the target last began an answer, or had nothing to answer.
    progress_at: Instant,
    started_at: Instant,
    reports: ReportSchedule,
    report_sequence: u64,
    statements: FlowStatements,
    /// Whether something has changed that every balancer must know.
    report_due: bool,
    fetch: Option<(NodeAddress, Instant)>,
    ticked_at: Option<Instant>,
    notes: LogEventBuffer,
    counters: AgentCounters,
    promises: PromiseWatch,
}

impl Agent {
    /// An agent that knows nothing yet.
    #[must_use]
    pub fn new(options: AgentOptions, now: Instant) -> Self {
        Self {
            options,
            target: Target::unknown(now),
            routes: RouteTable::default(),
            mechanisms: ActiveMechanisms::default(),
            version_known_at: now,
            newer_heard_at: None,
            excluded_zones: ExcludedZones::default(),
            zones_heard_at: None,
            warm_up: WarmUp::default(),
            balancers: BalancerPeers::default(),
            flows: FlowTable::new(options.flow_capacity, options.flow_retention),
            queue: AdmissionQueue::default(),
            held: HeldRequests::default(),
            order: ServingOrder::default(),
            service_times: ServiceTimes::default(),
            doubtful: 0,
            is_stopping: false,
            accepted: VecDeque::new(),
            load: TargetLoad::default(),
            failures: FailureRecord::new(now),
            resting_work: RestingWork::new(now),
            progress_at: now,
            started_at: now,
            reports: ReportSchedule::default(),
            report_sequence: 0,
            statements: FlowStatements::new(options.epoch, now),
            report_due: false,
            fetch: None,
            ticked_at: None,
            notes: LogEventBuffer::default(),
            counters: AgentCounters::default(),
            promises: PromiseWatch::default(),
        }
    }

    /// Whether the target takes flows.
    #[must_use]
    pub fn target_state(&self) -> TargetState {
        self.target.state
    }

    /// Load of the target.
    #[must_use]
    pub fn load(&self) -> TargetLoad {
        self.load
    }

    /// The optional mechanisms that act here.
    #[must_use]
    pub fn mechanisms(&self) -> ActiveMechanisms {
        self.mechanisms
    }

    /// Configuration that the agent knows.
    #[must_use]
    pub fn configuration_version(&self) -> u64 {
        self.routes.version()
    }

    /// Balancers that the agent reports to.
    #[must_use]
    pub fn balancers(&self) -> &BalancerPeers {
        &self.balancers
    }

    /// What the agent needs the store's list of balancers for: two halves of the
    /// fleet that do not know each other meet through balancers.
    #[must_use]
    pub fn list_need(&self, now: Instant) -> ListNeed {
        if self.balancers.hears_any(now) {
            ListNeed::Nothing
        } else {
            ListNeed::Urgent
        }
    }

    /// Flows in the table.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Running totals.
    #[must_use]
    pub fn counters(&self) -> &AgentCounters {
        &self.counters
    }

    /// How often each promise was broken here.
    #[must_use]
    pub fn broken_promises(&self) -> &BrokenPromises {
        self.promises.broken()
    }

    /// Notes for the log and how many were left out.
    pub fn take_notes(&mut self) -> (Vec<LogEvent>, u64) {
        self.notes.take()
    }

    /// Takes what another node knows.
    pub fn apply_snapshot(&mut self, from: NodeAddress, snapshot: Snapshot, now: Instant) {
        if self.fetch.is_some_and(|(asked, _)| asked == from) {
            self.fetch = None;
        }
        if let Some(configuration) = snapshot.configuration {
            self.adopt(Arc::new(configuration), from, now);
        }
        self.adopt_zones(&snapshot.excluded_zones, from, now);
        for balancer in snapshot.balancers {
            self.name_balancer(balancer, now);
        }
    }

    /// A request for a snapshot failed.
    pub fn handle_snapshot_failure(&mut self, from: NodeAddress) {
        if self.fetch.is_some_and(|(asked, _)| asked == from) {
            self.fetch = None;
        }
    }

    /// What this node tells others that ask for a snapshot.
    #[must_use]
    pub fn answer_snapshot(&self, request: &SnapshotRequest) -> Snapshot {
        let balancers = self.balancers.confirmed_by_hello().collect();
        let agents = vec![self.options.address];
        Snapshot::for_request(
            request,
            self.routes.current(),
            &self.excluded_zones,
            balancers,
            agents,
            false,
        )
    }

    /// Begins a planned stop: no new flow, forwards on.
    pub fn begin_shutdown(&mut self) {
        self.is_stopping = true;
        self.set_state(TargetState::Leaving);
    }

    fn adopt(&mut self, configuration: Arc<Configuration>, from: NodeAddress, now: Instant) {
        let former = self.routes.version();
        if !self.routes.adopt(configuration) {
            return;
        }
        self.version_known_at = now;
        self.newer_heard_at = None;
        self.notes.add(LogEvent::ConfigurationAdopted {
            version: self.routes.version(),
            former,
            routes: self.routes.current().map_or(0, |it| it.routes.len()),
            from: Some(from),
        });
        self.choose_mechanisms();
    }

    fn choose_mechanisms(&mut self) {
        let Some(configuration) = self.routes.current() else {
            return;
        };
        let next = ActiveMechanisms::at_agent(configuration, self.options.service);
        if std::mem::replace(&mut self.mechanisms, next) != next {
            self.notes.add(LogEvent::MechanismsChanged { active: next });
        }
    }

    fn set_state(&mut self, state: TargetState) {
        let former = self.target.state;
        if former == state {
            return;
        }
        self.target.state = state;
        self.report_due = true;
        self.notes.add(LogEvent::TargetState {
            former,
            state,
            incarnation: self.target.incarnation,
        });
    }

    /// Decides about a packet that a balancer sent; `bytes` are the packet as
    /// it came.
    pub fn handle_forwarded_packet(
        &mut self,
        from: NodeAddress,
        header: &ForwardHeader,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> ForwardDecision {
        self.counters.packets_received += 1;
        self.name_balancer(from, now);
        if header.service != self.options.service {
            return self.give_back(ReturnReason::WrongService);
        }
        match header.purpose {
            ForwardPurpose::Open(terms) => self.opening(from, header, &terms, packet, bytes, now),
            ForwardPurpose::Established => self.established(from, packet, bytes, now),
            ForwardPurpose::Search => self.search(from, packet, bytes, now),
        }
    }

    fn give_back(&mut self, reason: ReturnReason) -> ForwardDecision {
        self.counters.openings_declined += 1;
        ForwardDecision::Reply(self.returned(reason), ReplyBody::Packet)
    }

    fn returned(&self, reason: ReturnReason) -> PeerMessage {
        PeerMessage::Returned {
            reason,
            load: self.load,
            version: self.routes.version(),
            excluded_zones: self.excluded_zones.clone(),
        }
    }
}

impl Target {
    fn unknown(now: Instant) -> Self {
        Self {
            state: TargetState::Unknown,
            incarnation: None,
            name: None,
            born_ms: None,
            replaced: Vec::new(),
            succession: RestartDetector::default(),
            is_deregistered: false,
            first_beat_at: None,
            sequence: 0,
            capacity: 0,
            warm_at: now,
            beat_at: None,
            former_beat_at: None,
            sent_at: None,
            unanswered_since: None,
            presence: ListenState::Unknown,
            began_later: false,
        }
    }
}

fn not_held(key: FlowKey) -> PeerMessage {
    PeerMessage::NotHeld { keys: vec![key] }
}
