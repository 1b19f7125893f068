//! Probes of agents that wait for their answer.
//!
//! A probe that stays unanswered is repeated twice, the last time by way of
//! other nodes as well. The agent counts as unreachable only when this node
//! heard an answer of another one after that, and when it looked at its clock
//! in time: a node that was paused or cut off cannot judge others.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Instant;
use crate::identifier::TargetId;

/// Probes that are watched at the same time, at most.
pub const MAXIMUM_WATCHES: usize = 64;

/// Time for the answer to the first probe.
const FIRST_PATIENCE: Duration = Duration::from_millis(500);
/// Time for the answer to each of the others.
const NEXT_PATIENCE: Duration = Duration::from_millis(300);
/// A node that looks at its clock this much too late starts again.
const TIMER_TOLERANCE: Duration = Duration::from_millis(250);

/// How far the probing of an agent has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    First,
    Repeated,
    Assisted,
}

#[derive(Clone, Copy, Debug)]
struct Watch {
    target: TargetId,
    control_address: SocketAddr,
    stage: Stage,
    /// When the stage began.
    began: Instant,
    due: Instant,
}

/// What is to be done about an agent that has not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchStep {
    /// Probe it again.
    Repeat(SocketAddr),
    /// Probe it again, and ask other nodes to do so too.
    Assist(SocketAddr),
    /// The target's agent is unreachable.
    Unreachable(TargetId),
}

/// Probes that wait for their answer.
#[derive(Clone, Debug, Default)]
pub struct Watches {
    waiting: Vec<Watch>,
    answered: Option<Instant>,
}

impl Watches {
    /// Takes note of a probe; one that is watched already goes on as it is.
    pub fn probed(&mut self, target: TargetId, control_address: SocketAddr, now: Instant) {
        let is_watched = self
            .waiting
            .iter()
            .any(|watch| watch.control_address == control_address);
        if is_watched || self.waiting.len() >= MAXIMUM_WATCHES {
            return;
        }
        self.waiting.push(Watch {
            target,
            control_address,
            stage: Stage::First,
            began: now,
            due: now + FIRST_PATIENCE,
        });
    }

    /// Takes note that the node at an address is alive.
    pub fn alive(&mut self, control_address: SocketAddr) {
        self.waiting
            .retain(|watch| watch.control_address != control_address);
    }

    /// Takes note of an answer to this node by any other.
    pub fn answered(&mut self, now: Instant) {
        self.answered = Some(now);
    }

    /// Forgets all probes.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }

    /// When the next step is due.
    #[must_use]
    pub fn next(&self) -> Option<Instant> {
        self.waiting.iter().map(|watch| watch.due).min()
    }

    /// Steps that are due.
    pub fn take_due(&mut self, now: Instant) -> Vec<WatchStep> {
        let answered = self.answered;
        let mut steps = Vec::new();
        self.waiting.retain_mut(|watch| {
            if watch.due > now {
                return true;
            }
            let step = watch.step(answered, now);
            steps.push(step);
            !matches!(step, WatchStep::Unreachable(_))
        });
        steps
    }
}

impl Watch {
    fn step(&mut self, answered: Option<Instant>, now: Instant) -> WatchStep {
        let is_late = now.since(self.due) > TIMER_TOLERANCE;
        let may_judge = answered.is_some_and(|answered| answered >= self.began) && !is_late;
        match self.stage {
            Stage::First if !is_late => {
                self.advance(Stage::Repeated, now);
                WatchStep::Repeat(self.control_address)
            }
            Stage::Repeated if !is_late => {
                self.advance(Stage::Assisted, now);
                WatchStep::Assist(self.control_address)
            }
            Stage::Assisted if may_judge => WatchStep::Unreachable(self.target),
            Stage::First | Stage::Repeated | Stage::Assisted => {
                self.advance(Stage::First, now);
                WatchStep::Repeat(self.control_address)
            }
        }
    }

    fn advance(&mut self, stage: Stage, now: Instant) {
        self.stage = stage;
        self.began = now;
        self.due = now
            + match stage {
                Stage::First => FIRST_PATIENCE,
                Stage::Repeated | Stage::Assisted => NEXT_PATIENCE,
            };
    }
}
