//! Costs a node, a change and a restart, worked out from courses.

use std::fmt;

use serde::Serialize;

use super::scenario::Scenario;
use super::{DeploymentFigures, ScenarioFigures};

const SECONDS_A_DAY: f64 = 86_400.0;
/// Changes and restarts of an ordinary day of the design size, and its nodes.
const CHANGES_A_DAY: f64 = 1_600.0;
const RESTARTS_A_DAY: f64 = 2_413.0;
/// A starting node's bytes pass another node too, which sends them.
const NODES_PER_PULL: f64 = 2.0;

/// Costs of one deployment's mean node.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Slopes {
    /// Nodes in the deployment.
    pub nodes: usize,
    /// Bytes a second while nothing changes.
    pub steady_bytes_per_second: f64,
    /// Share of a core while nothing changes.
    pub steady_processor_share: f64,
    /// Bytes of one change at one node.
    pub bytes_per_change: f64,
    /// Processor seconds of one change at one node.
    pub processor_seconds_per_change: f64,
    /// Bytes of one restart at the node that restarts.
    pub bytes_per_restart: f64,
    /// Bytes a second on an ordinary day of the design size.
    pub day_bytes_per_second: f64,
    /// Share of a core on such a day.
    pub day_processor_share: f64,
}

impl Slopes {
    /// The slopes, when the courses that they need were run.
    #[must_use]
    pub fn of(figures: &DeploymentFigures) -> Option<Self> {
        let find = |wanted| {
            let mut courses = figures.scenarios.iter();
            courses.find(|known| known.scenario == wanted)
        };
        let steady = find(Scenario::Steady)?;
        let changes = find(Scenario::Changes)?;
        let restarts = find(Scenario::Restarts)?;
        Some(Self::from_courses(figures, steady, changes, restarts))
    }

    #[allow(clippy::cast_precision_loss)]
    fn from_courses(
        figures: &DeploymentFigures,
        steady: &ScenarioFigures,
        changes: &ScenarioFigures,
        restarts: &ScenarioFigures,
    ) -> Self {
        let nodes = figures.size.nodes();
        let rolls = changes.rolls.max(1) as f64;
        let per_change =
            |with: f64, without: f64| (with - without) * changes.virtual_seconds / rolls;
        let without_list =
            |course: &ScenarioFigures| course.bytes_per_second - course.list_bytes_per_second;
        let bytes_per_change = per_change(without_list(changes), without_list(steady));
        let processor_seconds_per_change =
            per_change(changes.processor_share, steady.processor_share);
        let bytes_per_restart = restarts.bytes_until_ready;
        let change_bytes = CHANGES_A_DAY * bytes_per_change / SECONDS_A_DAY;
        let restart_bytes = RESTARTS_A_DAY * bytes_per_restart * NODES_PER_PULL
            / nodes.max(1) as f64
            / SECONDS_A_DAY;
        let change_share = CHANGES_A_DAY * processor_seconds_per_change / SECONDS_A_DAY;
        Self {
            nodes,
            steady_bytes_per_second: steady.bytes_per_second,
            steady_processor_share: steady.processor_share,
            bytes_per_change,
            processor_seconds_per_change,
            bytes_per_restart,
            day_bytes_per_second: steady.bytes_per_second + change_bytes + restart_bytes,
            day_processor_share: steady.processor_share + change_share,
        }
    }
}

impl fmt::Display for Slopes {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} nodes: steady {:.0} B/s and {:.4}% of a core a node; a change {:.0} B and \
             {:.2} ms; a restart {:.0} KB; an ordinary day {:.0} B/s and {:.4}% of a core",
            self.nodes,
            self.steady_bytes_per_second,
            self.steady_processor_share * 100.0,
            self.bytes_per_change,
            self.processor_seconds_per_change * 1000.0,
            self.bytes_per_restart / 1024.0,
            self.day_bytes_per_second,
            self.day_processor_share * 100.0,
        )
    }
}
