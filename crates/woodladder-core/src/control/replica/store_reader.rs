//! Decides when a node reads the current entry of the key-value service.
//!
//! All nodes together stay within a shared rate. In a large deployment each
//! node therefore reads rarely and receives rolls from other nodes. Watches,
//! which are reads that wait for a change, only shorten the delay in small
//! deployments; correctness does not depend on them.

use std::time::Duration;

use rand::Rng;

use crate::clock::Instant;
use crate::control::replica::ReplicaTuning;
use crate::control::store_operation::{
    StoreAnswer, StoreIndex, StoreKey, StoreOperation, StoreRequestId,
};

/// Shortest mean time between two reads, or two watches, by one node.
const SHORTEST_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time to the next read.
const SHORTEST_READ_DELAY: Duration = Duration::from_millis(200);
/// Time to wait for the answer to a read.
const READ_TIME_LIMIT: Duration = Duration::from_secs(5);
/// Time to wait for the answer to a watch.
const WATCH_TIME_LIMIT: Duration = Duration::from_secs(90);
/// Mean time without requests after the first failed or rate-limited request;
/// each further failure in a row doubles it.
const FIRST_BACKOFF: Duration = Duration::from_secs(1);
/// Longest mean time without requests after failures. The time itself is at most
/// twice this, even if the key-value service asks for a longer one.
const LONGEST_BACKOFF: Duration = Duration::from_secs(60);
/// Largest number of times that [`FIRST_BACKOFF`] is doubled.
const MAXIMUM_BACKOFF_DOUBLINGS: u32 = 6;

/// A request that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    request: StoreRequestId,
    expires_at: Instant,
}

/// When the next reads are due, and which requests are outstanding.
#[derive(Clone, Debug)]
pub(super) struct StoreReader {
    reads_per_second: u32,
    maximum_watching_nodes: usize,
    watching: bool,
    next_read_at: Instant,
    read: Option<Outstanding>,
    next_watch_at: Instant,
    watch: Option<Outstanding>,
    last_index: Option<StoreIndex>,
    failures: u32,
    backoff_until: Instant,
}

impl StoreReader {
    /// A reader whose first read is due at once.
    pub(super) fn new(tuning: &ReplicaTuning, now: Instant) -> Self {
        Self {
            reads_per_second: tuning.store_reads_per_second.max(1),
            maximum_watching_nodes: tuning.maximum_watching_nodes,
            watching: false,
            next_read_at: now,
            read: None,
            next_watch_at: now,
            watch: None,
            last_index: None,
            failures: 0,
            backoff_until: now,
        }
    }

    /// Makes the next read due at once, though not before the end of a backoff.
    pub(super) fn schedule_read_now(&mut self, now: Instant) {
        self.next_read_at = now;
        self.read = None;
    }

    /// Returns the requests that are due, with identifiers from `next_id`.
    pub(super) fn due_requests(
        &mut self,
        known_nodes: usize,
        now: Instant,
        random: &mut impl Rng,
        mut next_id: impl FnMut() -> StoreRequestId,
    ) -> Vec<(StoreRequestId, StoreOperation)> {
        self.drop_expired(now);
        let mut due = Vec::new();
        if now < self.backoff_until {
            return due;
        }
        if self.read.is_none() && now >= self.next_read_at {
            let request = next_id();
            self.read = Some(outstanding(request, now + READ_TIME_LIMIT));
            self.next_read_at = now + self.time_to_next_read(known_nodes, random);
            due.push((request, read_current(None)));
        }
        self.watching = known_nodes <= self.maximum_watching_nodes;
        if let Some(index) = self.last_index.filter(|_| self.watch_is_due(now)) {
            let request = next_id();
            self.watch = Some(outstanding(request, now + WATCH_TIME_LIMIT));
            self.next_watch_at = now + jittered(SHORTEST_INTERVAL, random);
            due.push((request, read_current(Some(index))));
        }
        due
    }

    /// Records an answer; returns false when the request is not outstanding.
    pub(super) fn record_answer(
        &mut self,
        request: StoreRequestId,
        answer: &StoreAnswer,
        now: Instant,
        random: &mut impl Rng,
    ) -> bool {
        let answers_request = |outstanding: &Outstanding| outstanding.request == request;
        if self.read.as_ref().is_some_and(answers_request) {
            self.read = None;
        } else if self.watch.as_ref().is_some_and(answers_request) {
            self.watch = None;
        } else {
            return false;
        }
        match answer {
            StoreAnswer::Value { index, .. } => {
                self.last_index = self.last_index.max(Some(*index));
                self.failures = 0;
            }
            StoreAnswer::NotFound => self.failures = 0,
            StoreAnswer::RateLimited { retry_after } => self.back_off(*retry_after, now, random),
            _ => self.back_off(None, now, random),
        }
        true
    }

    /// When the reader next has something to do.
    pub(super) fn next_wakeup(&self) -> Instant {
        let read = self.read.map_or(self.next_read_at, |read| {
            read.expires_at.max(self.next_read_at)
        });
        let watch = match (self.watch, self.last_index) {
            (Some(watch), _) => watch.expires_at,
            (None, Some(_)) if self.watching => self.next_watch_at,
            (None, _) => read,
        };
        read.min(watch).max(self.backoff_until)
    }

    fn watch_is_due(&self, now: Instant) -> bool {
        self.watching && self.watch.is_none() && now >= self.next_watch_at
    }

    /// Time to the next read: random, up to twice the mean interval, so that
    /// the reads of nodes that started together spread out over time.
    fn time_to_next_read(&self, known_nodes: usize, random: &mut impl Rng) -> Duration {
        let interval = self.interval(known_nodes);
        let delay = interval.mul_f64(random.random_range(0.0..2.0));
        delay.max(SHORTEST_READ_DELAY)
    }

    fn interval(&self, known_nodes: usize) -> Duration {
        let nodes = u32::try_from(known_nodes + 1).unwrap_or(u32::MAX);
        let seconds = f64::from(nodes) / f64::from(self.reads_per_second);
        SHORTEST_INTERVAL.max(Duration::from_secs_f64(seconds))
    }

    fn drop_expired(&mut self, now: Instant) {
        let has_not_expired = |outstanding: &Outstanding| now < outstanding.expires_at;
        self.read = self.read.filter(has_not_expired);
        self.watch = self.watch.filter(has_not_expired);
    }

    fn back_off(&mut self, retry_after: Option<Duration>, now: Instant, random: &mut impl Rng) {
        let doublings = self.failures.min(MAXIMUM_BACKOFF_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let backoff = LONGEST_BACKOFF.min(FIRST_BACKOFF * 2_u32.pow(doublings));
        let wait = jittered(backoff, random).max(retry_after.unwrap_or_default());
        self.backoff_until = now + wait.min(LONGEST_BACKOFF * 2);
    }
}

fn outstanding(request: StoreRequestId, expires_at: Instant) -> Outstanding {
    Outstanding {
        request,
        expires_at,
    }
}

fn read_current(wait: Option<StoreIndex>) -> StoreOperation {
    StoreOperation::Read {
        key: StoreKey::Current,
        wait,
    }
}

/// The duration multiplied by a random factor between 0.5 and 1.5.
pub(super) fn jittered(duration: Duration, random: &mut impl Rng) -> Duration {
    duration.mul_f64(random.random_range(0.5..1.5))
}
