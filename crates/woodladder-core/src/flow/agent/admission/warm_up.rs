//! Limit on the requests that are delivered to a possibly cold target in any second.
//!
//! A target that has just started, or whose zone has just been taken back into service,
//! can serve only few requests a second and may fail under more. Every request of a
//! target passes through its agent, whichever balancer sent the request. The agent
//! therefore enforces the limit across all balancers, over every span of a second and
//! without coordination.
//!
//! When it is uncertain whether the target is cold, the agent treats the target as cold
//! until a heartbeat states the remaining warm-up time, but at most for the warm-up time
//! of the service once the configuration states that time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::Agent;
use crate::flow::cold_reason::ColdReason;
use crate::flow::log_event::LogEvent;

/// Span over which requests are counted: one second, plus 50 milliseconds for differences
/// in the delay of packets from the agent to the target.
const COUNTING_SPAN: Duration = Duration::from_millis(1050);
/// Maximum age of a heartbeat when the agent reads it: a target waits one second for the
/// answer to a heartbeat. For this long after a stall of the agent's process or a gap in
/// the news of excluded zones ([`ColdReason::OutOfTouch`]), the agent may still read a
/// heartbeat that was sent before.
const MAXIMUM_HEARTBEAT_DELAY: Duration = Duration::from_millis(1000);
/// Thousandths in a whole.
const THOUSANDTHS: f64 = 1000.0;

/// Upper bound that the operators set on the requests per second to a cold target: the
/// rate that the service states times `overage`, plus `slack`. The agent delivers at most
/// the stated rate, or this bound if it is lower.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpBounds {
    /// Factor on the stated requests per second.
    pub overage: f64,
    /// Requests per second added to that product.
    pub slack: u32,
}

/// Requests that were delivered to the target within the last [`COUNTING_SPAN`], and
/// whether the target may be cold.
#[derive(Clone, Debug, Default)]
pub(crate) struct WarmUp {
    delivered_at: VecDeque<Instant>,
    /// When it became uncertain whether the target is cold; `None` while it is certain.
    assumed_cold_since: Option<Instant>,
    /// From when on a heartbeat ends the uncertainty; `None` while it is certain whether
    /// the target is cold.
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

    /// Ends the uncertainty whether the target is cold, if the heartbeat that arrived now
    /// is recent enough to be trusted. The heartbeat states the remaining warm-up time.
    pub(crate) fn end_uncertainty(&mut self, now: Instant) {
        if self.heartbeats_trusted_from.is_none_or(|from| now >= from) {
            self.assumed_cold_since = None;
            self.heartbeats_trusted_from = None;
        }
    }
}

impl Agent {
    /// Records that it is uncertain from now on whether the target is cold.
    pub(crate) fn assume_cold(&mut self, reason: ColdReason, now: Instant) {
        self.warm_up.assumed_cold_since = Some(now);
        let wait = match reason {
            ColdReason::OutOfTouch | ColdReason::OtherStart => MAXIMUM_HEARTBEAT_DELAY,
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

    /// Number of openings that may still be delivered to the target: its limit minus the
    /// openings and the requests on open flows delivered within the last
    /// [`COUNTING_SPAN`]. `None` when the target is warm, its service states no rate or
    /// the operators set no limit.
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

    /// Maximum number of requests per second to a cold target; `None` when the operators
    /// set no limit or the service states no rate. Zero while the agent has no
    /// configuration.
    ///
    /// The limit is the lower of the stated rate and the operators' bound, because a
    /// target may fail beyond the stated rate.
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

    /// Whether the agent's former process may have delivered requests within the last
    /// [`COUNTING_SPAN`].
    fn former_process_may_have_delivered(&self, now: Instant) -> bool {
        !self.target.started_after_agent && now.since(self.started_at) < COUNTING_SPAN
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_count(number: f64) -> usize {
    number.clamp(0.0, 1e6) as usize
}
