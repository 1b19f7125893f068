//! Decides whether the balancer should receive packets of callers.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::Balancer;

/// Silence of all agents after which the balancer counts as cut off, unless another
/// balancer has recently reported that it hears no agent either. Balancers request
/// reports so that one arrives at least every 24 ms from five agents or more together,
/// and every 100 ms from a single agent. Routers take another second to react, and
/// everything sent to the balancer until then is lost.
const CUT_OFF_AFTER: Duration = Duration::from_millis(300);
/// Longer limit for the silence of all agents that applies while another balancer also
/// hears no agent, because the agents themselves may then be gone. After this time the
/// balancer counts as cut off all the same: both balancers may be cut off together.
const CUT_OFF_WITH_OTHERS_AFTER: Duration = Duration::from_millis(900);
/// Silence of all agents after which this balancer's hellos state that it hears no
/// agent. If the agents fall silent for all balancers, each balancer counts as cut off
/// after [`CUT_OFF_AFTER`]. Soon after that time, a hello with this statement arrives
/// from another balancer, and the receiver counts as ready again. This happens long
/// before a router has checked the receiver's readiness a second time without success.
const HEARS_AGENTS_WITHIN: Duration = Duration::from_millis(100);
/// Time in which another balancer's statement that it hears no agent stays valid.
const SHARED_SILENCE_VALID_FOR: Duration = Duration::from_millis(600);

/// Reason why a balancer is not ready.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotReadyReason {
    /// A planned stop has begun.
    Leaving,
    /// No configuration is known.
    NoConfiguration,
    /// No agent has been heard yet.
    NoAgent,
    /// Agents were heard before, and none has been heard for a while.
    CutOff,
    /// The zone carries more load if only its larger balancers are ready, because
    /// routers give each ready balancer an equal share.
    Standby,
}

impl NotReadyReason {
    /// Name of the reason in responses and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::NoConfiguration => "no_configuration",
            Self::NoAgent => "no_agent",
            Self::CutOff => "cut_off",
            Self::Standby => "standby",
        }
    }
}

impl Balancer {
    /// Checks whether the balancer is ready.
    ///
    /// # Errors
    /// [`NotReadyReason`] when the balancer is not ready.
    pub fn check_ready(&self, now: Instant) -> Result<(), NotReadyReason> {
        self.check_can_serve(now)?;
        let usable_cpu_millicores = self.options.usable_cpu_millicores();
        if self
            .zone_members
            .should_stand_by(self.options.address, usable_cpu_millicores, now)
        {
            return Err(NotReadyReason::Standby);
        }
        Ok(())
    }

    /// Checks whether the balancer could serve callers, regardless of the capacity of
    /// the other balancers in its zone.
    pub(crate) fn check_can_serve(&self, now: Instant) -> Result<(), NotReadyReason> {
        if self.is_leaving {
            return Err(NotReadyReason::Leaving);
        }
        if self.routes.current().is_none() {
            return Err(NotReadyReason::NoConfiguration);
        }
        let agent_heard = self.last_agent_heard_at.ok_or(NotReadyReason::NoAgent)?;
        let silence = now.since(agent_heard);
        let limit = if self.is_silence_shared(now) {
            CUT_OFF_WITH_OTHERS_AFTER
        } else {
            CUT_OFF_AFTER
        };
        if silence >= limit {
            return Err(NotReadyReason::CutOff);
        }
        Ok(())
    }

    /// Whether another balancer has recently stated in a hello that it hears no agent.
    /// The targets may then be gone for all balancers.
    fn is_silence_shared(&self, now: Instant) -> bool {
        self.peer_without_agents_at
            .is_some_and(|heard_at| now.since(heard_at) < SHARED_SILENCE_VALID_FOR)
    }

    /// Whether an agent was heard recently.
    pub(crate) fn hears_agents(&self, now: Instant) -> bool {
        self.last_agent_heard_at
            .is_some_and(|heard_at| now.since(heard_at) < HEARS_AGENTS_WITHIN)
    }
}
