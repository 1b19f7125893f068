//! Contents of the key-value service: entries, sessions and the index. No I/O, no clock.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use woodladder_core::clock::Instant;

/// Index before the first write; zero means "absent" in a compare-and-swap.
const FIRST_INDEX: u64 = 1;

/// Name of a session (a lease holder).
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SessionId(pub String);

impl SessionId {
    fn numbered(number: u64) -> Self {
        Self(format!("{number:08x}-0000-4000-8000-{number:012x}"))
    }
}

impl fmt::Display for SessionId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// One key's value and indexes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreEntry {
    /// The value, as written.
    pub value: Vec<u8>,
    /// Index of the write that created the key.
    pub create_index: u64,
    /// Index of the last change.
    pub modify_index: u64,
    /// How often the key was locked.
    pub lock_index: u64,
    /// The session which holds the key.
    pub session: Option<SessionId>,
}

/// When a value is written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PutCondition {
    /// Always.
    Always,
    /// When the key's modify index is this; zero means that the key must be absent.
    ModifyIndex(u64),
    /// When no other session holds the key; the session then holds it.
    Acquire(SessionId),
    /// When the session holds the key; it is then free.
    Release(SessionId),
}

/// When a key is deleted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeleteCondition {
    /// Always.
    Always,
    /// When the key's modify index is this.
    ModifyIndex(u64),
}

/// What is asked of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreOperation {
    /// Read a key.
    Get {
        /// The key.
        key: String,
    },
    /// Write a key.
    Put {
        /// The key.
        key: String,
        /// Its new value.
        value: Vec<u8>,
        /// When to write.
        condition: PutCondition,
    },
    /// Delete a key.
    Delete {
        /// The key.
        key: String,
        /// When to delete.
        condition: DeleteCondition,
    },
    /// Open a session which lapses unless renewed.
    CreateSession {
        /// Time until it lapses; `None` for never.
        time_to_live: Option<Duration>,
    },
    /// Renew a session.
    RenewSession {
        /// The session.
        session: SessionId,
    },
    /// End a session.
    DestroySession {
        /// The session.
        session: SessionId,
    },
}

/// What became of an operation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreOutcome {
    /// The key's entry, `None` when absent, and the index to watch from.
    Read {
        /// The entry.
        entry: Option<StoreEntry>,
        /// The key's modify index, or the store's index when the key is absent.
        index: u64,
    },
    /// The write took effect.
    Written {
        /// Its index.
        index: u64,
    },
    /// The condition did not hold; nothing changed.
    ConditionFailed,
    /// The value is larger than the limit; nothing changed.
    ValueTooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The session is unknown or has lapsed; nothing changed.
    UnknownSession,
    /// The session was opened.
    SessionCreated {
        /// Its name.
        session: SessionId,
    },
    /// The session was renewed.
    SessionRenewed {
        /// Time until it lapses.
        time_to_live: Option<Duration>,
    },
    /// The session is gone.
    SessionDestroyed,
}

#[derive(Clone, Debug)]
struct Session {
    time_to_live: Option<Duration>,
    lapses_at: Option<Instant>,
}

/// The contents of the store.
#[derive(Clone, Debug)]
pub struct StoreState {
    index: u64,
    value_limit: usize,
    entries: BTreeMap<String, StoreEntry>,
    sessions: BTreeMap<SessionId, Session>,
    sessions_created: u64,
}

impl StoreState {
    /// An empty store which takes values of at most `value_limit` bytes.
    #[must_use]
    pub fn new(value_limit: usize) -> Self {
        Self {
            index: FIRST_INDEX,
            value_limit,
            entries: BTreeMap::new(),
            sessions: BTreeMap::new(),
            sessions_created: 0,
        }
    }

    /// Index of the last change.
    #[must_use]
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Carries out one operation, after the sessions which have lapsed by `now` are ended.
    pub fn apply(&mut self, operation: StoreOperation, now: Instant) -> StoreOutcome {
        self.expire(now);
        match operation {
            StoreOperation::Get { key } => self.get(&key),
            StoreOperation::Put {
                key,
                value,
                condition,
            } => self.put(key, value, condition),
            StoreOperation::Delete { key, condition } => self.delete(&key, condition),
            StoreOperation::CreateSession { time_to_live } => {
                self.create_session(time_to_live, now)
            }
            StoreOperation::RenewSession { session } => self.renew_session(&session, now),
            StoreOperation::DestroySession { session } => self.destroy_session(&session),
        }
    }

    /// When the next session lapses.
    #[must_use]
    pub fn next_lapse(&self) -> Option<Instant> {
        self.sessions
            .values()
            .filter_map(|session| session.lapses_at)
            .min()
    }

    /// Ends the sessions which have lapsed, and frees the keys they held.
    pub fn expire(&mut self, now: Instant) {
        let lapsed: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.lapses_at.is_some_and(|at| at <= now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in lapsed {
            self.end_session(&name);
        }
    }

    fn get(&self, key: &str) -> StoreOutcome {
        let entry = self.entries.get(key).cloned();
        let index = entry
            .as_ref()
            .map_or(self.index, |entry| entry.modify_index);
        StoreOutcome::Read { entry, index }
    }

    fn put(&mut self, key: String, value: Vec<u8>, condition: PutCondition) -> StoreOutcome {
        if value.len() > self.value_limit {
            return StoreOutcome::ValueTooLarge {
                limit: self.value_limit,
            };
        }
        if let PutCondition::Acquire(session) | PutCondition::Release(session) = &condition
            && !self.sessions.contains_key(session)
        {
            return StoreOutcome::UnknownSession;
        }
        let current = self.entries.get(&key);
        if !put_condition_holds(&condition, current) {
            return StoreOutcome::ConditionFailed;
        }
        self.index += 1;
        let entry = changed_entry(current, value, condition, self.index);
        self.entries.insert(key, entry);
        StoreOutcome::Written { index: self.index }
    }

    fn delete(&mut self, key: &str, condition: DeleteCondition) -> StoreOutcome {
        let current = self.entries.get(key).map_or(0, |entry| entry.modify_index);
        if let DeleteCondition::ModifyIndex(expected) = condition
            && expected != current
        {
            return StoreOutcome::ConditionFailed;
        }
        if self.entries.remove(key).is_some() {
            self.index += 1;
        }
        StoreOutcome::Written { index: self.index }
    }

    fn create_session(&mut self, time_to_live: Option<Duration>, now: Instant) -> StoreOutcome {
        self.sessions_created += 1;
        let name = SessionId::numbered(self.sessions_created);
        let session = Session {
            time_to_live,
            lapses_at: time_to_live.map(|time| now + time),
        };
        self.sessions.insert(name.clone(), session);
        StoreOutcome::SessionCreated { session: name }
    }

    fn renew_session(&mut self, name: &SessionId, now: Instant) -> StoreOutcome {
        let Some(session) = self.sessions.get_mut(name) else {
            return StoreOutcome::UnknownSession;
        };
        session.lapses_at = session.time_to_live.map(|time| now + time);
        StoreOutcome::SessionRenewed {
            time_to_live: session.time_to_live,
        }
    }

    fn destroy_session(&mut self, name: &SessionId) -> StoreOutcome {
        self.end_session(name);
        StoreOutcome::SessionDestroyed
    }

    fn end_session(&mut self, name: &SessionId) {
        if self.sessions.remove(name).is_none() {
            return;
        }
        for entry in self.entries.values_mut() {
            if entry.session.as_ref() == Some(name) {
                self.index += 1;
                entry.session = None;
                entry.modify_index = self.index;
            }
        }
    }
}

fn put_condition_holds(condition: &PutCondition, current: Option<&StoreEntry>) -> bool {
    let holder = current.and_then(|entry| entry.session.as_ref());
    match condition {
        PutCondition::Always => true,
        PutCondition::ModifyIndex(expected) => {
            *expected == current.map_or(0, |entry| entry.modify_index)
        }
        PutCondition::Acquire(session) => holder.is_none_or(|holder| holder == session),
        PutCondition::Release(session) => holder == Some(session),
    }
}

fn changed_entry(
    current: Option<&StoreEntry>,
    value: Vec<u8>,
    condition: PutCondition,
    index: u64,
) -> StoreEntry {
    let held_by = current.and_then(|entry| entry.session.clone());
    let lock_index = current.map_or(0, |entry| entry.lock_index);
    let (session, lock_index) = match condition {
        PutCondition::Always | PutCondition::ModifyIndex(_) => (held_by, lock_index),
        PutCondition::Acquire(session) => {
            let newly_held = held_by.as_ref() != Some(&session);
            (Some(session), lock_index + u64::from(newly_held))
        }
        PutCondition::Release(_) => (None, lock_index),
    };
    StoreEntry {
        value,
        create_index: current.map_or(index, |entry| entry.create_index),
        modify_index: index,
        lock_index,
        session,
    }
}
