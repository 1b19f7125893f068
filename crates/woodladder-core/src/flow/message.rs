//! Messages between nodes that load-balance opaque flows.
//!
//! A datagram holds one [`PeerMessage`], encoded with borsh. If the message carries a
//! packet of a flow, the packet's bytes follow it up to the end of the datagram.

use borsh::{BorshDeserialize, BorshSerialize};

use super::excluded_zones::ExcludedZones;
use super::held_flows::{FlowAnnouncement, FlowListPart};
use super::identity::{FlowKey, Incarnation, NodeAddress, ServiceKey, ZoneKey};
pub use super::snapshot::{Snapshot, SnapshotRequest, StoppedAgent};

/// Protocol version; the first byte of each datagram.
pub const PROTOCOL_VERSION: u8 = 8;
/// Most balancers that one hello lists.
pub const MAXIMUM_NAMED_BALANCERS: usize = 12;

/// Most flows in one query.
pub const MAXIMUM_FLOWS_PER_QUERY: usize = 64;

/// Why a balancer sends a packet to an agent.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardPurpose {
    /// To open the flow.
    Open(OpeningTerms),
    /// According to the balancer's flow table, the agent's target holds the flow.
    Established,
    /// The balancer searches for the flow, which the agent's target may hold.
    Search,
}

/// What a balancer states about an opening, the first packet of a flow. The agent orders
/// its queue by these terms.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OpeningTerms {
    /// Time since the caller first sent the opening, in milliseconds.
    pub age_ms: u16,
    /// Time within which the request should be answered, in milliseconds.
    pub aim_ms: u32,
    /// Time after which the answer is useless to the caller, in milliseconds.
    pub timeout_ms: u32,
    /// Whether another route of the same service has a lower priority.
    pub is_urgent: bool,
    /// The balancer's estimate of the requests that are in progress or queued at the
    /// target, not counting this one. `None` if the agent must accept the opening whatever
    /// its load.
    pub estimated_load: Option<u16>,
}

/// Header in front of a packet that a balancer forwards to an agent.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct ForwardHeader {
    /// Service that the packet is for; agents of other services return it.
    pub service: ServiceKey,
    /// Version of the configuration that selected the service.
    pub version: u64,
    /// Why the packet is sent.
    pub purpose: ForwardPurpose,
}

/// Why an agent returned a packet instead of delivering it.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ReturnReason {
    /// The agent belongs to another service.
    WrongService,
    /// The agent has no responding target.
    NoTarget,
    /// The target is shutting down.
    Leaving,
    /// The zone of the target accepts no new flows.
    ZoneExcluded,
    /// The target is cold and has received as many requests within the last second as it
    /// can handle.
    WarmingUp,
    /// The target's load is higher than the balancer's estimate, or the agent's queue is
    /// full; the balancer may try another target.
    Saturated,
    /// The opening has waited in the agent's queue for the maximum time.
    Expired,
    /// The target itself rejected the flow.
    RefusedByTarget,
    /// The agent uses a newer version of the configuration.
    StaleVersion,
    /// The target does not hold the flow.
    NotHeld,
}

/// Whether a target accepts flows.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TargetState {
    /// No heartbeat has arrived since the agent started.
    #[default]
    Unknown,
    /// Accepts new flows.
    Ready,
    /// Is shutting down: keeps its open flows and accepts no new ones.
    Leaving,
    /// Does not respond.
    Unresponsive,
}

/// Load of a target, counted by its agent.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetLoad {
    /// Requests in progress or queued at the target.
    pub busy: u16,
    /// Openings that the target has not answered yet, and flows that it has accepted but
    /// that have not sent a request yet.
    pub opening: u16,
    /// Openings and requests of open flows in the agent's queue, which the target has not
    /// received yet.
    pub queued: u16,
    /// Open flows.
    pub flows: u32,
    /// Moving average of the time to the first byte of an answer, in microseconds; zero
    /// before the first answer.
    pub service_time_us: u32,
    /// Work that the idle flows are expected to cause, in thousandths of a slot; `None`
    /// before enough flows were observed.
    pub idle_flow_work_millislots: Option<u16>,
    /// Share of recent requests that the target has failed, in percent.
    pub failed_percent: u8,
    /// Sequence number of the target's last heartbeat; zero before the first. A balancer
    /// writes a flow to its record only after two further heartbeats since the flow was
    /// located or accepted: the first of them may be a late one of an incarnation that had
    /// already ended when the flow was opened.
    pub last_heartbeat: u64,
    /// Openings that a target that may be cold accepts within the second after this
    /// report; `None` if their number is not limited.
    pub openings_left: Option<u16>,
}

impl TargetLoad {
    /// Requests in progress, expected soon, or queued.
    #[must_use]
    pub fn requests(&self) -> u16 {
        self.busy
            .saturating_add(self.opening)
            .saturating_add(self.queued)
    }
}

/// State of an agent and its target, as the agent reports it.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetReport {
    /// Identifies the agent's start, so that reports from before a restart are
    /// recognized.
    pub epoch: u64,
    /// Increases with each report within one epoch.
    pub sequence: u64,
    /// Service of the target.
    pub service: ServiceKey,
    /// Incarnation of the target, once a heartbeat has stated it.
    pub incarnation: Option<Incarnation>,
    /// When the incarnation started, in milliseconds of Unix time by the clock of the
    /// target's machine; `None` if unknown.
    pub started_at_ms: Option<u64>,
    /// Time since the previous incarnation is known to have run, in milliseconds;
    /// `u32::MAX` if nothing shows it. Flows that were opened later may be open at the
    /// current incarnation.
    pub previous_heartbeat_age_ms: u32,
    /// Whether the agent knows every open flow of the target: it has run since the target
    /// started, or for longer than the lifetime of a flow.
    pub knows_all_flows: bool,
    /// Zone of the machine.
    pub zone: ZoneKey,
    /// Whether the target accepts flows.
    pub state: TargetState,
    /// Requests that the target processes concurrently.
    pub slots: u16,
    /// Rest of the target's warm-up time after its start, in milliseconds.
    pub warm_up_ms: u32,
    /// Load of the target.
    pub load: TargetLoad,
    /// Version of the configuration that the agent uses.
    pub version: u64,
    /// Time until the agent's next report, in milliseconds.
    pub interval_ms: u32,
}

/// State of a balancer, which it announces regularly to agents and other balancers.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct BalancerHello {
    /// Version of the configuration that the balancer uses.
    pub version: u64,
    /// Interval at which the agent should send reports, in milliseconds.
    pub report_interval_ms: u32,
    /// Whether the balancer has not heard the receiving agent yet and waits for its
    /// report. A balancer that has restarted has lost all that the agent reported before.
    pub requests_report: bool,
    /// Longest time until the balancer's next hello to this receiver, in milliseconds. The
    /// receiver's liveness timeouts are multiples of this time.
    pub next_hello_within_ms: u32,
    /// Time since the store confirmed that this configuration is the newest, in
    /// milliseconds; `None` if the balancer has heard of no confirmation.
    pub confirmed_ago_ms: Option<u32>,
    /// Zones whose targets accept no new flows.
    pub excluded_zones: ExcludedZones,
    /// Whether the balancer is about to stop.
    pub is_leaving: bool,
    /// Whether the balancer has heard an agent recently.
    pub has_agent_contact: bool,
    /// Zone of the balancer's machine.
    pub zone: ZoneKey,
    /// Processor that the balancer may use, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Rate of its machine's link, in kilobits per second; `None` if unknown.
    pub link_rate_kbps: Option<u32>,
    /// Whether the balancer could serve callers: it has a configuration, has heard an
    /// agent recently and is not shutting down.
    pub can_serve: bool,
    /// Addresses of other balancers, at most [`MAXIMUM_NAMED_BALANCERS`].
    pub balancers: Vec<NodeAddress>,
}

/// A message between nodes.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub enum PeerMessage {
    /// Balancer to agent: deliver this packet to the target. The packet follows.
    Forward(ForwardHeader),
    /// Agent to balancer: a packet was not delivered. The packet follows.
    Returned {
        /// Why the packet was not delivered.
        reason: ReturnReason,
        /// Load of the agent's target.
        load: TargetLoad,
        /// Version of the configuration that the agent uses.
        version: u64,
        /// Excluded zones that the agent knows.
        excluded_zones: ExcludedZones,
    },
    /// Balancer to agent: does the target hold these flows? Carries no packet to deliver.
    Locate {
        /// The flows, at most [`MAXIMUM_FLOWS_PER_QUERY`].
        keys: Vec<FlowKey>,
    },
    /// Balancer to agent: send a report at once.
    Probe,
    /// Agent to balancer: the target does not hold these flows, which the balancer
    /// searched for.
    NotHeld { keys: Vec<FlowKey> },
    /// Agent to balancer: the target has accepted an opening.
    Accepted {
        key: FlowKey,
        /// Sequence number of the target's acceptance. The caller acknowledges it if it
        /// takes this acceptance rather than that of another target.
        sequence: u32,
        /// Incarnation of the target.
        incarnation: Option<Incarnation>,
        /// Load of the target.
        load: TargetLoad,
    },
    /// Agent to balancer: an opening waits in the agent's queue.
    Queued {
        key: FlowKey,
        /// Load of the agent's target, including this opening.
        load: TargetLoad,
    },
    /// Agent to balancer: the target holds a flow that the balancer searched for.
    Located {
        key: FlowKey,
        /// Incarnation of the target.
        incarnation: Option<Incarnation>,
        /// Number of the target's last heartbeat, zero before the first.
        heartbeat: u64,
    },
    /// Agent to balancer: the agent cannot decide whether its target holds these flows;
    /// only the target's answer to a packet of each flow shows it.
    MayBeHeld { keys: Vec<FlowKey> },
    /// Agent to balancer: state and load of its target.
    Report(TargetReport),
    /// Agent to balancer: the agent stops, and its target has ended together with all of
    /// its flows.
    TargetEnded {
        /// The start of the agent, as in its reports.
        epoch: u64,
    },
    /// Small balancer to a larger one: decide about a caller's packet. The packet
    /// follows.
    Relay,
    /// Balancer to agents and balancers: the balancer's state.
    Hello(BalancerHello),
    /// Balancer to agent: does the target still hold these flows, which this incarnation
    /// of it held? Answered like [`PeerMessage::Locate`], except that a denial is
    /// [`PeerMessage::RecordedNotHeld`].
    LocateRecorded {
        /// The incarnation. Each of these flows was open at some heartbeat that the agent
        /// received from it.
        incarnation: Incarnation,
        /// The flows, at most [`MAXIMUM_FLOWS_PER_QUERY`].
        keys: Vec<FlowKey>,
    },
    /// Agent to balancer: the target does not hold these flows, which this incarnation of
    /// it held. It may hold later flows between the same ends.
    RecordedNotHeld {
        incarnation: Incarnation,
        keys: Vec<FlowKey>,
    },
    /// Agent to balancer: a report, with an announcement of the flows that the target
    /// holds.
    ReportWithFlows {
        report: TargetReport,
        flows: FlowAnnouncement,
    },
    /// Balancer to agent: send the complete list of flows.
    ListFlows,
    /// Agent to balancer: a part of the complete list.
    FlowList(FlowListPart),
    /// Agent to balancer: the target's leaving was acknowledged, and this holds until the
    /// incarnation ends. Balancer to agent: so the agent said before it started again.
    TargetLeaves { incarnation: Incarnation },
    /// Agent to balancer: the agent stops as planned, and its target may run on with its
    /// flows. Until the agent has returned, its silence is no evidence that the target has
    /// ended; [`PeerMessage::TargetEnded`] is.
    AgentStops {
        /// The start of the agent, as in its reports.
        epoch: u64,
    },
}

/// Names of the message kinds in metrics; independent of the names of the variants.
pub const MESSAGE_KINDS: [&str; 20] = [
    "forward",
    "returned",
    "locate",
    "probe",
    "not_held",
    "accepted",
    "queued",
    "located",
    "may_be_held",
    "report",
    "farewell",
    "relay",
    "greeting",
    "locate_recorded",
    "recorded_not_held",
    "report_with_flows",
    "list_flows",
    "flow_list",
    "target_leaves",
    "agent_stops",
];

/// Why a datagram could not be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MessageError {
    /// The datagram is empty or has another protocol version.
    UnknownProtocol,
    /// The bytes are not a valid message.
    Malformed,
}

impl PeerMessage {
    /// Index of the message's kind in [`MESSAGE_KINDS`].
    #[must_use]
    pub fn kind_index(&self) -> usize {
        match self {
            Self::Forward(_) => 0,
            Self::Returned { .. } => 1,
            Self::Locate { .. } => 2,
            Self::Probe => 3,
            Self::NotHeld { .. } => 4,
            Self::Accepted { .. } => 5,
            Self::Queued { .. } => 6,
            Self::Located { .. } => 7,
            Self::MayBeHeld { .. } => 8,
            Self::Report(_) => 9,
            Self::TargetEnded { .. } => 10,
            Self::Relay => 11,
            Self::Hello(_) => 12,
            Self::LocateRecorded { .. } => 13,
            Self::RecordedNotHeld { .. } => 14,
            Self::ReportWithFlows { .. } => 15,
            Self::ListFlows => 16,
            Self::FlowList(_) => 17,
            Self::TargetLeaves { .. } => 18,
            Self::AgentStops { .. } => 19,
        }
    }

    /// Encodes a message and the packet that follows it, if any, as a datagram.
    #[must_use]
    pub fn encode(&self, packet: &[u8]) -> Vec<u8> {
        let mut datagram = Vec::with_capacity(64 + packet.len());
        datagram.push(PROTOCOL_VERSION);
        borsh::to_writer(&mut datagram, self).expect("writing to memory does not fail");
        datagram.extend_from_slice(packet);
        datagram
    }

    /// Decodes a datagram into the message and the packet that follows it.
    ///
    /// # Errors
    /// [`MessageError`] if the datagram is not a valid message.
    pub fn decode(datagram: &[u8]) -> Result<(Self, &[u8]), MessageError> {
        let (protocol, mut rest) = datagram
            .split_first()
            .ok_or(MessageError::UnknownProtocol)?;
        if *protocol != PROTOCOL_VERSION {
            return Err(MessageError::UnknownProtocol);
        }
        let message = Self::deserialize(&mut rest).map_err(|_| MessageError::Malformed)?;
        Ok((message, rest))
    }
}
