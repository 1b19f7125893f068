//! Entries, leases, history and faults of the store, apart from HTTP.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

/// Changes that the store remembers.
const HISTORY: usize = 1000;

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// It works.
    #[default]
    None,
    /// It refuses with 503.
    Busy,
    /// It refuses with 429.
    Throttled,
    /// It closes connections without an answer.
    Closed,
    /// It carries writes out and answers none of them.
    AnswersLost,
    /// It answers no watch that finds a change, and all other calls.
    ChangesUnanswered,
}

/// An entry.
#[derive(Clone, Debug)]
pub struct Entry {
    pub value: String,
    pub revision: u64,
    pub made: u64,
    pub lease: u64,
}

/// A change: the entry as written, or `None` when it has gone.
#[derive(Clone, Debug)]
pub struct Change {
    pub key: String,
    pub revision: u64,
    pub entry: Option<Entry>,
}

#[derive(Clone, Debug)]
struct Lease {
    lifetime: Duration,
    ends_at: Instant,
}

/// The store.
#[derive(Debug, Default)]
pub struct StoreState {
    pub fault: StoreFault,
    pub calls: u64,
    /// Prefix of keys that are lost although their writes were acknowledged.
    pub lost_prefix: Option<&'static str>,
    /// Leases that ended without having been revoked.
    pub lapsed_leases: u64,
    /// Longest time between two renewals of one lease.
    pub longest_renewal_gap: Duration,
    revision: u64,
    entries: BTreeMap<String, Entry>,
    history: VecDeque<Change>,
    forgotten_before: u64,
    leases: BTreeMap<u64, Lease>,
}

impl StoreState {
    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// An entry.
    pub fn get(&mut self, key: &str) -> Option<Entry> {
        self.end_leases();
        self.entries.get(key).cloned()
    }

    /// Entries whose keys begin so.
    pub fn range(&mut self, prefix: &str) -> Vec<(String, Entry)> {
        self.end_leases();
        self.entries
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, entry)| (key.clone(), entry.clone()))
            .collect()
    }

    /// Changes after a revision, or `None` when they are forgotten.
    pub fn changes(&mut self, prefix: &str, after: u64) -> Option<Vec<Change>> {
        self.end_leases();
        if after < self.forgotten_before {
            return None;
        }
        let later = self.history.iter().filter(|change| change.revision > after);
        let matching = later.filter(|change| change.key.starts_with(prefix));
        Some(matching.cloned().collect())
    }

    /// Forgets all history.
    pub fn forget_history(&mut self) {
        self.forgotten_before = self.revision;
        self.history.clear();
    }

    /// Writes an entry; `false` when there is no such lease.
    pub fn put(&mut self, key: &str, value: &str, lease: u64) -> bool {
        self.end_leases();
        if lease != 0 && !self.leases.contains_key(&lease) {
            return false;
        }
        self.revision += 1;
        let made = self.entries.get(key).map_or(self.revision, |old| old.made);
        let entry = Entry {
            value: value.to_owned(),
            revision: self.revision,
            made,
            lease,
        };
        if self
            .lost_prefix
            .is_some_and(|prefix| key.starts_with(prefix))
        {
            return true;
        }
        self.entries.insert(key.to_owned(), entry.clone());
        self.record(key, Some(entry));
        true
    }

    /// Removes an entry.
    pub fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.revision += 1;
            self.record(key, None);
        }
    }

    /// Grants a lease.
    pub fn grant(&mut self, lifetime: Duration) -> u64 {
        let lease = self.revision * 1000 + u64::try_from(self.leases.len()).unwrap_or(0) + 1;
        let ends_at = Instant::now() + lifetime;
        self.leases.insert(lease, Lease { lifetime, ends_at });
        lease
    }

    /// Renews a lease; `None` when it has ended.
    pub fn renew(&mut self, lease: u64) -> Option<Duration> {
        self.end_leases();
        let lease = self.leases.get_mut(&lease)?;
        let ends_at = Instant::now() + lease.lifetime;
        let gap = ends_at.duration_since(lease.ends_at);
        self.longest_renewal_gap = self.longest_renewal_gap.max(gap);
        lease.ends_at = ends_at;
        Some(lease.lifetime)
    }

    /// Ends a lease with its entries.
    pub fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        self.drop_entries_of(&BTreeSet::from([lease]));
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended: BTreeSet<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now)
            .map(|(lease, _)| *lease)
            .collect();
        self.lapsed_leases += u64::try_from(ended.len()).unwrap_or(0);
        self.leases.retain(|lease, _| !ended.contains(lease));
        self.drop_entries_of(&ended);
    }

    fn drop_entries_of(&mut self, leases: &BTreeSet<u64>) {
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| leases.contains(&entry.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn record(&mut self, key: &str, entry: Option<Entry>) {
        if self.history.len() == HISTORY {
            self.history.pop_front();
            self.forgotten_before = self.history.front().map_or(0, |change| change.revision);
        }
        self.history.push_back(Change {
            key: key.to_owned(),
            revision: self.revision,
            entry,
        });
    }
}
