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
/// Lists of old answers before a fresh one is asked for.
const STALE_LISTS: u32 = 2;

/// The list of balancers.
#[derive(Clone, Debug)]
pub struct BalancerList {
    due_at: Instant,
    in_flight: bool,
    urgent_lists: u32,
    hears_balancers: bool,
    may_be_stale: bool,
    /// Whether the store has answered a list.
    was_listed: bool,
    backoff: Backoff,
}

impl BalancerList {
    /// A list that is read at once; `may_be_stale` when the first answers may
    /// be some seconds old.
    #[must_use]
    pub fn new(seed: u64, may_be_stale: bool, now: Instant) -> Self {
        Self {
            due_at: now,
            in_flight: false,
            urgent_lists: 0,
            hears_balancers: false,
            may_be_stale,
            was_listed: false,
            backoff: Backoff::new(seed),
        }
    }

    /// Says whether the node hears any balancer by itself.
    pub fn hears_balancers(&mut self, hears: bool, now: Instant) {
        if self.hears_balancers && !hears {
            self.urgent_lists = 0;
            self.due_at = now + self.backoff.spread(URGENT_PAUSE);
        }
        if hears && !self.hears_balancers && self.was_listed {
            // What was listed has led to a balancer that lives.
            self.due_at = now + self.backoff.spread(USUAL_PAUSE);
        }
        self.hears_balancers = hears;
    }

    /// The next call; the caller passes its reply to [`Self::reply`].
    pub fn next(&mut self, now: Instant) -> NextCall {
        if self.in_flight {
            return NextCall::At(now + USUAL_PAUSE);
        }
        if now < self.due_at {
            return NextCall::At(self.due_at);
        }
        self.in_flight = true;
        let is_safeguard = self.hears_balancers && self.was_listed;
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
                let pause = if self.hears_balancers {
                    USUAL_PAUSE
                } else {
                    URGENT_PAUSE
                };
                self.due_at = now + self.backoff.spread(pause);
                balancers
            }
            _ => {
                let pause = self.backoff.failed();
                self.due_at = now + pause;
                if self.hears_balancers {
                    // It is not needed now, and the store has refused it.
                    self.due_at = now + self.backoff.spread(USUAL_PAUSE);
                }
                Vec::new()
            }
        }
    }
}
