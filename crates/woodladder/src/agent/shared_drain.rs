//! The drain of one agent, which all of its tasks share.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use woodladder_core::clock::Instant;
use woodladder_core::target::drain::{Drain, DrainAction, DrainEvent, DrainPhase};

/// How far callers are told that the agent leaves.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Notice {
    /// Not at all.
    Serving,
    /// Callers are asked to open no more requests; late ones are taken.
    Leaving,
    /// Requests that arrive are answered as not run.
    Refusing,
    /// No request is left.
    Drained,
}

/// The drain, and the notice that follows from it.
///
/// An event is made, handled and carried out under one lock. Otherwise a task that
/// has counted the open requests could hand that count over after another task has
/// handed over a later one, and a notice could take the place of a later one: the
/// agent would then hold a request that has ended, or hide that it is drained, and
/// would not stop before its time-out.
#[derive(Debug)]
pub struct SharedDrain {
    drain: Mutex<Drain>,
    notice: watch::Sender<Notice>,
}

impl SharedDrain {
    /// A drain that nobody has been told of.
    #[must_use]
    pub fn new(drain: Drain) -> Self {
        Self {
            drain: Mutex::new(drain),
            notice: watch::Sender::new(Notice::Serving),
        }
    }

    /// Makes an event, takes it in, carries out what follows and tells it.
    /// Neither closure may call this drain.
    pub fn handle(
        &self,
        event: impl FnOnce() -> DrainEvent,
        now: Instant,
        mut carry_out: impl FnMut(DrainAction),
    ) {
        let mut drain = self.lock();
        let actions = drain.handle(event(), now);
        for action in actions {
            carry_out(action);
            self.notice.send_replace(notice(action));
        }
    }

    /// How far the drain has come.
    #[must_use]
    pub fn phase(&self) -> DrainPhase {
        self.lock().phase()
    }

    /// Whether new flows are taken.
    #[must_use]
    pub fn takes_new_flows(&self) -> bool {
        self.lock().takes_new_flows()
    }

    /// Whether a request that arrives now on an open connection is taken.
    #[must_use]
    pub fn takes_new_requests(&self, now: Instant) -> bool {
        self.lock().takes_new_requests(now)
    }

    /// Follows the notices to callers.
    #[must_use]
    pub fn notices(&self) -> watch::Receiver<Notice> {
        self.notice.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Drain> {
        // A panic elsewhere leaves the drain as it was between events.
        self.drain.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn notice(action: DrainAction) -> Notice {
    match action {
        DrainAction::NotifyCallers => Notice::Leaving,
        DrainAction::RefuseRequests => Notice::Refusing,
        DrainAction::Resume => Notice::Serving,
        DrainAction::Finish => Notice::Drained,
    }
}
