//! The fence: new flows by a configuration that was replaced too long ago are
//! not admitted.
//!
//! A roll is in force everywhere within [`FENCE_GRACE`], so a balancer that
//! still holds an earlier one has been frozen or cut off.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;
use crate::identifier::Sequence;

/// Time that a roll has to reach every node.
pub const FENCE_GRACE: Duration = Duration::from_secs(11);

/// Most adoptions within the grace that are told apart.
const MAXIMUM_ADOPTIONS: usize = 16;

#[derive(Clone, Copy, Debug)]
struct Adoption {
    sequence: Sequence,
    at: Instant,
}

/// Adoptions in their order, as far as they matter.
#[derive(Clone, Debug, Default)]
pub(super) struct Fence {
    /// The first is the latest one older than the grace, when there is one.
    adoptions: VecDeque<Adoption>,
}

impl Fence {
    pub(super) fn adopt(&mut self, sequence: Sequence, now: Instant) {
        while self.adoptions.get(1).is_some_and(|next| settled(next, now)) {
            self.adoptions.pop_front();
        }
        if self.adoptions.len() == MAXIMUM_ADOPTIONS {
            self.adoptions.remove(1);
        }
        self.adoptions.push_back(Adoption { sequence, at: now });
    }

    /// Whether a sequence is less than one in force for longer than the grace.
    pub(super) fn is_stale(&self, sequence: Sequence, now: Instant) -> bool {
        self.adoptions
            .iter()
            .any(|adoption| adoption.sequence > sequence && settled(adoption, now))
    }
}

fn settled(adoption: &Adoption, now: Instant) -> bool {
    now.since(adoption.at) > FENCE_GRACE
}
