//! Promises that a node has broken, counted by itself.
//!
//! | promise | who counts | when |
//! | --- | --- | --- |
//! | more urgent first | agent | an opening is handed over while a more urgent one waits that can still be in time |
//! | no work for a caller that has left | agent | an opening is handed over after its route's timeout |
//! | not held past the timeout | both | an opening that waited is given back after it |
//! | not held to the end untried | balancer | an opening has waited for as long as it may, then is refused |
//! | no refusal beside a free target | balancer | an opening is refused while a live target has a free slot |
//! | a refusal has not run | balancer | an opening is refused that a target has accepted |
//! | no flow ended midway | balancer | a flow that was reset turns out to be held |
//! | a leaving target is acknowledged | agent | time from its first heartbeat that was not taken |
//!
//! Not known to any node: requests on open flows that overtake, since an agent does not
//! know their route; work of a target whose caller has left without a packet; how long a
//! heartbeat that was never read has waited; a caller that is refused again, since a
//! reset does not say when to come back.

use std::collections::VecDeque;
use std::time::Duration;

use super::identity::{FlowKey, Incarnation};
use crate::clock::Instant;

/// Resets that are remembered to notice one of a living flow.
const REMEMBERED_RESETS: usize = 256;
/// How long a reset is remembered.
const REMEMBERED_FOR: Duration = Duration::from_secs(5);

/// How often each promise was broken, in the order of [`BrokenPromises::by_name`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BrokenPromises {
    /// Openings that were handed over before a more urgent one that could still be in
    /// time, also those that had their share where requests wait, too.
    pub put_behind: u64,
    /// Openings that were handed over after their callers had left.
    pub worked_for_nobody: u64,
    /// Openings that waited for longer than their route's timeout.
    pub held_past_timeout: u64,
    /// Openings that waited for as long as they may and were then refused.
    pub held_untried: u64,
    /// Openings that were refused while a target had a free slot.
    pub refused_beside_free: u64,
    /// Openings that were refused although a target had accepted them.
    pub refused_though_accepted: u64,
    /// Flows that were reset although a target held them.
    pub broken_off: u64,
    /// Milliseconds that leaving targets have waited since a heartbeat that was not
    /// taken.
    pub unacknowledged_ms: u64,
}

/// An opening that a node decides about.
#[derive(Clone, Copy, Debug)]
pub struct DecidedOpening {
    /// Time since the caller first sent it.
    pub age: Duration,
    /// Time from then after which an answer is of no use any more.
    pub timeout: Duration,
    /// Whether its route matters more than another of the same service.
    pub is_urgent: bool,
}

/// Counts a node's broken promises.
#[derive(Clone, Debug, Default)]
pub struct PromiseWatch {
    broken: BrokenPromises,
    resets: VecDeque<(FlowKey, Instant)>,
    /// A leaving target whose heartbeat was not taken, and since when.
    unacknowledged: Option<(Incarnation, Instant)>,
}

impl BrokenPromises {
    /// Each count with its name in metrics.
    #[must_use]
    pub fn by_name(&self) -> [(&'static str, u64); 8] {
        [
            ("put_behind", self.put_behind),
            ("worked_for_nobody", self.worked_for_nobody),
            ("held_past_timeout", self.held_past_timeout),
            ("held_untried", self.held_untried),
            ("refused_beside_free", self.refused_beside_free),
            ("refused_though_accepted", self.refused_though_accepted),
            ("broken_off", self.broken_off),
            ("unacknowledged_ms", self.unacknowledged_ms),
        ]
    }
}

impl PromiseWatch {
    /// How often each promise was broken.
    #[must_use]
    pub fn broken(&self) -> &BrokenPromises {
        &self.broken
    }

    /// An opening is handed to the target; `urgent_waits` says whether one of a more
    /// urgent route stays behind that can still be in time.
    pub fn record_handover(&mut self, opening: &DecidedOpening, urgent_waits: bool) {
        self.broken.put_behind += u64::from(urgent_waits && !opening.is_urgent);
        self.broken.worked_for_nobody += u64::from(opening.age >= opening.timeout);
    }

    /// An opening that has waited is given back or refused.
    pub fn record_given_up(&mut self, opening: &DecidedOpening) {
        self.broken.held_past_timeout += u64::from(opening.age > opening.timeout);
    }

    /// An opening has waited for as long as it may and is refused untried.
    pub fn record_held_untried(&mut self) {
        self.broken.held_untried += 1;
    }

    /// An opening is refused.
    pub fn record_refusal(&mut self, was_accepted: bool, has_free_target: bool) {
        self.broken.refused_though_accepted += u64::from(was_accepted);
        self.broken.refused_beside_free += u64::from(has_free_target);
    }

    /// A flow is reset because no target holds it any more.
    pub fn record_reset(&mut self, key: FlowKey, now: Instant) {
        if self.resets.len() == REMEMBERED_RESETS {
            self.resets.pop_front();
        }
        self.resets.push_back((key, now));
    }

    /// A target says that it holds a flow.
    pub fn record_held(&mut self, key: &FlowKey, now: Instant) {
        let is_known =
            |(reset, at): &(FlowKey, Instant)| reset == key && now.since(*at) < REMEMBERED_FOR;
        if let Some(index) = self.resets.iter().position(is_known) {
            self.resets.remove(index);
            self.broken.broken_off += 1;
        }
    }

    /// A flow is opened anew: what is said of it later is not about the one before.
    pub fn record_opening(&mut self, key: &FlowKey) {
        self.resets.retain(|(reset, _)| reset != key);
    }

    /// A heartbeat that says that its target leaves was not taken.
    pub fn record_leaving_rejected(&mut self, incarnation: Incarnation, now: Instant) {
        let is_known = self
            .unacknowledged
            .is_some_and(|(known, _)| known == incarnation);
        if !is_known {
            self.unacknowledged = Some((incarnation, now));
        }
    }

    /// A heartbeat of that target was taken.
    pub fn record_leaving_accepted(&mut self, incarnation: Incarnation, now: Instant) {
        let waited = self
            .unacknowledged
            .take_if(|(known, _)| *known == incarnation);
        if let Some((_, since)) = waited {
            let waited = u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX);
            self.broken.unacknowledged_ms += waited;
        }
    }
}
