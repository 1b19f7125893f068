//! Whether the balancer should be given packets of callers.

use std::time::Duration;

use super::Balancer;
use crate::clock::Instant;

/// Silence of all agents after which the balancer counts as cut off.
const CUT_OFF_AFTER: Duration = Duration::from_millis(1500);

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
        }
    }
}

impl Balancer {
    /// Whether the balancer is ready.
    ///
    /// # Errors
    /// [`NotReadyReason`] when it is not.
    pub fn ready(&self, now: Instant) -> Result<(), NotReadyReason> {
        if self.leaving {
            return Err(NotReadyReason::Leaving);
        }
        if self.routes.current().is_none() {
            return Err(NotReadyReason::NoConfiguration);
        }
        let heard = self.last_agent_heard.ok_or(NotReadyReason::NoAgent)?;
        if now.since(heard) >= CUT_OFF_AFTER {
            return Err(NotReadyReason::CutOff);
        }
        Ok(())
    }
}
