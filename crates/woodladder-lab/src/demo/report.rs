//! What the demo found, for people and as one JSON object.

use std::fmt;

use serde::Serialize;

use super::imbalance::Imbalance;
use crate::stand_in::oracle::{Totals, Violation};

/// Violations printed in full; the rest is counted.
const VIOLATIONS_SHOWN: usize = 10;

/// Result of the whole demo.
#[derive(Debug, Default, Serialize)]
pub struct DemoReport {
    /// Whether every promise was kept.
    pub kept: bool,
    /// Time from the first process to the last, in seconds.
    pub seconds: f64,
    /// Each deployment.
    pub deployments: Vec<DeploymentReport>,
}

/// Result of one deployment.
#[derive(Debug, Default, Serialize)]
pub struct DeploymentReport {
    /// Name of the deployment.
    pub deployment: String,
    /// Established event streams that broke.
    pub broken_feeds: usize,
    /// Event streams that were never established.
    pub feeds_not_opened: usize,
    /// Requests that reached another service's back end.
    pub wrong_service: usize,
    /// Requests that were cut.
    pub cut_requests: usize,
    /// Operations that may not be repeated and ran more than once.
    pub double_runs: usize,
    /// Counts over all attempts.
    pub totals: Totals,
    /// Every broken promise that the logs show.
    pub violations: Vec<Violation>,
    /// Planned stops and rolls that went wrong.
    pub failures: Vec<String>,
    /// Each service.
    pub services: Vec<ServiceReport>,
}

/// Result of one service.
#[derive(Debug, Default, Serialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: String,
    /// Its imbalance during the surge.
    pub imbalance: Imbalance,
}

impl DeploymentReport {
    /// Whether every promise was kept.
    #[must_use]
    pub fn kept(&self) -> bool {
        self.violations.is_empty() && self.failures.is_empty() && self.feeds_not_opened == 0
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for deployment in &self.deployments {
            write!(formatter, "{deployment}")?;
        }
        let verdict = if self.kept {
            "every promise kept"
        } else {
            "a promise was broken"
        };
        writeln!(formatter, "demo: {verdict} ({:.1} s)", self.seconds)
    }
}

impl fmt::Display for DeploymentReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let totals = &self.totals;
        writeln!(formatter, "{}:", self.deployment)?;
        writeln!(
            formatter,
            "  feeds {} (broken {}, never opened {}, moved {})",
            totals.feeds, self.broken_feeds, self.feeds_not_opened, totals.feed_moves
        )?;
        writeln!(
            formatter,
            "  requests answered {}, refused (not run) {}, unknown {}, other answers {}",
            totals.answered, totals.not_run, totals.unknown, totals.refused
        )?;
        writeln!(
            formatter,
            "  wrong-service requests {}, cut requests {}, double runs {}, executions {}",
            self.wrong_service, self.cut_requests, self.double_runs, totals.executions
        )?;
        for service in &self.services {
            let imbalance = &service.imbalance;
            writeln!(
                formatter,
                "  {}: imbalance median {:.2}, p99 {:.2} (mean load {:.2}, {} samples)",
                service.service,
                imbalance.median,
                imbalance.p99,
                imbalance.mean_load,
                imbalance.samples
            )?;
        }
        for failure in &self.failures {
            writeln!(formatter, "  failure: {failure}")?;
        }
        for violation in self.violations.iter().take(VIOLATIONS_SHOWN) {
            writeln!(formatter, "  violation: {violation:?}")?;
        }
        let hidden = self.violations.len().saturating_sub(VIOLATIONS_SHOWN);
        if hidden > 0 {
            writeln!(formatter, "  and {hidden} more violations")?;
        }
        Ok(())
    }
}
