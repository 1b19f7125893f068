//! Operators who roll at the same time, over a key-value service that delays
//! and loses requests and answers. Exactly one roll takes effect under each
//! sequence, and every command reports a correct result.

mod control_simulation;

use std::time::Duration;

use borsh::BorshDeserialize as _;
use control_simulation::fixture::{bundle, operator, trusted};
use control_simulation::store::Store;
use proptest::prelude::*;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use woodladder_core::clock::Instant;
use woodladder_core::configuration::bundle::SignedBundle;
use woodladder_core::configuration::roll_record::{RollRecord, StoredRoll};
use woodladder_core::control::roll_command::{
    RollAction, RollCommand, RollError, RollEvent, RollOutcome, RollRequest,
};
use woodladder_core::control::store_operation::{
    StoreAnswer, StoreKey, StoreOperation, StoreRequestId,
};

/// Probability of each fault for a request or an operator, in percent.
#[derive(Clone, Copy, Debug)]
struct FaultPercentages {
    unreachable: u32,
    rate_limited: u32,
    request_lost: u32,
    answer_lost: u32,
    late: u32,
    paused: u32,
}

/// A message in transit or a timer.
enum Pending {
    Request(StoreRequestId, StoreOperation),
    Answer(StoreRequestId, StoreAnswer),
    Wake,
}

struct Due {
    at: Instant,
    operator: usize,
    pending: Pending,
}

struct Operator {
    command: RollCommand,
    paused_until: Instant,
    result: Option<Result<RollOutcome, RollError>>,
}

struct Race {
    now: Instant,
    faults: FaultPercentages,
    random: ChaCha8Rng,
    store: Store,
    operators: Vec<Operator>,
    due: Vec<Due>,
    /// Records in the order in which they came into force.
    in_force: Vec<RollRecord>,
}

impl Race {
    fn new(operators: u64, faults: FaultPercentages, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let operators = (0..operators)
            .map(|index| {
                let signed =
                    SignedBundle::sign(bundle(index + 1, 0..5, index as u16 + 1), &operator());
                let name = format!("operator-{index}");
                let request = RollRequest::new(signed, name, operator(), trusted(), 2_000);
                let generator = ChaCha8Rng::seed_from_u64(random.random());
                Operator {
                    command: RollCommand::new(request, generator, Instant::ORIGIN),
                    paused_until: Instant::ORIGIN,
                    result: None,
                }
            })
            .collect();
        Self {
            now: Instant::ORIGIN,
            faults,
            random,
            store: Store::default(),
            operators,
            due: Vec::new(),
            in_force: Vec::new(),
        }
    }

    /// Runs until no event is scheduled any more, including late requests.
    fn run(&mut self) {
        for operator in 0..self.operators.len() {
            self.push(Duration::ZERO, operator, Pending::Wake);
        }
        while let Some(next) = (0..self.due.len()).min_by_key(|place| self.due[*place].at) {
            let due = self.due.swap_remove(next);
            self.now = self.now.max(due.at);
            self.deliver(due);
        }
    }

    fn deliver(&mut self, due: Due) {
        let operator = due.operator;
        let paused_until = self.operators[operator].paused_until;
        let event = match due.pending {
            Pending::Request(request, operation) => {
                self.handle_request(operator, request, &operation);
                return;
            }
            pending if paused_until > self.now => {
                let at = paused_until;
                self.due.push(Due {
                    at,
                    operator,
                    pending,
                });
                return;
            }
            Pending::Answer(request, answer) => RollEvent::StoreAnswer { request, answer },
            Pending::Wake => RollEvent::Tick,
        };
        if self.fault_occurs(self.faults.paused) {
            let pause = self.random.random_range(1..60);
            self.operators[operator].paused_until = self.now + Duration::from_secs(pause);
        }
        let actions = self.operators[operator].command.handle(event, self.now);
        for action in actions {
            self.execute(operator, action);
        }
        if let Some(wakeup) = self.operators[operator].command.next_wakeup() {
            let wait = wakeup.since(self.now).max(Duration::from_millis(1));
            self.due
                .retain(|due| due.operator != operator || !matches!(due.pending, Pending::Wake));
            self.push(wait, operator, Pending::Wake);
        }
    }

    fn execute(&mut self, operator: usize, action: RollAction) {
        match action {
            RollAction::Finished(result) => {
                assert!(self.operators[operator].result.is_none());
                self.operators[operator].result = Some(result);
            }
            RollAction::Store { request, operation } => {
                self.send_request(operator, request, operation)
            }
            _ => {}
        }
    }

    fn send_request(
        &mut self,
        operator: usize,
        request: StoreRequestId,
        operation: StoreOperation,
    ) {
        let refusal = if self.fault_occurs(self.faults.unreachable) {
            Some(StoreAnswer::Unreachable)
        } else if self.fault_occurs(self.faults.rate_limited) {
            Some(StoreAnswer::RateLimited { retry_after: None })
        } else {
            None
        };
        let delay = self.delay();
        match refusal {
            Some(answer) => self.push(delay, operator, Pending::Answer(request, answer)),
            None if self.fault_occurs(self.faults.request_lost) => {}
            None => self.push(delay, operator, Pending::Request(request, operation)),
        }
    }

    fn handle_request(
        &mut self,
        operator: usize,
        request: StoreRequestId,
        operation: &StoreOperation,
    ) {
        let answer = self.store.answer(operation);
        self.record_in_force(operation, &answer);
        let lost = self.fault_occurs(self.faults.answer_lost);
        let delay = self.delay();
        let client_reports_unknown = self.random.random_bool(0.5);
        match lost {
            false => self.push(delay, operator, Pending::Answer(request, answer)),
            true if client_reports_unknown => {
                let unknown = StoreAnswer::Unknown;
                self.push(delay, operator, Pending::Answer(request, unknown));
            }
            true => {}
        }
    }

    fn record_in_force(&mut self, operation: &StoreOperation, answer: &StoreAnswer) {
        let StoreOperation::CompareAndSwap {
            key: StoreKey::Current,
            value,
            ..
        } = operation
        else {
            return;
        };
        if *answer != StoreAnswer::Written {
            return;
        }
        let stored = StoredRoll::try_from_slice(value).unwrap();
        let copy = StoreKey::Snapshot(stored.record.statement.snapshot_digest);
        assert!(self.store.value(copy).is_some());
        self.in_force.push(stored.record);
    }

    fn delay(&mut self) -> Duration {
        let late = self.fault_occurs(self.faults.late);
        let longest = if late { 30_000 } else { 50 };
        Duration::from_millis(self.random.random_range(1..longest))
    }

    fn fault_occurs(&mut self, percent: u32) -> bool {
        self.random.random_ratio(percent, 100)
    }

    fn push(&mut self, wait: Duration, operator: usize, pending: Pending) {
        let at = self.now + wait;
        self.due.push(Due {
            at,
            operator,
            pending,
        });
    }

    fn check(&self) {
        for (index, record) in self.in_force.iter().enumerate() {
            assert_eq!(record.sequence().0, index as u64 + 1);
        }
        for operator in &self.operators {
            self.check_result(operator);
        }
    }

    fn check_result(&self, operator: &Operator) {
        let nonce = operator.command.nonce();
        let took_effect = self
            .in_force
            .iter()
            .filter(|record| record.statement.nonce == nonce)
            .count();
        assert!(took_effect <= 1, "a roll took effect twice");
        match operator.result.as_ref().expect("the command never ended") {
            Ok(outcome) => {
                let place = outcome.roll.sequence.0 as usize - 1;
                assert_eq!(self.in_force[place].statement.nonce, nonce);
            }
            Err(error) => {
                assert!(took_effect == 0 || error.may_have_taken_effect(), "{error}");
                self.check_winner(error);
            }
        }
    }

    fn check_winner(&self, error: &RollError) {
        let RollError::LostRace {
            winner: Some(winner),
            ..
        } = error
        else {
            return;
        };
        let named = &self.in_force[winner.sequence.0 as usize - 1].statement;
        assert_eq!(named.operator, winner.operator);
        assert_eq!(named.bundle_version, winner.bundle_version);
    }
}

prop_compose! {
    fn faults()(
        unreachable in 0..30_u32,
        rate_limited in 0..30_u32,
        request_lost in 0..30_u32,
        answer_lost in 0..50_u32,
        late in 0..30_u32,
        paused in 0..20_u32,
    ) -> FaultPercentages {
        FaultPercentages { unreachable, rate_limited, request_lost, answer_lost, late, paused }
    }
}

proptest! {
    #[test]
    fn each_sequence_has_one_roll_and_every_result_is_correct(
        operators in 1..5_u64,
        faults in faults(),
        seed in any::<u64>(),
    ) {
        let mut race = Race::new(operators, faults, seed);
        race.run();
        race.check();
    }

    #[test]
    fn without_faults_every_command_learns_which_roll_took_effect(operators in 1..5_u64, seed in any::<u64>()) {
        let faults = FaultPercentages { unreachable: 0, rate_limited: 0, request_lost: 0, answer_lost: 0, late: 0, paused: 0 };
        let mut race = Race::new(operators, faults, seed);
        race.run();
        race.check();
        prop_assert!(!race.in_force.is_empty());
        for operator in &race.operators {
            let result = operator.result.as_ref().unwrap();
            let known = matches!(result, Ok(_) | Err(RollError::LostRace { winner: Some(_), in_doubt: false }));
            prop_assert!(known, "{:?}", result);
        }
    }
}
