//! Zones that operators have excluded: their targets accept no new flows.
//!
//! The set is small, so nodes send the whole of it in every hello instead of fetching it.
//! Each set carries the store revision that it reflects. A node accepts only a set with a
//! greater revision than its own, so it never goes back to an older set, whichever way
//! and in whichever order sets arrive.

use std::collections::BTreeSet;

use borsh::{BorshDeserialize, BorshSerialize};

use super::identity::ZoneKey;

/// The excluded zones as of one store revision.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Default, Eq, PartialEq)]
pub struct ExcludedZones {
    /// Revision of the store; zero while nothing was read from the store.
    pub revision: u64,
    /// All zones that were excluded at this revision.
    pub zones: BTreeSet<ZoneKey>,
}

/// A change that excludes one zone or includes it again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ZoneChange {
    /// The zone.
    pub zone: ZoneKey,
    /// Whether the zone is excluded after the change.
    pub is_excluded: bool,
}

impl ExcludedZones {
    /// Accepts a set with a greater revision; returns whether the excluded zones changed.
    pub fn adopt(&mut self, next: &Self) -> bool {
        if next.revision <= self.revision {
            return false;
        }
        let differs = next.zones != self.zones;
        self.clone_from(next);
        differs
    }

    /// Whether the targets of a zone accept no new flows.
    #[must_use]
    pub fn excludes(&self, zone: ZoneKey) -> bool {
        self.zones.contains(&zone)
    }

    /// The set after applying changes in order.
    #[must_use]
    pub fn after(&self, changes: &[ZoneChange], revision: u64) -> Self {
        let mut zones = self.zones.clone();
        for change in changes {
            if change.is_excluded {
                zones.insert(change.zone);
            } else {
                zones.remove(&change.zone);
            }
        }
        Self { revision, zones }
    }
}
