//! Sessions with the store: the core says what is called and when.

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use slog::{Logger, info};
use tokio::time::sleep;
use woodladder_core::flow::identity::NodeAddress;
use woodladder_core::flow::store_session::{
    BalancerDiscovery, BalancerRegistration, CALL_KINDS, ConfigurationWatch, ListNeed, NextCall,
    OperatorState, StoreCall, StoreReply,
};

use crate::node_clock::NodeClock;

/// Makes calls to the platform's store, one after the other.
pub trait Store {
    /// Carries a call out. Each call has an end of its own in time.
    fn call(&mut self, call: StoreCall) -> impl Future<Output = StoreReply>;
}

/// Keeps the configuration and the excluded zones up to date until the process ends. `wait` says how
/// long a watch may wait, and `None` while this node need not watch. `answered`
/// takes each answer of the store.
pub async fn watch_configuration(
    mut store: impl Store,
    seed: u64,
    clock: NodeClock,
    contact: Rc<StoreContact>,
    wait: impl Fn() -> Option<Duration>,
    mut answered: impl FnMut(OperatorState),
) {
    let mut watch = ConfigurationWatch::new(seed, clock.now());
    loop {
        match watch.next(wait(), clock.now()) {
            NextCall::At(at) => sleep(at.since(clock.now())).await,
            NextCall::Now(call) => {
                contact.count(&call);
                let reply = store.call(call).await;
                contact.note(&reply);
                if let Some(state) = watch.reply(reply, clock.now()) {
                    answered(state);
                }
            }
        }
    }
}

/// Keeps the entry of a balancer alive until the process ends, while it is
/// `wanted`.
pub async fn keep_registered(
    mut store: impl Store,
    clock: NodeClock,
    contact: Rc<StoreContact>,
    registration: Rc<RefCell<BalancerRegistration>>,
    leaving: Rc<tokio::sync::Notify>,
    wanted: impl Fn() -> bool,
) {
    loop {
        let next = registration.borrow_mut().next(wanted(), clock.now());
        match next {
            NextCall::At(at) => {
                tokio::select! {
                    () = sleep(at.since(clock.now())) => {}
                    () = leaving.notified() => {}
                }
            }
            NextCall::Now(call) => {
                contact.count(&call);
                let reply = store.call(call).await;
                registration.borrow_mut().reply(&reply, clock.now());
            }
        }
    }
}

/// Finds balancers in the store until the process ends.
pub async fn list_balancers(
    mut store: impl Store,
    mut list: BalancerDiscovery,
    clock: NodeClock,
    contact: Rc<StoreContact>,
    need: impl Fn() -> ListNeed,
    mut listed: impl FnMut(&[NodeAddress]),
) {
    /// Longest sleep, so that a change of what is heard is noticed.
    const LOOK_AGAIN: std::time::Duration = std::time::Duration::from_millis(500);
    loop {
        list.set_need(need(), clock.now());
        match list.next(clock.now()) {
            NextCall::At(at) => sleep(at.since(clock.now()).min(LOOK_AGAIN)).await,
            NextCall::Now(call) => {
                contact.count(&call);
                let reply = store.call(call).await;
                let balancers = list.reply(reply, clock.now());
                listed(&balancers);
            }
        }
    }
}

/// Keeps the record of a balancer's flows until the process ends. `next` says what
/// is called, and `answered` takes each reply.
pub async fn keep_flow_record(
    mut store: impl Store,
    clock: NodeClock,
    contact: Rc<StoreContact>,
    leaving: Rc<tokio::sync::Notify>,
    mut next: impl FnMut() -> NextCall,
    mut answered: impl FnMut(StoreReply),
) {
    loop {
        match next() {
            NextCall::At(at) => {
                tokio::select! {
                    () = sleep(at.since(clock.now())) => {}
                    () = leaving.notified() => {}
                }
            }
            NextCall::Now(call) => {
                contact.count(&call);
                answered(store.call(call).await);
            }
        }
    }
}

/// Whether the store answers, for logs and metrics.
#[derive(Debug, Default)]
pub struct StoreContact {
    state: std::cell::Cell<ContactState>,
    changed: std::cell::Cell<Option<bool>>,
    calls: std::cell::Cell<[u64; CALL_KINDS.len()]>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ContactState {
    answers: u64,
    failures: u64,
    refusals: u64,
    is_reached: Option<bool>,
}

impl StoreContact {
    /// Counts a call.
    pub fn count(&self, call: &StoreCall) {
        let mut calls = self.calls.get();
        calls[call.kind_index()] += 1;
        self.calls.set(calls);
    }

    /// Calls by kind.
    #[must_use]
    pub fn calls(&self) -> [(&'static str, u64); CALL_KINDS.len()] {
        let calls = self.calls.get();
        std::array::from_fn(|index| (CALL_KINDS[index], calls[index]))
    }

    /// Writes one line with the calls since the start of the node, whose role goes
    /// before it.
    pub fn log(&self, role: &str, logger: &Logger) {
        let calls = self.calls().into_iter().filter(|(_, count)| *count > 0);
        let words: Vec<String> = calls
            .map(|(kind, count)| format!("{kind}={count}"))
            .collect();
        info!(logger, "{}: calls of the store", role; "event" => "store_calls",
            "calls" => words.join(" "));
    }

    /// Takes a reply in.
    pub fn note(&self, reply: &StoreReply) {
        let mut state = self.state.get();
        let reached = match reply {
            StoreReply::NoAnswer => {
                state.failures += 1;
                false
            }
            StoreReply::Refused => {
                state.refusals += 1;
                false
            }
            _ => {
                state.answers += 1;
                true
            }
        };
        if state.is_reached != Some(reached) {
            state.is_reached = Some(reached);
            self.changed.set(Some(reached));
        }
        self.state.set(state);
    }

    /// Whether the store was reached or lost since the last call.
    pub fn take_change(&self) -> Option<bool> {
        self.changed.take()
    }

    /// Answers, refusals and calls without an answer.
    #[must_use]
    pub fn totals(&self) -> (u64, u64, u64) {
        let state = self.state.get();
        (state.answers, state.refusals, state.failures)
    }
}
