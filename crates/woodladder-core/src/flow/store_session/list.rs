//! Finds the balancers through the store.

use std::time::Duration;

use super::super::identity::NodeAddress;
use super::backoff::Backoff;
use super::{NextCall, StoreCall, StoreReply};
use crate::clock::Instant;

/// Time between lists while other balancers are heard: a safeguard only.
const USUAL_PAUSE: Duration = Duration::from_secs(60);
/// Time between lists while none is heard.
const URGENT_PAUSE: Duration = Duration::from_millis(600);
/// Longest time after its start in which a node leaves it to balancers to greet it:
/// some reports to those that the settings name.
const OTHERS_FIRST_FOR: Duration = Duration::from_millis(600);
/// Lists of old answers before a fresh one is asked for.
const STALE_LISTS: u32 = 2;

/// What a node needs the list for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListNeed {
    /// It hears no balancer.
    Urgent,
    /// It hears some, and makes sure for all nodes that there are no others which
    /// nobody here knows.
    Safeguard,
    /// It hears some, and others make sure.
    Nothing,
}

/// The list of balancers.
#[derive(Clone, Debug)]
pub struct BalancerDiscovery {
    due_at: Instant,
    in_flight: bool,
    urgent_lists: u32,
    need: ListNeed,
    may_be_stale: bool,
    /// Whether the store has answered a list.
    was_listed: bool,
    backoff: Backoff,
}

impl BalancerDiscovery {
    /// A list that is read at once; `may_be_stale` when the first answers may
    /// be some seconds old.
    #[must_use]
    pub fn new(seed: u64, may_be_stale: bool, now: Instant) -> Self {
        Self {
            due_at: now,
            in_flight: false,
            urgent_lists: 0,
            need: ListNeed::Urgent,
            may_be_stale,
            was_listed: false,
            backoff: Backoff::new(seed),
        }
    }

    /// A list that is read only when the node has heard no balancer for some time
    /// after its start: those that the settings name or that know the node already
    /// greet it within a few milliseconds, and a start of everything costs no call.
    #[must_use]
    pub fn with_initial_delay(seed: u64, now: Instant) -> Self {
        let mut list = Self::new(seed, true, now);
        list.due_at = now + list.backoff.spread(OTHERS_FIRST_FOR);
        list
    }

    /// Says what the node needs the list for now.
    pub fn set_need(&mut self, need: ListNeed, now: Instant) {
        let was_urgent = self.need == ListNeed::Urgent;
        let is_urgent = need == ListNeed::Urgent;
        if is_urgent && !was_urgent {
            self.urgent_lists = 0;
            self.due_at = now + self.backoff.spread(URGENT_PAUSE);
        }
        let was_put_off = now < self.due_at;
        if was_urgent && !is_urgent && (self.was_listed || was_put_off) {
            // What is known already has led to a balancer that lives.
            self.due_at = now + self.backoff.spread(USUAL_PAUSE);
        }
        self.need = need;
    }

    fn is_urgent(&self) -> bool {
        self.need == ListNeed::Urgent
    }

    /// The next call; the caller passes its reply to [`Self::reply`].
    pub fn next(&mut self, now: Instant) -> NextCall {
        if self.in_flight {
            return NextCall::At(now + USUAL_PAUSE);
        }
        if now < self.due_at {
            return NextCall::At(self.due_at);
        }
        if self.need == ListNeed::Nothing {
            return NextCall::At(now + USUAL_PAUSE);
        }
        self.in_flight = true;
        let is_safeguard = !self.is_urgent() && self.was_listed;
        let may_begin_stale =
            self.may_be_stale && self.urgent_lists % (STALE_LISTS + 1) < STALE_LISTS;
        let stale = is_safeguard || may_begin_stale;
        NextCall::Now(StoreCall::ListBalancers { stale })
    }

    /// Takes a reply in and returns the balancers that it brought.
    pub fn reply(&mut self, reply: StoreReply, now: Instant) -> Vec<NodeAddress> {
        self.in_flight = false;
        self.urgent_lists = self.urgent_lists.wrapping_add(1);
        match reply {
            StoreReply::Balancers(balancers) => {
                self.backoff.succeeded();
                self.was_listed = true;
                let pause = if self.is_urgent() {
                    URGENT_PAUSE
                } else {
                    USUAL_PAUSE
                };
                self.due_at = now + self.backoff.spread(pause);
                balancers
            }
            _ => {
                let pause = self.backoff.failed();
                self.due_at = now + pause;
                if !self.is_urgent() {
                    // It is not needed now, and the store has refused it.
                    self.due_at = now + self.backoff.spread(USUAL_PAUSE);
                }
                Vec::new()
            }
        }
    }
}
