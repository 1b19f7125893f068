//! Service guarantees (promises) that a node has broken, counted by the node itself.
//!
//! | promise | counted by | what is counted |
//! | --- | --- | --- |
//! | urgent openings first | agent | an opening is delivered while a more urgent one waits that can still be in time |
//! | no work for a caller that has left | agent | an opening is delivered after its route's timeout |
//! | not held past the timeout | both | a waiting opening is returned or refused after its timeout |
//! | no refusal after the maximum wait | balancer | an opening waits for the maximum time and is then refused |
//! | no refusal while a target is free | balancer | an opening is refused while a live target has a free slot |
//! | no refusal after a target has accepted | balancer | an opening is refused that a target has accepted |
//! | no open flow is reset | balancer | a flow that was reset turns out to be held |
//! | no new flow at a target that leaves | agent | a packet that opens a flow is delivered although the target's leaving was acknowledged |
//! | a target that shuts down is acknowledged | agent | milliseconds since its first heartbeat that was rejected |
//!
//! Some violations cannot be observed by any node: requests on open flows that overtake
//! others, since an agent does not know their route; work of a target for a caller that
//! has left without sending a packet; the age of a heartbeat that was never read; and
//! repeated refusals of one caller, since a reset does not state when to retry.

use std::collections::VecDeque;
use std::time::Duration;

use super::identity::{FlowKey, Incarnation};
use crate::clock::Instant;

/// Resets that are remembered, to notice when a target still holds the flow.
const REMEMBERED_RESETS: usize = 256;
/// Time for which a reset is remembered.
const RESET_REMEMBERED_FOR: Duration = Duration::from_secs(5);

/// Violations of each promise, in the order of [`BrokenPromises::by_name`]; for the
/// acknowledgement of targets that shut down, milliseconds waited.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BrokenPromises {
    /// Openings delivered before a more urgent one that could still be in time. Includes
    /// openings that took their reserved share while requests of open flows waited too.
    pub put_behind: u64,
    /// Openings delivered after their callers had given up.
    pub worked_for_nobody: u64,
    /// Openings that waited for longer than their route's timeout.
    pub held_past_timeout: u64,
    /// Openings that waited for the maximum time and were then refused.
    pub held_untried: u64,
    /// Openings refused while a target had a free slot.
    pub refused_beside_free: u64,
    /// Openings refused although a target had accepted them.
    pub refused_though_accepted: u64,
    /// Flows reset although a target held them.
    pub broken_off: u64,
    /// Packets that open a flow, delivered to a target whose leaving was acknowledged.
    pub opened_after_leaving: u64,
    /// Milliseconds that targets that shut down have waited since their first rejected
    /// heartbeat.
    pub unacknowledged_ms: u64,
}

/// An opening that a node delivers, returns or refuses.
#[derive(Clone, Copy, Debug)]
pub struct DecidedOpening {
    /// Time since the caller first sent the opening.
    pub age: Duration,
    /// Value of `age` from which on an answer is useless to the caller.
    pub timeout: Duration,
    /// Whether another route of the same service has a lower priority.
    pub is_urgent: bool,
}

/// Counts the promises that a node breaks.
#[derive(Clone, Debug, Default)]
pub struct PromiseWatch {
    broken: BrokenPromises,
    resets: VecDeque<(FlowKey, Instant)>,
    /// The target that shuts down and whose heartbeats have been rejected so far, with the
    /// time of the first rejected heartbeat.
    unacknowledged: Option<(Incarnation, Instant)>,
}

impl BrokenPromises {
    /// Each value with its name in metrics.
    #[must_use]
    pub fn by_name(&self) -> [(&'static str, u64); 9] {
        [
            ("put_behind", self.put_behind),
            ("worked_for_nobody", self.worked_for_nobody),
            ("held_past_timeout", self.held_past_timeout),
            ("held_untried", self.held_untried),
            ("refused_beside_free", self.refused_beside_free),
            ("refused_though_accepted", self.refused_though_accepted),
            ("broken_off", self.broken_off),
            ("opened_after_leaving", self.opened_after_leaving),
            ("unacknowledged_ms", self.unacknowledged_ms),
        ]
    }
}

impl PromiseWatch {
    /// Violations of each promise; for `unacknowledged_ms`, milliseconds waited.
    #[must_use]
    pub fn broken(&self) -> &BrokenPromises {
        &self.broken
    }

    /// Records that an opening is delivered to the target. `urgent_waits` states whether
    /// an opening of a more urgent route that can still be in time remains in the queue.
    pub fn record_handover(&mut self, opening: &DecidedOpening, urgent_waits: bool) {
        self.broken.put_behind += u64::from(urgent_waits && !opening.is_urgent);
        self.broken.worked_for_nobody += u64::from(opening.age >= opening.timeout);
    }

    /// Records that a waiting opening is returned or refused.
    pub fn record_given_up(&mut self, opening: &DecidedOpening) {
        self.broken.held_past_timeout += u64::from(opening.age > opening.timeout);
    }

    /// Records that an opening has waited for the maximum time and is refused untried.
    pub fn record_held_untried(&mut self) {
        self.broken.held_untried += 1;
    }

    /// Records that an opening is refused.
    pub fn record_refusal(&mut self, was_accepted: bool, has_free_target: bool) {
        self.broken.refused_though_accepted += u64::from(was_accepted);
        self.broken.refused_beside_free += u64::from(has_free_target);
    }

    /// Records that a flow is reset because no target holds it any more.
    pub fn record_reset(&mut self, key: FlowKey, now: Instant) {
        if self.resets.len() == REMEMBERED_RESETS {
            self.resets.pop_front();
        }
        self.resets.push_back((key, now));
    }

    /// Records that a target states that it holds a flow: if the flow was reset recently,
    /// that broke a promise.
    pub fn record_held(&mut self, key: &FlowKey, now: Instant) {
        let is_known = |(reset, at): &(FlowKey, Instant)| {
            reset == key && now.since(*at) < RESET_REMEMBERED_FOR
        };
        if let Some(index) = self.resets.iter().position(is_known) {
            self.resets.remove(index);
            self.broken.broken_off += 1;
        }
    }

    /// Records that a flow is opened anew: later statements do not refer to the flow that
    /// was reset.
    pub fn record_opening(&mut self, key: &FlowKey) {
        self.resets.retain(|(reset, _)| reset != key);
    }

    /// Records that a packet that opens a flow is delivered to a target whose leaving was
    /// acknowledged.
    pub fn record_opened_after_leaving(&mut self) {
        self.broken.opened_after_leaving += 1;
    }

    /// Records that a heartbeat which announces the shutdown of its target was rejected.
    pub fn record_leaving_rejected(&mut self, incarnation: Incarnation, now: Instant) {
        let is_known = self
            .unacknowledged
            .is_some_and(|(known, _)| known == incarnation);
        if !is_known {
            self.unacknowledged = Some((incarnation, now));
        }
    }

    /// Records that a heartbeat of this target was accepted.
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
