//! A bounded table of flows that forgets the least recently used ones.
//!
//! The table keeps two generations of at most half the capacity each. Using a flow moves it
//! into the young generation, if that has room; each rotation forgets the old generation as
//! a whole. A flow is kept for at least one period after its last use, unless the table is
//! full. The table knows since when it may lack flows that are still in use.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::identity::FlowKey;
use crate::clock::Instant;

/// Values by flow.
#[derive(Clone, Debug)]
pub struct FlowTable<V> {
    young: FxHashMap<FlowKey, V>,
    old: FxHashMap<FlowKey, V>,
    rotated_at: Instant,
    /// When flows were last forgotten, for whatever reason.
    forgotten_at: Option<Instant>,
    overflowed_at: Option<Instant>,
    /// Whether flows of the old generation have been used and found no room in the young
    /// one.
    is_old_in_use: bool,
    period: Duration,
    capacity: usize,
}

impl<V> FlowTable<V> {
    /// An empty table that holds at most `capacity` flows and keeps each for at least
    /// `period` after its last use.
    #[must_use]
    pub fn new(capacity: usize, period: Duration) -> Self {
        Self {
            young: FxHashMap::default(),
            old: FxHashMap::default(),
            rotated_at: Instant::ORIGIN,
            forgotten_at: None,
            overflowed_at: None,
            is_old_in_use: false,
            period,
            capacity: capacity.max(2),
        }
    }

    /// Number of flows in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether the table holds no flow.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.young.is_empty() && self.old.is_empty()
    }

    /// Changes the period. Flows that were forgotten under a shorter one count as forgotten
    /// early.
    pub fn set_period(&mut self, period: Duration) {
        if period > self.period {
            self.overflowed_at = self.overflowed_at.max(self.forgotten_at);
        }
        self.period = period;
    }

    /// When flows were last forgotten early: before the period that holds now had passed
    /// since their last use.
    #[must_use]
    pub fn overflowed_at(&self) -> Option<Instant> {
        self.overflowed_at
    }

    /// Records that flows were forgotten for another reason than a full table.
    pub fn mark_incomplete(&mut self, now: Instant) {
        self.overflowed_at = Some(now);
    }

    /// The value of a flow; counts as a use.
    pub fn touch(&mut self, key: &FlowKey) -> Option<&mut V> {
        if self.young.len() >= self.capacity / 2 && self.old.contains_key(key) {
            self.is_old_in_use = true;
            return self.old.get_mut(key);
        }
        if let Some(value) = self.old.remove(key) {
            self.young.insert(*key, value);
        }
        self.young.get_mut(key)
    }

    /// The value of a flow; does not count as a use.
    #[must_use]
    pub fn peek(&self, key: &FlowKey) -> Option<&V> {
        self.young.get(key).or_else(|| self.old.get(key))
    }

    /// Adds or replaces a flow.
    pub fn insert(&mut self, key: FlowKey, value: V, now: Instant) {
        self.old.remove(&key);
        if self.young.len() >= self.capacity / 2 && !self.young.contains_key(&key) {
            self.is_old_in_use = true;
            self.rotate(now);
        }
        self.young.insert(key, value);
    }

    /// Removes a flow.
    pub fn remove(&mut self, key: &FlowKey) -> Option<V> {
        self.young.remove(key).or_else(|| self.old.remove(key))
    }

    /// All flows.
    pub fn iter(&self) -> impl Iterator<Item = (&FlowKey, &V)> {
        self.young.iter().chain(self.old.iter())
    }

    /// All flows, mutable; does not count as a use.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&FlowKey, &mut V)> {
        self.young.iter_mut().chain(self.old.iter_mut())
    }

    /// Keeps only the flows for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&FlowKey, &mut V) -> bool) {
        self.young.retain(&mut keep);
        self.old.retain(&mut keep);
    }

    /// Rotates the generations once per period.
    pub fn tick(&mut self, now: Instant) {
        if now.since(self.rotated_at) >= self.period {
            self.rotate(now);
        }
    }

    fn rotate(&mut self, now: Instant) {
        if !self.old.is_empty() {
            self.forgotten_at = Some(now);
            if self.is_old_in_use {
                self.overflowed_at = Some(now);
            }
        }
        self.is_old_in_use = false;
        self.old = std::mem::take(&mut self.young);
        self.rotated_at = now;
    }
}
