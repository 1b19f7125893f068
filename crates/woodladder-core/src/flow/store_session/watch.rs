//! Keeps the configuration and the excluded zones up to date from the store.

use std::time::Duration;

use super::super::configuration::Configuration;
use super::super::excluded_zones::ExcludedZones;
use super::backoff::Backoff;
use super::{NextCall, StoreCall, StoreReply, ZoneUpdate};
use crate::clock::Instant;

/// Time after which to ask again while a call is in flight.
const POLL_INTERVAL_IN_FLIGHT: Duration = Duration::from_millis(5000);
/// Polling interval while the node need not watch.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Polling interval during [`START_PHASE`] after the node's start: a node without a
/// configuration cannot do anything for its callers yet.
const POLL_INTERVAL_AT_START: Duration = Duration::from_millis(10);
/// Time within which every node has received a configuration from others, or has had its
/// turn to read one.
const START_PHASE: Duration = Duration::from_secs(2);

/// Pause after a change, so that changes in quick succession cost one call. Far shorter
/// than the time that a change may take to become active.
const PAUSE_AFTER_CHANGE: Duration = Duration::from_millis(400);

/// The state that the store has confirmed with one answer.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorState {
    /// Time at which the state was the store's newest, as the answer proves it.
    pub confirmed_at: Instant,
    /// The configuration, if the answer contained one.
    pub configuration: Option<Configuration>,
    /// All excluded zones.
    pub excluded_zones: ExcludedZones,
}

/// A call that waits for its answer. An answer may be long on its way.
#[derive(Clone, Copy, Debug)]
struct CallInFlight {
    sent_at: Instant,
    /// Time for which the store may hold the call; zero for a read.
    wait: Duration,
}

impl CallInFlight {
    /// Latest time that the answer can be from: the store holds the call no longer.
    fn confirmed_at(&self, now: Instant) -> Instant {
        now.min(self.sent_at + self.wait)
    }
}

/// Watches the state that the operators have written.
#[derive(Clone, Debug)]
pub struct ConfigurationWatch {
    revision: Option<u64>,
    excluded_zones: ExcludedZones,
    due_at: Instant,
    in_flight: Option<CallInFlight>,
    backoff: Backoff,
    heard_at: Option<Instant>,
    started_at: Instant,
}

impl ConfigurationWatch {
    /// A watch that starts with a read at once.
    #[must_use]
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            revision: None,
            excluded_zones: ExcludedZones::default(),
            due_at: now,
            in_flight: None,
            backoff: Backoff::new(seed),
            heard_at: None,
            started_at: now,
        }
    }

    /// When the store last answered.
    #[must_use]
    pub fn heard_at(&self) -> Option<Instant> {
        self.heard_at
    }

    /// The next call; the caller passes its reply to [`Self::reply`]. `wait` limits how
    /// long the store may hold the call; `None` while the node need not watch.
    pub fn next(&mut self, wait: Option<Duration>, now: Instant) -> NextCall {
        if self.in_flight.is_some() {
            return NextCall::At(now + POLL_INTERVAL_IN_FLIGHT);
        }
        if now < self.due_at {
            return NextCall::At(self.due_at);
        }
        let Some(wait) = wait else {
            // While the node does not watch, it misses changes. Without a revision, the
            // next call reads the whole state.
            self.revision = None;
            let is_starting = now.since(self.started_at) < START_PHASE;
            let pause = if is_starting {
                POLL_INTERVAL_AT_START
            } else {
                POLL_INTERVAL
            };
            return NextCall::At(now + pause);
        };
        let (call, wait) = match self.revision {
            None => (StoreCall::ReadConfiguration, Duration::ZERO),
            Some(after) => (StoreCall::AwaitConfiguration { after, wait }, wait),
        };
        self.in_flight = Some(CallInFlight { sent_at: now, wait });
        NextCall::Now(call)
    }

    /// Gives up the call in flight, whose reply is not awaited any more. The next call reads
    /// the whole state and is due at once. Returns for how long the call had waited.
    pub fn abandon(&mut self, now: Instant) -> Duration {
        self.revision = None;
        self.due_at = now;
        let call = self.in_flight.take();
        call.map_or(Duration::ZERO, |call| now.since(call.sent_at))
    }

    /// Handles a reply; returns the current state if the store has answered.
    pub fn reply(&mut self, reply: StoreReply, now: Instant) -> Option<OperatorState> {
        let call = self.in_flight.take();
        match reply {
            StoreReply::OperatorState {
                configuration,
                zones,
                revision,
            } => {
                let is_first = self.revision.is_none();
                self.heard_at = Some(now);
                self.backoff.reset();
                self.due_at = now;
                let excluded_zones = match zones {
                    ZoneUpdate::All(zones) => ExcludedZones { revision, zones },
                    ZoneUpdate::Changes(changes) => self.excluded_zones.after(&changes, revision),
                };
                let zones_differ = excluded_zones.zones != self.excluded_zones.zones;
                self.excluded_zones.clone_from(&excluded_zones);
                // A watch that finds a change is answered at once.
                let is_change = !is_first && (configuration.is_some() || zones_differ);
                if is_change {
                    self.due_at = now + self.backoff.randomize(PAUSE_AFTER_CHANGE);
                }
                if is_first && configuration.is_none() {
                    // There is no configuration yet; the watch reports when there is one.
                    self.due_at = now + self.backoff.randomize(Duration::from_millis(100));
                }
                self.revision = Some(revision);
                let confirmed_at = call.map_or(now, |call| call.confirmed_at(now));
                Some(OperatorState {
                    confirmed_at,
                    configuration,
                    excluded_zones,
                })
            }
            StoreReply::HistoryGone => {
                self.heard_at = Some(now);
                self.revision = None;
                self.due_at = now + self.backoff.randomize(Duration::from_millis(40));
                None
            }
            _ => {
                // The call failed, so changes may have been missed. Without a revision, the
                // next call reads the whole state before the node waits for changes again.
                self.revision = None;
                self.due_at = now + self.backoff.next_pause();
                None
            }
        }
    }
}
