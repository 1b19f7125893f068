//! Draws a plan of planned stops, pauses and rolls from a seed.

#![allow(dead_code, reason = "each test binary uses a part")]

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Targets of the deployment, by place; the first three are one service's.
pub const TARGETS: usize = 5;
/// Balancers of the deployment, by place.
pub const BALANCERS: usize = 4;
/// Changes of one plan.
const CHANGES: usize = 24;
/// Longest pause of a process; shorter than what makes a node distrust its state.
const LONGEST_PAUSE_MS: u64 = 700;

/// A process that can be stopped and paused.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Node {
    Agent(usize),
    Balancer(usize),
}

/// A change of the deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// SIGTERM. It may come while the process is paused or stops already.
    Stop(Node),
    /// SIGSTOP, and SIGCONT after this time.
    Pause(Node, Duration),
    /// A bundle in which this target leaves, or in which none does.
    Roll(Option<usize>),
}

/// A change and its time since the beginning.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedChange {
    pub at: Duration,
    pub change: Change,
}

/// Changes in the order of their times; several may come at nearly the same one.
pub fn plan(seed: u64, length: Duration) -> Vec<PlannedChange> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    let mut planned: Vec<PlannedChange> = (0..CHANGES)
        .map(|_| PlannedChange {
            at: Duration::from_millis(random.random_range(0..length_ms)),
            change: draw_change(&mut random),
        })
        .collect();
    planned.sort_by_key(|planned| planned.at);
    planned
}

fn draw_change(random: &mut ChaCha8Rng) -> Change {
    match random.random_range(0..10) {
        0..5 => Change::Stop(draw_node(random)),
        5..8 => {
            let pause_ms = random.random_range(20..LONGEST_PAUSE_MS);
            Change::Pause(draw_node(random), Duration::from_millis(pause_ms))
        }
        8 => Change::Roll(Some(random.random_range(0..TARGETS))),
        _ => Change::Roll(None),
    }
}

fn draw_node(random: &mut ChaCha8Rng) -> Node {
    if random.random_ratio(3, 4) {
        Node::Agent(random.random_range(0..TARGETS))
    } else {
        Node::Balancer(random.random_range(0..BALANCERS))
    }
}
