//! Whether the balancer should be given packets of callers.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::Balancer;

/// Silence of all agents after which the balancer counts as cut off, when the
/// other balancers are silent too or hear agents themselves. Reports of all agents
/// together come each 24 ms at the least. Routers take another second; until then
/// everything sent to the balancer is lost.
const CUT_OFF_AFTER: Duration = Duration::from_millis(300);
/// Silence of all agents after which the balancer counts as cut off, whatever
/// the other balancers hear: they may be cut off together with it.
const CUT_OFF_AT_LAST_AFTER: Duration = Duration::from_millis(900);
/// Time since an agent was heard within which the balancer says that it hears
/// agents. Others hear of it soon after they count as cut off themselves, and long
/// before a router has missed them twice.
const HEARS_WITHIN: Duration = Duration::from_millis(100);
/// Age of another balancer's word that it hears no agent.
const SHARED_WITHIN: Duration = Duration::from_millis(600);

/// Why a balancer is not ready.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotReadyReason {
    /// A planned stop has begun.
    Leaving,
    /// No configuration is known.
    NoConfiguration,
    /// No agent has been heard of yet.
    NoAgent,
    /// Agents are known, and none has been heard for a while.
    CutOff,
    /// Larger balancers of the zone bear more without it.
    Standby,
}

impl NotReadyReason {
    /// The reason's name in answers and logs.
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
    /// Whether the balancer is ready.
    ///
    /// # Errors
    /// [`NotReadyReason`] when it is not.
    pub fn check_ready(&self, now: Instant) -> Result<(), NotReadyReason> {
        self.able(now)?;
        let capacity = self.options.usable_cpu_millicores();
        if self
            .zone_members
            .should_stand_by(self.options.address, capacity, now)
        {
            return Err(NotReadyReason::Standby);
        }
        Ok(())
    }

    /// Whether the balancer could serve, whatever the others of its zone bear.
    pub(crate) fn able(&self, now: Instant) -> Result<(), NotReadyReason> {
        if self.leaving {
            return Err(NotReadyReason::Leaving);
        }
        if self.routes.current().is_none() {
            return Err(NotReadyReason::NoConfiguration);
        }
        let agent_heard = self.last_agent_heard.ok_or(NotReadyReason::NoAgent)?;
        let silence = now.since(agent_heard);
        let limit = if self.shares_silence(now) {
            CUT_OFF_AT_LAST_AFTER
        } else {
            CUT_OFF_AFTER
        };
        if silence >= limit {
            return Err(NotReadyReason::CutOff);
        }
        Ok(())
    }

    /// Whether another balancer was heard lately that hears no agent either:
    /// the targets may be gone for all balancers.
    fn shares_silence(&self, now: Instant) -> bool {
        self.peer_without_agents
            .is_some_and(|heard_at| now.since(heard_at) < SHARED_WITHIN)
    }

    /// Whether an agent was heard lately.
    pub(crate) fn hears_agents(&self, now: Instant) -> bool {
        self.last_agent_heard
            .is_some_and(|heard_at| now.since(heard_at) < HEARS_WITHIN)
    }
}
