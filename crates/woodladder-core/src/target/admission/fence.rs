//! The fence against outdated balancers: a new flow is not admitted when its
//! balancer used a configuration that was replaced too long ago.
//!
//! A roll is in force on every node within [`FENCE_GRACE`], so a balancer that
//! still uses an earlier one was frozen or cut off from the others.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;
use crate::identifier::Sequence;

/// Time after this agent adopted a roll within which every node that is neither
/// frozen nor cut off is expected to have adopted the roll as well.
pub const FENCE_GRACE: Duration = Duration::from_secs(11);

/// Most adoptions that are kept. Beyond that the second oldest is dropped: the
/// oldest stays, because it may be the only one past the grace.
const MAXIMUM_ADOPTIONS: usize = 16;

#[derive(Clone, Copy, Debug)]
struct Adoption {
    sequence: Sequence,
    adopted_at: Instant,
}

/// When this agent adopted which sequence, as far back as needed.
#[derive(Clone, Debug, Default)]
pub(super) struct Fence {
    /// In order of time. Each call of [`Fence::adopt`] keeps the latest adoption that
    /// is older than the grace and all later ones, up to [`MAXIMUM_ADOPTIONS`], and
    /// drops those before.
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
