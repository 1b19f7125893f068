//! Sessions with the store. The core decides which call to make and when.

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use slog::{Logger, info};
use tokio::time::sleep;
use woodladder_core::clock::Instant;
use woodladder_core::flow::identity::NodeAddress;
use woodladder_core::flow::store_session::{
    BalancerDiscovery, BalancerRegistration, CALL_KINDS, ConfigurationWatch, ListNeed, NextCall,
    OperatorState, StoreCall, StoreReply,
};

use crate::node_clock::NodeClock;

/// A session with the platform's store, which makes one call at a time.
pub trait Store {
    /// Makes a call. Implementations limit how long a call may take. When the future is
    /// dropped before its end, the next call does not use the same connection.
    fn call(&mut self, call: StoreCall) -> impl Future<Output = StoreReply>;
}

/// The node whose configuration is watched.
pub trait WatchingNode {
    /// How long a watch call that is made now may wait; `None` while the node need not watch.
    fn watch_wait(&self) -> Option<Duration>;

    /// When a watch call that waits for its answer should be given up, as far as is known now.
    fn watch_deadline(&self) -> Option<Instant>;

    /// Handles each state that the store returns.
    fn adopt_state(&self, state: OperatorState);

    /// A watch call was given up after it had waited for `waited`.
    fn watch_abandoned(&self, waited: Duration);
}

/// Keeps the configuration and the excluded zones up to date until the process ends.
pub async fn watch_configuration(
    mut store: impl Store,
    seed: u64,
    clock: NodeClock,
    stats: Rc<StoreCallStats>,
    node: impl WatchingNode,
) {
    let mut watch = ConfigurationWatch::new(seed, clock.now());
    loop {
        let call = match watch.next(node.watch_wait(), clock.now()) {
            NextCall::At(at) => {
                sleep(at.since(clock.now())).await;
                continue;
            }
            NextCall::Now(call) => call,
        };
        stats.count_call(&call);
        stats.watch_started_at.set(Some(clock.now()));
        let is_held = matches!(call, StoreCall::AwaitConfiguration { .. });
        let reply = tokio::select! {
            reply = store.call(call) => Some(reply),
            () = watch_overdue(&node, clock), if is_held => None,
        };
        stats.watch_started_at.set(None);
        let Some(reply) = reply else {
            node.watch_abandoned(watch.abandon(clock.now()));
            continue;
        };
        stats.record_reply(&reply);
        if let Some(state) = watch.reply(reply, clock.now()) {
            node.adopt_state(state);
        }
    }
}

/// Waits until a watch call should be given up.
async fn watch_overdue(node: &impl WatchingNode, clock: NodeClock) {
    /// Interval at which the deadline is determined again while there is none.
    const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
    loop {
        let now = clock.now();
        match node.watch_deadline() {
            Some(deadline) if deadline <= now => return,
            Some(deadline) => sleep(deadline.since(now)).await,
            None => sleep(DEADLINE_CHECK_INTERVAL).await,
        }
    }
}

/// Maintains the balancer's entry in the store, while `should_register` returns true, until
/// the process ends. A notification on `shutdown` ends the current pause, so that the
/// registration can end at once.
pub async fn maintain_registration(
    mut store: impl Store,
    clock: NodeClock,
    stats: Rc<StoreCallStats>,
    registration: Rc<RefCell<BalancerRegistration>>,
    shutdown: Rc<tokio::sync::Notify>,
    should_register: impl Fn() -> bool,
) {
    loop {
        let next = registration
            .borrow_mut()
            .next(should_register(), clock.now());
        match next {
            NextCall::At(at) => {
                tokio::select! {
                    () = sleep(at.since(clock.now())) => {}
                    () = shutdown.notified() => {}
                }
            }
            NextCall::Now(call) => {
                stats.count_call(&call);
                let reply = store.call(call).await;
                registration.borrow_mut().reply(&reply, clock.now());
            }
        }
    }
}

/// Looks for balancers in the store until the process ends. `need` returns what the list
/// is needed for; `on_listed` gets each list that the store returns.
pub async fn discover_balancers(
    mut store: impl Store,
    mut discovery: BalancerDiscovery,
    clock: NodeClock,
    stats: Rc<StoreCallStats>,
    need: impl Fn() -> ListNeed,
    mut on_listed: impl FnMut(&[NodeAddress]),
) {
    /// Interval at which `need` is called again, because its result changes with the
    /// balancers whose messages arrive at the node.
    const NEED_CHECK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(500);
    loop {
        discovery.set_need(need(), clock.now());
        match discovery.next(clock.now()) {
            NextCall::At(at) => sleep(at.since(clock.now()).min(NEED_CHECK_INTERVAL)).await,
            NextCall::Now(call) => {
                stats.count_call(&call);
                let reply = store.call(call).await;
                let balancers = discovery.reply(reply, clock.now());
                on_listed(&balancers);
            }
        }
    }
}

/// Maintains a node's record in the store until the process ends. `next_call` returns the
/// next call, `on_reply` gets each reply, and a notification on `wakeup` makes the task call
/// `next_call` at once.
pub async fn maintain_record(
    mut store: impl Store,
    clock: NodeClock,
    stats: Rc<StoreCallStats>,
    wakeup: Rc<tokio::sync::Notify>,
    mut next_call: impl FnMut() -> NextCall,
    mut on_reply: impl FnMut(StoreReply),
) {
    loop {
        match next_call() {
            NextCall::At(at) => {
                tokio::select! {
                    () = sleep(at.since(clock.now())) => {}
                    () = wakeup.notified() => {}
                }
            }
            NextCall::Now(call) => {
                stats.count_call(&call);
                on_reply(store.call(call).await);
            }
        }
    }
}

/// Counters of calls to the store, and whether the store is reachable, for logs and metrics.
#[derive(Debug, Default)]
pub struct StoreCallStats {
    replies: std::cell::Cell<ReplyStats>,
    /// Whether the store became reachable (`true`) or unreachable (`false`); `None` when the
    /// last change has been taken.
    reachability_change: std::cell::Cell<Option<bool>>,
    calls: std::cell::Cell<[u64; CALL_KINDS.len()]>,
    /// When the watch of the configuration made the call that waits for its answer; `None`
    /// between two calls.
    watch_started_at: std::cell::Cell<Option<Instant>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ReplyStats {
    answers: u64,
    /// Calls without a usable response.
    failures: u64,
    refusals: u64,
    is_reachable: Option<bool>,
}

impl StoreCallStats {
    /// Counts a call that is about to be made.
    pub fn count_call(&self, call: &StoreCall) {
        let mut calls = self.calls.get();
        calls[call.kind_index()] += 1;
        self.calls.set(calls);
    }

    /// Returns the number of calls of each kind.
    #[must_use]
    pub fn calls_by_kind(&self) -> [(&'static str, u64); CALL_KINDS.len()] {
        let calls = self.calls.get();
        std::array::from_fn(|index| (CALL_KINDS[index], calls[index]))
    }

    /// Logs the number of calls of each kind since the start of the node. `role`, such as
    /// `agent`, is the prefix of the line.
    pub fn log_calls(&self, role: &str, logger: &Logger) {
        let calls = self
            .calls_by_kind()
            .into_iter()
            .filter(|(_, count)| *count > 0);
        let counts: Vec<String> = calls
            .map(|(kind, count)| format!("{kind}={count}"))
            .collect();
        info!(logger, "{}: calls to the store", role; "event" => "store_calls",
            "calls" => counts.join(" "));
    }

    /// Counts a reply and notes whether the store became reachable or unreachable. A store
    /// that refuses calls counts as unreachable.
    pub fn record_reply(&self, reply: &StoreReply) {
        let mut replies = self.replies.get();
        let is_reachable = match reply {
            StoreReply::NoAnswer => {
                replies.failures += 1;
                false
            }
            StoreReply::Refused => {
                replies.refusals += 1;
                false
            }
            _ => {
                replies.answers += 1;
                true
            }
        };
        if replies.is_reachable != Some(is_reachable) {
            replies.is_reachable = Some(is_reachable);
            self.reachability_change.set(Some(is_reachable));
        }
        self.replies.set(replies);
    }

    /// Returns whether the store is reachable now, if that has changed since the last call
    /// of this method.
    pub fn take_reachability_change(&self) -> Option<bool> {
        self.reachability_change.take()
    }

    /// Returns for how long the watch of the configuration has been waiting for an answer.
    #[must_use]
    pub fn watch_wait(&self, now: Instant) -> Option<Duration> {
        self.watch_started_at.get().map(|at| now.since(at))
    }

    /// Returns three numbers of calls, in this order: calls that were answered, calls that the
    /// store refused, and calls without a usable response.
    #[must_use]
    pub fn totals(&self) -> (u64, u64, u64) {
        let replies = self.replies.get();
        (replies.answers, replies.refusals, replies.failures)
    }
}
