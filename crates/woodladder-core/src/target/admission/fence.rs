//! The fence against outdated balancers: a new flow is not admitted when its
//! balancer used a configuration that was replaced too long ago.
//!
//! A roll is in force on every node within [`FENCE_GRACE`], so a balancer that
//! still uses an earlier one was paused or cut off from the others.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;
use crate::identifier::Sequence;

/// Time after this agent adopted a roll within which every node that is neither
/// paused nor cut off is expected to have adopted the roll as well.
pub const FENCE_GRACE: Duration = Duration::from_secs(11);

/// Most adoptions that are kept. Beyond that the second oldest is dropped: the
/// oldest stays, because it may be the only one past the grace.
const MAXIMUM_ADOPTIONS: usize = 16;

#[derive(Clone, Copy, Debug)]
struct Adoption {
    sequence: Sequence,
    adopted_at: Instant,
}

/// Sequences that this agent adopted with the times of adoption, as far back as
/// [`Fence::is_stale`] needs them.
#[derive(Clone, Debug, Default)]
pub(super) struct Fence {
    /// Adoptions, earliest first. [`Fence::adopt`] removes all adoptions before the
    /// latest one that is older than [`FENCE_GRACE`], because the sequence of that
    /// one is enough to detect balancers that use an earlier one. The list has at
    /// most [`MAXIMUM_ADOPTIONS`] entries.
    adoptions: VecDeque<Adoption>,
}

impl Fence {
    pub(super) fn adopt(&mut self, sequence: Sequence, now: Instant) {
        while self
            .adoptions
            .get(1)
            .is_some_and(|next| is_past_grace(next, now))
        {
            self.adoptions.pop_front();
        }
        if self.adoptions.len() == MAXIMUM_ADOPTIONS {
            self.adoptions.remove(1);
        }
        self.adoptions.push_back(Adoption {
            sequence,
            adopted_at: now,
        });
    }

    /// Whether this agent adopted a later sequence longer ago than the grace.
    pub(super) fn is_stale(&self, sequence: Sequence, now: Instant) -> bool {
        self.adoptions
            .iter()
            .any(|adoption| adoption.sequence > sequence && is_past_grace(adoption, now))
    }
}

fn is_past_grace(adoption: &Adoption, now: Instant) -> bool {
    now.since(adoption.adopted_at) > FENCE_GRACE
}
