//! The order in which queued work is delivered to a target.
//!
//! Work that can still be answered within its aim (the desired response time) goes first,
//! and among it the work of urgent routes, those with a higher priority than another
//! route of the service. Late work gets the remaining slots, because a slot given to it
//! is taken from work that would have been in time. While less urgent work is queued
//! beside urgent work of the same lateness (both in time, or both late), the less urgent
//! work gets one slot in [`SHARE_PERIOD_SLOTS`], so that it does not starve. This slot is
//! delayed while granting it would make late any urgent work that can still be in time.
//!
//! Within a group, the work that would meet its deadline even if it took twice as long as
//! expected goes first, by earliest deadline; the other work follows, the newest first.
//! The deadline is the aim of work that can be in time and the timeout of late work.
//! Queued work is thus delivered before its aim passes, and when not all of a group can
//! be in time, no slots are spent on work that would be late after a short delay.

use std::cmp::Reverse;
use std::time::Duration;

use crate::clock::Instant;

/// Less urgent work gets one in this many slots, at the earliest, while it is queued beside
/// urgent work of the same lateness (both in time, or both late). The slot is put off
/// while [`has_slack_for`] does not hold.
const SHARE_PERIOD_SLOTS: u32 = 8;

/// Margin between the expected end of the work and its deadline, as a multiple of the
/// expected time: few requests take longer than that, and the answer needs time on its
/// way to the caller.
const DEADLINE_MARGIN_FACTOR: u32 = 1;

/// Properties of one piece of work, an opening or a request on an open flow, that decide
/// its place in the order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuedWork {
    /// When the caller first sent the work, as far as that is known.
    pub first_sent: Instant,
    /// Desired time from `first_sent` to the answer.
    pub aim: Duration,
    /// Time from `first_sent` after which an answer is of no use any more.
    pub timeout: Duration,
    /// Expected time from delivery to the first byte of the answer.
    pub expected_time: Duration,
    /// Whether the work's route has a higher priority than another route of the same
    /// service.
    pub is_urgent: bool,
    /// Whether the work may be delivered now. False for an opening while a cold target
    /// has reached its limit of requests per second.
    pub is_eligible: bool,
}

/// Groups of work; greater groups are served first. Work is in time if it can be answered
/// within its aim.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WorkGroup {
    /// Cannot be in time, and its route is not urgent.
    Late,
    /// Cannot be in time, and its route is urgent.
    LateUrgent,
    /// Can be in time, and its route is not urgent.
    InTime,
    /// Can be in time, and its route is urgent.
    InTimeUrgent,
}

impl WorkGroup {
    /// The group of work that can or cannot be in time, of an urgent route or another
    /// one.
    pub(crate) fn from_flags(is_in_time: bool, is_urgent: bool) -> Self {
        match (is_in_time, is_urgent) {
            (true, true) => Self::InTimeUrgent,
            (true, false) => Self::InTime,
            (false, true) => Self::LateUrgent,
            (false, false) => Self::Late,
        }
    }

    /// The group of less urgent work of the same lateness; `None` for a group of less
    /// urgent work.
    fn less_urgent(self) -> Option<Self> {
        match self {
            Self::InTimeUrgent => Some(Self::InTime),
            Self::LateUrgent => Some(Self::Late),
            Self::InTime | Self::Late => None,
        }
    }
}

impl QueuedWork {
    /// The group of this work.
    #[must_use]
    pub fn group(&self, now: Instant) -> WorkGroup {
        let is_in_time = now.since(self.first_sent) + self.expected_time <= self.aim;
        WorkGroup::from_flags(is_in_time, self.is_urgent)
    }

    /// Rank within the group; the greatest is served first.
    fn rank(&self, now: Instant) -> (bool, Reverse<Instant>, Instant) {
        let spent = now.since(self.first_sent) + self.expected_time;
        let limit = if spent <= self.aim {
            self.aim
        } else {
            self.timeout
        };
        let has_margin = spent + self.expected_time * DEADLINE_MARGIN_FACTOR <= limit;
        let deadline = if has_margin {
            self.first_sent + limit
        } else {
            Instant::ORIGIN
        };
        (has_margin, Reverse(deadline), self.first_sent)
    }

    /// How long the work may still be queued if it is to be in time.
    fn slack_time(&self, now: Instant) -> Duration {
        let spent = now.since(self.first_sent) + self.expected_time;
        self.aim.saturating_sub(spent)
    }
}

/// Chooses the work that is delivered next, and counts the slots towards the share of
/// less urgent work.
#[derive(Clone, Debug, Default)]
pub struct ServingOrder {
    /// Slots given to urgent work since less urgent work of the same lateness (both in
    /// time, or both late) last got one; zero while no such work is queued.
    slots_since_share: u32,
}

impl ServingOrder {
    /// Index of the work that is delivered next to a target with this many slots; `None`
    /// when no queued work may be delivered.
    pub fn choose(&mut self, queued: &[QueuedWork], slots: u16, now: Instant) -> Option<usize> {
        let first = best_index(queued, now, |_| true)?;
        let first_group = queued[first].group(now);
        let lesser_group = first_group.less_urgent();
        let Some(less_urgent) = best_index(queued, now, |group| Some(group) == lesser_group) else {
            self.slots_since_share = 0;
            return Some(first);
        };
        self.slots_since_share += 1;
        let is_share_due = self.slots_since_share >= SHARE_PERIOD_SLOTS;
        if is_share_due && has_slack_for(&queued[less_urgent], queued, slots, now) {
            self.slots_since_share = 0;
            return Some(less_urgent);
        }
        Some(first)
    }
}

/// Index of the work that is served first among the eligible work of the groups for which
/// `is_considered` holds.
fn best_index(
    queued: &[QueuedWork],
    now: Instant,
    is_considered: impl Fn(WorkGroup) -> bool,
) -> Option<usize> {
    queued
        .iter()
        .enumerate()
        .filter(|(_, work)| work.is_eligible && is_considered(work.group(now)))
        .max_by_key(|(_, work)| (work.group(now), work.rank(now)))
        .map(|(index, _)| index)
}

/// Whether all urgent work that can be in time would still be in time if `other` were
/// delivered first.
fn has_slack_for(other: &QueuedWork, queued: &[QueuedWork], slots: u16, now: Instant) -> bool {
    let mut urgent: Vec<&QueuedWork> = queued
        .iter()
        .filter(|work| work.group(now) == WorkGroup::InTimeUrgent)
        .collect();
    urgent.sort_by_key(|work| work.slack_time(now));
    let slots = u32::from(slots.max(1));
    let mut work_ahead = other.expected_time;
    urgent.iter().all(|work| {
        // Estimate: a slot becomes free within the expected time of `other`. The work
        // ahead, which includes `other` itself, is then spread over all slots.
        let begins_after = other.expected_time + work_ahead / slots;
        work_ahead += work.expected_time;
        begins_after <= work.slack_time(now)
    })
}

/// Expected time from now until a target with this many slots has served all queued work
/// of greater groups than that of `work`.
#[must_use]
pub fn expected_wait(
    work: &QueuedWork,
    queued: &[QueuedWork],
    slots: u16,
    now: Instant,
) -> Duration {
    let group = work.group(now);
    let work_ahead: Duration = queued
        .iter()
        .filter(|other| other.group(now) > group)
        .map(|other| other.expected_time)
        .sum();
    work_ahead / u32::from(slots.max(1))
}
