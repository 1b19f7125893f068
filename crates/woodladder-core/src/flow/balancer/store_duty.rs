//! Which balancers call the store, so that its calls do not grow with the
//! fleet.
//!
//! A few balancers watch the configuration and are entered in the store's list.
//! They are the first by a hash of the address among the balancers heard lately,
//! so all balancers come to nearly the same answer without agreeing on it. Every
//! greeting tells how old its sender's knowledge is: the time since the store
//! last confirmed the configuration to it, or to a balancer that it heard of.
//! When that age passes a bound, the others begin to call the store themselves,
//! one after the other, until one of them has an answer.
//!
//! At a start the balancers of the settings and those in the store's list read the
//! configuration at once, because all others greet them first; the list itself
//! may be old and costs little.

use std::cmp::Reverse;
use std::time::Duration;

use super::super::identity::address_hash;
use super::super::log_event::LogEvent;
use super::super::message::BalancerHello;
use super::super::store_session::ListNeed;
use super::Balancer;
use crate::clock::Instant;

/// Balancers that watch the configuration: enough that a third of the fleet cut
/// off from the store leaves one of them with a probability of 0.9998.
pub const WATCHERS: usize = 8;
/// Balancers that are entered in the store's list.
pub const REGISTERED: usize = 12;
/// Age of the configuration's confirmation at which balancers that do not watch
/// call the store. With this many watchers an answer comes each half a second, and
/// 0.8 s later every balancer has heard of it; a change has 5 s to come into force
/// in deployments that have balancers which do not watch.
const TAKE_OVER_AT: Duration = Duration::from_millis(3000);
/// Time in which an answer of the store spreads to all balancers by greetings. Those
/// that do not watch take over in waves this far apart, each as large as all before
/// it, so the last of 304 calls the store 4.2 s after the first and the last of 4,000
/// after 7.2 s, while an answer to any spares at least half of the calls. One balancer
/// each 0.1 s made it 30 s and 400 s.
const TAKE_OVER_WAVE: Duration = Duration::from_millis(800);
/// Longest wait of one watch while every balancer watches. It can go silent
/// without an end; its node then learns changes from the others, and here after
/// this time.
const USUAL_WAIT: Duration = Duration::from_millis(5000);
/// The same while some do not, so that the answers of all watchers together are
/// seldom further apart than [`TAKE_OVER_AT`].
const SHORT_WAIT: Duration = Duration::from_millis(4000);
/// Time after its start in which a balancer that was told of others waits for
/// them before it calls the store.
const SEEDS_FIRST_FOR: Duration = Duration::from_millis(150);
/// The same is longer by a part of this, which differs by address.
const START_SPREAD: Duration = Duration::from_millis(400);
/// Time after its start in which a balancer does not enter itself: it may not
/// have heard yet of those that come before it.
const REGISTERS_AFTER: Duration = Duration::from_millis(1000);

impl Balancer {
    /// The store has confirmed the newest configuration to this balancer.
    pub fn record_store_confirmation(&mut self, now: Instant) {
        self.confirmed_at = Some(now);
    }

    /// Takes in how old another balancer's knowledge is. Of a later version than the
    /// own one it counts only once that version is adopted here.
    pub(super) fn confirmation_heard(&mut self, greeting: &BalancerHello, now: Instant) {
        let Some(age) = greeting.confirmed_ago_ms else {
            return;
        };
        if greeting.version == 0 {
            return;
        }
        let age = Duration::from_millis(age.into());
        let confirmed_at = Instant::from_origin(now.since_origin().saturating_sub(age));
        if greeting.version > self.routes.version() {
            self.later_confirmation = Some((greeting.version, confirmed_at));
        } else {
            self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        }
    }

    /// A configuration was adopted: what was heard of its confirmation counts now. A
    /// balancer that has just started would else read the store although it was told
    /// everything, 109 of 304 in a start of all.
    pub(super) fn confirmation_adopted(&mut self) {
        if let Some((version, confirmed_at)) = self.later_confirmation
            && version <= self.routes.version()
        {
            self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
            self.later_confirmation = None;
        }
    }

    /// Time since the store confirmed the configuration, here or elsewhere;
    /// `None` when it never has.
    #[must_use]
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// How long this balancer should let each watch of the configuration wait;
    /// `None` when it should not call the store.
    #[must_use]
    pub fn store_watch_wait(&self, now: Instant) -> Option<Duration> {
        let others_before = self.store_rank(now);
        let surplus = (others_before + 1).saturating_sub(WATCHERS);
        let delay = take_over_delay(surplus);
        let is_due = match self.confirmation_age(now) {
            None => self.seeds_had_their_time(delay, now),
            Some(age) => surplus == 0 || age >= TAKE_OVER_AT + delay,
        };
        let all_watch = self.peers.heard_recently(now).count() < WATCHERS;
        let wait = if all_watch { USUAL_WAIT } else { SHORT_WAIT };
        is_due.then_some(wait)
    }

    /// Notes that the balancer begins to watch, or ceases to.
    pub(super) fn note_store_duty(&mut self, now: Instant) {
        let watches = self.store_watch_wait(now).is_some();
        if std::mem::replace(&mut self.watched, watches) != watches {
            self.notes.add(LogEvent::StoreWatchChanged {
                watches,
                others_before: self.store_rank(now),
                confirmed_ago: self.confirmation_age(now),
            });
        }
    }

    /// Whether this balancer should be entered in the store's list.
    #[must_use]
    pub fn should_register(&self, now: Instant) -> bool {
        now.since(self.started_at) >= REGISTERS_AFTER && self.store_rank(now) < REGISTERED
    }

    /// What this balancer needs the store's list of balancers for.
    #[must_use]
    pub fn list_need(&self, now: Instant) -> ListNeed {
        if !self.peers.hears_any(now) {
            ListNeed::Urgent
        } else if self.store_rank(now) < REGISTERED {
            ListNeed::Safeguard
        } else {
            ListNeed::Nothing
        }
    }

    /// Whether the balancers that others begin with have had their time to tell
    /// what they know, and `delay` more. They themselves wait for nobody.
    fn seeds_had_their_time(&self, delay: Duration, now: Instant) -> bool {
        if self.others_begin_here || !self.has_seeds {
            return true;
        }
        let part = address_hash(self.options.address) % 1000;
        let spread = START_SPREAD * u32::try_from(part).unwrap_or(0) / 1000;
        now.since(self.started_at) >= SEEDS_FIRST_FOR + spread + delay
    }

    /// Balancers heard lately that come before this one.
    fn store_rank(&self, now: Instant) -> usize {
        let own = Reverse(address_hash(self.options.address));
        self.peers
            .heard_recently(now)
            .filter(|peer| Reverse(address_hash(*peer)) < own)
            .count()
    }
}

/// How much longer than the first a balancer waits before it takes over from the
/// watchers, when `surplus` balancers that do not watch come before it or are it.
fn take_over_delay(surplus: usize) -> Duration {
    let surplus = f64::from(u32::try_from(surplus).unwrap_or(u32::MAX));
    let watchers = f64::from(u32::try_from(WATCHERS).unwrap_or(u32::MAX));
    TAKE_OVER_WAVE.mul_f64((1.0 + surplus / watchers).log2())
}
