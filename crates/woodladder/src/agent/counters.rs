//! Counters of an agent, and the status made from them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use woodladder_core::identifier::Sequence;

use super::open_work::{ConnectionStage, OldestWork, OpenWork, RequestStage};
use super::shared_drain::DrainState;

/// Why an agent dropped a datagram.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DatagramDropReason {
    /// The datagram is no envelope, or its tag does not match the key.
    BadEnvelope,
    /// The envelope holds no QUIC packet.
    MalformedPacket,
    /// The datagram is meant for another service.
    WrongService,
    /// The envelope is meant for another target.
    WrongTarget,
    /// The packet's token holds another target.
    ForeignToken,
    /// The packet has no valid token and cannot open a flow.
    InvalidToken,
    /// The packet opens a flow under a roll that was replaced too long ago.
    StaleSequence,
    /// The datagram belongs to a target that the routing table does not hold, so
    /// the datagram cannot be relayed.
    UnknownRelayTarget,
    /// The agent already sends from the maximum number of service addresses.
    AddressBookFull,
    /// Sending the datagram failed.
    SendFailed,
}

impl DatagramDropReason {
    /// All reasons, in declaration order.
    pub const ALL: [Self; 10] = [
        Self::BadEnvelope,
        Self::MalformedPacket,
        Self::WrongService,
        Self::WrongTarget,
        Self::ForeignToken,
        Self::InvalidToken,
        Self::StaleSequence,
        Self::UnknownRelayTarget,
        Self::AddressBookFull,
        Self::SendFailed,
    ];

    /// Name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::BadEnvelope => "bad-envelope",
            Self::MalformedPacket => "malformed-packet",
            Self::WrongService => "wrong-service",
            Self::WrongTarget => "wrong-target",
            Self::ForeignToken => "foreign-token",
            Self::InvalidToken => "invalid-token",
            Self::StaleSequence => "stale-sequence",
            Self::UnknownRelayTarget => "unknown-relay-target",
            Self::AddressBookFull => "address-book-full",
            Self::SendFailed => "send-failed",
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RequestOutcome {
    /// The caller got the back end's whole answer.
    Answered,
    /// The back end did not run the request.
    NotRun,
    /// The back end may have run the request, and the caller did not get the whole
    /// answer.
    Unknown,
    /// The caller cancelled the request or is gone.
    Cancelled,
}

impl RequestOutcome {
    /// All outcomes, in declaration order.
    pub const ALL: [Self; 4] = [Self::Answered, Self::NotRun, Self::Unknown, Self::Cancelled];

    /// Name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Cancelled => "cancelled",
        }
    }
}

/// Live counters of an agent.
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) accepted: AtomicU64,
    pub(super) declined: AtomicU64,
    pub(super) refused: AtomicU64,
    pub(super) handed_on: AtomicU64,
    pub(super) relayed_datagrams: AtomicU64,
    pub(super) open_connections: Arc<OpenWork<ConnectionStage>>,
    pub(super) open_requests: Arc<OpenWork<RequestStage>>,
    pub(super) open_feeds: AtomicUsize,
    drops: [AtomicU64; DatagramDropReason::ALL.len()],
    outcomes: [AtomicU64; RequestOutcome::ALL.len()],
}

impl Counters {
    pub(super) fn count_drop(&self, reason: DatagramDropReason) {
        increment(&self.drops[reason as usize]);
    }

    pub(super) fn count_request(&self, outcome: RequestOutcome) {
        increment(&self.outcomes[outcome as usize]);
    }

    pub(super) fn flow_counts(&self) -> FlowCounts {
        FlowCounts {
            accepted: self.accepted.load(Ordering::Relaxed),
            declined: self.declined.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
            handed_on: self.handed_on.load(Ordering::Relaxed),
            relayed_datagrams: self.relayed_datagrams.load(Ordering::Relaxed),
        }
    }

    pub(super) fn drop_counts(&self) -> Vec<DropCount> {
        let count = |reason: DatagramDropReason| DropCount {
            reason,
            count: self.drops[reason as usize].load(Ordering::Relaxed),
        };
        DatagramDropReason::ALL.into_iter().map(count).collect()
    }

    pub(super) fn outcome_counts(&self) -> Vec<OutcomeCount> {
        let count = |outcome: RequestOutcome| OutcomeCount {
            outcome,
            count: self.outcomes[outcome as usize].load(Ordering::Relaxed),
        };
        RequestOutcome::ALL.into_iter().map(count).collect()
    }
}

pub(super) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Increments a gauge, and decrements it when dropped.
#[derive(Debug)]
pub(super) struct GaugeGuard<'a> {
    gauge: &'a AtomicUsize,
}

impl<'a> GaugeGuard<'a> {
    pub(super) fn new(gauge: &'a AtomicUsize) -> Self {
        gauge.fetch_add(1, Ordering::AcqRel);
        Self { gauge }
    }
}

impl Drop for GaugeGuard<'_> {
    fn drop(&mut self) {
        self.gauge.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Datagrams dropped for one reason.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DropCount {
    /// Why the datagrams were dropped.
    pub reason: DatagramDropReason,
    /// Number of these datagrams since the start.
    pub count: u64,
}

/// Requests that had one outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OutcomeCount {
    /// How the requests ended.
    pub outcome: RequestOutcome,
    /// Number of these requests since the start.
    pub count: u64,
}

/// Datagrams since the start: first datagrams of flows by decision, where a
/// retransmitted first datagram counts again, and relayed datagrams of
/// established flows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FlowCounts {
    /// First datagrams of flows that were accepted.
    pub accepted: u64,
    /// First datagrams of flows that were accepted only to answer their requests
    /// as not run.
    pub declined: u64,
    /// First datagrams of flows that were refused.
    pub refused: u64,
    /// First datagrams of flows that were sent on to the next target on the
    /// envelope's list.
    pub handed_on: u64,
    /// Datagrams of established flows that were sent on to the agent of the
    /// target in their token.
    pub relayed_datagrams: u64,
}

/// State and counters of an agent at one moment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AgentStatus {
    /// State of the agent's drain.
    pub drain: DrainState,
    /// Greatest sequence of a roll seen in an envelope that is later than the
    /// sequence of the agent's own roll; zero when there was none.
    pub newest_sequence_seen: Sequence,
    /// First datagrams of flows, by decision, and relayed datagrams of
    /// established flows, since the start.
    pub flows: FlowCounts,
    /// Dropped datagrams since the start, by reason.
    pub drops: Vec<DropCount>,
    /// Requests that hold a slot now.
    pub busy_slots: u32,
    /// All slots of the back end.
    pub slots: u16,
    /// Slots that the slow start lets requests use now.
    pub effective_slots: u16,
    /// Requests that wait for a slot now.
    pub queued_requests: u32,
    /// Connections that the transport has not discarded yet: those that are open
    /// now, and closed ones for three probe timeouts.
    pub transport_connections: usize,
    /// Callers' connections that are open now.
    pub connections: usize,
    /// Requests that are open now, feeds included.
    pub open_requests: usize,
    /// The connection that was opened first, of those open now.
    pub oldest_connection: Option<OldestWork<ConnectionStage>>,
    /// The request that was opened first, of those open now.
    pub oldest_request: Option<OldestWork<RequestStage>>,
    /// Feeds that are open now.
    pub feeds: usize,
    /// Ended requests since the start, by outcome.
    pub request_outcomes: Vec<OutcomeCount>,
}

impl AgentStatus {
    /// Number of datagrams dropped for this reason.
    #[must_use]
    pub fn dropped(&self, reason: DatagramDropReason) -> u64 {
        self.drops
            .iter()
            .find(|entry| entry.reason == reason)
            .map_or(0, |entry| entry.count)
    }

    /// Number of requests that had this outcome.
    #[must_use]
    pub fn requests_with_outcome(&self, outcome: RequestOutcome) -> u64 {
        self.request_outcomes
            .iter()
            .find(|entry| entry.outcome == outcome)
            .map_or(0, |entry| entry.count)
    }
}
