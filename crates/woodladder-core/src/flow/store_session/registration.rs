//! Keeps a balancer's entry in the store alive.

use std::time::Duration;

use super::backoff::Backoff;
use super::{NextCall, StoreCall, StoreReply};
use crate::clock::Instant;

/// Time that an entry outlives its last renewal.
const LIFETIME: Duration = Duration::from_secs(20);
/// Renewals within one lifetime.
const RENEWALS: u32 = 4;
/// Time between two looks whether the balancer is to be entered.
const STAND_BY: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    WithoutLease,
    Unregistered { lease: u64 },
    Registered { lease: u64 },
    Ending { lease: u64 },
    Ended,
}

/// The registration of one balancer.
#[derive(Clone, Debug)]
pub struct BalancerRegistration {
    stage: Stage,
    lifetime: Duration,
    due_at: Instant,
    in_flight: bool,
    backoff: Backoff,
}

impl BalancerRegistration {
    /// A registration that begins at once.
    #[must_use]
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            stage: Stage::WithoutLease,
            lifetime: LIFETIME,
            due_at: now,
            in_flight: false,
            backoff: Backoff::new(seed),
        }
    }

    /// Whether the entry is believed to be there.
    #[must_use]
    pub fn is_registered(&self) -> bool {
        matches!(self.stage, Stage::Registered { .. })
    }

    /// Ends the entry as part of a planned stop.
    pub fn leave(&mut self, now: Instant) {
        self.stage = match self.stage {
            Stage::Unregistered { lease } | Stage::Registered { lease } => Stage::Ending { lease },
            Stage::WithoutLease => Stage::Ended,
            stage => stage,
        };
        self.due_at = now;
    }

    /// The next call; the caller passes its reply to [`Self::reply`]. A balancer
    /// that need not be entered (`wanted`) lets its lease run out.
    pub fn next(&mut self, wanted: bool, now: Instant) -> NextCall {
        if self.in_flight || self.stage == Stage::Ended {
            return NextCall::At(now + LIFETIME);
        }
        if now < self.due_at {
            return NextCall::At(self.due_at);
        }
        let is_ending = matches!(self.stage, Stage::Ending { .. });
        if !wanted && !is_ending {
            return NextCall::At(now + STAND_BY);
        }
        self.in_flight = true;
        NextCall::Now(match self.stage {
            Stage::WithoutLease | Stage::Ended => StoreCall::GrantLease { lifetime: LIFETIME },
            Stage::Unregistered { lease } => StoreCall::Register { lease },
            Stage::Registered { lease } => StoreCall::RenewLease { lease },
            Stage::Ending { lease } => StoreCall::EndLease { lease },
        })
    }

    /// Takes a reply in.
    pub fn reply(&mut self, reply: &StoreReply, now: Instant) {
        self.in_flight = false;
        match (reply, self.stage) {
            (_, Stage::Ending { .. } | Stage::Ended) => self.stage = Stage::Ended,
            (StoreReply::Refused | StoreReply::NoAnswer, _) => {
                self.due_at = now + self.backoff.failed();
            }
            (StoreReply::LeaseGone, _) => {
                self.stage = Stage::WithoutLease;
                self.due_at = now + self.backoff.failed();
            }
            (StoreReply::Lease { lease, lifetime }, Stage::WithoutLease) => {
                self.stage = Stage::Unregistered { lease: *lease };
                self.lifetime = *lifetime;
                self.succeeded(now, Duration::ZERO);
            }
            (StoreReply::Done, Stage::Unregistered { lease }) => {
                self.stage = Stage::Registered { lease };
                self.succeeded(now, self.lifetime / RENEWALS);
            }
            _ => self.succeeded(now, self.lifetime / RENEWALS),
        }
    }

    fn succeeded(&mut self, now: Instant, pause: Duration) {
        self.backoff.succeeded();
        self.due_at = now + self.backoff.spread(pause);
    }
}
