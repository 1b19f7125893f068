//! Values of a node's metrics, by name.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counters and gauges by name. Names are in lower case with underscores; those
/// of counters end in `_total`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Figures {
    by_name: BTreeMap<String, u64>,
}

impl Figures {
    /// An empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the value of a metric, replacing any earlier one.
    pub fn set(&mut self, name: impl Into<String>, value: u64) {
        self.by_name.insert(name.into(), value);
    }

    /// Sets all metrics of another set, replacing those of the same name.
    pub fn append(&mut self, other: Self) {
        self.by_name.extend(other.by_name);
    }

    /// The value of a metric.
    #[must_use]
    pub fn value(&self, name: &str) -> Option<u64> {
        self.by_name.get(name).copied()
    }

    /// Names and values, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u64)> {
        let pairs = self.by_name.iter();
        pairs.map(|(name, value)| (name.as_str(), *value))
    }
}
