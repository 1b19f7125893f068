//! What a run measures, and how runs are added up.

use std::time::Duration;

use hdrhistogram::Histogram;
use woodladder_core::identifier::ServiceId;

/// Digits kept by histograms.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Greatest time to an answer that is told apart, in microseconds.
const GREATEST_ANSWER_TIME: u64 = 1_000_000_000;
/// Greatest imbalance that is told apart, in thousandths.
const GREATEST_IMBALANCE: u64 = 100_000;
/// Units of imbalance in a histogram per one.
const IMBALANCE_UNITS: f64 = 1000.0;
/// Least mean of busy slots over slots at which imbalance is sampled: below it
/// a single request decides the figure.
pub const IMBALANCE_FLOOR: f64 = 0.2;

/// Flows of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlowCounts {
    /// Established.
    pub established: u64,
    /// Established and broken.
    pub broken: u64,
}

/// What one run, or several added up, measured.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Flows that last.
    pub feeds: FlowCounts,
    /// Flows of one request.
    pub requests: FlowCounts,
    /// Answers that callers got.
    pub answers: u64,
    /// Requests refused as not run; callers come back.
    pub refusals: u64,
    /// Callers that stopped coming back.
    pub abandoned: u64,
    /// Packets sent again because a dead balancer got them, or an agent that
    /// does not know their flow.
    pub retransmitted: u64,
    /// Steps that new flows took from one agent to the next.
    pub handed_on: u64,
    /// Time from the first attempt to the first answer, in microseconds.
    pub first_answer: Histogram<u64>,
    /// Imbalance of each service.
    pub services: Vec<ServiceOutcome>,
}

/// Imbalance of one service.
#[derive(Clone, Debug)]
pub struct ServiceOutcome {
    /// The service.
    pub service: ServiceId,
    /// Maximum over mean of busy slots over slots, in thousandths.
    pub imbalance: Histogram<u64>,
    /// Samples left out because the mean was below [`IMBALANCE_FLOOR`].
    pub below_floor: u64,
}

impl Outcome {
    /// Nothing measured yet, for these services.
    #[must_use]
    pub fn new(services: &[ServiceId]) -> Self {
        Self {
            feeds: FlowCounts::default(),
            requests: FlowCounts::default(),
            answers: 0,
            refusals: 0,
            abandoned: 0,
            retransmitted: 0,
            handed_on: 0,
            first_answer: histogram(GREATEST_ANSWER_TIME),
            services: services.iter().copied().map(ServiceOutcome::new).collect(),
        }
    }

    /// Adds the figures of another run with the same services.
    pub fn add(&mut self, other: &Self) {
        self.feeds.add(other.feeds);
        self.requests.add(other.requests);
        self.answers += other.answers;
        self.refusals += other.refusals;
        self.abandoned += other.abandoned;
        self.retransmitted += other.retransmitted;
        self.handed_on += other.handed_on;
        merge(&mut self.first_answer, &other.first_answer);
        for (own, other) in self.services.iter_mut().zip(&other.services) {
            merge(&mut own.imbalance, &other.imbalance);
            own.below_floor += other.below_floor;
        }
    }

    /// Records the time to a first answer.
    pub fn record_first_answer(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.first_answer.saturating_record(micros);
    }
}

impl FlowCounts {
    fn add(&mut self, other: Self) {
        self.established += other.established;
        self.broken += other.broken;
    }
}

impl ServiceOutcome {
    fn new(service: ServiceId) -> Self {
        Self {
            service,
            imbalance: histogram(GREATEST_IMBALANCE),
            below_floor: 0,
        }
    }

    /// Takes in the shares of busy slots of all active targets at one instant.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "shares are small and not negative"
    )]
    pub fn sample(&mut self, shares: impl ExactSizeIterator<Item = f64> + Clone) {
        let count = shares.len().max(1);
        let mean = shares.clone().sum::<f64>() / count as f64;
        if mean < IMBALANCE_FLOOR {
            self.below_floor += 1;
            return;
        }
        let most = shares.fold(0.0, f64::max);
        let value = (most / mean * IMBALANCE_UNITS).round() as u64;
        self.imbalance.saturating_record(value);
    }

    /// Imbalance at a quantile; `None` without samples.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "histogram values are small")]
    pub fn imbalance_at(&self, quantile: f64) -> Option<f64> {
        if self.imbalance.is_empty() {
            return None;
        }
        Some(self.imbalance.value_at_quantile(quantile) as f64 / IMBALANCE_UNITS)
    }
}

fn histogram(greatest: u64) -> Histogram<u64> {
    match Histogram::new_with_bounds(1, greatest, SIGNIFICANT_DIGITS) {
        Ok(histogram) => histogram,
        Err(problem) => unreachable!("the bounds are constants that the library allows: {problem}"),
    }
}

fn merge(own: &mut Histogram<u64>, other: &Histogram<u64>) {
    for value in other.iter_recorded() {
        own.saturating_record_n(value.value_iterated_to(), value.count_at_value());
    }
}
