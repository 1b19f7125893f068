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
    /// The configuration, if the answer contained one.
    pub configuration: Option<Configuration>,
    /// All excluded zones.
    pub excluded_zones: ExcludedZones,
}

/// Watches the state that the operators have written.
#[derive(Clone, Debug)]
pub struct ConfigurationWatch {
    revision: Option<u64>,
    excluded_zones: ExcludedZones,
    due_at: Instant,
    is_in_flight: bool,
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
            is_in_flight: false,
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
        if self.is_in_flight {
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
        self.is_in_flight = true;
        NextCall::Now(match self.revision {
            None => StoreCall::ReadConfiguration,
            Some(after) => StoreCall::AwaitConfiguration { after, wait },
        })
    }

    /// Handles a reply; returns the current state if the store has answered.
    pub fn reply(&mut self, reply: StoreReply, now: Instant) -> Option<OperatorState> {
        self.is_in_flight = false;
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
                if !is_first && (configuration.is_some() || zones_differ) {
                    self.due_at = now + self.backoff.randomize(PAUSE_AFTER_CHANGE);
                }
                if is_first && configuration.is_none() {
                    // There is no configuration yet; the watch reports when there is one.
                    self.due_at = now + self.backoff.randomize(Duration::from_millis(100));
                }
                self.revision = Some(revision);
                Some(OperatorState {
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
