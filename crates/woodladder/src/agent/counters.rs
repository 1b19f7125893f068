//! What an agent counts, and the status made from it.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use woodladder_core::identifier::Sequence;
use woodladder_core::target::drain::DrainPhase;

/// Why an agent drops a datagram.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DatagramDrop {
    /// Not an envelope under the key.
    BadEnvelope,
    /// Not a packet of the transport.
    MalformedPacket,
    /// Meant for another service.
    WrongService,
    /// Its envelope is meant for another target.
    WrongTarget,
    /// Its token names another target.
    ForeignToken,
    /// Neither a token nor the opening of a flow.
    InvalidToken,
    /// Opens a flow by a configuration that was replaced too long ago.
    StaleSequence,
    /// To be relayed to a target that is not known.
    UnknownRelayTarget,
    /// The agent answers from too many service addresses.
    AddressBookFull,
    /// The socket could not send it.
    SendFailed,
}

impl DatagramDrop {
    /// All reasons, in the order of the status.
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

    /// Word for metrics.
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

/// How one request ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RequestEnd {
    /// The back end's whole answer went to the caller.
    Answered,
    /// The back end never saw it.
    NotRun,
    /// The back end may have run it.
    Unknown,
    /// The caller took it back.
    Cancelled,
}

impl RequestEnd {
    /// All ends, in the order of the status.
    pub const ALL: [Self; 4] = [Self::Answered, Self::NotRun, Self::Unknown, Self::Cancelled];

    /// Word for metrics.
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
    pub(super) relayed: AtomicU64,
    pub(super) connections: AtomicUsize,
    pub(super) requests: AtomicUsize,
    pub(super) feeds: AtomicUsize,
    drops: [AtomicU64; DatagramDrop::ALL.len()],
    ends: [AtomicU64; RequestEnd::ALL.len()],
}

impl Counters {
    pub(super) fn drop_datagram(&self, reason: DatagramDrop) {
        increment(&self.drops[reason as usize]);
    }

    pub(super) fn end_request(&self, end: RequestEnd) {
        increment(&self.ends[end as usize]);
    }

    pub(super) fn flows(&self) -> FlowCounts {
        FlowCounts {
            accepted: self.accepted.load(Ordering::Relaxed),
            declined: self.declined.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
            handed_on: self.handed_on.load(Ordering::Relaxed),
            relayed_datagrams: self.relayed.load(Ordering::Relaxed),
        }
    }

    pub(super) fn drops(&self) -> Vec<DropCount> {
        let count = |reason: DatagramDrop| DropCount {
            reason,
            count: self.drops[reason as usize].load(Ordering::Relaxed),
        };
        DatagramDrop::ALL.into_iter().map(count).collect()
    }

    pub(super) fn ends(&self) -> Vec<EndCount> {
        let count = |end: RequestEnd| EndCount {
            outcome: end,
            count: self.ends[end as usize].load(Ordering::Relaxed),
        };
        RequestEnd::ALL.into_iter().map(count).collect()
    }
}

/// Adds one to a counter.
pub(super) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Keeps a gauge one higher while it lives.
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
    /// The reason.
    pub reason: DatagramDrop,
    /// How many.
    pub count: u64,
}

/// Requests that ended in one way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndCount {
    /// The way.
    pub outcome: RequestEnd,
    /// How many.
    pub count: u64,
}

/// First datagrams of flows by what became of them; a repeated datagram
/// counts again.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FlowCounts {
    /// Taken.
    pub accepted: u64,
    /// Taken only to answer their requests as not run.
    pub declined: u64,
    /// Refused.
    pub refused: u64,
    /// Handed on to the next target.
    pub handed_on: u64,
    /// Later datagrams sent on to the agent of the target that they name.
    pub relayed_datagrams: u64,
}

/// What an agent does at one moment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AgentStatus {
    /// How far its drain has come.
    pub drain_phase: DrainPhase,
    /// Greatest sequence that a balancer stated and that is later than the
    /// directory's; zero when there was none.
    pub newest_sequence_seen: Sequence,
    /// New flows since the start.
    pub flows: FlowCounts,
    /// Dropped datagrams since the start, by reason.
    pub drops: Vec<DropCount>,
    /// Requests that hold a slot now.
    pub busy_slots: u32,
    /// Slots of the back end in all.
    pub slots: u16,
    /// Slots that may be used now.
    pub effective_slots: u16,
    /// Requests that wait for a slot now.
    pub queued_requests: u32,
    /// Callers' connections open now.
    pub connections: usize,
    /// Requests open now, feeds included.
    pub open_requests: usize,
    /// Feeds open now.
    pub feeds: usize,
    /// Ended requests since the start, by end.
    pub request_outcomes: Vec<EndCount>,
}

impl AgentStatus {
    /// Datagrams dropped for a reason.
    #[must_use]
    pub fn dropped(&self, reason: DatagramDrop) -> u64 {
        self.drops
            .iter()
            .find(|entry| entry.reason == reason)
            .map_or(0, |entry| entry.count)
    }

    /// Requests that ended in a way.
    #[must_use]
    pub fn ended(&self, end: RequestEnd) -> u64 {
        self.request_outcomes
            .iter()
            .find(|entry| entry.outcome == end)
            .map_or(0, |entry| entry.count)
    }
}
