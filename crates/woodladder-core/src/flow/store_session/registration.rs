//! Keeps the store entry of a balancer alive.

use std::time::Duration;

use super::backoff::Backoff;
use super::{NextCall, StoreCall, StoreReply};
use crate::clock::Instant;

/// Time for which an entry outlives its last renewal.
const LEASE_LIFETIME: Duration = Duration::from_secs(20);
/// Least number of renewals per lifetime: each pause is randomized between half and the
/// whole of the lifetime divided by this number.
const RENEWALS_PER_LIFETIME: u32 = 4;
/// Polling interval while the balancer need not be registered.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    WithoutLease,
    Unregistered { lease: u64 },
    Registered { lease: u64 },
    Ending { lease: u64 },
    Ended,
}

/// Schedules the calls that register one balancer.
#[derive(Clone, Debug)]
pub struct BalancerRegistration {
    stage: Stage,
    lifetime: Duration,
    due_at: Instant,
    is_in_flight: bool,
    backoff: Backoff,
}

impl BalancerRegistration {
    /// A registration whose first call, the request for a lease, is due at once.
    #[must_use]
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            stage: Stage::WithoutLease,
            lifetime: LEASE_LIFETIME,
            due_at: now,
            is_in_flight: false,
            backoff: Backoff::new(seed),
        }
    }

    /// Whether the last write of the entry succeeded and its lease is not known to be lost.
    #[must_use]
    pub fn is_registered(&self) -> bool {
        matches!(self.stage, Stage::Registered { .. })
    }

    /// Revokes the lease as part of a planned stop.
    pub fn leave(&mut self, now: Instant) {
        self.stage = match self.stage {
            Stage::Unregistered { lease } | Stage::Registered { lease } => Stage::Ending { lease },
            Stage::WithoutLease => Stage::Ended,
            stage => stage,
        };
        self.due_at = now;
    }

    /// The next call; the caller passes its reply to [`Self::reply`]. While `is_wanted` is
    /// false, the balancer need not be registered and lets its lease expire.
    pub fn next(&mut self, is_wanted: bool, now: Instant) -> NextCall {
        if self.is_in_flight || self.stage == Stage::Ended {
            return NextCall::At(now + LEASE_LIFETIME);
        }
        if now < self.due_at {
            return NextCall::At(self.due_at);
        }
        let is_ending = matches!(self.stage, Stage::Ending { .. });
        if !is_wanted && !is_ending {
            return NextCall::At(now + POLL_INTERVAL);
        }
        self.is_in_flight = true;
        NextCall::Now(match self.stage {
            Stage::WithoutLease | Stage::Ended => StoreCall::GrantLease {
                lifetime: LEASE_LIFETIME,
            },
            Stage::Unregistered { lease } => StoreCall::Register { lease },
            Stage::Registered { lease } => StoreCall::RenewLease { lease },
            Stage::Ending { lease } => StoreCall::EndLease { lease },
        })
    }

    /// Handles a reply.
    pub fn reply(&mut self, reply: &StoreReply, now: Instant) {
        self.is_in_flight = false;
        match (reply, self.stage) {
            (_, Stage::Ending { .. } | Stage::Ended) => self.stage = Stage::Ended,
            (StoreReply::Refused | StoreReply::NoAnswer, _) => {
                self.due_at = now + self.backoff.next_pause();
            }
            (StoreReply::LeaseGone, _) => {
                self.stage = Stage::WithoutLease;
                self.due_at = now + self.backoff.next_pause();
            }
            (StoreReply::Lease { lease, lifetime }, Stage::WithoutLease) => {
                self.stage = Stage::Unregistered { lease: *lease };
                self.lifetime = *lifetime;
                self.schedule_after_success(now, Duration::ZERO);
            }
            (StoreReply::Done, Stage::Unregistered { lease }) => {
                self.stage = Stage::Registered { lease };
                self.schedule_after_success(now, self.lifetime / RENEWALS_PER_LIFETIME);
            }
            _ => self.schedule_after_success(now, self.lifetime / RENEWALS_PER_LIFETIME),
        }
    }

    fn schedule_after_success(&mut self, now: Instant, pause: Duration) {
        self.backoff.reset();
        self.due_at = now + self.backoff.randomize(pause);
    }
}
