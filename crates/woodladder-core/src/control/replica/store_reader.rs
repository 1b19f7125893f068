//! Decides when a node reads the current entry of the key-value service.
//!
//! All nodes together stay within a rate, so a node of a large deployment
//! reads rarely and learns of rolls from others. Watches only shorten the wait
//! in small deployments; nothing rests on them.

use std::time::Duration;

use rand::Rng;

use crate::clock::Instant;
use crate::control::replica::ReplicaTuning;
use crate::control::store_operation::{
    StoreAnswer, StoreIndex, StoreKey, StoreOperation, StoreRequestId,
};

const SHORTEST_INTERVAL: Duration = Duration::from_secs(1);
const SHORTEST_PAUSE: Duration = Duration::from_millis(200);
const READ_TIME_LIMIT: Duration = Duration::from_secs(5);
const WATCH_TIME_LIMIT: Duration = Duration::from_secs(90);
const FIRST_BACKOFF: Duration = Duration::from_secs(1);
const LONGEST_BACKOFF: Duration = Duration::from_secs(60);
const LONGEST_BACKOFF_STEPS: u32 = 6;

/// A request without an answer so far.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    request: StoreRequestId,
    given_up_at: Instant,
}

/// When to read next, and what is under way.
#[derive(Clone, Debug)]
pub(super) struct StoreReader {
    reads_per_second: u32,
    watch_limit: usize,
    watching: bool,
    read_at: Instant,
    read: Option<Outstanding>,
    watch_at: Instant,
    watch: Option<Outstanding>,
    index: Option<StoreIndex>,
    failures: u32,
    blocked_until: Instant,
}

impl StoreReader {
    /// A reader that reads at once.
    pub(super) fn new(tuning: &ReplicaTuning, now: Instant) -> Self {
        Self {
            reads_per_second: tuning.store_reads_per_second.max(1),
            watch_limit: tuning.watch_limit,
            watching: false,
            read_at: now,
            read: None,
            watch_at: now,
            watch: None,
            index: None,
            failures: 0,
            blocked_until: now,
        }
    }

    /// Brings the next read forward, unless the service refuses for now.
    pub(super) fn read_soon(&mut self, now: Instant) {
        self.read_at = now;
        self.read = None;
    }

    /// The requests that are due, by the numbers that `number` gives out.
    pub(super) fn due(
        &mut self,
        known_nodes: usize,
        now: Instant,
        random: &mut impl Rng,
        mut number: impl FnMut() -> StoreRequestId,
    ) -> Vec<(StoreRequestId, StoreOperation)> {
        self.give_up_overdue(now);
        let mut due = Vec::new();
        if now < self.blocked_until {
            return due;
        }
        if self.read.is_none() && now >= self.read_at {
            let request = number();
            self.read = Some(outstanding(request, now + READ_TIME_LIMIT));
            self.read_at = now + self.pause(known_nodes, random);
            due.push((request, read_current(None)));
        }
        self.watching = known_nodes <= self.watch_limit;
        if let Some(index) = self.index.filter(|_| self.watch_is_due(now)) {
            let request = number();
            self.watch = Some(outstanding(request, now + WATCH_TIME_LIMIT));
            self.watch_at = now + jittered(SHORTEST_INTERVAL, random);
            due.push((request, read_current(Some(index))));
        }
        due
    }

    /// Takes note of an answer; false when it is not to a request under way.
    pub(super) fn answered(
        &mut self,
        request: StoreRequestId,
        answer: &StoreAnswer,
        now: Instant,
        random: &mut impl Rng,
    ) -> bool {
        let is = |outstanding: &Outstanding| outstanding.request == request;
        if self.read.as_ref().is_some_and(is) {
            self.read = None;
        } else if self.watch.as_ref().is_some_and(is) {
            self.watch = None;
        } else {
            return false;
        }
        match answer {
            StoreAnswer::Value { index, .. } => {
                self.index = self.index.max(Some(*index));
                self.failures = 0;
            }
            StoreAnswer::NotFound => self.failures = 0,
            StoreAnswer::RateLimited { retry_after } => self.back_off(*retry_after, now, random),
            _ => self.back_off(None, now, random),
        }
        true
    }

    /// When something is due next.
    pub(super) fn next_wakeup(&self) -> Instant {
        let read = self
            .read
            .map_or(self.read_at, |read| read.given_up_at.max(self.read_at));
        let watch = match (self.watch, self.index) {
            (Some(watch), _) => watch.given_up_at,
            (None, Some(_)) if self.watching => self.watch_at,
            (None, _) => read,
        };
        read.min(watch).max(self.blocked_until)
    }

    fn watch_is_due(&self, now: Instant) -> bool {
        self.watching && self.watch.is_none() && now >= self.watch_at
    }

    /// Time to the next read: anything up to twice the interval, so that nodes
    /// which started together still read at all times.
    fn pause(&self, known_nodes: usize, random: &mut impl Rng) -> Duration {
        let interval = self.interval(known_nodes);
        let pause = interval.mul_f64(random.random_range(0.0..2.0));
        pause.max(SHORTEST_PAUSE)
    }

    fn interval(&self, known_nodes: usize) -> Duration {
        let nodes = u32::try_from(known_nodes + 1).unwrap_or(u32::MAX);
        let seconds = f64::from(nodes) / f64::from(self.reads_per_second);
        SHORTEST_INTERVAL.max(Duration::from_secs_f64(seconds))
    }

    fn give_up_overdue(&mut self, now: Instant) {
        let waits = |outstanding: &Outstanding| now < outstanding.given_up_at;
        self.read = self.read.filter(waits);
        self.watch = self.watch.filter(waits);
    }

    fn back_off(&mut self, retry_after: Option<Duration>, now: Instant, random: &mut impl Rng) {
        let steps = self.failures.min(LONGEST_BACKOFF_STEPS);
        self.failures = self.failures.saturating_add(1);
        let backoff = LONGEST_BACKOFF.min(FIRST_BACKOFF * 2_u32.pow(steps));
        let wait = jittered(backoff, random).max(retry_after.unwrap_or_default());
        self.blocked_until = now + wait.min(LONGEST_BACKOFF * 2);
    }
}

fn outstanding(request: StoreRequestId, given_up_at: Instant) -> Outstanding {
    Outstanding {
        request,
        given_up_at,
    }
}

fn read_current(wait: Option<StoreIndex>) -> StoreOperation {
    StoreOperation::Read {
        key: StoreKey::Current,
        wait,
    }
}

/// Between half and one and a half of a time.
pub(super) fn jittered(time: Duration, random: &mut impl Rng) -> Duration {
    time.mul_f64(random.random_range(0.5..1.5))
}
