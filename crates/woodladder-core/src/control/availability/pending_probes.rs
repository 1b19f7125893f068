//! Probes of agents that have not been answered yet.
//!
//! An unanswered probe is repeated twice, the second time also through other
//! nodes. An agent counts as unreachable only if this node has received an
//! answer from another node since the last repetition and has checked its
//! timers in time. A node that was paused or cut off cannot tell which other
//! nodes fail to answer.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Instant;
use crate::identifier::TargetId;

/// Largest number of probes that are tracked at the same time.
pub const MAXIMUM_PENDING_PROBES: usize = 64;

/// Time to wait for the answer to the first probe.
const FIRST_PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time to wait for the answer to each repeated probe.
const REPEATED_PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// If the timers are checked later than this after a deadline, the probing of
/// the agent goes back to its first stage.
const MAXIMUM_TIMER_DELAY: Duration = Duration::from_millis(250);

/// Stage of the probing of one agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    First,
    Repeated,
    RepeatedIndirectly,
}

#[derive(Clone, Copy, Debug)]
struct PendingProbe {
    target: TargetId,
    control_address: SocketAddr,
    stage: Stage,
    /// When the stage began.
    stage_began: Instant,
    deadline: Instant,
}

/// Next step for an agent that has not answered in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeStep {
    /// Send the probe again.
    Repeat(SocketAddr),
    /// Send the probe again, and ask other nodes to probe the agent too.
    RepeatIndirectly(SocketAddr),
    /// Consider the target's agent unreachable.
    Unreachable(TargetId),
}

/// Probes that have not been answered yet.
#[derive(Clone, Debug, Default)]
pub struct PendingProbes {
    pending: Vec<PendingProbe>,
    last_answer: Option<Instant>,
}

impl PendingProbes {
    /// Starts to track a probe. A probe of the same agent that is tracked
    /// already keeps its stage.
    pub fn track(&mut self, target: TargetId, control_address: SocketAddr, now: Instant) {
        let is_tracked = self
            .pending
            .iter()
            .any(|probe| probe.control_address == control_address);
        if is_tracked || self.pending.len() >= MAXIMUM_PENDING_PROBES {
            return;
        }
        self.pending.push(PendingProbe {
            target,
            control_address,
            stage: Stage::First,
            stage_began: now,
            deadline: now + FIRST_PROBE_TIMEOUT,
        });
    }

    /// Stops tracking probes of the node at this address, because the node is
    /// alive.
    pub fn record_alive(&mut self, control_address: SocketAddr) {
        self.pending
            .retain(|probe| probe.control_address != control_address);
    }

    /// Records that any other node answered this node.
    pub fn record_answer(&mut self, now: Instant) {
        self.last_answer = Some(now);
    }

    /// Stops tracking all probes.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    /// When the next deadline expires.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        self.pending.iter().map(|probe| probe.deadline).min()
    }

    /// Returns the next step for each probe whose deadline has expired. Stops
    /// tracking the probes of agents that now count as unreachable.
    pub fn take_due(&mut self, now: Instant) -> Vec<ProbeStep> {
        let last_answer = self.last_answer;
        let mut steps = Vec::new();
        self.pending.retain_mut(|probe| {
            if probe.deadline > now {
                return true;
            }
            let step = probe.next_step(last_answer, now);
            steps.push(step);
            !matches!(step, ProbeStep::Unreachable(_))
        });
        steps
    }
}

impl PendingProbe {
    /// Moves the probe to its next stage and returns what is to be done. After
    /// the last stage, the agent counts as unreachable if any node has answered
    /// this node since that stage began. Otherwise, and after any stage whose
    /// deadline was checked too late, the probing goes back to its first stage.
    fn next_step(&mut self, last_answer: Option<Instant>, now: Instant) -> ProbeStep {
        let is_delayed = now.since(self.deadline) > MAXIMUM_TIMER_DELAY;
        let proves_unreachable =
            last_answer.is_some_and(|answered_at| answered_at >= self.stage_began) && !is_delayed;
        match self.stage {
            Stage::First if !is_delayed => {
                self.advance(Stage::Repeated, now);
                ProbeStep::Repeat(self.control_address)
            }
            Stage::Repeated if !is_delayed => {
                self.advance(Stage::RepeatedIndirectly, now);
                ProbeStep::RepeatIndirectly(self.control_address)
            }
            Stage::RepeatedIndirectly if proves_unreachable => ProbeStep::Unreachable(self.target),
            Stage::First | Stage::Repeated | Stage::RepeatedIndirectly => {
                self.advance(Stage::First, now);
                ProbeStep::Repeat(self.control_address)
            }
        }
    }

    fn advance(&mut self, stage: Stage, now: Instant) {
        self.stage = stage;
        self.stage_began = now;
        self.deadline = now
            + match stage {
                Stage::First => FIRST_PROBE_TIMEOUT,
                Stage::Repeated | Stage::RepeatedIndirectly => REPEATED_PROBE_TIMEOUT,
            };
    }
}
