//! Drain of a target: from taking all work to holding none.
//!
//! A target begins to leave for one or more reasons. It takes no new flow from
//! that moment, and tells callers on open connections so; their requests are
//! still taken for a short grace, because they were sent before the notice
//! arrived. It is drained when no request and no stream is left.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Instant;

/// How long new requests on open connections are taken after leaving begins,
/// unless set otherwise.
pub const DEFAULT_DRAIN_GRACE: Duration = Duration::from_secs(3);
/// Longest grace that may be set.
pub const MAXIMUM_DRAIN_GRACE: Duration = Duration::from_secs(4);

/// Why a target leaves.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DrainReason {
    /// The process was told to stop; cannot be withdrawn.
    Signal,
    /// The bundle in force lists the target as leaving, or no longer at all.
    Bundle,
    /// The list of machines names the machine as leaving.
    MachineList,
    /// The back end reports that it is not healthy or is leaving.
    BackEndHealth,
}

/// How far the drain has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainPhase {
    /// New flows and requests are taken.
    Serving,
    /// No new flow is taken; requests are for the grace.
    Leaving {
        /// When leaving began.
        since: Instant,
    },
    /// No request and no stream is left.
    Drained,
}

/// What a target holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Activity {
    /// Requests without a final answer, streams included.
    pub requests: u32,
    /// Callers' connections that are open, handshakes included.
    pub connections: u32,
}

/// What happens to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainEvent {
    /// A reason to leave holds.
    AddReason(DrainReason),
    /// A reason to leave holds no longer.
    RemoveReason(DrainReason),
    /// What the target holds has changed.
    Activity(Activity),
    /// Time has passed.
    Tick,
}

/// What the caller of the state machine carries out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainAction {
    /// Tell callers on open connections to open no more requests (GOAWAY).
    NotifyCallers,
    /// Refuse requests that arrive from now on.
    RefuseRequests,
    /// Take flows and requests again.
    Resume,
    /// All work has ended; a process that was told to stop may end. Comes again
    /// when a further reason to leave is added after that.
    Finish,
}

/// The drain of one target.
#[derive(Clone, Debug)]
pub struct Drain {
    grace: Duration,
    reasons: BTreeSet<DrainReason>,
    phase: DrainPhase,
    refuses_requests: bool,
    activity: Activity,
}

impl Drain {
    /// A target that serves; a grace above [`MAXIMUM_DRAIN_GRACE`] is cut to it.
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

    /// Reasons that hold now.
    pub fn reasons(&self) -> impl Iterator<Item = DrainReason> + '_ {
        self.reasons.iter().copied()
    }

    /// Whether new flows are taken.
    #[must_use]
    pub fn takes_new_flows(&self) -> bool {
        self.phase == DrainPhase::Serving
    }

    /// Whether a request that arrives now on an open connection is taken.
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

    /// Takes an event in.
    pub fn handle(&mut self, event: DrainEvent, now: Instant) -> Vec<DrainAction> {
        let mut actions = Vec::new();
        match event {
            DrainEvent::AddReason(reason) => self.begin(reason, now, &mut actions),
            DrainEvent::RemoveReason(reason) => self.withdraw(reason, &mut actions),
            DrainEvent::Activity(activity) => self.activity = activity,
            DrainEvent::Tick => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    fn begin(&mut self, reason: DrainReason, now: Instant, actions: &mut Vec<DrainAction>) {
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

    fn withdraw(&mut self, reason: DrainReason, actions: &mut Vec<DrainAction>) {
        if reason == DrainReason::Signal {
            return;
        }
        let held = self.reasons.remove(&reason);
        if held && self.reasons.is_empty() {
            self.phase = DrainPhase::Serving;
            self.refuses_requests = false;
            actions.push(DrainAction::Resume);
        }
    }

    fn advance(&mut self, now: Instant, actions: &mut Vec<DrainAction>) {
        let DrainPhase::Leaving { since } = self.phase else {
            return;
        };
        let none_may_arrive = self.activity.connections == 0;
        let grace_is_over = now.since(since) >= self.grace;
        if !self.refuses_requests && (grace_is_over || none_may_arrive) {
            self.refuses_requests = true;
            actions.push(DrainAction::RefuseRequests);
        }
        if self.refuses_requests && self.activity.requests == 0 {
            self.phase = DrainPhase::Drained;
            actions.push(DrainAction::Finish);
        }
    }
}
