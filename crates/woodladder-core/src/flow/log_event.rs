//! Events for the log: decisions, with the inputs that led to them.

use std::time::Duration;

use super::absence::AbsenceEvidence;
use super::activation::ActiveMechanisms;
use super::cold_reason::ColdReason;
use super::flow_record::{RecordError, RecordNeed, RestoreTotals};
use super::identity::{FlowKey, Incarnation, NodeAddress};
use super::message::{ReturnReason, TargetLoad, TargetState};
use super::packet::ResetReason;
use super::target_status::{OpeningPath, SuccessionEvidence, TargetStatus};

/// A decision of a node, or a change in its state or in its view of other nodes.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// A new flow was sent to a target.
    FlowSent {
        key: FlowKey,
        /// Agent of the selected target.
        agent: NodeAddress,
        /// Retransmissions of the opening before this packet.
        copy: u32,
        /// Agents that were tried before.
        tried: usize,
        /// Score of the selected target: its load as a share of its slots, with
        /// penalties. The lowest score wins.
        score: f64,
        /// Age of the load report behind the score.
        load_age: Duration,
        /// Version of the configuration that selected the service.
        version: u64,
    },
    /// No target accepts a new flow at the moment.
    FlowWithoutTarget {
        key: FlowKey,
        /// Retransmissions of the opening before this packet.
        copy: u32,
        /// Known agents of the service.
        known: usize,
        /// Version of the configuration that selected the service.
        version: u64,
    },
    /// An opening waits until fewer flows share the link.
    OpeningDeferredForLink {
        key: FlowKey,
        /// Flows that share the link.
        under_way: usize,
        /// Waiting openings, including this one.
        waiting: usize,
    },
    /// An opening was refused because the link would have had capacity for it too late.
    OpeningRefusedForLink {
        key: FlowKey,
        /// Time that the opening has waited.
        waited: Duration,
    },
    /// An agent returned a packet.
    PacketReturned {
        key: FlowKey,
        agent: NodeAddress,
        /// Why the packet was returned.
        reason: ReturnReason,
    },
    /// A search for the target that holds a flow has started.
    SearchStarted {
        key: FlowKey,
        /// Number of agents to which the packet is copied at the start of the search.
        asked: usize,
    },
    /// The target that holds a searched flow was found.
    FlowLocated {
        key: FlowKey,
        /// The agent of the target.
        agent: NodeAddress,
        /// Time since the search began.
        waited: Duration,
        /// Whether the agent was one of those to which the packet was copied when the
        /// search began. While agents announce flows, these are the agents that had
        /// announced this flow.
        was_named: bool,
    },
    /// A search takes long.
    SearchWaits {
        key: FlowKey,
        /// Time since the search began.
        waited: Duration,
        /// Agents that have not denied holding the flow.
        open: usize,
        /// One of these agents.
        awaited: Option<NodeAddress>,
        /// Whether `awaited` has answered that it cannot decide whether its target holds the
        /// flow.
        is_undecided: bool,
        /// Whether the balancer knows all agents.
        knows_all: bool,
    },
    /// Every agent has denied holding a flow, so the flow no longer exists.
    AbsenceProved {
        key: FlowKey,
        /// Time since the search began.
        waited: Duration,
    },
    /// A reset was sent to the caller of a flow.
    FlowReset {
        key: FlowKey,
        /// Why the flow was reset.
        reason: ResetReason,
        /// Why no target holds the flow; `None` if its opening was refused.
        evidence: Option<AbsenceEvidence>,
    },
    /// A newer configuration became active.
    ConfigurationAdopted {
        /// Version of the new configuration.
        version: u64,
        /// Version of the previous configuration.
        former: u64,
        /// Routes in the new configuration.
        routes: usize,
        /// Node that sent the configuration; `None` for the store.
        from: Option<NodeAddress>,
        /// Time since the store last confirmed the former version, as far as a balancer has
        /// heard; `None` for an agent, or if unknown.
        confirmed_ago: Option<Duration>,
    },
    /// The set of active optional mechanisms has changed.
    MechanismsChanged {
        /// The mechanisms that are active now.
        active: ActiveMechanisms,
    },
    /// The set of excluded zones has changed.
    ZonesExcluded {
        /// Number of zones that are excluded now.
        excluded: usize,
        /// Number of zones that were excluded before.
        formerly: usize,
        /// Whether the node's own zone is excluded now.
        own_is_excluded: bool,
        /// Store revision of the new set.
        revision: u64,
        /// Node that sent the set; `None` for the store.
        from: Option<NodeAddress>,
    },
    /// The agent can no longer tell whether its target is cold, so the target is assumed
    /// to be cold until a heartbeat states it.
    AssumedCold {
        /// Why the target is assumed to be cold.
        reason: ColdReason,
        /// Incarnation of the target, if known.
        incarnation: Option<Incarnation>,
    },
    /// An agent was heard for the first time, or again after it was lost.
    AgentFound { agent: NodeAddress },
    /// An agent has been silent for so long that its flows count as lost.
    AgentLost {
        agent: NodeAddress,
        /// Time since the agent was last heard.
        silence: Duration,
        /// Time since the first unanswered probe; zero if no probe is unanswered.
        unanswered_for: Duration,
        /// Whether the agent had announced a planned stop.
        has_announced_stop: bool,
        /// Flows that were reset.
        flows: usize,
    },
    /// An agent has announced a planned stop while its target may run on.
    AgentStops { agent: NodeAddress },
    /// An agent that has started again reports that its target holds no flow.
    AgentHoldsNoFlow {
        agent: NodeAddress,
        /// Flows that were reset.
        flows: usize,
    },
    /// An agent has stopped after its target ended.
    AgentStopped {
        agent: NodeAddress,
        /// Flows that were reset.
        flows: usize,
    },
    /// A new incarnation of a target replaced an earlier one.
    TargetReplaced {
        agent: NodeAddress,
        /// The incarnation that has ended.
        ended: Incarnation,
        /// Flows that were reset.
        flows: usize,
    },
    /// The balancer starts or stops watching the store.
    StoreWatchChanged {
        /// Whether it watches the configuration now.
        watches: bool,
        /// Number of live balancers that precede this one in the order in which balancers
        /// take on this duty.
        others_before: usize,
        /// Time since the store last confirmed the configuration to any balancer, as far as
        /// this balancer has heard; `None` if unknown.
        confirmed_ago: Option<Duration>,
    },
    /// The balancer has given up a watch of the store, because no balancer had an answer of the
    /// store for too long.
    StoreWatchAbandoned {
        /// Time for which the watch had waited.
        waited: Duration,
        /// Time since the store last confirmed the configuration to any balancer, as far as
        /// this balancer has heard.
        confirmed_ago: Option<Duration>,
    },
    /// The purpose of the flow record in the store has changed.
    FlowRecording {
        /// What the record is needed for now.
        need: RecordNeed,
        /// Number of balancers, including this one, that route flows themselves instead of
        /// relaying them.
        balancers: usize,
    },
    /// The flow record from before the start was read.
    FlowRecordRead {
        /// Flows in the record.
        flows: usize,
        /// Age of the record by the wall clock.
        age: Duration,
    },
    /// A flow record was rejected.
    FlowRecordRefused {
        /// Why the record was rejected.
        error: RecordError,
    },
    /// The restoration of a flow record has ended: each of its flows has an outcome.
    FlowRecordRestored {
        /// Number of flows by outcome.
        totals: RestoreTotals,
    },
    /// Another balancer was heard for the first time.
    BalancerFound { balancer: NodeAddress },
    /// A balancer is no longer heard.
    BalancerLost { balancer: NodeAddress },
    /// The process was paused for a while; all silence timers restart.
    Stalled {
        /// Duration of the pause.
        duration: Duration,
    },
    /// The state of this agent's target changed.
    TargetState {
        /// Previous state.
        former: TargetState,
        /// Current state with its evidence.
        status: TargetStatus,
    },
    /// Another incarnation has replaced the one that this agent held for its target.
    TargetStartReplaced {
        /// The replaced incarnation, its state and its last heartbeat.
        former: TargetStatus,
        /// The incarnation that has replaced it.
        incarnation: Incarnation,
        /// Sequence number of the heartbeat that stated it.
        sequence: u64,
        /// What showed that it is the present one.
        evidence: SuccessionEvidence,
    },
    /// This agent has acknowledged for the first time that its target leaves.
    LeavingAcknowledged {
        /// The incarnation that leaves, or the target's name if it deregistered by name.
        incarnation: Incarnation,
        /// The target's state, with the evidence that it rests on.
        status: TargetStatus,
    },
    /// A packet that opens a flow was delivered to this agent's target although its leaving
    /// was acknowledged.
    OpeningAfterLeaving {
        key: FlowKey,
        /// Balancer that sent the opening.
        balancer: NodeAddress,
        /// Retransmissions of the opening before this packet.
        copy: u32,
        /// How the opening came to be delivered.
        path: OpeningPath,
        /// The incarnation whose leaving was acknowledged.
        leaving: Incarnation,
        /// Time since the acknowledgement.
        acknowledged_ago: Duration,
        /// The target's state, with the evidence that it rests on.
        status: TargetStatus,
    },
    /// An opening was delivered to this agent's target.
    FlowOffered {
        key: FlowKey,
        /// Balancer that sent the opening.
        balancer: NodeAddress,
        /// Requests in progress at the target.
        busy: u16,
        /// Version of the configuration that selected the service.
        version: u64,
    },
    /// This agent's target became suspect because it fails many requests, or ceased to be
    /// suspect.
    TargetSuspicion {
        /// Whether the target is suspect now.
        is_suspect: bool,
        /// Share of requests that the target has failed, in percent.
        failed_percent: u8,
        /// Incarnation of the target, if known.
        incarnation: Option<Incarnation>,
    },
    /// An opening waits in the queue until this agent's target can start on it.
    OpeningQueued {
        key: FlowKey,
        /// Balancer that sent the opening.
        balancer: NodeAddress,
        /// Time since the caller first sent the opening.
        age: Duration,
        /// Load of the target, including this opening.
        load: TargetLoad,
        /// Time that a request is expected to take after delivery.
        expected: Duration,
    },
    /// A request on an open flow waits until this agent's target can start on it.
    RequestQueued {
        key: FlowKey,
        /// Whether another route of the service has a lower priority.
        is_urgent: bool,
        /// Other waiting openings and requests that have priority over another route of
        /// the service.
        urgent_waiting: usize,
        /// Load of the target, including this request.
        load: TargetLoad,
        /// Time that the request is expected to take after delivery.
        expected: Duration,
    },
    /// A queued opening, or a queued request on an open flow, was delivered to this
    /// agent's target.
    WorkDelivered {
        key: FlowKey,
        /// Time that the opening or request waited in the queue.
        waited: Duration,
    },
    /// A queued request on an open flow was dropped because its caller has given up.
    RequestGivenUp {
        key: FlowKey,
        /// Time that the request waited in the queue.
        waited: Duration,
    },
    /// This agent's target answered a request.
    RequestAnswered {
        key: FlowKey,
        /// Time to the first byte of the answer.
        service_time: Duration,
    },
}

/// A bounded buffer of events for the log. Events that exceed the bound are dropped and
/// counted.
#[derive(Clone, Debug, Default)]
pub struct LogEventBuffer {
    buffered: Vec<LogEvent>,
    dropped: u64,
}

impl LogEventBuffer {
    /// Most events in the buffer.
    pub const CAPACITY: usize = 512;

    /// Adds an event, or counts it as dropped if the buffer is full.
    pub fn add(&mut self, event: LogEvent) {
        if self.buffered.len() < Self::CAPACITY {
            self.buffered.push(event);
        } else {
            self.dropped += 1;
        }
    }

    /// Takes the buffered events, and the number of events dropped since the last call.
    pub fn take(&mut self) -> (Vec<LogEvent>, u64) {
        (
            std::mem::take(&mut self.buffered),
            std::mem::take(&mut self.dropped),
        )
    }

    /// Whether there is nothing to take: no event is buffered and none was dropped.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffered.is_empty() && self.dropped == 0
    }
}
