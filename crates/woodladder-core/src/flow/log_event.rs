//! Decisions worth a log line, with the inputs that decided them.

use std::time::Duration;

use super::activation::ActiveMechanisms;
use super::cold_reason::ColdReason;
use super::flow_record::{RecordError, RecordNeed, RestoreTotals};
use super::identity::{FlowKey, Incarnation, NodeAddress};
use super::message::{ReturnReason, TargetLoad, TargetState};
use super::packet::ResetReason;

/// One decision or one change of what a node believes.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// A new flow was sent to a target.
    FlowSent {
        /// The flow.
        key: FlowKey,
        /// Agent chosen.
        agent: NodeAddress,
        /// Copies of the opening before this one.
        copy: u32,
        /// Agents asked before.
        tried: usize,
        /// Score that won, in slots.
        score: f64,
        /// Age of the load that it was computed from.
        load_age: Duration,
        /// Configuration that chose the service.
        version: u64,
    },
    /// No target takes a new flow now.
    FlowWithoutTarget {
        /// The flow.
        key: FlowKey,
        /// Copies of the opening before this one.
        copy: u32,
        /// Agents of the service that are known.
        known: usize,
        /// Configuration that chose the service.
        version: u64,
    },
    /// An opening waits until fewer flows share the link.
    OpeningDeferredForLink {
        /// The flow.
        key: FlowKey,
        /// Flows that share the link.
        under_way: usize,
        /// Openings that wait, this one included.
        waiting: usize,
    },
    /// An opening was refused, because its turn on the link comes too late.
    OpeningRefusedForLink {
        /// The flow.
        key: FlowKey,
        /// Time that it has waited.
        waited: Duration,
    },
    /// An agent gave a packet back.
    PacketReturned {
        /// The flow.
        key: FlowKey,
        /// The agent.
        agent: NodeAddress,
        /// Why.
        reason: ReturnReason,
    },
    /// The targets of the route are asked who holds a flow.
    SearchStarted {
        /// The flow.
        key: FlowKey,
        /// Agents asked.
        asked: usize,
    },
    /// A target holds a flow that was searched for.
    FlowLocated {
        /// The flow.
        key: FlowKey,
        /// Its agent.
        agent: NodeAddress,
        /// Time since the search began.
        waited: Duration,
        /// Whether the agent had told the flow before it was asked.
        was_named: bool,
    },
    /// A search goes on for long.
    SearchWaits {
        /// The flow.
        key: FlowKey,
        /// Time since the search began.
        waited: Duration,
        /// Agents that have not denied the flow.
        open: usize,
        /// One of them.
        awaited: Option<NodeAddress>,
        /// Whether that one has said that only its target can tell.
        is_undecided: bool,
        /// Whether the balancer knows all agents.
        knows_all: bool,
    },
    /// Every agent has denied a flow: it is open nowhere.
    AbsenceProved {
        /// The flow.
        key: FlowKey,
        /// Time since the search began.
        waited: Duration,
    },
    /// A flow was reset towards its caller.
    FlowReset {
        /// The flow.
        key: FlowKey,
        /// Why.
        reason: ResetReason,
        /// Agents that denied holding it.
        denied: usize,
    },
    /// A greater configuration is in force.
    ConfigurationAdopted {
        /// The version.
        version: u64,
        /// The version before.
        former: u64,
        /// Routes in it.
        routes: usize,
        /// Node that it came from; `None` for the store.
        from: Option<NodeAddress>,
    },
    /// Other optional mechanisms act than before.
    MechanismsChanged {
        /// Those that act now.
        active: ActiveMechanisms,
    },
    /// Other zones than before take no new flows.
    ZonesExcluded {
        /// Zones that are excluded from now on.
        excluded: usize,
        /// Zones that were until now.
        formerly: usize,
        /// Whether the node's own zone is among those excluded from now on.
        own_is_excluded: bool,
        /// Revision of the store at which this was so.
        revision: u64,
        /// Node that it came from; `None` for the store.
        from: Option<NodeAddress>,
    },
    /// It is not known any more whether the own target is cold, so it counts as
    /// cold until a heartbeat tells.
    AssumedCold {
        /// Why.
        reason: ColdReason,
        /// Incarnation, when known.
        incarnation: Option<Incarnation>,
    },
    /// An agent is heard.
    AgentFound {
        /// The agent.
        agent: NodeAddress,
    },
    /// An agent has been silent for long.
    AgentLost {
        /// The agent.
        agent: NodeAddress,
        /// For how long.
        silence: Duration,
        /// For how long it has left a question unanswered; zero when it was
        /// asked nothing.
        unanswered_for: Duration,
        /// Flows that were reset.
        flows: usize,
    },
    /// An agent has stopped after its target's end.
    AgentStopped {
        /// The agent.
        agent: NodeAddress,
        /// Flows that were reset.
        flows: usize,
    },
    /// A target was replaced.
    TargetReplaced {
        /// The agent.
        agent: NodeAddress,
        /// Incarnation that has ended.
        ended: Incarnation,
        /// Flows that were reset.
        flows: usize,
    },
    /// The balancer begins to call the store, or ceases to.
    StoreWatchChanged {
        /// Whether it watches the configuration now.
        watches: bool,
        /// Balancers heard that come before it.
        others_before: usize,
        /// Time since the store confirmed the configuration to any balancer
        /// heard of; `None` when that is not known.
        confirmed_ago: Option<Duration>,
    },
    /// What the record of flows at the store is needed for has changed.
    FlowRecording {
        /// What it is needed for now.
        need: RecordNeed,
        /// Balancers that decide about flows.
        balancers: usize,
    },
    /// The record of flows that was written before the start was read.
    FlowRecordRead {
        /// Flows in it.
        flows: usize,
        /// Its age by the time of day.
        age: Duration,
    },
    /// A record of flows is of no use.
    FlowRecordRefused {
        /// Why.
        error: RecordError,
    },
    /// It is settled what became of the flows of a record.
    FlowRecordRestored {
        /// What became of them.
        totals: RestoreTotals,
    },
    /// Another balancer is heard for the first time.
    BalancerFound {
        /// The balancer.
        balancer: NodeAddress,
    },
    /// A balancer is no longer heard.
    BalancerLost {
        /// The balancer.
        balancer: NodeAddress,
    },
    /// The process has not run for a while; silence is counted anew.
    Stalled {
        /// For how long.
        duration: Duration,
    },
    /// The own target changed its state.
    TargetState {
        /// The state before.
        former: TargetState,
        /// The state now.
        state: TargetState,
        /// Incarnation, when known.
        incarnation: Option<Incarnation>,
    },
    /// An opening was handed to the own target.
    FlowOffered {
        /// The flow.
        key: FlowKey,
        /// Balancer that sent it.
        balancer: NodeAddress,
        /// Requests at work.
        busy: u16,
        /// Configuration that chose the service.
        version: u64,
    },
    /// The own target has become or ceased to be suspect by what came of its
    /// requests.
    TargetSuspicion {
        /// Whether it is suspect now.
        is_suspect: bool,
        /// Share of requests that it has failed, in percent.
        failed_percent: u8,
        /// Incarnation, when known.
        incarnation: Option<Incarnation>,
    },
    /// An opening waits until the own target can begin with it.
    OpeningQueued {
        /// The flow.
        key: FlowKey,
        /// Balancer that sent it.
        balancer: NodeAddress,
        /// Time since the caller first sent it.
        age: Duration,
        /// Load of the target, this opening included.
        load: TargetLoad,
        /// Time that a request is expected to take once it is handed over.
        expected: Duration,
    },
    /// A request on an open flow waits until the own target can begin with it.
    RequestQueued {
        /// The flow.
        key: FlowKey,
        /// Whether its route matters more than another one of the service.
        is_urgent: bool,
        /// Openings and requests that wait, too, and whose routes matter more than
        /// another one of the service.
        urgent_waiting: usize,
        /// Load of the target, this request included.
        load: TargetLoad,
        /// Time that the request is expected to take once it is handed over.
        expected: Duration,
    },
    /// An opening, or a request on an open flow, that has waited was handed to the own
    /// target.
    WorkReleased {
        /// The flow.
        key: FlowKey,
        /// Time that it has waited.
        waited: Duration,
    },
    /// A request on an open flow that waited is dropped: its caller has left.
    RequestGivenUp {
        /// The flow.
        key: FlowKey,
        /// Time that it has waited.
        waited: Duration,
    },
    /// The own target ended one request of a flow.
    RequestAnswered {
        /// The flow.
        key: FlowKey,
        /// Time to the first byte of the answer.
        service_time: Duration,
    },
}

/// Notes that wait for the log; further ones are counted and dropped.
#[derive(Clone, Debug, Default)]
pub struct LogEventBuffer {
    waiting: Vec<LogEvent>,
    dropped: u64,
}

impl LogEventBuffer {
    /// Most notes that wait.
    pub const CAPACITY: usize = 512;

    /// Adds a note.
    pub fn add(&mut self, note: LogEvent) {
        if self.waiting.len() < Self::CAPACITY {
            self.waiting.push(note);
        } else {
            self.dropped += 1;
        }
    }

    /// Takes what waits, and how many were dropped since the last call.
    pub fn take(&mut self) -> (Vec<LogEvent>, u64) {
        (
            std::mem::take(&mut self.waiting),
            std::mem::take(&mut self.dropped),
        )
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.dropped == 0
    }
}
