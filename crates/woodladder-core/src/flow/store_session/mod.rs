//! What a node asks of the store on this carrier, and when.
//!
//! Three small machines, each with at most one call under way: the watch of
//! the configuration, the registration of a balancer under a lease, and the
//! list of balancers. A fourth is [`super::flow_record::session`]. A store that is slow, down or that refuses this node
//! costs retries with growing pauses; what the node holds stays in use.

mod backoff;
mod list;
mod registration;
mod watch;

use std::collections::BTreeSet;
use std::time::Duration;

use super::configuration::Configuration;
use super::excluded_zones::ZoneChange;
use super::identity::{NodeAddress, ZoneKey};

pub(super) use backoff::Backoff;
pub use list::{BalancerDiscovery, ListNeed};
pub use registration::BalancerRegistration;
pub use watch::{ConfigurationWatch, OperatorState};

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Read the configuration and the excluded zones as they are now.
    ReadConfiguration,
    /// Wait until one of them changes after a revision.
    AwaitConfiguration {
        /// Revision of the store that is known.
        after: u64,
        /// Longest wait.
        wait: Duration,
    },
    /// Ask for a lease.
    GrantLease {
        /// Time that it runs after each renewal.
        lifetime: Duration,
    },
    /// Renew a lease.
    RenewLease {
        /// The lease.
        lease: u64,
    },
    /// End a lease and the entries under it.
    EndLease {
        /// The lease.
        lease: u64,
    },
    /// Enter this balancer under a lease.
    Register {
        /// The lease.
        lease: u64,
    },
    /// Read the entries of all balancers.
    ListBalancers {
        /// Whether an answer may be some seconds old, which costs the store
        /// less.
        stale: bool,
    },
    /// Read this balancer's record of flows.
    ReadFlowRecord,
    /// Write this balancer's record of flows.
    WriteFlowRecord {
        /// Revision that the entry must have; zero when there must be none.
        revision: u64,
        /// The record.
        bytes: Vec<u8>,
    },
}

/// Kinds of calls, for counts.
pub const CALL_KINDS: [&str; 9] = [
    "read_configuration",
    "await_configuration",
    "grant_lease",
    "renew_lease",
    "end_lease",
    "register",
    "list_balancers",
    "read_flow_record",
    "write_flow_record",
];

impl StoreCall {
    /// Place of the call's kind in [`CALL_KINDS`].
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
        }
    }
}

/// What an answer of the store says of the excluded zones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ZoneUpdate {
    /// These are all.
    All(BTreeSet<ZoneKey>),
    /// These have changed since the revision asked for, the latest last.
    Changes(Vec<ZoneChange>),
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// What the operators have written.
    OperatorState {
        /// The configuration; `None` when it has not changed, is missing or cannot
        /// be read.
        configuration: Option<Configuration>,
        /// What is known of the excluded zones.
        zones: ZoneUpdate,
        /// Revision of the store.
        revision: u64,
    },
    /// The store no longer knows what happened after the revision asked for.
    HistoryGone,
    /// A lease, granted or renewed.
    Lease {
        /// The lease.
        lease: u64,
        /// Time that it runs.
        lifetime: Duration,
    },
    /// There is no such lease any more.
    LeaseGone,
    /// The write took effect.
    Done,
    /// The balancers entered.
    Balancers(Vec<NodeAddress>),
    /// This balancer's record of flows.
    FlowRecord {
        /// Its bytes; `None` when there is none.
        value: Option<Vec<u8>>,
        /// Revision of its last change; zero when there is none.
        revision: u64,
    },
    /// The record of flows was written.
    FlowRecordWritten {
        /// Its revision now.
        revision: u64,
    },
    /// The record of flows has another revision than was expected; nothing was done.
    FlowRecordChanged {
        /// Its revision; zero when there is none.
        revision: u64,
    },
    /// The store refuses for now; nothing was done.
    Refused,
    /// No answer came; a write may have taken effect, or may yet.
    NoAnswer,
}

/// A call that is due, or when to ask again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NextCall {
    /// Make this call now.
    Now(StoreCall),
    /// Nothing before this time.
    At(crate::clock::Instant),
}
