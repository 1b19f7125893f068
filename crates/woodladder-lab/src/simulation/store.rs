//! The key-value service: compare-and-swap by modify index, blocking reads,
//! outages, rate limits, lost answers and unreliable watches.

use std::collections::BTreeMap;
use std::time::Duration;

use borsh::BorshDeserialize as _;
use woodladder_core::clock::Instant;
use woodladder_core::configuration::roll_record::{RollStatement, StoredRoll};
use woodladder_core::control::store_operation::{
    StoreAnswer, StoreIndex, StoreKey, StoreOperation, StoreRequestId,
};

use super::random::Random;
use super::topology::Machine;

/// Longest time that a blocking read waits.
pub const LONGEST_WAIT: Duration = Duration::from_secs(10);

const SERVICE_TIME: Duration = Duration::from_millis(2);
const RETRY_AFTER: Duration = Duration::from_secs(1);
const LATE_WATCH: Duration = Duration::from_secs(6);

/// How the service misbehaves, probabilities in thousandths.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreFaults {
    /// It cannot be reached.
    pub down: bool,
    /// Further time for each answer.
    pub slow: Duration,
    /// It refuses a request.
    pub rate_limit: u32,
    /// It executes a write and loses the answer.
    pub lost_write: u32,
    /// It loses a request before it executes it.
    pub lost_request: u32,
    /// It goes down at the next swap of the roll in force: with its effect or
    /// without.
    pub down_at_swap: Option<bool>,
    /// It answers a blocking read late.
    pub watch_late: u32,
    /// It answers a blocking read twice.
    pub watch_twice: u32,
    /// It never answers a blocking read.
    pub watch_never: u32,
}

/// Who asked, and under which number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Client {
    /// The machine.
    pub machine: Machine,
    /// Run of the process on it.
    pub run: u32,
    /// Number of the request.
    pub request: StoreRequestId,
}

/// An answer on its way.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Time until the service sends it.
    pub after: Duration,
    /// Who gets it.
    pub client: Client,
    /// The answer.
    pub answer: StoreAnswer,
}

/// What a request leads to.
#[derive(Clone, Debug, Default)]
pub struct Handled {
    /// Answers.
    pub replies: Vec<Reply>,
    /// The roll that was accepted, if one was.
    pub accepted: Option<RollStatement>,
    /// Whether the answer to a write was lost.
    pub lost: bool,
}

#[derive(Clone, Copy, Debug)]
struct Watch {
    client: Client,
    key: StoreKey,
    after: StoreIndex,
    expires: Instant,
}

#[derive(Clone, Debug)]
struct StoredEntry {
    index: StoreIndex,
    value: Vec<u8>,
}

/// The service.
#[derive(Debug)]
pub struct Store {
    /// How it misbehaves.
    pub faults: StoreFaults,
    entries: BTreeMap<StoreKey, StoredEntry>,
    last_index: u64,
    watches: Vec<Watch>,
    random: Random,
}

impl Store {
    /// An empty service without faults.
    #[must_use]
    pub fn new(random: Random) -> Self {
        Self {
            faults: StoreFaults::default(),
            entries: BTreeMap::new(),
            last_index: 0,
            watches: Vec::new(),
            random,
        }
    }

    /// Takes a request in.
    pub fn handle(&mut self, client: Client, operation: StoreOperation, now: Instant) -> Handled {
        if self.faults.down {
            return self.only(client, StoreAnswer::Unreachable);
        }
        if self.random.chance(self.faults.rate_limit) {
            let retry_after = Some(RETRY_AFTER);
            return self.only(client, StoreAnswer::RateLimited { retry_after });
        }
        if self.random.chance(self.faults.lost_request) {
            return self.only(client, StoreAnswer::Unknown);
        }
        match operation {
            StoreOperation::Read { key, wait } => self.read(client, key, wait, now),
            StoreOperation::CompareAndSwap {
                key,
                expected,
                value,
            } => self.swap(client, key, expected, value),
        }
    }

    /// Answers blocking reads that have waited long enough.
    pub fn expire(&mut self, now: Instant) -> Vec<Reply> {
        let (expired, kept) = self
            .watches
            .iter()
            .partition(|watch| watch.expires <= now || self.faults.down);
        self.watches = kept;
        let expired: Vec<Watch> = expired;
        expired
            .into_iter()
            .map(|watch| {
                let answer = if self.faults.down {
                    StoreAnswer::Unknown
                } else {
                    self.look_up(watch.key)
                };
                self.reply(watch.client, answer)
            })
            .collect()
    }

    fn read(
        &mut self,
        client: Client,
        key: StoreKey,
        wait: Option<StoreIndex>,
        now: Instant,
    ) -> Handled {
        let index = self.index_of(key);
        if let Some(after) = wait
            && index <= after
        {
            self.watches.push(Watch {
                client,
                key,
                after,
                expires: now + LONGEST_WAIT,
            });
            return Handled::default();
        }
        let answer = self.look_up(key);
        self.only(client, answer)
    }

    fn swap(
        &mut self,
        client: Client,
        key: StoreKey,
        expected: StoreIndex,
        value: Vec<u8>,
    ) -> Handled {
        if self.index_of(key) != expected {
            return self.only(client, StoreAnswer::Conflict);
        }
        let accepted = accepted_roll(key, &value);
        let goes_down = self.faults.down_at_swap.filter(|_| accepted.is_some());
        if let Some(effect) = goes_down {
            self.faults.down = true;
            if !effect {
                return self.only(client, StoreAnswer::Unknown);
            }
        }
        self.last_index += 1;
        let index = StoreIndex(self.last_index);
        self.entries.insert(key, StoredEntry { index, value });
        let mut replies = self.fire_watches(key);
        let lost = goes_down.is_some() || self.random.chance(self.faults.lost_write);
        if lost {
            replies.push(self.reply(client, StoreAnswer::Unknown));
        } else {
            replies.push(self.reply(client, StoreAnswer::Written));
        }
        Handled {
            replies,
            accepted,
            lost,
        }
    }

    fn fire_watches(&mut self, key: StoreKey) -> Vec<Reply> {
        let index = self.index_of(key);
        let fires = |watch: &Watch| watch.key == key && index > watch.after;
        let (fired, kept): (Vec<Watch>, Vec<Watch>) = self.watches.iter().partition(|w| fires(w));
        self.watches = kept;
        let mut replies = Vec::new();
        for watch in fired {
            self.fire(watch, &mut replies);
        }
        replies
    }

    fn fire(&mut self, watch: Watch, replies: &mut Vec<Reply>) {
        if self.random.chance(self.faults.watch_never) {
            return;
        }
        let answer = self.look_up(watch.key);
        let mut reply = self.reply(watch.client, answer);
        if self.random.chance(self.faults.watch_late) {
            reply.after += self.random.between(Duration::ZERO, LATE_WATCH);
        }
        if self.random.chance(self.faults.watch_twice) {
            let mut second = reply.clone();
            second.after += self.random.between(Duration::ZERO, LATE_WATCH);
            replies.push(second);
        }
        replies.push(reply);
    }

    fn index_of(&self, key: StoreKey) -> StoreIndex {
        let entry = self.entries.get(&key);
        entry.map_or(StoreIndex::default(), |entry| entry.index)
    }

    fn look_up(&self, key: StoreKey) -> StoreAnswer {
        match self.entries.get(&key) {
            Some(entry) => StoreAnswer::Value {
                index: entry.index,
                value: entry.value.clone(),
            },
            None => StoreAnswer::NotFound,
        }
    }

    fn only(&self, client: Client, answer: StoreAnswer) -> Handled {
        Handled {
            replies: vec![self.reply(client, answer)],
            accepted: None,
            lost: false,
        }
    }

    fn reply(&self, client: Client, answer: StoreAnswer) -> Reply {
        Reply {
            after: SERVICE_TIME + self.faults.slow,
            client,
            answer,
        }
    }
}

/// The roll that a write accepts.
fn accepted_roll(key: StoreKey, value: &[u8]) -> Option<RollStatement> {
    if key != StoreKey::Current {
        return None;
    }
    let stored = StoredRoll::try_from_slice(value).ok()?;
    Some(stored.record.statement)
}
