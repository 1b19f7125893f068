//! Until when the present start of a target is known to have run, which tells its flows
//! from those of the start that replaces it.
//!
//! A message may arrive after its sender has ended and the next start has taken flows, so
//! its arrival alone does not show that the sender runs. Proof is:
//!
//! - A heartbeat, for the time at which it was due by the ones before it: a late one was
//!   sent then. Of the first two, the earlier one counts if the later one does not arrive
//!   together with it: the later one was sent after the earlier one had been answered.
//! - A packet of a flow that the start took. Only the process that took a flow sends
//!   packets of it, and the target's packets arrive in order, so the start has taken every
//!   flow that the target had accepted by then.
//! - The last heartbeat, if the next start's number 1 came so much later that its number 2
//!   would have overtaken it. A start that was heard for a moment only has no flow to speak
//!   of before it, so number 1 of the next one is enough there.
//!
//! Nothing counts that arrives after the first message of the next start: by then the start
//! had ended.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::target::succession::{FIRST_SEQUENCE, MINIMUM_ALIVE_SPAN};
use crate::flow::agent::{Agent, FlowState, Heartbeat, SuccessionEvidence, TargetFlow};
use crate::flow::identity::{FlowKey, Incarnation};
use crate::flow::target_restart::SILENCE_BEFORE_SUPERSEDED;

/// Number of other starts whose first message is remembered.
const MAXIMUM_OTHER_STARTS: usize = 16;
/// Number of heartbeats from which the time is computed at which the next one is due. At
/// least one of them must have arrived in time.
const KEPT_ARRIVALS: usize = 5;
/// Number of heartbeat intervals in [`SILENCE_BEFORE_SUPERSEDED`].
const INTERVALS_OF_SILENCE: u32 = 2;
/// Time by which a report may reach a balancer later than the acceptance of a flow does.
const REPORT_DELAY_ALLOWANCE: Duration = Duration::from_millis(500);

/// Until when the start before the present one is known to have run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum FormerLife {
    /// The agent has not seen another start before the present one.
    #[default]
    NoneSeen,
    /// The agent has heard the former start, and nothing shows when it ran.
    Unproven,
    /// The former start ran at these times.
    Proven {
        /// The latest time that is known.
        ran_at: Instant,
        /// The time to compare with the moments at which balancers learned of flows.
        reported_at: Instant,
    },
}

/// What shows until when a start has run.
#[derive(Clone, Copy, Debug, Default)]
struct SignsOfLife {
    last_heartbeat_at: Option<Instant>,
    /// Latest time at which its heartbeats show it to have run, whatever start follows.
    sent_heartbeat_at: Option<Instant>,
    /// Arrival of the newest packet that counts as proof.
    packet_at: Option<Instant>,
}

/// Another start than the present one.
#[derive(Clone, Copy, Debug)]
struct OtherStart {
    incarnation: Incarnation,
    /// Number of its first heartbeat that arrived.
    sequence: u64,
    heard_at: Instant,
    /// Signs of the present start before that heartbeat.
    signs_before: SignsOfLife,
}

/// The latest heartbeats of a start, by number and arrival, oldest first.
#[derive(Clone, Debug, Default)]
struct HeartbeatArrivals {
    kept: VecDeque<(u64, Instant)>,
}

/// Until when the present start is known to have run.
#[derive(Clone, Debug, Default)]
pub(crate) struct LifeProof {
    signs: SignsOfLife,
    arrivals: HeartbeatArrivals,
    others: Vec<OtherStart>,
}

impl FormerLife {
    /// Whether the start may have ended by this time, as far as is known.
    pub(crate) fn may_have_ended_by(self, at: Instant) -> bool {
        match self {
            Self::Proven { ran_at, .. } => at > ran_at,
            Self::Unproven | Self::NoneSeen => true,
        }
    }

    /// Age of the proof in reports, in milliseconds.
    pub(crate) fn reported_age_ms(self, now: Instant) -> u32 {
        match self {
            Self::NoneSeen => 0,
            Self::Unproven => u32::MAX,
            Self::Proven { reported_at, .. } => {
                u32::try_from(now.since(reported_at).as_millis()).unwrap_or(u32::MAX)
            }
        }
    }
}

impl SignsOfLife {
    /// When the start last ran, by its heartbeats.
    fn shown_by_heartbeats(&self, next: &NextStart) -> Option<Instant> {
        let last_counted = self.last_heartbeat_at.filter(|at| next.began_after(*at));
        self.sent_heartbeat_at.max(last_counted)
    }

    fn former_life(&self, next: &NextStart) -> FormerLife {
        let heartbeat_at = self.shown_by_heartbeats(next);
        let ran_at = heartbeat_at.max(self.packet_at);
        let packet_reported_at = self
            .packet_at
            .and_then(|at| at.since_origin().checked_sub(REPORT_DELAY_ALLOWANCE))
            .map(Instant::from_origin);
        match (ran_at, heartbeat_at.max(packet_reported_at)) {
            (Some(ran_at), Some(reported_at)) => FormerLife::Proven {
                ran_at,
                reported_at,
            },
            _ => FormerLife::Unproven,
        }
    }
}

/// The start that has replaced another one.
#[derive(Clone, Copy, Debug)]
struct NextStart {
    first_message: OtherStart,
    evidence: SuccessionEvidence,
}

impl NextStart {
    /// Whether it began after a heartbeat of the one before it had arrived.
    fn began_after(&self, heartbeat_at: Instant) -> bool {
        let interval = SILENCE_BEFORE_SUPERSEDED / INTERVALS_OF_SILENCE;
        let is_overtaken = self.first_message.heard_at.since(heartbeat_at) < interval;
        let was_heard_once = self.evidence == SuccessionEvidence::HeardOnce;
        self.first_message.sequence <= FIRST_SEQUENCE && (was_heard_once || !is_overtaken)
    }
}

impl HeartbeatArrivals {
    fn record(&mut self, sequence: u64, now: Instant) {
        if self.kept.len() >= KEPT_ARRIVALS {
            self.kept.pop_front();
        }
        self.kept.push_back((sequence, now));
    }

    /// A time by which the sender of a heartbeat that arrives now had not sent it yet.
    fn earliest_sending(&self, sequence: u64, now: Instant) -> Option<Instant> {
        let Some(interval) = self.usual_interval() else {
            let (_, before) = *self.kept.back()?;
            return (now.since(before) >= MINIMUM_ALIVE_SPAN).then_some(before);
        };
        let due_after = |(number, at): &(u64, Instant)| {
            let count = u32::try_from(sequence.saturating_sub(*number)).unwrap_or(u32::MAX);
            *at + interval.saturating_mul(count).min(now.since(*at))
        };
        self.kept.iter().map(due_after).min()
    }

    /// Median of the times between two heartbeats, the lower one of two; `None` for less than
    /// two heartbeats.
    fn usual_interval(&self) -> Option<Duration> {
        let pairs = self.kept.iter().zip(self.kept.iter().skip(1));
        let interval = |((number, at), (next, next_at)): (&(u64, Instant), &(u64, Instant))| {
            let count = u32::try_from(next.saturating_sub(*number)).unwrap_or(u32::MAX);
            next_at.since(*at) / count.max(1)
        };
        let mut intervals: Vec<Duration> = pairs.map(interval).collect();
        intervals.sort_unstable();
        let middle = intervals.len().checked_sub(1)? / 2;
        intervals.get(middle).copied()
    }
}

impl LifeProof {
    /// Records a heartbeat of the start that is newer than all before.
    pub(crate) fn record_heartbeat(&mut self, sequence: u64, now: Instant) {
        self.signs.last_heartbeat_at = Some(now);
        let sent_at = self.arrivals.earliest_sending(sequence, now);
        self.signs.sent_heartbeat_at = self.signs.sent_heartbeat_at.max(sent_at);
        self.arrivals.record(sequence, now);
    }

    /// Records a packet of a flow that was accepted by this time.
    fn record_packet(&mut self, accepted_by: Instant, now: Instant) {
        let ran_at = self.signs.sent_heartbeat_at.max(self.signs.packet_at);
        if ran_at.is_some_and(|at| accepted_by <= at) {
            self.signs.packet_at = Some(now);
        }
    }

    /// Records a message of another start, which may be the next one.
    pub(crate) fn record_other_start(&mut self, heartbeat: &Heartbeat, now: Instant) {
        if self.other_start(heartbeat.incarnation).is_some() {
            return;
        }
        if self.others.len() >= MAXIMUM_OTHER_STARTS {
            self.others.remove(0);
        }
        self.others.push(OtherStart {
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            heard_at: now,
            signs_before: self.signs,
        });
    }

    /// Until when this start ran, now that another one has replaced it.
    pub(crate) fn before(&self, next: Incarnation, evidence: SuccessionEvidence) -> FormerLife {
        let Some(first_message) = self.other_start(next).copied() else {
            return FormerLife::Unproven;
        };
        let next = NextStart {
            first_message,
            evidence,
        };
        first_message.signs_before.former_life(&next)
    }

    fn other_start(&self, incarnation: Incarnation) -> Option<&OtherStart> {
        let mut others = self.others.iter();
        others.find(|other| other.incarnation == incarnation)
    }
}

impl Agent {
    /// Records what a packet that the target sent shows about the present start.
    pub(crate) fn note_life_shown_by_packet(&mut self, key: &FlowKey, now: Instant) {
        let is_open =
            |flow: &&TargetFlow| matches!(flow.state, FlowState::Open | FlowState::Closing);
        if let Some(flow) = self.flows.peek(key).filter(is_open) {
            self.target.life_proof.record_packet(flow.state_since, now);
        }
    }
}
