//! The drain state machine of one agent, shared by all of its tasks.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use woodladder_core::clock::Instant;
use woodladder_core::target::drain::{Drain, DrainAction, DrainEvent, DrainPhase, DrainReason};

/// Stage of an agent's drain, in the order in which a drain advances. Connections
/// announce the stages up to [`Self::Refusing`] to callers;
/// [`AgentHandle::wait_until_drained`] waits for [`Self::Drained`].
///
/// [`AgentHandle::wait_until_drained`]: super::AgentHandle::wait_until_drained
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DrainStage {
    /// Not draining.
    Serving,
    /// Callers are asked to open no more requests; requests that still arrive
    /// are accepted.
    CallersNotified,
    /// Requests that arrive are answered as not run.
    Refusing,
    /// The last request has ended.
    Drained,
}

/// State of a drain at one moment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DrainState {
    /// How far the drain has come.
    pub phase: DrainPhase,
    /// Stage that was published last.
    pub stage: DrainStage,
    /// Reasons to leave that hold now.
    pub reasons: Vec<DrainReason>,
}

/// The drain, and the stage that follows from its last action.
///
/// One lock covers creating an event, handling it and carrying out its actions,
/// so that events and stages take effect in order. Without the lock, an old count
/// of open requests could replace a newer one, and an old stage a newer stage.
/// The agent would then wait for a request that has ended, or not publish that
/// it has drained, and would stop only at its timeout.
#[derive(Debug)]
pub struct SharedDrain {
    drain: Mutex<Drain>,
    stage: watch::Sender<DrainStage>,
}

impl DrainStage {
    /// Name in the status and in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::CallersNotified => "callers_notified",
            Self::Refusing => "refusing",
            Self::Drained => "drained",
        }
    }
}

impl SharedDrain {
    /// Wraps a drain that has not begun.
    #[must_use]
    pub fn new(drain: Drain) -> Self {
        Self {
            drain: Mutex::new(drain),
            stage: watch::Sender::new(DrainStage::Serving),
        }
    }

    /// Creates an event, passes it to the drain, carries out the resulting
    /// actions and publishes the stages. Neither closure may call this object,
    /// because the lock is held.
    pub fn handle(
        &self,
        make_event: impl FnOnce() -> DrainEvent,
        now: Instant,
        mut carry_out: impl FnMut(DrainAction),
    ) {
        let mut drain = self.lock();
        let actions = drain.handle(make_event(), now);
        for action in actions {
            carry_out(action);
            self.stage.send_replace(stage_after(action));
        }
    }

    /// Phase of the drain.
    #[must_use]
    pub fn phase(&self) -> DrainPhase {
        self.lock().phase()
    }

    /// Phase, stage and reasons, all read under the same lock.
    #[must_use]
    pub fn state(&self) -> DrainState {
        let drain = self.lock();
        DrainState {
            phase: drain.phase(),
            stage: *self.stage.borrow(),
            reasons: drain.reasons().collect(),
        }
    }

    /// Whether new flows are accepted.
    #[must_use]
    pub fn takes_new_flows(&self) -> bool {
        self.lock().takes_new_flows()
    }

    /// Whether a request that arrives now on an open connection is accepted.
    #[must_use]
    pub fn takes_new_requests(&self, now: Instant) -> bool {
        self.lock().takes_new_requests(now)
    }

    /// Subscribes to the stage of the drain.
    #[must_use]
    pub fn subscribe_stage(&self) -> watch::Receiver<DrainStage> {
        self.stage.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Drain> {
        // The drain is consistent between events, so a panic in another task
        // that held the lock does no harm.
        self.drain.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn stage_after(action: DrainAction) -> DrainStage {
    match action {
        DrainAction::NotifyCallers => DrainStage::CallersNotified,
        DrainAction::RefuseRequests => DrainStage::Refusing,
        DrainAction::Resume => DrainStage::Serving,
        DrainAction::Finish => DrainStage::Drained,
    }
}
