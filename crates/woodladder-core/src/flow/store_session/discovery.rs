//! Discovers the balancers through the store.

use std::time::Duration;

use super::super::identity::NodeAddress;
use super::backoff::Backoff;
use super::{NextCall, StoreCall, StoreReply};
use crate::clock::Instant;

/// Longest time between two reads of the list while other balancers are heard, when the list
/// is only a safeguard. Each pause is randomized between half of this time and the whole.
const SAFEGUARD_INTERVAL: Duration = Duration::from_secs(60);
/// Longest time between two reads of the list while no balancer is heard; randomized likewise.
const URGENT_INTERVAL: Duration = Duration::from_millis(600);
/// Longest time after its start for which an agent waits for hellos before it reads a list:
/// enough for the agent to send several reports to the balancers that the settings name.
const HELLO_AWAITED_FOR: Duration = Duration::from_millis(600);
/// Consecutive lists that may be stale before a fresh one is read.
const MAXIMUM_STALE_LISTS: u32 = 2;

/// What a node needs the list for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListNeed {
    /// The node hears no balancer.
    Urgent,
    /// The node hears some balancers. On behalf of all nodes, this node checks whether the
    /// store lists balancers that no node knows.
    Safeguard,
    /// The node hears some balancers, and other nodes do that check.
    Nothing,
}

/// Schedules when a node reads the list of balancers.
#[derive(Clone, Debug)]
pub struct BalancerDiscovery {
    due_at: Instant,
    is_in_flight: bool,
    replies_since_urgent: u32,
    need: ListNeed,
    may_be_stale: bool,
    /// Whether the store has ever answered with a list.
    has_listed: bool,
    backoff: Backoff,
}

impl BalancerDiscovery {
    /// A session that reads a list at once. With `may_be_stale`, the first answers may be
    /// some seconds old.
    #[must_use]
    pub fn new(seed: u64, may_be_stale: bool, now: Instant) -> Self {
        Self {
            due_at: now,
            is_in_flight: false,
            replies_since_urgent: 0,
            need: ListNeed::Urgent,
            may_be_stale,
            has_listed: false,
            backoff: Backoff::new(seed),
        }
    }

    /// A session that reads a list only if the node has heard no balancer for some time
    /// after its start. Balancers that the settings name, or that already know the node,
    /// send it a hello within a few milliseconds, so a start of the whole fleet costs no
    /// store call.
    #[must_use]
    pub fn with_initial_delay(seed: u64, now: Instant) -> Self {
        let mut discovery = Self::new(seed, true, now);
        discovery.due_at = now + discovery.backoff.randomize(HELLO_AWAITED_FOR);
        discovery
    }

    /// Sets what the node needs the list for now.
    pub fn set_need(&mut self, need: ListNeed, now: Instant) {
        let was_urgent = self.need == ListNeed::Urgent;
        let is_urgent = need == ListNeed::Urgent;
        if is_urgent && !was_urgent {
            self.replies_since_urgent = 0;
            self.due_at = now + self.backoff.randomize(URGENT_INTERVAL);
        }
        let is_delayed = now < self.due_at;
        if was_urgent && !is_urgent && (self.has_listed || is_delayed) {
            // A balancer is heard now, so the next list is only a safeguard.
            self.due_at = now + self.backoff.randomize(SAFEGUARD_INTERVAL);
        }
        self.need = need;
    }

    fn is_urgent(&self) -> bool {
        self.need == ListNeed::Urgent
    }

    /// The next call; the caller passes its reply to [`Self::reply`].
    pub fn next(&mut self, now: Instant) -> NextCall {
        if self.is_in_flight {
            return NextCall::At(now + SAFEGUARD_INTERVAL);
        }
        if now < self.due_at {
            return NextCall::At(self.due_at);
        }
        if self.need == ListNeed::Nothing {
            return NextCall::At(now + SAFEGUARD_INTERVAL);
        }
        self.is_in_flight = true;
        let is_safeguard = !self.is_urgent() && self.has_listed;
        let may_still_be_stale = self.may_be_stale
            && self.replies_since_urgent % (MAXIMUM_STALE_LISTS + 1) < MAXIMUM_STALE_LISTS;
        let stale = is_safeguard || may_still_be_stale;
        NextCall::Now(StoreCall::ListBalancers { stale })
    }

    /// Handles a reply and returns the balancers that it lists.
    pub fn reply(&mut self, reply: StoreReply, now: Instant) -> Vec<NodeAddress> {
        self.is_in_flight = false;
        self.replies_since_urgent = self.replies_since_urgent.wrapping_add(1);
        match reply {
            StoreReply::Balancers(balancers) => {
                self.backoff.reset();
                self.has_listed = true;
                let pause = if self.is_urgent() {
                    URGENT_INTERVAL
                } else {
                    SAFEGUARD_INTERVAL
                };
                self.due_at = now + self.backoff.randomize(pause);
                balancers
            }
            _ => {
                let pause = self.backoff.next_pause();
                self.due_at = now + pause;
                if !self.is_urgent() {
                    // The node hears balancers, so the list is not urgent: the retry waits
                    // for a safeguard interval instead of the shorter backoff pause.
                    self.due_at = now + self.backoff.randomize(SAFEGUARD_INTERVAL);
                }
                Vec::new()
            }
        }
    }
}
