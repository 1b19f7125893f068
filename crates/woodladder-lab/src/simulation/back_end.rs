//! The back end model: slots, cold start, shedding, and answers that are late,
//! half or broken off.

use std::collections::BTreeMap;
use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_core::identifier::TargetId;

use super::frame::RequestFrame;
use super::log::{AttemptId, Entry, Log, OperationId};
use super::random::Random;

const CONNECT_TIME: Duration = Duration::from_micros(200);
const LEAST_SERVICE_MILLISECONDS: u64 = 15;
const MOST_SERVICE_MILLISECONDS: u64 = 90;
const COLD_FACTOR: u32 = 5;
const LATE_FACTOR: u32 = 30;
const SHED_RETRY: Duration = Duration::from_secs(1);
const FEED_INTERVAL: Duration = Duration::from_millis(500);
const FEED_PARTS: u32 = 70;
const FEED_PART_LENGTH: u32 = 64;
const ANSWER_PARTS: u32 = 3;

/// Identifies one connection between an agent and its back end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(pub u64);

/// How often a back end misbehaves, in thousandths of its requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BackEndFaults {
    /// It refuses a request though it has a free slot.
    pub shed: u32,
    /// It answers late.
    pub late: u32,
    /// It ends an answer before it is whole.
    pub half: u32,
    /// It closes the connection at a random moment.
    pub closes: u32,
}

/// What an agent sees of its back end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackEndStep {
    /// The connection is open.
    Connected,
    /// The connection could not be opened, or broke.
    Broken,
    /// The head of an answer.
    Head {
        /// Whether the answer is a feed.
        feed: bool,
    },
    /// A part of an answer.
    Part {
        /// Attempt that it was made for.
        made_for: AttemptId,
        /// Length in bytes.
        length: u32,
    },
    /// The end of an answer.
    End {
        /// Whether it is whole.
        complete: bool,
    },
    /// The back end refuses the request without running it.
    Refused {
        /// When it may be asked again.
        retry_after: Duration,
    },
}

/// Steps with the time until each.
pub type Schedule = Vec<(Duration, BackEndStep)>;

/// One back end.
#[derive(Debug)]
pub struct BackEnd {
    target: TargetId,
    slots: u16,
    up: bool,
    cold_until: Instant,
    /// How often it misbehaves.
    pub faults: BackEndFaults,
    /// Open connections, and whether a request holds a slot on each.
    connections: BTreeMap<ConnectionId, bool>,
    next_connection: u64,
    random: Random,
}

impl BackEnd {
    /// A back end that is up and warm.
    #[must_use]
    pub fn new(target: TargetId, slots: u16, random: Random) -> Self {
        Self {
            target,
            slots,
            up: true,
            cold_until: Instant::ORIGIN,
            faults: BackEndFaults::default(),
            connections: BTreeMap::new(),
            next_connection: 0,
            random,
        }
    }

    /// The target that it is.
    #[must_use]
    pub fn target(&self) -> TargetId {
        self.target
    }

    /// Whether it is up.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Requests that hold a slot.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.connections.values().filter(|busy| **busy).count()
    }

    /// Slots.
    #[must_use]
    pub fn slots(&self) -> u16 {
        self.slots
    }

    /// Ends the process, and gives the connections that break.
    pub fn crash(&mut self) -> Vec<ConnectionId> {
        self.up = false;
        let broken = self.connections.keys().copied().collect();
        self.connections.clear();
        broken
    }

    /// Keeps a connection known until its end is delivered.
    pub fn reopen_to_break(&mut self, connection: ConnectionId) {
        self.connections.insert(connection, false);
    }

    /// Closes all connections, because the agent is gone.
    pub fn close_all(&mut self) {
        self.connections.clear();
    }

    /// Starts the process, cold for a while.
    pub fn start(&mut self, now: Instant, cold_time: Duration) {
        self.up = true;
        self.cold_until = now + cold_time;
    }

    /// Opens a connection.
    pub fn connect(&mut self) -> (ConnectionId, Schedule) {
        self.next_connection += 1;
        let connection = ConnectionId(self.next_connection);
        self.connections.insert(connection, false);
        let step = if self.up {
            BackEndStep::Connected
        } else {
            BackEndStep::Broken
        };
        (connection, vec![(CONNECT_TIME, step)])
    }

    /// Whether a connection is open.
    #[must_use]
    pub fn is_open(&self, connection: ConnectionId) -> bool {
        self.connections.contains_key(&connection)
    }

    /// Closes a connection; nothing more comes from it.
    pub fn close(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
    }

    /// Takes note that a step was delivered.
    pub fn delivered(&mut self, connection: ConnectionId, step: &BackEndStep) {
        match step {
            BackEndStep::End { complete: true } => {
                self.connections.insert(connection, false);
            }
            BackEndStep::End { complete: false } | BackEndStep::Broken => {
                self.connections.remove(&connection);
            }
            _ => {}
        }
    }

    /// Takes a request in on a connection.
    pub fn request(
        &mut self,
        connection: ConnectionId,
        request: &RequestFrame,
        now: Instant,
        log: &mut Log,
    ) -> Schedule {
        if !self.up || !self.is_open(connection) {
            return vec![(CONNECT_TIME, BackEndStep::Broken)];
        }
        let full = self.busy() >= usize::from(self.slots);
        if full || self.random.chance(self.faults.shed) {
            let retry_after = SHED_RETRY;
            return vec![(CONNECT_TIME, BackEndStep::Refused { retry_after })];
        }
        let entry = Entry::Executed {
            attempt: AttemptId(request.attempt),
            operation: OperationId(request.operation),
            target: self.target,
        };
        log.add(now, entry);
        if request.feed {
            return feed_schedule(request);
        }
        self.connections.insert(connection, true);
        let service_time = self.service_time(now);
        let schedule = self.answer_schedule(request, service_time);
        self.spoil(schedule, service_time, request, now, log)
    }

    fn service_time(&mut self, now: Instant) -> Duration {
        let least = LEAST_SERVICE_MILLISECONDS;
        let mut time = self.random.milliseconds(least, MOST_SERVICE_MILLISECONDS);
        if now < self.cold_until {
            time *= COLD_FACTOR;
        }
        if self.random.chance(self.faults.late) {
            time *= LATE_FACTOR;
        }
        time
    }

    fn answer_schedule(&mut self, request: &RequestFrame, service_time: Duration) -> Schedule {
        let mut schedule = vec![(service_time / 2, BackEndStep::Head { feed: false })];
        let part = request.answer_length / ANSWER_PARTS;
        let last = request.answer_length - part * (ANSWER_PARTS - 1);
        for index in 1..=ANSWER_PARTS {
            let length = if index == ANSWER_PARTS { last } else { part };
            let at = service_time / 2 + service_time / 2 * index / ANSWER_PARTS;
            let made_for = AttemptId(request.attempt);
            schedule.push((at, BackEndStep::Part { made_for, length }));
        }
        schedule.push((service_time, BackEndStep::End { complete: true }));
        schedule
    }

    /// Breaks an answer off at a random place, when that fault is drawn.
    fn spoil(
        &mut self,
        mut schedule: Schedule,
        service_time: Duration,
        request: &RequestFrame,
        now: Instant,
        log: &mut Log,
    ) -> Schedule {
        let half = self.random.chance(self.faults.half);
        let closes = self.random.chance(self.faults.closes);
        if !half && !closes {
            return schedule;
        }
        let attempt = AttemptId(request.attempt);
        log.add(now, Entry::Spoiled { attempt });
        let kept = self.random.below(schedule.len() - 1);
        schedule.truncate(kept);
        let step = if half {
            BackEndStep::End { complete: false }
        } else {
            BackEndStep::Broken
        };
        schedule.push((service_time, step));
        schedule
    }
}

fn feed_schedule(request: &RequestFrame) -> Schedule {
    let mut schedule = vec![(FEED_INTERVAL / 20, BackEndStep::Head { feed: true })];
    let made_for = AttemptId(request.attempt);
    for index in 1..=FEED_PARTS {
        let part = BackEndStep::Part {
            made_for,
            length: FEED_PART_LENGTH,
        };
        schedule.push((FEED_INTERVAL * index, part));
    }
    schedule
}
