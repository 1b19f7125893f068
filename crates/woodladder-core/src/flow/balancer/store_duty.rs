//! Chooses the balancers that call the store, so that the number of calls does not grow
//! with the fleet, and bounds the age of what they know.
//!
//! A few balancers watch the store for configuration changes and register in its list
//! of balancers. They are the first, in the order of a hash of the address, among the
//! balancers heard recently. All balancers compute nearly the same order without having
//! to agree on it. Every hello states how long ago the store last confirmed the
//! configuration to its sender, or to a balancer that the sender has heard of.
//!
//! A watch that gets no answer shows nothing: there may be no change, or its connection may
//! carry nothing any more. What shows that the store can still be heard is an answer to any
//! balancer. The watchers end their watches at different times, so that such an answer comes
//! several times within [`confirmation_limit`]. When none has come for that long, the
//! balancers call the store anew in turn, on new connections, until one of them gets an
//! answer. The watchers give up the watches that they wait in, and the others begin to call.
//!
//! At start-up, the seed balancers and those in the store's list read the configuration
//! at once, because all others contact them first and wait for their hellos. A balancer
//! that an outdated list names makes an additional call, which costs little.

use std::cmp::Reverse;
use std::time::Duration;

use super::super::identity::address_hash;
use super::super::log_event::LogEvent;
use super::super::message::BalancerHello;
use super::super::store_session::ListNeed;
use super::{Balancer, STALL_THRESHOLD};
use crate::clock::Instant;

/// Number of balancers that watch the configuration. If a third of the fleet is cut off
/// from the store, at least one watcher still reaches it with a probability of 0.9998.
pub const STORE_WATCHERS: usize = 8;
/// Number of balancers that register in the store's list.
pub const REGISTERED_BALANCERS: usize = 12;
/// Longest age of the last confirmation before the balancers call the store anew. With all
/// watchers, the store answers one of them every half a second, and every balancer has heard
/// of the answer 0.8 s later.
const LONGEST_CONFIRMATION_LIMIT: Duration = Duration::from_millis(3000);
/// Time in which hellos tell a small deployment of an answer of the store. It is the
/// additional delay for each doubling of the number of watchers that may call the store anew,
/// beginning with a single one.
const TURN_INTERVAL: Duration = Duration::from_millis(250);
/// Time in which hellos spread an answer of the store to all balancers of a fleet. It is the
/// additional delay for each doubling of the number of balancers that may call the
/// store, beginning with the watchers. The last of 304 balancers therefore calls the
/// store 4.2 s after the first, and the last of 4,000 after 7.2 s. An answer to one
/// balancer makes the calls unnecessary that are due more than this time later. With a
/// constant 0.1 s from one balancer to the next, the last one would call the store 30 s
/// after the first among 304 balancers, and 400 s after the first among 4,000.
const TAKE_OVER_WAVE_INTERVAL: Duration = Duration::from_millis(800);
/// Longest time between two answers to the watch of one balancer while every balancer
/// watches.
const LONG_WATCH_PERIOD: Duration = Duration::from_millis(5000);
/// Longest time between two answers to the watch of one balancer while some balancers do not
/// watch.
const SHORT_WATCH_PERIOD: Duration = Duration::from_millis(4000);
/// Time after a pause of the process within which the messages are read that had arrived
/// during it.
const WAITING_MESSAGES_READ_WITHIN: Duration = Duration::from_millis(250);
/// Time after its start in which a balancer with seeds waits for hellos from the seeds
/// before calling the store.
const SEED_WAIT: Duration = Duration::from_millis(150);
/// Upper limit of an additional wait before a balancer with seeds calls the store. A
/// hash of the balancer's address determines the part of this time that it waits.
const SEED_WAIT_SPREAD: Duration = Duration::from_millis(400);
/// Time after its start in which a balancer does not register itself, because hellos
/// from the balancers that precede it may not have arrived yet.
const REGISTRATION_DELAY: Duration = Duration::from_millis(1000);

impl Balancer {
    /// Records that the store confirmed to this balancer that its configuration was the
    /// newest at a time.
    pub fn record_store_confirmation(&mut self, confirmed_at: Instant) {
        self.configuration_confirmed_at = self.configuration_confirmed_at.max(Some(confirmed_at));
    }

    /// Takes over the time of the confirmation that a hello states, if it is later than
    /// the one known here. If the hello is about a newer version, the time counts only
    /// once that version is adopted here.
    pub(super) fn apply_heard_confirmation(&mut self, hello: &BalancerHello, now: Instant) {
        let Some(age) = hello.confirmed_ago_ms else {
            return;
        };
        if hello.version == 0 || self.may_have_waited_over_pause(now) {
            return;
        }
        let age = Duration::from_millis(age.into());
        let confirmed_at = Instant::from_origin(now.since_origin().saturating_sub(age));
        if hello.version > self.routes.version() {
            self.newer_version_confirmation = Some((hello.version, confirmed_at));
        } else {
            self.configuration_confirmed_at =
                self.configuration_confirmed_at.max(Some(confirmed_at));
        }
    }

    /// Whether a message that is handled now may have waited in the socket while the process
    /// was paused. The times that it states ago cannot be used then.
    fn may_have_waited_over_pause(&self, now: Instant) -> bool {
        let is_paused = self
            .last_tick_at
            .is_some_and(|at| now.since(at) >= STALL_THRESHOLD);
        let was_paused = self
            .stalled_until
            .is_some_and(|at| now.since(at) < WAITING_MESSAGES_READ_WITHIN);
        is_paused || was_paused
    }

    /// Applies the confirmation that was heard for the version that has just been
    /// adopted. Without this, a balancer that has just started would read the store
    /// although a hello has already confirmed its version: 109 of 304 balancers did
    /// so when the whole fleet started at once.
    pub(super) fn apply_confirmation_of_adopted(&mut self) {
        if let Some((version, confirmed_at)) = self.newer_version_confirmation
            && version <= self.routes.version()
        {
            self.configuration_confirmed_at =
                self.configuration_confirmed_at.max(Some(confirmed_at));
            self.newer_version_confirmation = None;
        }
    }

    /// Time since the last confirmation of the configuration by the store, to this
    /// balancer or to another one whose confirmation was stated in a hello; `None`
    /// without any.
    #[must_use]
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        self.configuration_confirmed_at.map(|at| now.since(at))
    }

    /// Whether this balancer should watch the configuration in the store.
    #[must_use]
    pub fn watches_store(&self, now: Instant) -> bool {
        let rank = self.store_rank(now);
        match self.confirmation_age(now) {
            None => self.has_waited_for_seeds(take_over_delay(rank), now),
            Some(age) => rank < STORE_WATCHERS || age >= self.own_confirmation_limit(rank),
        }
    }

    /// How long a watch of the configuration that this balancer begins now should wait for a
    /// change; `None` when the balancer should not call the store. `unix_time_ms` is the time
    /// of day: the watchers end their watches at different parts of a common period.
    #[must_use]
    pub fn store_watch_wait(&self, unix_time_ms: u64, now: Instant) -> Option<Duration> {
        if !self.watches_store(now) {
            return None;
        }
        let balancers = self.peers.heard_recently(now).count() + 1;
        let watchers = balancers.min(STORE_WATCHERS);
        let longest_period = if balancers <= STORE_WATCHERS {
            LONG_WATCH_PERIOD
        } else {
            SHORT_WATCH_PERIOD
        };
        let limit = confirmation_limit(self.options.change_bound);
        let period = watch_period(watchers, limit).min(longest_period);
        let part = self.store_rank(now) % watchers;
        Some(time_until_part(part, watchers, period, unix_time_ms))
    }

    /// When this balancer should give up a watch that waits for an answer and call the store
    /// anew, unless an answer to any balancer is heard of until then.
    #[must_use]
    pub fn store_watch_deadline(&self, now: Instant) -> Option<Instant> {
        let limit = self.own_confirmation_limit(self.store_rank(now));
        self.configuration_confirmed_at.map(|at| at + limit)
    }

    /// Records that the balancer has given up a watch that had waited for `waited`.
    pub fn record_abandoned_watch(&mut self, waited: Duration, now: Instant) {
        self.counters.store_watches_abandoned += 1;
        self.log_events.add(LogEvent::StoreWatchAbandoned {
            waited,
            confirmed_ago: self.confirmation_age(now),
        });
    }

    /// Age of the last confirmation from which on this balancer calls the store, whether it
    /// waits in a watch or does not watch. `rank` is its place among all balancers.
    fn own_confirmation_limit(&self, rank: usize) -> Duration {
        let delay = if rank < STORE_WATCHERS {
            TURN_INTERVAL.mul_f64(doublings(1, rank))
        } else {
            take_over_delay(rank)
        };
        confirmation_limit(self.options.change_bound) + delay
    }

    /// Logs when the balancer begins or stops to watch the store.
    pub(super) fn log_store_watch_change(&mut self, now: Instant) {
        let watches = self.watches_store(now);
        if std::mem::replace(&mut self.was_watching_store, watches) != watches {
            self.log_events.add(LogEvent::StoreWatchChanged {
                watches,
                others_before: self.store_rank(now),
                confirmed_ago: self.confirmation_age(now),
            });
        }
    }

    /// Whether this balancer should be registered in the store's list.
    #[must_use]
    pub fn should_register(&self, now: Instant) -> bool {
        now.since(self.started_at) >= REGISTRATION_DELAY
            && self.store_rank(now) < REGISTERED_BALANCERS
    }

    /// How urgently this balancer needs the store's list of balancers.
    #[must_use]
    pub fn list_need(&self, now: Instant) -> ListNeed {
        if !self.peers.hears_any(now) {
            ListNeed::Urgent
        } else if self.store_rank(now) < REGISTERED_BALANCERS {
            ListNeed::Safeguard
        } else {
            ListNeed::Nothing
        }
    }

    /// Whether the seeds have had enough time to send a hello to this balancer, and
    /// `delay` more. A balancer without seeds need not wait, nor does one that is a
    /// seed or in the store's list.
    fn has_waited_for_seeds(&self, delay: Duration, now: Instant) -> bool {
        if self.is_contacted_first || !self.has_seeds {
            return true;
        }
        let part = address_hash(self.options.address) % 1000;
        let spread = SEED_WAIT_SPREAD * u32::try_from(part).unwrap_or(0) / 1000;
        now.since(self.started_at) >= SEED_WAIT + spread + delay
    }

    /// Number of balancers heard recently that precede this one in the order of the
    /// hash.
    fn store_rank(&self, now: Instant) -> usize {
        let own = Reverse(address_hash(self.options.address));
        self.peers
            .heard_recently(now)
            .filter(|peer| Reverse(address_hash(*peer)) < own)
            .count()
    }
}

/// Age of the last confirmation from which on the balancers call the store anew. `change_bound`
/// is the time within which a change must be in force: a third of it is left for the calls and
/// for telling other nodes.
#[must_use]
pub fn confirmation_limit(change_bound: Duration) -> Duration {
    (change_bound * 2 / 3).min(LONGEST_CONFIRMATION_LIMIT)
}

/// Time between two answers to the watch of one balancer with which one of the watchers is
/// answered often enough: the answer to one watcher may fail to come, and hellos take a while.
fn watch_period(watchers: usize, confirmation_limit: Duration) -> Duration {
    let watchers = u32::try_from(watchers).unwrap_or(u32::MAX);
    (confirmation_limit * 5 / 8).saturating_mul(watchers)
}

/// Time until the given part of the current period, or of the next one if the part is less than
/// a quarter of a part away: a watch that ends a little early is not followed by a short one.
fn time_until_part(part: usize, parts: usize, period: Duration, unix_time_ms: u64) -> Duration {
    let part = u32::try_from(part).unwrap_or(0);
    let parts = u32::try_from(parts).unwrap_or(1).max(1);
    let period_ms = u64::try_from(period.as_millis()).unwrap_or(u64::MAX).max(1);
    let begin = period * part / parts;
    let position = Duration::from_millis(unix_time_ms % period_ms);
    let ahead = if begin >= position {
        begin - position
    } else {
        begin + period - position
    };
    if ahead < period / (4 * parts) {
        ahead + period
    } else {
        ahead
    }
}

/// How much longer than the common limit a balancer waits before it takes over from the
/// watchers; zero for a watcher.
fn take_over_delay(rank: usize) -> Duration {
    let surplus = (rank + 1).saturating_sub(STORE_WATCHERS);
    TAKE_OVER_WAVE_INTERVAL.mul_f64(doublings(STORE_WATCHERS, surplus))
}

/// How often `first` doubles until it reaches `first + further`.
fn doublings(first: usize, further: usize) -> f64 {
    let first = f64::from(u32::try_from(first).unwrap_or(u32::MAX));
    let further = f64::from(u32::try_from(further).unwrap_or(u32::MAX));
    (1.0 + further / first).log2()
}
