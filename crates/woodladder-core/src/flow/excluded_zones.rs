//! Zones whose targets take no new flows, by order of the operators.
//!
//! The set is small, so nodes tell each other the whole of it in every greeting
//! instead of fetching it. It carries the store's revision at which it was the
//! whole set; a node takes only a set of a greater revision than its own, and
//! so never goes back, whichever way and in whichever order sets reach it.

use std::collections::BTreeSet;

use borsh::{BorshDeserialize, BorshSerialize};

use super::identity::ZoneKey;

/// The excluded zones as the store held them at one revision.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Default, Eq, PartialEq)]
pub struct ExcludedZones {
    /// Revision of the store; zero while nothing of the store is known.
    pub revision: u64,
    /// All zones that were excluded then.
    pub zones: BTreeSet<ZoneKey>,
}

/// One zone was excluded, or is no longer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ZoneChange {
    /// The zone.
    pub zone: ZoneKey,
    /// Whether it is excluded from now on.
    pub is_excluded: bool,
}

impl ExcludedZones {
    /// Takes a set of a greater revision; says whether other zones are excluded
    /// now.
    pub fn adopt(&mut self, next: &Self) -> bool {
        if next.revision <= self.revision {
            return false;
        }
        let differs = next.zones != self.zones;
        self.clone_from(next);
        differs
    }

    /// Whether a zone's targets take no new flows.
    #[must_use]
    pub fn excludes(&self, zone: ZoneKey) -> bool {
        self.zones.contains(&zone)
    }

    /// The set after some changes, the latest last.
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
