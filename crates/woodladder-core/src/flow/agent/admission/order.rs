//! The order in which work that waits for a target is handed to it.
//!
//! Work whose answer can still be in time goes first, and among it the work of routes
//! that matter more. Late work takes what is left: a slot that it is given is taken from
//! work that would have been in time. Other work has a share beside urgent work that is
//! in time or late like it, so that it does not starve. The share never makes urgent work
//! late: it is granted only while all urgent work that can be in time would be so
//! afterwards, too.
//!
//! Within a group the earliest deadline goes first among the work that would still meet it
//! if it took twice as long as expected; then the newest. The deadline is the aim of work
//! that can be in time and the timeout of late work. So work that has waited
//! goes before its aim passes, and when not all of a group can be in time, slots don't go
//! to work on the brink of being late.

use std::cmp::Reverse;
use std::time::Duration;

use crate::clock::Instant;

/// Slots in a row that go to urgent work while other work waits that is in time or late
/// like it, before that is given one.
const SHARE_EVERY: u32 = 8;

/// Expected times of work that are left beside its own when it is handed over early
/// enough: few requests take longer, and the way to the caller needs its time, too.
const MARGIN: u32 = 1;

/// What the order needs of one piece of work: an opening, or a request on an open flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitingWork {
    /// When the caller first sent it, as far as that is known.
    pub first_sent: Instant,
    /// Time from then in which it should be answered.
    pub aim: Duration,
    /// Time from then after which an answer is of no use any more.
    pub timeout: Duration,
    /// Time from handing it over to the first byte of its answer.
    pub expected: Duration,
    /// Whether its route matters more than another one of the same service.
    pub is_urgent: bool,
    /// Whether it may be handed over now; an opening may not while a cold target has had
    /// its share.
    pub is_allowed: bool,
}

/// Groups of work, the greatest first in turn.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WorkGroup {
    /// Cannot be in time.
    Late,
    /// Cannot be in time, and its route matters more.
    LateUrgent,
    /// Can be in time.
    InTime,
    /// Can be in time, and its route matters more.
    InTimeUrgent,
}

impl WorkGroup {
    /// The group of work that can or cannot be in time, of a route that matters more
    /// than another one of the same service or does not.
    pub(crate) fn of(is_in_time: bool, is_urgent: bool) -> Self {
        match (is_in_time, is_urgent) {
            (true, true) => Self::InTimeUrgent,
            (true, false) => Self::InTime,
            (false, true) => Self::LateUrgent,
            (false, false) => Self::Late,
        }
    }

    /// The group of other work that is in time or late like urgent work of this one.
    fn beside(self) -> Option<Self> {
        match self {
            Self::InTimeUrgent => Some(Self::InTime),
            Self::LateUrgent => Some(Self::Late),
            Self::InTime | Self::Late => None,
        }
    }
}

impl WaitingWork {
    /// The group that it is in.
    #[must_use]
    pub fn group(&self, now: Instant) -> WorkGroup {
        let is_in_time = now.since(self.first_sent) + self.expected <= self.aim;
        WorkGroup::of(is_in_time, self.is_urgent)
    }

    /// Its place within its group, the greatest first.
    fn place(&self, now: Instant) -> (bool, Reverse<Instant>, Instant) {
        let spent = now.since(self.first_sent) + self.expected;
        let limit = if spent <= self.aim {
            self.aim
        } else {
            self.timeout
        };
        let has_margin = spent + self.expected * MARGIN <= limit;
        let deadline = if has_margin {
            self.first_sent + limit
        } else {
            Instant::ORIGIN
        };
        (has_margin, Reverse(deadline), self.first_sent)
    }

    /// How long it may still wait if it is to be in time.
    fn slack(&self, now: Instant) -> Duration {
        let spent = now.since(self.first_sent) + self.expected;
        self.aim.saturating_sub(spent)
    }
}

/// Chooses what is handed over next; remembers what was passed over.
#[derive(Clone, Debug, Default)]
pub struct ServingOrder {
    /// Slots that went to urgent work while such other work waited.
    passed_over: u32,
}

impl ServingOrder {
    /// Place of the work that is handed over next to a target with this many slots;
    /// `None` when none waits that may be.
    pub fn choose(&mut self, waiting: &[WaitingWork], slots: u16, now: Instant) -> Option<usize> {
        let first = best(waiting, now, |_| true)?;
        let greatest = waiting[first].group(now);
        let beside = greatest.beside();
        let Some(lesser) = best(waiting, now, |group| Some(group) == beside) else {
            self.passed_over = 0;
            return Some(first);
        };
        self.passed_over += 1;
        let is_due = self.passed_over >= SHARE_EVERY;
        if is_due && has_slack_for(&waiting[lesser], waiting, slots, now) {
            self.passed_over = 0;
            return Some(lesser);
        }
        Some(first)
    }
}

/// The first of the greatest group among the groups for which `may` holds.
fn best(waiting: &[WaitingWork], now: Instant, may: impl Fn(WorkGroup) -> bool) -> Option<usize> {
    waiting
        .iter()
        .enumerate()
        .filter(|(_, work)| work.is_allowed && may(work.group(now)))
        .max_by_key(|(_, work)| (work.group(now), work.place(now)))
        .map(|(index, _)| index)
}

/// Whether all urgent work that can be in time would still be so when `other` is handed
/// over first.
fn has_slack_for(other: &WaitingWork, waiting: &[WaitingWork], slots: u16, now: Instant) -> bool {
    let mut urgent: Vec<&WaitingWork> = waiting
        .iter()
        .filter(|work| work.group(now) == WorkGroup::InTimeUrgent)
        .collect();
    urgent.sort_by_key(|work| work.slack(now));
    let slots = u32::from(slots.max(1));
    let mut before = other.expected;
    urgent.iter().all(|work| {
        // A slot is free at the latest when one piece of work has ended.
        let begins_after = other.expected + before / slots;
        before += work.expected;
        begins_after <= work.slack(now)
    })
}

/// When work would begin that waits behind other work, from now on.
#[must_use]
pub fn expected_wait(
    work: &WaitingWork,
    waiting: &[WaitingWork],
    slots: u16,
    now: Instant,
) -> Duration {
    let group = work.group(now);
    let before: Duration = waiting
        .iter()
        .filter(|other| other.group(now) > group)
        .map(|other| other.expected)
        .sum();
    before / u32::from(slots.max(1))
}
