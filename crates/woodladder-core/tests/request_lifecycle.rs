//! The request table under arbitrary events, including events out of order.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use woodladder_core::clock::Instant;
use woodladder_core::target::request::{
    RefusalReason, RequestAction, RequestEvent, RequestId, RequestOptions, RequestTable,
};

use support::at;
use support::request_monitor::Monitor;

const QUEUE_LIMIT: usize = 4;
const CONNECTION_LIMIT: u32 = 6;
const INITIAL_SLOTS: u16 = 3;

#[derive(Clone, Debug)]
struct Step {
    after: Duration,
    event: RequestEvent,
}

/// Number of requests that have arrived, and the current time.
#[derive(Clone, Debug)]
struct Arrivals {
    arrived: u64,
    now: Instant,
}

impl ReferenceStateMachine for Arrivals {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        let now = at(1000);
        Just(Self { arrived: 0, now }).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let after = prop_oneof![4 => 0..20_u64, 1 => 0..3000_u64];
        (after, events(state.arrived, state.now))
            .prop_map(|(after, event)| Step {
                after: Duration::from_millis(after),
                event,
            })
            .boxed()
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        match step.event {
            RequestEvent::Arrived { id, .. } => id == RequestId(state.arrived),
            _ => true,
        }
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        state.now = state.now + step.after;
        state.arrived += u64::from(matches!(step.event, RequestEvent::Arrived { .. }));
        state
    }
}

fn events(arrived: u64, now: Instant) -> BoxedStrategy<RequestEvent> {
    let deadline = prop::option::of(
        (0..2000_u64).prop_map(move |time_left| now + Duration::from_millis(time_left)),
    );
    let arrival =
        (deadline, any::<bool>()).prop_map(move |(deadline, repeatable)| RequestEvent::Arrived {
            id: RequestId(arrived),
            deadline,
            repeatable,
        });
    let known = (arrived.saturating_sub(8)..=arrived).prop_map(RequestId);
    let exchange = (known, 0..12_u8, any::<bool>()).prop_map(|(id, kind, flag)| match kind {
        0..5 => RequestEvent::BackEndConnected(id),
        5..8 => RequestEvent::AnswerHead {
            id,
            streaming: flag,
        },
        8 => RequestEvent::AnswerEnd { id, complete: flag },
        9 => RequestEvent::BackEndRefused {
            id,
            retry_after: None,
        },
        10 => RequestEvent::BackEndFailed(id),
        _ => RequestEvent::Cancelled(id),
    });
    let target = prop_oneof![
        (0..5_u16).prop_map(RequestEvent::SlotsChanged),
        Just(RequestEvent::RefuseArrivals),
        Just(RequestEvent::TakeArrivals),
        Just(RequestEvent::Tick),
    ];
    prop_oneof![4 => arrival, 8 => exchange, 1 => target].boxed()
}

struct MonitoredTable {
    table: RequestTable,
    monitor: Monitor,
    slots: u32,
    takes_arrivals: bool,
    now: Instant,
}

fn options() -> RequestOptions {
    RequestOptions {
        queue_limit: QUEUE_LIMIT,
        connection_limit: CONNECTION_LIMIT,
        ..RequestOptions::default()
    }
}

impl MonitoredTable {
    fn handle(&mut self, event: RequestEvent, now: Instant) {
        self.record(&event);
        let actions = self.table.handle(event, now);
        for action in &actions {
            self.monitor.check(&event, action);
            self.check_action(action);
        }
        self.check_arrival(&event, &actions);
        self.check_counts(now);
    }

    fn record(&mut self, event: &RequestEvent) {
        self.monitor.record_event(event);
        match event {
            RequestEvent::SlotsChanged(slots) => self.slots = u32::from(*slots),
            RequestEvent::RefuseArrivals => self.takes_arrivals = false,
            RequestEvent::TakeArrivals => self.takes_arrivals = true,
            _ => {}
        }
    }

    fn check_action(&self, action: &RequestAction) {
        match action {
            RequestAction::Dispatch(_) => {
                let busy = self.monitor.busy();
                assert!(busy <= self.slots, "dispatched without a free slot");
                assert!(busy + self.monitor.streams() <= CONNECTION_LIMIT);
            }
            RequestAction::Refuse { refusal, .. } => {
                let retry_after = refusal.retry_after();
                assert_eq!(retry_after.subsec_nanos(), 0);
                assert!(retry_after >= options().minimum_retry_after);
                assert!(retry_after <= options().maximum_retry_after);
            }
            _ => {}
        }
    }

    /// While arrivals are refused, a request that arrives is refused by the same
    /// call.
    fn check_arrival(&self, event: &RequestEvent, actions: &[RequestAction]) {
        let RequestEvent::Arrived { id, .. } = event else {
            return;
        };
        if !self.takes_arrivals {
            let leaving = actions.iter().any(|action| {
                matches!(action, RequestAction::Refuse { id: refused, refusal }
                    if refused == id && refusal.reason() == RefusalReason::Leaving)
            });
            assert!(leaving, "accepted while arrivals are refused");
        }
    }

    fn check_counts(&self, now: Instant) {
        let counts = self.table.counts();
        assert_eq!(counts.queued, self.monitor.queued());
        assert_eq!(counts.busy, self.monitor.busy());
        assert_eq!(counts.streams, self.monitor.streams());
        assert!(
            counts.queued as usize <= QUEUE_LIMIT,
            "the queue is too long"
        );
        let has_free_slot =
            counts.busy < self.slots && counts.busy + counts.streams < CONNECTION_LIMIT;
        assert!(
            !has_free_slot || counts.queued == 0,
            "a slot is free while requests wait"
        );
        assert!(
            self.table.next_wakeup().is_none_or(|at| at > now),
            "an overdue request is kept"
        );
    }
}

struct LifecycleTest;

impl StateMachineTest for LifecycleTest {
    type SystemUnderTest = MonitoredTable;
    type Reference = Arrivals;

    fn init_test(_world: &Arrivals) -> MonitoredTable {
        let random = ChaCha8Rng::seed_from_u64(1);
        MonitoredTable {
            table: RequestTable::new(options(), INITIAL_SLOTS, random),
            monitor: Monitor::default(),
            slots: u32::from(INITIAL_SLOTS),
            takes_arrivals: true,
            now: Instant::ORIGIN,
        }
    }

    fn apply(mut monitored: MonitoredTable, arrivals: &Arrivals, step: Step) -> MonitoredTable {
        monitored.now = arrivals.now;
        monitored.handle(step.event, arrivals.now);
        monitored
    }

    /// Each request has exactly one final action in the end.
    fn teardown(mut monitored: MonitoredTable) {
        let ids: Vec<RequestId> = monitored.monitor.requests.keys().copied().collect();
        let now = monitored.now;
        for id in ids {
            monitored.handle(RequestEvent::Cancelled(id), now);
        }
        let mut histories = monitored.monitor.requests.values();
        assert!(histories.all(|history| history.ended));
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn every_request_keeps_the_invariants(sequential 1..120 => LifecycleTest);
}
