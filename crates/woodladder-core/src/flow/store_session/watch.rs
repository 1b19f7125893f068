//! Keeps the configuration and the excluded zones up to date from the store.

use std::time::Duration;

use super::super::configuration::Configuration;
use super::super::excluded_zones::ExcludedZones;
use super::backoff::Backoff;
use super::{NextCall, StoreCall, StoreReply, ZoneUpdate};
use crate::clock::Instant;

/// Time after which a caller that asks while a call is under way asks again.
const ASK_AGAIN: Duration = Duration::from_millis(5000);
/// Time between two looks whether the node has to watch.
const STAND_BY: Duration = Duration::from_millis(100);
/// The same for [`STARTING_FOR`] after the node's start: one that has just started can
/// do nothing for its callers without a configuration.
const STAND_BY_AT_START: Duration = Duration::from_millis(10);
/// Time in which every node has heard a configuration from others, or has had its
/// turn to read it.
const STARTING_FOR: Duration = Duration::from_secs(2);

/// Time after a change in which no other is asked for, so that changes in quick
/// succession cost one call. Far shorter than the time that a change has to
/// come into force.
const PAUSE_AFTER_CHANGE: Duration = Duration::from_millis(400);

/// What the store has confirmed with one answer.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorState {
    /// The configuration, when the answer brought one.
    pub configuration: Option<Configuration>,
    /// All excluded zones.
    pub excluded_zones: ExcludedZones,
}

/// The watch of what the operators have written.
#[derive(Clone, Debug)]
pub struct ConfigurationWatch {
    revision: Option<u64>,
    excluded_zones: ExcludedZones,
    due_at: Instant,
    in_flight: bool,
    backoff: Backoff,
    heard_at: Option<Instant>,
    started_at: Instant,
}

impl ConfigurationWatch {
    /// A watch that begins with a read at once.
    #[must_use]
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            revision: None,
            excluded_zones: ExcludedZones::default(),
            due_at: now,
            in_flight: false,
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

    /// The next call; the caller passes its reply to [`Self::reply`]. `wait` is
    /// how long a watch may wait, and `None` while the node need not watch.
    pub fn next(&mut self, wait: Option<Duration>, now: Instant) -> NextCall {
        if self.in_flight {
            return NextCall::At(now + ASK_AGAIN);
        }
        if now < self.due_at {
            return NextCall::At(self.due_at);
        }
        let Some(wait) = wait else {
            // Changes meanwhile are not heard here, so the next call is a read.
            self.revision = None;
            let is_starting = now.since(self.started_at) < STARTING_FOR;
            let pause = if is_starting {
                STAND_BY_AT_START
            } else {
                STAND_BY
            };
            return NextCall::At(now + pause);
        };
        self.in_flight = true;
        NextCall::Now(match self.revision {
            None => StoreCall::ReadConfiguration,
            Some(after) => StoreCall::AwaitConfiguration { after, wait },
        })
    }

    /// Takes a reply in; when the store has answered, returns what holds now.
    pub fn reply(&mut self, reply: StoreReply, now: Instant) -> Option<OperatorState> {
        self.in_flight = false;
        match reply {
            StoreReply::OperatorState {
                configuration,
                zones,
                revision,
            } => {
                let is_first = self.revision.is_none();
                self.heard_at = Some(now);
                self.backoff.succeeded();
                self.due_at = now;
                let excluded_zones = match zones {
                    ZoneUpdate::All(zones) => ExcludedZones { revision, zones },
                    ZoneUpdate::Changes(changes) => self.excluded_zones.after(&changes, revision),
                };
                let zones_differ = excluded_zones.zones != self.excluded_zones.zones;
                self.excluded_zones.clone_from(&excluded_zones);
                if !is_first && (configuration.is_some() || zones_differ) {
                    self.due_at = now + self.backoff.spread(PAUSE_AFTER_CHANGE);
                }
                if is_first && configuration.is_none() {
                    // Nothing is there yet; the watch tells when it is.
                    self.due_at = now + self.backoff.spread(Duration::from_millis(100));
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
                self.due_at = now + self.backoff.spread(Duration::from_millis(40));
                None
            }
            _ => {
                // What happened meanwhile is not known: read before the next
                // wait.
                self.revision = None;
                self.due_at = now + self.backoff.failed();
                None
            }
        }
    }
}
