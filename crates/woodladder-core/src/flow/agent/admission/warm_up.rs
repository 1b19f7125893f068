//! How much a target that may be cold is handed in any second.
//!
//! A target that has just started, or whose zone has just been taken back, bears
//! few requests a second and can fall over under more. The agent sees every
//! request of its target, whichever balancer sent it, so the limit across all
//! balancers is kept here, over every span of a second and without agreement.
//!
//! Where the agent cannot know whether the target is cold, it counts as cold:
//! until a heartbeat says otherwise, or for as long as a target stays cold.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::Agent;
use crate::flow::cold_reason::ColdReason;
use crate::flow::log_event::LogEvent;

/// Span in which requests are counted: a second, and what packets from the agent
/// to the target beside it may differ in their time under way.
const SPAN: Duration = Duration::from_millis(1050);
/// Time within which a heartbeat that was written before a stall of the process
/// may still be read after it: a target waits a second for its answer.
const HEARTBEAT_UNDER_WAY: Duration = Duration::from_millis(1000);
/// Thousandths in a whole.
const THOUSANDTHS: f64 = 1000.0;

/// What the operators allow a cold target beyond the requests a second that its
/// service states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpBounds {
    /// Factor on the stated requests a second.
    pub overage: f64,
    /// Requests in a second beyond that.
    pub slack: u32,
}

/// The requests that the target was handed lately, and whether it may be cold.
#[derive(Clone, Debug, Default)]
pub(crate) struct WarmUp {
    handed: VecDeque<Instant>,
    /// Since when it is not known whether the target is cold.
    doubted_since: Option<Instant>,
    /// From when on a heartbeat ends the doubt.
    confirmed_from: Option<Instant>,
}

impl WarmUp {
    /// Counts a request that the target is handed.
    pub(crate) fn count(&mut self, now: Instant) {
        self.forget_old(now);
        self.handed.push_back(now);
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some(oldest) = self.handed.front()
            && now.since(*oldest) >= SPAN
        {
            self.handed.pop_front();
        }
    }

    fn handed_lately(&self, now: Instant) -> usize {
        let is_late = |at: &&Instant| now.since(**at) < SPAN;
        self.handed.iter().rev().take_while(is_late).count()
    }

    /// A heartbeat tells whether the target is cold.
    pub(crate) fn told(&mut self, now: Instant) {
        if self.confirmed_from.is_none_or(|from| now >= from) {
            self.doubted_since = None;
            self.confirmed_from = None;
        }
    }
}

impl Agent {
    /// It is no longer known whether the target is cold.
    pub(crate) fn doubt_warmth(&mut self, reason: ColdReason, now: Instant) {
        self.warm_up.doubted_since = Some(now);
        let wait = match reason {
            ColdReason::OutOfTouch => HEARTBEAT_UNDER_WAY,
            ColdReason::ZoneTakenBack | ColdReason::Silent => Duration::ZERO,
        };
        self.warm_up.confirmed_from = Some(now + wait);
        if self.warm_up_limit().is_some() {
            self.notes.add(LogEvent::AssumedCold {
                reason,
                incarnation: self.target.incarnation,
            });
        }
    }

    /// Requests that the target may still be handed within the present second;
    /// `None` when it is warm or nothing is stated for its service.
    pub(crate) fn openings_left(&self, now: Instant) -> Option<u16> {
        let limit = self.warm_up_limit()?;
        if !self.may_be_cold(now) {
            return None;
        }
        if self.may_have_been_handed_more(now) {
            return Some(0);
        }
        let left = limit.saturating_sub(self.warm_up.handed_lately(now));
        Some(u16::try_from(left).unwrap_or(u16::MAX))
    }

    /// Requests in a second that a cold target may be handed; `None` when the
    /// operators state nothing, or state that nothing limits it. While the
    /// configuration is not known, a cold target is handed nothing.
    ///
    /// The bounds allow more than the stated rate, but a target may fall over beyond
    /// that rate.
    fn warm_up_limit(&self) -> Option<usize> {
        let bounds = self.options.warm_up?;
        let rate = self.routes.warm_up_rate(self.options.service);
        if self.routes.current().is_some() && rate == 0 {
            return None;
        }
        let stated = f64::from(rate) / THOUSANDTHS;
        let allowed = stated * bounds.overage + f64::from(bounds.slack);
        Some(whole(stated.min(allowed)))
    }

    fn may_be_cold(&self, now: Instant) -> bool {
        let stays_cold = self.routes.warm_up_time(self.options.service);
        let is_doubted = self
            .warm_up
            .doubted_since
            .is_some_and(|since| self.routes.current().is_none() || now.since(since) < stays_cold);
        is_doubted || now < self.target.warm_at
    }

    /// Whether the agent's former process may have handed the target requests
    /// within the present second.
    fn may_have_been_handed_more(&self, now: Instant) -> bool {
        !self.target.began_later && now.since(self.started_at) < SPAN
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(number: f64) -> usize {
    number.clamp(0.0, 1e6) as usize
}
