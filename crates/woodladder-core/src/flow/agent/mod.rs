//! The agent: a state machine for one target. It decides which packets reach the target
//! and reports the target's load to the balancers.
//!
//! # Lifecycle
//! An agent starts with an empty flow table and admits no new flow before the target's
//! first heartbeat. Flows that are already open are added to the table when the target
//! sends packets of them. Once a target has announced that it leaves, the agent delivers
//! no further new flow to it, even if a balancer still lists the target as ready.

mod admission;
mod decision;
mod flow_retention;
mod flows;
mod planned_stop;
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
use super::identity::{FlowKey, NodeAddress, ServiceKey, ZoneKey};
use super::leaving_record::LeavingRecordSession;
use super::log_event::{LogEvent, LogEventBuffer};
use super::message::{
    ForwardHeader, ForwardPurpose, PeerMessage, ReturnReason, Snapshot, SnapshotRequest,
    TargetLoad, TargetState,
};
use super::packet::FlowPacket;
use super::peers::BalancerPeers;
use super::promises::{BrokenPromises, PromiseWatch};
use super::store_session::ListNeed;
use admission::opening_queue::OpeningQueue;
use admission::warm_up::WarmUp;
use planned_stop::PlannedStop;
use reporting::flow_announcer::FlowAnnouncer;
use reporting::report_schedule::ReportSchedule;
use target::failure_record::FailureRecord;
use target::idle_flow_work::IdleFlowWork;
use target::present_start::{Target, TargetEnd};

use crate::clock::Instant;

pub use super::cold_reason::ColdReason;
pub use super::target_status::{OpeningPath, StateCause, SuccessionEvidence, TargetStatus};
pub use admission::opening_queue::{MAXIMUM_OPENING_AGE, MAXIMUM_QUEUED_OPENINGS};
pub use admission::request_queue::{
    EnqueueResult, MAXIMUM_PACKETS_PER_REQUEST, MAXIMUM_QUEUED_BYTES, MAXIMUM_QUEUED_REQUESTS,
    QueuedPacket, QueuedRequest, RequestQueue, RequestTerms,
};
pub use admission::service_times::ServiceTimes;
pub use admission::serving_order::{QueuedWork, ServingOrder, WorkGroup, expected_wait};
pub use admission::warm_up::WarmUpBounds;
pub use admission::work_selection::QueuedCounts;
pub use decision::{AgentAction, AgentCounters, ForwardDecision, ReplyBody, TargetPacketDecision};
pub use reporting::flow_announcer;
pub use target::deregistration::DeregistrationOutcome;
pub use target::failure_record::{AnswerKind, Suspicion};
pub use target::heartbeat::{Heartbeat, HeartbeatError, HeartbeatOutcome};
pub use target::leaving_watch::{AcknowledgedLeaving, LeavingWatch};
pub use target::present_start::ListenState;

/// Settings of an agent.
#[derive(Clone, Copy, Debug)]
pub struct AgentOptions {
    /// Address at which other nodes reach the agent.
    pub address: NodeAddress,
    /// Zone of the agent's machine.
    pub zone: ZoneKey,
    /// Service of the agent's target.
    pub service: ServiceKey,
    /// A number that differs between starts of the agent's process.
    pub epoch: u64,
    /// Maximum number of flows in the flow table.
    pub flow_capacity: usize,
    /// Minimum time for which an idle flow stays in the flow table, also under a
    /// configuration with a shorter idle timeout.
    pub flow_retention: Duration,
    /// Longest life of a flow. An agent that has run for this long has every open flow in
    /// its table.
    pub flow_lifetime: Duration,
    /// Limit on the requests that a cold target may be sent; `None` when the operators
    /// set no limit.
    pub warm_up: Option<WarmUpBounds>,
    /// Whether leavings are recorded in the store before they are acknowledged, and the
    /// record is read after a restart.
    pub records_leavings: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FlowState {
    /// An opening was delivered to the target.
    Offered,
    /// The target has answered the opening.
    Accepted,
    /// Packets of an unknown flow were delivered to the target, which has not yet shown
    /// whether it holds the flow.
    Unconfirmed,
    /// The target holds the flow.
    Open,
    /// One end has closed its side; the flow no longer counts as load.
    Closing,
}

#[derive(Clone, Copy, Debug)]
struct TargetFlow {
    state: FlowState,
    /// Whether the flow counts as an opening that is expected to become a request.
    counts_as_opening: bool,
    /// Whether the target has answered a request of the flow.
    has_answered: bool,
    /// Balancer that sent the flow's last packet.
    balancer: NodeAddress,
    /// When the flow entered its state.
    state_since: Instant,
    /// When the flow's opening was delivered; `None` if this agent delivered none.
    opened_at: Option<Instant>,
    /// When the request arrived that has no answer yet; `None` while no request is being
    /// served.
    busy_since: Option<Instant>,
    /// Sequence number after the last new byte of the caller.
    caller_next_sequence: u32,
    /// Sequence number of the first byte of the latest request.
    request_start_sequence: u32,
    /// Whether the outcome of the latest request is still unknown. Stays set when the
    /// target's Finish arrives before the answer, so that the answer is still counted.
    awaits_outcome: bool,
}

/// State of an agent.
#[derive(Clone, Debug)]
pub struct Agent {
    options: AgentOptions,
    target: Target,
    routes: RouteTable,
    mechanisms: ActiveMechanisms,
    version_adopted_at: Instant,
    /// When a hello first stated a newer configuration version than the agent's own.
    newer_heard_at: Option<Instant>,
    excluded_zones: ExcludedZones,
    /// When a node last sent the excluded zones.
    zones_heard_at: Option<Instant>,
    warm_up: WarmUp,
    balancers: BalancerPeers,
    flows: FlowTable<TargetFlow>,
    opening_queue: OpeningQueue,
    /// Requests of open flows that are queued together with the openings.
    request_queue: RequestQueue,
    serving_order: ServingOrder,
    service_times: ServiceTimes,
    /// Number of requests in service for so long that the target has most likely dropped
    /// them; zero while no work is queued.
    presumed_lost_count: u16,
    planned_stop: PlannedStop,
    /// Openings that the target has accepted and whose callers have not sent a request
    /// yet, oldest first.
    accepted_without_request: VecDeque<(FlowKey, Instant)>,
    load: TargetLoad,
    failure_record: FailureRecord,
    idle_flow_work: IdleFlowWork,
    /// When the target last began an answer, or last had nothing to answer.
    last_progress_at: Instant,
    started_at: Instant,
    report_schedule: ReportSchedule,
    report_sequence: u64,
    flow_announcer: FlowAnnouncer,
    /// Whether something has changed that must be reported to every balancer at once.
    is_report_to_all_due: bool,
    pending_fetch: Option<(NodeAddress, Instant)>,
    ticked_at: Option<Instant>,
    log_events: LogEventBuffer,
    counters: AgentCounters,
    promises: PromiseWatch,
    leaving_watch: LeavingWatch,
    leaving_record: LeavingRecordSession,
}

impl Agent {
    /// An agent without a target, a configuration or other nodes yet.
    #[must_use]
    pub fn new(options: AgentOptions, now: Instant) -> Self {
        Self {
            options,
            target: Target::unknown(now),
            routes: RouteTable::default(),
            mechanisms: ActiveMechanisms::default(),
            version_adopted_at: now,
            newer_heard_at: None,
            excluded_zones: ExcludedZones::default(),
            zones_heard_at: None,
            warm_up: WarmUp::default(),
            balancers: BalancerPeers::default(),
            flows: FlowTable::new(options.flow_capacity, options.longest_retention()),
            opening_queue: OpeningQueue::default(),
            request_queue: RequestQueue::default(),
            serving_order: ServingOrder::default(),
            service_times: ServiceTimes::default(),
            presumed_lost_count: 0,
            planned_stop: PlannedStop::default(),
            accepted_without_request: VecDeque::new(),
            load: TargetLoad::default(),
            failure_record: FailureRecord::new(now),
            idle_flow_work: IdleFlowWork::new(now),
            last_progress_at: now,
            started_at: now,
            report_schedule: ReportSchedule::default(),
            report_sequence: 0,
            flow_announcer: FlowAnnouncer::new(options.epoch, now),
            is_report_to_all_due: false,
            pending_fetch: None,
            ticked_at: None,
            log_events: LogEventBuffer::default(),
            counters: AgentCounters::default(),
            promises: PromiseWatch::default(),
            leaving_watch: LeavingWatch::default(),
            leaving_record: LeavingRecordSession::new(options.epoch, now),
        }
    }

    /// Whether the target takes flows.
    #[must_use]
    pub fn target_state(&self) -> TargetState {
        self.target.state
    }

    /// Load of the target as counted by the agent.
    #[must_use]
    pub fn load(&self) -> TargetLoad {
        self.load
    }

    /// The optional mechanisms that are active at this agent.
    #[must_use]
    pub fn mechanisms(&self) -> ActiveMechanisms {
        self.mechanisms
    }

    /// Version of the agent's configuration; zero before the first.
    #[must_use]
    pub fn configuration_version(&self) -> u64 {
        self.routes.version()
    }

    /// Balancers that the agent reports to.
    #[must_use]
    pub fn balancers(&self) -> &BalancerPeers {
        &self.balancers
    }

    /// How urgently the agent needs the store's list of balancers. The agent does not
    /// need the list while hellos arrive: some balancers read the list to find balancers
    /// that are in none of their peers' lists ([`ListNeed::Safeguard`]), and hellos name
    /// the balancers to add.
    #[must_use]
    pub fn list_need(&self, now: Instant) -> ListNeed {
        if self.balancers.hears_any(now) {
            ListNeed::Nothing
        } else {
            ListNeed::Urgent
        }
    }

    /// Number of flows in the flow table.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Counters since the start of the process.
    #[must_use]
    pub fn counters(&self) -> &AgentCounters {
        &self.counters
    }

    /// Violations of each service guarantee (promise) that the agent has counted.
    #[must_use]
    pub fn broken_promises(&self) -> &BrokenPromises {
        self.promises.broken()
    }

    /// Takes the log events, and the number of log events that were dropped.
    pub fn take_log_events(&mut self) -> (Vec<LogEvent>, u64) {
        self.log_events.take()
    }

    /// Adopts the configuration, the excluded zones and the balancers of a snapshot that
    /// another node sent on request.
    pub fn apply_snapshot(&mut self, from: NodeAddress, snapshot: Snapshot, now: Instant) {
        if self.pending_fetch.is_some_and(|(asked, _)| asked == from) {
            self.pending_fetch = None;
        }
        if let Some(configuration) = snapshot.configuration {
            self.adopt_configuration(Arc::new(configuration), from, now);
        }
        self.routes
            .history_mut()
            .merge(&snapshot.route_history, now);
        self.adopt_excluded_zones(&snapshot.excluded_zones, from, now);
        for balancer in snapshot.balancers {
            self.add_balancer(balancer, now);
        }
    }

    /// Clears the pending fetch after a request for a snapshot has failed.
    pub fn handle_snapshot_failure(&mut self, from: NodeAddress) {
        if self.pending_fetch.is_some_and(|(asked, _)| asked == from) {
            self.pending_fetch = None;
        }
    }

    /// The snapshot that this node sends to a node that requests one.
    #[must_use]
    pub fn answer_snapshot(&self, request: &SnapshotRequest, now: Instant) -> Snapshot {
        let known = Snapshot {
            excluded_zones: self.excluded_zones.clone(),
            balancers: self.balancers.confirmed_by_hello().collect(),
            agents: vec![self.options.address],
            route_history: self.routes.history().summary(now),
            ..Snapshot::default()
        };
        known.for_request(request, self.routes.current())
    }

    fn adopt_configuration(
        &mut self,
        configuration: Arc<Configuration>,
        from: NodeAddress,
        now: Instant,
    ) {
        let former = self.routes.version();
        if !self.routes.adopt(configuration) {
            return;
        }
        self.version_adopted_at = now;
        self.newer_heard_at = None;
        self.update_flow_retention();
        self.log_events.add(LogEvent::ConfigurationAdopted {
            version: self.routes.version(),
            former,
            routes: self.routes.current().map_or(0, |it| it.routes.len()),
            from: Some(from),
            confirmed_ago: None,
        });
        self.update_mechanisms();
    }

    fn update_mechanisms(&mut self) {
        let Some(configuration) = self.routes.current() else {
            return;
        };
        let next = ActiveMechanisms::at_agent(configuration, self.options.service);
        if std::mem::replace(&mut self.mechanisms, next) != next {
            self.log_events
                .add(LogEvent::MechanismsChanged { active: next });
        }
    }

    /// Decides about a packet that a balancer sent; `bytes` is the packet as received.
    pub fn handle_forwarded_packet(
        &mut self,
        from: NodeAddress,
        header: &ForwardHeader,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> ForwardDecision {
        self.counters.packets_received += 1;
        self.add_balancer(from, now);
        if header.service != self.options.service {
            return self.decline_forwarded(ReturnReason::WrongService);
        }
        let decision = match header.purpose {
            ForwardPurpose::Open(terms) => {
                self.admit_opening(from, header, &terms, packet, bytes, now)
            }
            ForwardPurpose::Established => self.handle_established(from, packet, bytes, now),
            ForwardPurpose::Search => self.handle_search(from, packet, bytes, now),
        };
        if matches!(decision, ForwardDecision::Deliver { .. }) {
            self.watch_delivered_opening(from, packet, OpeningPath::Arrival, now);
        }
        decision
    }

    fn decline_forwarded(&mut self, reason: ReturnReason) -> ForwardDecision {
        self.counters.openings_returned += 1;
        ForwardDecision::Reply(self.returned_message(reason), ReplyBody::Packet)
    }

    fn returned_message(&self, reason: ReturnReason) -> PeerMessage {
        PeerMessage::Returned {
            reason,
            load: self.load,
            version: self.routes.version(),
            excluded_zones: self.excluded_zones.clone(),
        }
    }
}

fn not_held_message(key: FlowKey) -> PeerMessage {
    PeerMessage::NotHeld { keys: vec![key] }
}
