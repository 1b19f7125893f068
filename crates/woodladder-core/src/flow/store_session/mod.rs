//! Which calls a node makes to the store, and when.
//!
//! Three state machines have at most one call in flight each: the watch of the
//! configuration, the registration of a balancer under a lease, and the list of
//! balancers. Others are [`super::flow_record::session`] and
//! [`super::leaving_record::session`]. If the store is slow, down or
//! refuses this node, calls are retried with growing pauses, and the node continues with
//! what it knows.

mod backoff;
mod discovery;
mod registration;
mod watch;

use std::collections::BTreeSet;
use std::time::Duration;

use super::configuration::Configuration;
use super::excluded_zones::ZoneChange;
use super::identity::{NodeAddress, ZoneKey};

pub(super) use backoff::Backoff;
pub use discovery::{BalancerDiscovery, ListNeed};
pub use registration::BalancerRegistration;
pub use watch::{ConfigurationWatch, OperatorState};

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Read the current configuration and excluded zones.
    ReadConfiguration,
    /// Wait until the configuration or the excluded zones change after a revision.
    AwaitConfiguration {
        /// Last known revision of the store.
        after: u64,
        /// Longest time to wait.
        wait: Duration,
    },
    /// Request a new lease.
    GrantLease {
        /// Time for which the lease is valid after each renewal.
        lifetime: Duration,
    },
    RenewLease {
        lease: u64,
    },
    /// Revoke a lease, which deletes the entries under it.
    EndLease {
        lease: u64,
    },
    /// Write the entry of this balancer under a lease.
    Register {
        lease: u64,
    },
    /// Read the entries of all balancers.
    ListBalancers {
        /// Whether the answer may be some seconds old, which costs the store less.
        stale: bool,
    },
    /// Read the flow record of this balancer.
    ReadFlowRecord,
    /// Write the flow record of this balancer.
    WriteFlowRecord {
        /// Revision that the entry must have; zero if there must be no entry.
        revision: u64,
        /// The encoded record.
        bytes: Vec<u8>,
    },
    /// Read the leaving record of this agent.
    ReadLeavingRecord,
    /// Write or remove the leaving record of this agent.
    WriteLeavingRecord {
        /// Revision that the entry must have; zero if there must be no entry.
        revision: u64,
        /// The encoded record; `None` to remove it.
        bytes: Option<Vec<u8>>,
    },
}

/// Names of the call kinds in metrics.
pub const CALL_KINDS: [&str; 11] = [
    "read_configuration",
    "await_configuration",
    "grant_lease",
    "renew_lease",
    "end_lease",
    "register",
    "list_balancers",
    "read_flow_record",
    "write_flow_record",
    "read_leaving_record",
    "write_leaving_record",
];

impl StoreCall {
    /// Index of the call's kind in [`CALL_KINDS`].
    #[must_use]
    pub fn kind_index(&self) -> usize {
        match self {
            Self::ReadConfiguration => 0,
            Self::AwaitConfiguration { .. } => 1,
            Self::GrantLease { .. } => 2,
            Self::RenewLease { .. } => 3,
            Self::EndLease { .. } => 4,
            Self::Register { .. } => 5,
            Self::ListBalancers { .. } => 6,
            Self::ReadFlowRecord => 7,
            Self::WriteFlowRecord { .. } => 8,
            Self::ReadLeavingRecord => 9,
            Self::WriteLeavingRecord { .. } => 10,
        }
    }
}

/// What an answer of the store states about the excluded zones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ZoneUpdate {
    /// All excluded zones.
    All(BTreeSet<ZoneKey>),
    /// The changes since the requested revision, in order.
    Changes(Vec<ZoneChange>),
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The state that the operators have written.
    OperatorState {
        /// The configuration; `None` if it has not changed, does not exist or cannot be
        /// read.
        configuration: Option<Configuration>,
        /// All excluded zones, or their changes.
        zones: ZoneUpdate,
        /// Revision of the store.
        revision: u64,
    },
    /// The store no longer has the history since the requested revision.
    HistoryGone,
    /// A lease was granted or renewed.
    Lease {
        lease: u64,
        /// Time for which the lease is valid.
        lifetime: Duration,
    },
    /// The lease no longer exists.
    LeaseGone,
    /// The write took effect.
    Done,
    /// The registered balancers.
    Balancers(Vec<NodeAddress>),
    /// The record of this node that was read.
    Record {
        /// The encoded record; `None` if there is none.
        value: Option<Vec<u8>>,
        /// Revision of its last change; zero if there is no record.
        revision: u64,
    },
    /// The record was written or removed.
    RecordWritten {
        /// New revision of the record.
        revision: u64,
    },
    /// The record does not have the expected revision; nothing was written.
    RecordChanged {
        /// Current revision of the record; zero if there is none.
        revision: u64,
    },
    /// The store refused the call for now; it had no effect.
    Refused,
    /// No answer arrived. A write may have taken effect, or may still do so.
    NoAnswer,
}

/// A call that is due, or the time at which to ask again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NextCall {
    /// Make this call now.
    Now(StoreCall),
    /// Make no call before this time.
    At(crate::clock::Instant),
}
