//! Chooses the balancers that call the store, so that the number of calls does not grow
//! with the fleet.
//!
//! A few balancers watch the store for configuration changes and register in its list
//! of balancers. They are the first, in the order of a hash of the address, among the
//! balancers heard recently. All balancers compute nearly the same order without having
//! to agree on it. Every hello states how long ago the store last confirmed the
//! configuration to its sender, or to a balancer that the sender has heard of. When
//! that time exceeds a limit, the other balancers begin to call the store in turn until
//! one of them gets an answer.
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
use super::Balancer;
use crate::clock::Instant;

/// Number of balancers that watch the configuration. If a third of the fleet is cut off
/// from the store, at least one watcher still reaches it with a probability of 0.9998.
pub const STORE_WATCHERS: usize = 8;
/// Number of balancers that register in the store's list.
pub const REGISTERED_BALANCERS: usize = 12;
/// Time since the last confirmation from which on balancers other than the watchers
/// call the store. With all watchers, the store answers one of them every half a
/// second, and every balancer has heard of the answer 0.8 s later. A configuration
/// change has 5 s to take effect in deployments that are large enough to have balancers
/// other than watchers.
const TAKE_OVER_AGE: Duration = Duration::from_millis(3000);
/// Time in which hellos spread an answer of the store to all balancers. It is the
/// additional delay for each doubling of the number of balancers that may call the
/// store, beginning with the watchers. The last of 304 balancers therefore calls the
/// store 4.2 s after the first, and the last of 4,000 after 7.2 s. An answer to one
/// balancer makes the calls unnecessary that are due more than this time later. With a
/// constant 0.1 s from one balancer to the next, the last one would call the store 30 s
/// after the first among 304 balancers, and 400 s after the first among 4,000.
const TAKE_OVER_WAVE_INTERVAL: Duration = Duration::from_millis(800);
/// Maximum duration of one watch while every balancer watches. A watch can hang without
/// an error. The node then receives a change from the other balancers, or from its own
/// next watch after this time.
const LONG_WATCH_WAIT: Duration = Duration::from_millis(5000);
/// Maximum duration of one watch while some balancers do not watch: short enough that
/// the answers to all watchers together are seldom further apart than [`TAKE_OVER_AGE`].
const SHORT_WATCH_WAIT: Duration = Duration::from_millis(4000);
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
    /// Records that the store confirmed to this balancer that its configuration is the
    /// newest.
    pub fn record_store_confirmation(&mut self, now: Instant) {
        self.configuration_confirmed_at = Some(now);
    }

    /// Takes over the time of the confirmation that a hello states, if it is later than
    /// the one known here. If the hello is about a newer version, the time counts only
    /// once that version is adopted here.
    pub(super) fn apply_heard_confirmation(&mut self, hello: &BalancerHello, now: Instant) {
        let Some(age) = hello.confirmed_ago_ms else {
            return;
        };
        if hello.version == 0 {
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

    /// How long each watch of the configuration by this balancer should wait for a
    /// change; `None` when the balancer should not call the store.
    #[must_use]
    pub fn store_watch_wait(&self, now: Instant) -> Option<Duration> {
        let others_before = self.store_rank(now);
        let surplus = (others_before + 1).saturating_sub(STORE_WATCHERS);
        let delay = take_over_delay(surplus);
        let is_due = match self.confirmation_age(now) {
            None => self.has_waited_for_seeds(delay, now),
            Some(age) => surplus == 0 || age >= TAKE_OVER_AGE + delay,
        };
        let all_watch = self.peers.heard_recently(now).count() < STORE_WATCHERS;
        let wait = if all_watch {
            LONG_WATCH_WAIT
        } else {
            SHORT_WATCH_WAIT
        };
        is_due.then_some(wait)
    }

    /// Logs when the balancer begins or stops to watch the store.
    pub(super) fn log_store_watch_change(&mut self, now: Instant) {
        let watches = self.store_watch_wait(now).is_some();
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

/// How much longer than the common limit a balancer waits before it takes over from the
/// watchers. `surplus` counts the balancers other than watchers up to and including
/// this one; it is 0 for a watcher.
fn take_over_delay(surplus: usize) -> Duration {
    let surplus = f64::from(u32::try_from(surplus).unwrap_or(u32::MAX));
    let watchers = f64::from(u32::try_from(STORE_WATCHERS).unwrap_or(u32::MAX));
    TAKE_OVER_WAVE_INTERVAL.mul_f64((1.0 + surplus / watchers).log2())
}
