//! Figures of a node by their names.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counters and gauges, each with a name in lower case with underscores. The
/// names of counters end with `_total`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Figures {
    by_name: BTreeMap<String, u64>,
}

impl Figures {
    /// No figures.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a figure; an earlier one of the same name is replaced.
    pub fn add(&mut self, name: impl Into<String>, value: u64) {
        self.by_name.insert(name.into(), value);
    }

    /// Adds all figures of another set.
    pub fn append(&mut self, other: Self) {
        self.by_name.extend(other.by_name);
    }

    /// The value of a figure.
    #[must_use]
    pub fn value(&self, name: &str) -> Option<u64> {
        self.by_name.get(name).copied()
    }

    /// Names and values, in the order of the names.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u64)> {
        let pairs = self.by_name.iter();
        pairs.map(|(name, value)| (name.as_str(), *value))
    }
}
