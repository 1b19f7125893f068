//! What came of a soak, and whether every promise was kept.

use std::fmt;

use serde::Serialize;

/// What came of a soak.
#[derive(Clone, Debug, Serialize)]
pub struct SoakReport {
    /// The seed.
    pub seed: u64,
    /// Faults that struck.
    pub strikes: usize,
    /// Requests answered.
    pub answered: u64,
    /// Requests that found no answer while faults came.
    pub failed: u64,
    /// Requests that found no answer after all was healed.
    pub failed_when_calm: u64,
    /// Openings of probing callers that were judged.
    pub openings_judged: u64,
    /// Processes that ended by themselves.
    pub ended_by_themselves: Vec<u8>,
    /// Balancers that do not hold the last configuration at the end.
    pub behind: Vec<u8>,
    /// Promises that were broken.
    pub violations: Vec<String>,
}

impl SoakReport {
    /// Whether every promise was kept.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.violations.is_empty()
            && self.behind.is_empty()
            && self.ended_by_themselves.is_empty()
            && self.failed_when_calm == 0
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "seed {}: {} faults, answered {}, failed {} under faults and {} after",
            self.seed, self.strikes, self.answered, self.failed, self.failed_when_calm
        )?;
        if self.openings_judged > 0 {
            write!(formatter, ", judged {} openings", self.openings_judged)?;
        }
        for machine in &self.ended_by_themselves {
            write!(formatter, "\n  ended by itself: node-{machine}")?;
        }
        for machine in &self.behind {
            write!(
                formatter,
                "\n  without the last configuration: node-{machine}"
            )?;
        }
        for violation in &self.violations {
            write!(formatter, "\n  broken: {violation}")?;
        }
        Ok(())
    }
}
