//! Messages between nodes on the carrier without tokens.
//!
//! A datagram is one [`PeerMessage`] in borsh; where the message carries a
//! packet of a flow, the packet's bytes follow it to the datagram's end.

use std::net::SocketAddrV4;
use std::sync::Arc;

use borsh::{BorshDeserialize, BorshSerialize};

use super::configuration::Configuration;
use super::excluded_zones::ExcludedZones;
use super::held_flows::{FlowAnnouncement, FlowListPart};
use super::identity::{FlowKey, Incarnation, NodeAddress, ServiceKey, ZoneKey};

/// First byte of each datagram: the version of this protocol.
pub const PROTOCOL_VERSION: u8 = 8;
/// Most balancers that a greeting names.
pub const MAXIMUM_NAMED_BALANCERS: usize = 12;

/// Most flows that one message asks for.
pub const MAXIMUM_KEYS: usize = 64;

/// Why a balancer sends a packet to an agent.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardPurpose {
    /// To open the flow.
    Open(OpeningTerms),
    /// The balancer believes that the agent's target holds the flow.
    Established,
    /// The balancer asks whether the agent's target holds the flow.
    Search,
}

/// What a balancer knows of an opening; the agent orders openings by it.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OpeningTerms {
    /// Time since the caller first sent the opening, in milliseconds.
    pub age_ms: u16,
    /// Time in which its request should be answered, in milliseconds.
    pub aim_ms: u32,
    /// Time after which its answer is of no use any more, in milliseconds.
    pub timeout_ms: u32,
    /// Whether its route matters more than another of the same service.
    pub is_urgent: bool,
    /// Requests that the balancer believes the target to hold or to have
    /// queued, this one left out; `None` when the agent is to take the opening
    /// whatever it holds.
    pub estimated_load: Option<u16>,
}

/// What goes before a packet on its way to an agent.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct ForwardHeader {
    /// Service that the packet is for; another one's agent refuses it.
    pub service: ServiceKey,
    /// Configuration that chose the service.
    pub version: u64,
    /// Why it is sent.
    pub purpose: ForwardPurpose,
}

/// Why an agent did not deliver a packet.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ReturnReason {
    /// The agent stands for another service.
    WrongService,
    /// The agent knows no target that answers.
    NoTarget,
    /// The target is leaving.
    Leaving,
    /// The target's zone takes no new flows.
    ZoneExcluded,
    /// The target is cold and has had as many requests within a second as it
    /// bears.
    WarmingUp,
    /// The target holds more than the balancer believed, or the queue is full;
    /// the sender may ask elsewhere.
    Saturated,
    /// The opening has waited in the agent's queue for as long as it may.
    Expired,
    /// The target itself did not take the flow.
    RefusedByTarget,
    /// The agent knows a greater version of the configuration.
    StaleVersion,
    /// The target does not hold the flow.
    NotHeld,
}

/// Whether a target takes flows.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TargetState {
    /// No heartbeat has come since the agent started.
    #[default]
    Unknown,
    /// It takes new flows.
    Ready,
    /// It keeps its flows and gets no new ones.
    Leaving,
    /// It does not answer.
    Unresponsive,
}

/// Load of a target as its agent counts it.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetLoad {
    /// Requests at work or queued.
    pub busy: u16,
    /// Flows accepted by the target that have sent no request yet, and
    /// openings without an answer.
    pub opening: u16,
    /// Openings and requests of open flows in the agent's queue, of which the target
    /// knows nothing yet.
    pub queued: u16,
    /// Open flows.
    pub flows: u32,
    /// Running mean of the time to the first byte of an answer, in
    /// microseconds; zero before the first answer.
    pub service_time_us: u32,
    /// Work that the open flows at rest are expected to ask for, in thousandths of a
    /// slot; `None` before enough of them were seen.
    pub idle_flow_work_millislots: Option<u16>,
    /// Share of the latest requests that the target has failed, in percent.
    pub failed_percent: u8,
    /// Number of the target's last heartbeat, zero before the first: it tells which flows
    /// were open before which heartbeat.
    pub last_heartbeat: u64,
    /// Openings that the target may still be handed within a second because it may
    /// be cold; `None` when it is not limited.
    pub openings_left: Option<u16>,
}

impl TargetLoad {
    /// Requests at work, expected soon, or queued.
    #[must_use]
    pub fn requests(&self) -> u16 {
        self.busy
            .saturating_add(self.opening)
            .saturating_add(self.queued)
    }
}

/// What an agent says of itself and its target.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetReport {
    /// The agent's start, so that reports of an earlier one are told apart.
    pub epoch: u64,
    /// Grows with each report of one start.
    pub sequence: u64,
    /// Service of the target.
    pub service: ServiceKey,
    /// Its incarnation, when a heartbeat has told it.
    pub incarnation: Option<Incarnation>,
    /// When the incarnation began by what it says, in milliseconds of Unix time.
    pub started_at_ms: Option<u64>,
    /// Time since the last heartbeat of the incarnation before, in milliseconds:
    /// flows that were opened later may be open at the present one.
    pub previous_heartbeat_age_ms: u32,
    /// Whether the agent knows every open flow of the target: it has run since the
    /// target began, or for longer than a flow lives.
    pub knows_all_flows: bool,
    /// Zone of the machine.
    pub zone: ZoneKey,
    /// Whether it takes flows.
    pub state: TargetState,
    /// Requests that it works on at the same time.
    pub slots: u16,
    /// How much longer it is slow from its start, in milliseconds.
    pub warm_up_ms: u32,
    /// Its load.
    pub load: TargetLoad,
    /// Configuration that the agent knows.
    pub version: u64,
    /// Time to its next report, in milliseconds.
    pub interval_ms: u32,
}

/// What a balancer says of itself.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct BalancerHello {
    /// Configuration that it knows.
    pub version: u64,
    /// Time between reports that it asks for, in milliseconds.
    pub report_interval_ms: u32,
    /// Whether it does not know this agent yet and waits for its report: it has
    /// started again, and the agent may still count on its earlier life.
    pub requests_report: bool,
    /// Longest time until it greets this receiver again, in milliseconds. Silence
    /// is judged by it.
    pub next_hello_within_ms: u32,
    /// Time since the store confirmed that this configuration is the newest,
    /// in milliseconds; `None` when its sender has not heard of that.
    pub confirmed_ago_ms: Option<u32>,
    /// Zones whose targets take no new flows.
    pub excluded_zones: ExcludedZones,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// Whether it has heard an agent lately.
    pub has_agent_contact: bool,
    /// Zone of its machine.
    pub zone: ZoneKey,
    /// Processor that it may use, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Rate of its machine's link, in kilobits a second; `None` when it is not known.
    pub link_rate_kbps: Option<u32>,
    /// Whether it could serve callers: it knows routes and hears agents.
    pub can_serve: bool,
    /// Other balancers that it knows.
    pub balancers: Vec<NodeAddress>,
}

/// A message between nodes.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub enum PeerMessage {
    /// Balancer to agent; the packet follows.
    Forward(ForwardHeader),
    /// Agent to balancer: a packet was not delivered; the packet follows.
    Returned {
        /// Why.
        reason: ReturnReason,
        /// Load of the agent's target.
        load: TargetLoad,
        /// Configuration that the agent knows.
        version: u64,
        /// Excluded zones that it knows.
        excluded_zones: ExcludedZones,
    },
    /// Balancer to agent: does the target hold these flows? No packet is
    /// delivered.
    Locate {
        /// The flows, at most [`MAXIMUM_KEYS`].
        keys: Vec<FlowKey>,
    },
    /// Balancer to agent: report at once.
    Probe,
    /// Agent to balancer: the target does not hold flows searched for.
    NotHeld {
        /// The flows.
        keys: Vec<FlowKey>,
    },
    /// Agent to balancer: the target answered an opening.
    Accepted {
        /// The flow.
        key: FlowKey,
        /// Number that the caller acknowledges when it chooses this target.
        sequence: u32,
        /// Incarnation of the target.
        incarnation: Option<Incarnation>,
        /// Its load.
        load: TargetLoad,
    },
    /// Agent to balancer: an opening waits in the agent's queue.
    Queued {
        /// The flow.
        key: FlowKey,
        /// Load of the agent's target, this opening included.
        load: TargetLoad,
    },
    /// Agent to balancer: the target holds a flow searched for.
    Located {
        /// The flow.
        key: FlowKey,
        /// Incarnation of the target.
        incarnation: Option<Incarnation>,
        /// Number of its last heartbeat, zero before the first.
        heartbeat: u64,
    },
    /// Agent to balancer: whether the target holds these flows can only be
    /// told by the target itself, from a packet.
    MayBeHeld {
        /// The flows.
        keys: Vec<FlowKey>,
    },
    /// Agent to balancer: state and load of its target.
    Report(TargetReport),
    /// Agent to balancer: the agent stops, and its target has ended with all of
    /// its flows.
    TargetEnded,
    /// Small balancer to a larger one: decide about a caller's packet; the
    /// packet follows.
    Relay,
    /// Balancer to agents and balancers.
    Hello(BalancerHello),
    /// Balancer to agent: does the target hold these flows, which this incarnation of it
    /// held? Answered as [`PeerMessage::Locate`] is, but for denials.
    LocateRecorded {
        /// The incarnation, of which the agent had a heartbeat after each flow was open.
        incarnation: Incarnation,
        /// The flows, at most [`MAXIMUM_KEYS`].
        keys: Vec<FlowKey>,
    },
    /// Agent to balancer: the target does not hold the flows that this incarnation of it
    /// held. Later flows between the same ends may be there.
    RecordedNotHeld {
        /// The incarnation.
        incarnation: Incarnation,
        /// The flows.
        keys: Vec<FlowKey>,
    },
    /// Agent to balancer: a report, and what flows the target holds.
    ReportWithFlows {
        /// The report.
        report: TargetReport,
        /// The flows.
        flows: FlowAnnouncement,
    },
    /// Balancer to agent: send the list of all flows.
    ListFlows,
    /// Agent to balancer: a part of that list.
    FlowList(FlowListPart),
}

/// Kinds of messages, for counts.
pub const MESSAGE_KINDS: [&str; 18] = [
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
];

/// Asks a node for what it knows; sent over a stream.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct SnapshotRequest {
    /// Version that the asking node knows; the configuration is left out when
    /// there is no greater one.
    pub known_version: u64,
    /// Whether it wants to know balancers and agents too, which are a third of a
    /// snapshot of 986 nodes and 256 routes.
    pub wants_nodes: bool,
}

/// What a node knows.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Its configuration, when greater than the one that the other knows.
    pub configuration: Option<Configuration>,
    /// Excluded zones that it knows.
    pub excluded_zones: ExcludedZones,
    /// Balancers that it knows.
    pub balancers: Vec<NodeAddress>,
    /// Agents that it knows.
    pub agents: Vec<NodeAddress>,
    /// Whether these are all that there are, as far as it can tell.
    pub knows_all_agents: bool,
}

/// Why a datagram is not a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MessageError {
    /// It is empty or of another version of the protocol.
    UnknownProtocol,
    /// It does not decode.
    Malformed,
}

impl PeerMessage {
    /// Place of the message's kind in [`MESSAGE_KINDS`].
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
            Self::TargetEnded => 10,
            Self::Relay => 11,
            Self::Hello(_) => 12,
            Self::LocateRecorded { .. } => 13,
            Self::RecordedNotHeld { .. } => 14,
            Self::ReportWithFlows { .. } => 15,
            Self::ListFlows => 16,
            Self::FlowList(_) => 17,
        }
    }

    /// The datagram of a message, followed by a packet or by nothing.
    #[must_use]
    pub fn encode(&self, packet: &[u8]) -> Vec<u8> {
        let mut datagram = Vec::with_capacity(64 + packet.len());
        datagram.push(PROTOCOL_VERSION);
        borsh::to_writer(&mut datagram, self).expect("writing to memory does not fail");
        datagram.extend_from_slice(packet);
        datagram
    }

    /// The message of a datagram and the packet behind it.
    ///
    /// # Errors
    /// [`MessageError`] when the datagram is not a message; nothing was done.
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

impl Snapshot {
    /// A snapshot for a node that knows a version.
    #[must_use]
    pub fn for_request(
        request: &SnapshotRequest,
        configuration: Option<&Arc<Configuration>>,
        excluded_zones: &ExcludedZones,
        balancers: Vec<SocketAddrV4>,
        agents: Vec<SocketAddrV4>,
        knows_all_agents: bool,
    ) -> Self {
        let configuration = configuration
            .filter(|known| known.version > request.known_version)
            .map(|known| Configuration::clone(known));
        let without_nodes = Self {
            configuration,
            excluded_zones: excluded_zones.clone(),
            ..Self::default()
        };
        if !request.wants_nodes {
            return without_nodes;
        }
        Self {
            balancers,
            agents,
            knows_all_agents,
            ..without_nodes
        }
    }
}
