//! Drain of a target: the transition from serving to having no work left.
//!
//! A target leaves while at least one reason to leave holds. From that moment
//! it accepts no new flow and notifies callers on open connections. Their
//! requests are still accepted for a short grace period, because a caller may
//! have sent them before the notice arrived. The period ends early when no
//! connection is open. The target is drained when it accepts no more requests
//! and has no unanswered request and no stream.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Instant;

/// Default time for which new requests on open connections are accepted after
/// the target begins to leave.
pub const DEFAULT_DRAIN_GRACE: Duration = Duration::from_secs(3);
/// Longest grace period that may be set.
pub const MAXIMUM_DRAIN_GRACE: Duration = Duration::from_secs(4);

/// Why a target leaves.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DrainReason {
    /// The process was told to stop; this reason cannot be removed.
    Signal,
    /// The bundle in force marks the target as leaving or does not list it.
    Bundle,
    /// The machine list marks the machine as leaving.
    MachineList,
    /// The back end reports that it is unhealthy or leaving.
    BackEndHealth,
}

/// How far the drain has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainPhase {
    /// New flows and requests are accepted.
    Serving,
    /// No new flow is accepted. Requests are accepted until the grace period ends
    /// or no connection is open.
    Leaving {
        /// When the target began to leave.
        since: Instant,
    },
    /// New requests are refused, and all accepted ones, streams included, have ended.
    Drained,
}

/// Work that a target holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Activity {
    /// Requests without a final answer, streams included.
    pub requests: u32,
    /// Callers' connections that are open, handshakes included.
    pub connections: u32,
}

/// Events that change the drain of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainEvent {
    /// A reason to leave has come up.
    AddReason(DrainReason),
    /// A reason to leave no longer holds.
    RemoveReason(DrainReason),
    /// The target's work has changed.
    Activity(Activity),
    /// Time has passed.
    Tick,
}

/// Actions for the caller of the state machine to carry out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainAction {
    /// Notify callers on open connections that they must send no more requests
    /// (GOAWAY).
    NotifyCallers,
    /// Refuse requests that arrive from now on.
    RefuseRequests,
    /// Accept flows and requests again.
    Resume,
    /// All work has ended, and a process that was told to stop may exit. Returned
    /// again for each reason to leave that is added later.
    Finish,
}

/// State of the drain of one target.
#[derive(Clone, Debug)]
pub struct Drain {
    grace: Duration,
    reasons: BTreeSet<DrainReason>,
    phase: DrainPhase,
    refuses_requests: bool,
    activity: Activity,
}

impl Drain {
    /// A serving target; the grace period is at most [`MAXIMUM_DRAIN_GRACE`].
    #[must_use]
    pub fn new(grace: Duration) -> Self {
        Self {
            grace: grace.min(MAXIMUM_DRAIN_GRACE),
            reasons: BTreeSet::new(),
            phase: DrainPhase::Serving,
            refuses_requests: false,
            activity: Activity::default(),
        }
    }

    /// How far the drain has come.
    #[must_use]
    pub fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Reasons to leave that hold now.
    pub fn reasons(&self) -> impl Iterator<Item = DrainReason> + '_ {
        self.reasons.iter().copied()
    }

    /// Whether new flows are accepted.
    #[must_use]
    pub fn takes_new_flows(&self) -> bool {
        self.phase == DrainPhase::Serving
    }

    /// Whether a request that arrives now on an open connection is accepted.
    #[must_use]
    pub fn takes_new_requests(&self, now: Instant) -> bool {
        match self.phase {
            DrainPhase::Serving => true,
            DrainPhase::Leaving { since } => {
                !self.refuses_requests && now.since(since) < self.grace
            }
            DrainPhase::Drained => false,
        }
    }

    /// When the next [`DrainEvent::Tick`] is due, if one is.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        match self.phase {
            DrainPhase::Leaving { since } if !self.refuses_requests => Some(since + self.grace),
            _ => None,
        }
    }

    /// Handles an event.
    pub fn handle(&mut self, event: DrainEvent, now: Instant) -> Vec<DrainAction> {
        let mut actions = Vec::new();
        match event {
            DrainEvent::AddReason(reason) => self.add_reason(reason, now, &mut actions),
            DrainEvent::RemoveReason(reason) => self.remove_reason(reason, &mut actions),
            DrainEvent::Activity(activity) => self.activity = activity,
            DrainEvent::Tick => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    fn add_reason(&mut self, reason: DrainReason, now: Instant, actions: &mut Vec<DrainAction>) {
        let is_new = self.reasons.insert(reason);
        match self.phase {
            DrainPhase::Serving => {
                self.phase = DrainPhase::Leaving { since: now };
                actions.push(DrainAction::NotifyCallers);
            }
            DrainPhase::Drained if is_new => actions.push(DrainAction::Finish),
            DrainPhase::Leaving { .. } | DrainPhase::Drained => {}
        }
    }

    fn remove_reason(&mut self, reason: DrainReason, actions: &mut Vec<DrainAction>) {
        if reason == DrainReason::Signal {
            return;
        }
        let was_held = self.reasons.remove(&reason);
        if was_held && self.reasons.is_empty() {
            self.phase = DrainPhase::Serving;
            self.refuses_requests = false;
            actions.push(DrainAction::Resume);
        }
    }

    fn advance(&mut self, now: Instant, actions: &mut Vec<DrainAction>) {
        let DrainPhase::Leaving { since } = self.phase else {
            return;
        };
        let no_open_connection = self.activity.connections == 0;
        let grace_is_over = now.since(since) >= self.grace;
        if !self.refuses_requests && (grace_is_over || no_open_connection) {
            self.refuses_requests = true;
            actions.push(DrainAction::RefuseRequests);
        }
        if self.refuses_requests && self.activity.requests == 0 {
            self.phase = DrainPhase::Drained;
            actions.push(DrainAction::Finish);
        }
    }
}
