//! Faults which a back end can be told to show.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// What the health endpoint tells.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthFault {
    /// The truth.
    #[default]
    Honest,
    /// "live" always.
    AlwaysLive,
    /// "draining" always.
    AlwaysDraining,
    /// Status 500 always.
    Failing,
}

/// What the load endpoint tells.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "mode")]
pub enum LoadFault {
    /// The truth.
    #[default]
    Honest,
    /// The truth of some time ago.
    Lagging {
        /// How long ago, in milliseconds.
        lag_ms: u64,
    },
    /// A made-up number.
    Lying {
        /// The number of busy slots to tell.
        busy: usize,
    },
}

/// Faults in force. The default is none. Chances are from zero to one.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackEndFault {
    /// No request is answered and no feed ticks.
    pub frozen: bool,
    /// Delay of each answer after the run, in milliseconds.
    pub answer_delay_ms: u64,
    /// Chance that an answer ends in its middle.
    pub half_answer: f64,
    /// Chance that the connection closes before the run.
    pub close_before_run: f64,
    /// Chance that the connection closes after the run, without an answer.
    pub close_after_run: f64,
    /// Chance that a request is shed though a slot is free.
    pub shed: f64,
    /// What the health endpoint tells.
    pub health: HealthFault,
    /// What the load endpoint tells.
    pub load: LoadFault,
}

/// Faults drawn for one request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct RequestFault {
    pub(super) half_answer: bool,
    pub(super) close_before_run: bool,
    pub(super) close_after_run: bool,
    pub(super) shed: bool,
}

impl BackEndFault {
    pub(super) fn draw(&self, generator: &mut ChaCha8Rng) -> RequestFault {
        RequestFault {
            half_answer: happens(self.half_answer, generator),
            close_before_run: happens(self.close_before_run, generator),
            close_after_run: happens(self.close_after_run, generator),
            shed: happens(self.shed, generator),
        }
    }
}

fn happens(chance: f64, generator: &mut ChaCha8Rng) -> bool {
    generator.random::<f64>() < chance
}
