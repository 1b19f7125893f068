//! A bounded table of flows that forgets the ones that rested longest.
//!
//! Two generations are kept: a flow that is used moves into the younger one,
//! and at each rotation the elder one is forgotten as a whole. A flow is kept
//! for at least one period after its last use, unless the table is full.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::identity::FlowKey;
use crate::clock::Instant;

/// Flows by key.
#[derive(Clone, Debug)]
pub struct FlowTable<V> {
    younger: FxHashMap<FlowKey, V>,
    elder: FxHashMap<FlowKey, V>,
    rotated_at: Instant,
    overflowed_at: Option<Instant>,
    period: Duration,
    capacity: usize,
}

impl<V> FlowTable<V> {
    /// An empty table that holds at most `capacity` flows and keeps each for
    /// at least `period` after its last use.
    #[must_use]
    pub fn new(capacity: usize, period: Duration) -> Self {
        Self {
            younger: FxHashMap::default(),
            elder: FxHashMap::default(),
            rotated_at: Instant::ORIGIN,
            overflowed_at: None,
            period,
            capacity: capacity.max(2),
        }
    }

    /// Flows held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.younger.len() + self.elder.len()
    }

    /// Whether no flow is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.younger.is_empty() && self.elder.is_empty()
    }

    /// When flows were last forgotten early because the table was full.
    #[must_use]
    pub fn overflowed_at(&self) -> Option<Instant> {
        self.overflowed_at
    }

    /// The value of a flow; counts as a use.
    pub fn touch(&mut self, key: &FlowKey) -> Option<&mut V> {
        if let Some(value) = self.elder.remove(key) {
            self.younger.insert(*key, value);
        }
        self.younger.get_mut(key)
    }

    /// The value of a flow, without counting as a use.
    #[must_use]
    pub fn peek(&self, key: &FlowKey) -> Option<&V> {
        self.younger.get(key).or_else(|| self.elder.get(key))
    }

    /// Adds or replaces a flow.
    pub fn insert(&mut self, key: FlowKey, value: V, now: Instant) {
        self.elder.remove(&key);
        if self.younger.len() >= self.capacity / 2 && !self.younger.contains_key(&key) {
            if !self.elder.is_empty() {
                self.overflowed_at = Some(now);
            }
            self.rotate(now);
        }
        self.younger.insert(key, value);
    }

    /// Forgets a flow.
    pub fn remove(&mut self, key: &FlowKey) -> Option<V> {
        self.younger.remove(key).or_else(|| self.elder.remove(key))
    }

    /// All flows.
    pub fn iter(&self) -> impl Iterator<Item = (&FlowKey, &V)> {
        self.younger.iter().chain(self.elder.iter())
    }

    /// All flows, to be changed; does not count as a use.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&FlowKey, &mut V)> {
        self.younger.iter_mut().chain(self.elder.iter_mut())
    }

    /// Keeps only the flows for which `keep` holds.
    pub fn retain(&mut self, mut keep: impl FnMut(&FlowKey, &mut V) -> bool) {
        self.younger.retain(&mut keep);
        self.elder.retain(&mut keep);
    }

    /// Forgets what has rested for a whole period.
    pub fn tick(&mut self, now: Instant) {
        if now.since(self.rotated_at) >= self.period {
            self.rotate(now);
        }
    }

    fn rotate(&mut self, now: Instant) {
        self.elder = std::mem::take(&mut self.younger);
        self.rotated_at = now;
    }
}
