//! Limit on the requests that a possibly cold target is sent in any second.
//!
//! A target that has just started, or whose zone has just been taken back into service,
//! can serve only few requests a second and may fail under more. The agent sees every
//! request of its target, whichever balancer sent it, so the limit across all balancers
//! is enforced here, over every span of a second and without coordination.
//!
//! Where the agent cannot know whether the target is cold, it treats it as cold: until a
//! heartbeat says otherwise, or for as long as a target stays cold.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::Agent;
use crate::flow::cold_reason::ColdReason;
use crate::flow::log_event::LogEvent;

/// Span over which requests are counted: one second, plus the time by which packets from
/// the agent to the target beside it may differ in their delay.
const COUNTING_SPAN: Duration = Duration::from_millis(1050);
/// Maximum delay with which a heartbeat that was written before a stall of the process
/// may still be read after it: a target waits one second for the answer to a heartbeat.
const MAXIMUM_HEARTBEAT_DELAY: Duration = Duration::from_millis(1000);
/// Thousandths in a whole.
const THOUSANDTHS: f64 = 1000.0;

/// What the operators allow a cold target beyond the rate of requests that its service
/// states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpBounds {
    /// Factor on the stated requests a second.
    pub overage: f64,
    /// Further requests in a second beyond that.
    pub slack: u32,
}

/// The requests that were delivered to the target in the last second, and whether it may
/// be cold.
#[derive(Clone, Debug, Default)]
pub(crate) struct WarmUp {
    delivered_at: VecDeque<Instant>,
    /// When it became unknown whether the target is cold; `None` while it is known.
    assumed_cold_since: Option<Instant>,
    /// From when on a heartbeat is trusted to say whether the target is cold.
    heartbeats_trusted_from: Option<Instant>,
}

impl WarmUp {
    /// Counts a request that is delivered to the target.
    pub(crate) fn count_request(&mut self, now: Instant) {
        self.remove_old(now);
        self.delivered_at.push_back(now);
    }

    fn remove_old(&mut self, now: Instant) {
        while let Some(oldest) = self.delivered_at.front()
            && now.since(*oldest) >= COUNTING_SPAN
        {
            self.delivered_at.pop_front();
        }
    }

    fn delivered_in_span(&self, now: Instant) -> usize {
        let is_recent = |at: &&Instant| now.since(**at) < COUNTING_SPAN;
        self.delivered_at.iter().rev().take_while(is_recent).count()
    }

    /// Records a heartbeat, which says whether the target is cold.
    pub(crate) fn record_heartbeat(&mut self, now: Instant) {
        if self.heartbeats_trusted_from.is_none_or(|from| now >= from) {
            self.assumed_cold_since = None;
            self.heartbeats_trusted_from = None;
        }
    }
}

impl Agent {
    /// Records that it is no longer known whether the target is cold.
    pub(crate) fn assume_cold(&mut self, reason: ColdReason, now: Instant) {
        self.warm_up.assumed_cold_since = Some(now);
        let wait = match reason {
            ColdReason::OutOfTouch => MAXIMUM_HEARTBEAT_DELAY,
            ColdReason::ZoneTakenBack | ColdReason::Silent => Duration::ZERO,
        };
        self.warm_up.heartbeats_trusted_from = Some(now + wait);
        if self.warm_up_limit().is_some() {
            self.log_events.add(LogEvent::AssumedCold {
                reason,
                incarnation: self.target.incarnation,
            });
        }
    }

    /// Requests that the target may still be sent within the present second; `None` when
    /// it is warm or its service states no rate.
    pub(crate) fn openings_left(&self, now: Instant) -> Option<u16> {
        let limit = self.warm_up_limit()?;
        if !self.may_be_cold(now) {
            return None;
        }
        if self.former_process_may_have_delivered(now) {
            return Some(0);
        }
        let left = limit.saturating_sub(self.warm_up.delivered_in_span(now));
        Some(u16::try_from(left).unwrap_or(u16::MAX))
    }

    /// Requests in a second that a cold target may be sent; `None` when the operators set
    /// no limit or the service states none. While the configuration is not known, a cold
    /// target is sent nothing.
    ///
    /// The operators' bounds allow more than the stated rate, but a target may fail
    /// beyond the stated rate.
    fn warm_up_limit(&self) -> Option<usize> {
        let bounds = self.options.warm_up?;
        let rate = self.routes.warm_up_rate(self.options.service);
        if self.routes.current().is_some() && rate == 0 {
            return None;
        }
        let stated = f64::from(rate) / THOUSANDTHS;
        let allowed = stated * bounds.overage + f64::from(bounds.slack);
        Some(to_count(stated.min(allowed)))
    }

    fn may_be_cold(&self, now: Instant) -> bool {
        let cold_time = self.routes.warm_up_time(self.options.service);
        let is_assumed_cold = self
            .warm_up
            .assumed_cold_since
            .is_some_and(|since| self.routes.current().is_none() || now.since(since) < cold_time);
        is_assumed_cold || now < self.target.warm_from
    }

    /// Whether the agent's former process may have delivered requests within the present
    /// second.
    fn former_process_may_have_delivered(&self, now: Instant) -> bool {
        !self.target.started_after_agent && now.since(self.started_at) < COUNTING_SPAN
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_count(number: f64) -> usize {
    number.clamp(0.0, 1e6) as usize
}
