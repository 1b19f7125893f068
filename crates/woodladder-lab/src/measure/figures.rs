//! Figures worked out of outcomes: what reports print.

use serde::Serialize;

use super::change::ChangeKind;
use super::experiment::{Case, Outcomes, SeedRange};
use super::outcome::{FlowCounts, IMBALANCE_FLOOR, Outcome, ServiceOutcome};
use super::way::Way;
use super::workload::Workload;

const MEDIAN: f64 = 0.5;
const NINETY_NINTH: f64 = 0.99;
const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;
/// Points of a distribution that plots show.
const CURVE_POINTS: u32 = 200;

/// All figures of the flow-level comparison.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Seeds of the runs.
    pub seeds: SeedRange,
    /// Least mean of busy slots over slots at which imbalance was sampled.
    pub imbalance_floor: f64,
    /// Imbalance by service and way; over all planned changes together, and by
    /// change.
    pub imbalance: Vec<ImbalanceFigure>,
    /// Answers by workload and way, over all planned changes.
    pub answers: Vec<AnswerFigure>,
    /// Broken flows by workload, change and way.
    pub broken: Vec<BrokenFigure>,
}

/// Imbalance of one service.
#[derive(Clone, Debug, Serialize)]
pub struct ImbalanceFigure {
    /// Callers' doing.
    pub workload: Workload,
    /// Name of the service.
    pub service: &'static str,
    /// The change; absent over all planned changes.
    pub change: Option<ChangeKind>,
    /// How flows were placed.
    pub way: Way,
    /// Samples.
    pub samples: u64,
    /// Samples left out because the mean was below the floor.
    pub below_floor: u64,
    /// Median.
    pub median: Option<f64>,
    /// 99th percentile.
    pub p99: Option<f64>,
    /// The 99th percentile over that of the omniscient assignment.
    pub p99_over_bound: Option<f64>,
    /// Values at even steps of the quantile from zero to one.
    #[serde(skip)]
    pub curve: Vec<f64>,
}

/// Answers of one workload.
#[derive(Clone, Debug, Serialize)]
pub struct AnswerFigure {
    /// Callers' doing.
    pub workload: Workload,
    /// How flows were placed.
    pub way: Way,
    /// Answers that callers got.
    pub answers: u64,
    /// Median time to the first answer in milliseconds, refused attempts
    /// included.
    pub median: f64,
    /// 99th percentile of it in milliseconds.
    pub p99: f64,
    /// Refusals as not run, after which callers came back.
    pub refusals: u64,
    /// Callers that stopped coming back.
    pub abandoned: u64,
    /// Packets sent again because a dead balancer got them, or an agent that
    /// does not know their flow.
    pub retransmitted: u64,
    /// Steps from agent to agent per established flow.
    pub handed_on_per_flow: f64,
}

/// Broken established flows under one change.
#[derive(Clone, Debug, Serialize)]
pub struct BrokenFigure {
    /// Callers' doing.
    pub workload: Workload,
    /// What changed.
    pub change: ChangeKind,
    /// Whether operators plan such a change.
    pub planned: bool,
    /// How flows were placed.
    pub way: Way,
    /// Feeds that were established.
    pub feeds: u64,
    /// Of these, broken.
    pub broken_feeds: u64,
    /// Flows of one request that were established.
    pub requests: u64,
    /// Of these, broken.
    pub broken_requests: u64,
}

impl Figures {
    /// Works the figures out.
    #[must_use]
    pub fn new(seeds: SeedRange, outcomes: &Outcomes) -> Self {
        let planned = planned_together(outcomes);
        let mut imbalance = Vec::new();
        for (case, outcome) in &planned {
            imbalance_figures(*case, None, outcome, &planned, &mut imbalance);
        }
        for (case, outcome) in outcomes {
            imbalance_figures(*case, Some(case.change), outcome, outcomes, &mut imbalance);
        }
        Self {
            seeds,
            imbalance_floor: IMBALANCE_FLOOR,
            imbalance,
            answers: planned.iter().map(answer_figure).collect(),
            broken: outcomes.iter().map(broken_figure).collect(),
        }
    }

    /// Imbalance over all planned changes together.
    pub fn planned_imbalance(&self) -> impl Iterator<Item = &ImbalanceFigure> {
        self.imbalance
            .iter()
            .filter(|figure| figure.change.is_none())
    }

    /// Established flows broken by planned changes under the chosen way.
    #[must_use]
    pub fn broken_as_planned(&self) -> u64 {
        let chosen = self.broken.iter();
        chosen
            .filter(|figure| figure.planned && figure.way == Way::Chosen)
            .map(|figure| figure.broken_feeds + figure.broken_requests)
            .sum()
    }
}

/// Outcomes added up over the planned changes; the change of each case is
/// [`ChangeKind::Together`].
fn planned_together(outcomes: &Outcomes) -> Outcomes {
    let mut together = Outcomes::new();
    for (case, outcome) in outcomes {
        if !case.change.is_planned() {
            continue;
        }
        let key = Case {
            change: ChangeKind::Together,
            ..*case
        };
        match together.get_mut(&key) {
            Some(known) => known.add(outcome),
            None => {
                together.insert(key, outcome.clone());
            }
        }
    }
    together
}

fn imbalance_figures(
    case: Case,
    change: Option<ChangeKind>,
    outcome: &Outcome,
    among: &Outcomes,
    figures: &mut Vec<ImbalanceFigure>,
) {
    let bound_case = Case {
        way: Way::Omniscient,
        ..case
    };
    let bound = among.get(&bound_case);
    let plans = &case.workload.deployment().services;
    for (index, service) in outcome.services.iter().enumerate() {
        let p99 = service.imbalance_at(NINETY_NINTH);
        let bound = bound
            .and_then(|outcome| outcome.services.get(index))
            .and_then(|service| service.imbalance_at(NINETY_NINTH));
        figures.push(ImbalanceFigure {
            workload: case.workload,
            service: plans.get(index).map_or("", |plan| plan.name),
            change,
            way: case.way,
            samples: service.imbalance.len(),
            below_floor: service.below_floor,
            median: service.imbalance_at(MEDIAN),
            p99,
            p99_over_bound: p99.zip(bound).map(|(own, bound)| own / bound),
            curve: curve(service),
        });
    }
}

fn curve(service: &ServiceOutcome) -> Vec<f64> {
    (0..=CURVE_POINTS)
        .filter_map(|point| service.imbalance_at(f64::from(point) / f64::from(CURVE_POINTS)))
        .collect()
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn answer_figure((case, outcome): (&Case, &Outcome)) -> AnswerFigure {
    let milliseconds = |quantile| {
        outcome.first_answer.value_at_quantile(quantile) as f64 / MICROSECONDS_PER_MILLISECOND
    };
    let established = outcome.feeds.established + outcome.requests.established;
    AnswerFigure {
        workload: case.workload,
        way: case.way,
        answers: outcome.answers,
        median: milliseconds(MEDIAN),
        p99: milliseconds(NINETY_NINTH),
        refusals: outcome.refusals,
        abandoned: outcome.abandoned,
        retransmitted: outcome.retransmitted,
        handed_on_per_flow: outcome.handed_on as f64 / established.max(1) as f64,
    }
}

fn broken_figure((case, outcome): (&Case, &Outcome)) -> BrokenFigure {
    let FlowCounts {
        established: feeds,
        broken: broken_feeds,
    } = outcome.feeds;
    let FlowCounts {
        established: requests,
        broken: broken_requests,
    } = outcome.requests;
    BrokenFigure {
        workload: case.workload,
        change: case.change,
        planned: case.change.is_planned(),
        way: case.way,
        feeds,
        broken_feeds,
        requests,
        broken_requests,
    }
}
