//! Operators who roll at the same time over a service that delays, loses and
//! answers late: one winner for each sequence, and every verdict is true.

mod control_world;

use std::time::Duration;

use borsh::BorshDeserialize as _;
use control_world::fixture::{bundle, operator, trusted};
use control_world::store::Store;
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

/// How often each fault befalls a request or an operator, in percent.
#[derive(Clone, Copy, Debug)]
struct Odds {
    unreachable: u32,
    rate_limited: u32,
    request_lost: u32,
    answer_lost: u32,
    late: u32,
    freeze: u32,
}

/// Something on its way.
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
    frozen_until: Instant,
    verdict: Option<Result<RollOutcome, RollError>>,
}

struct Race {
    now: Instant,
    odds: Odds,
    random: ChaCha8Rng,
    store: Store,
    operators: Vec<Operator>,
    due: Vec<Due>,
    /// Records in the order in which they were in force.
    in_force: Vec<RollRecord>,
}

impl Race {
    fn new(operators: u64, odds: Odds, seed: u64) -> Self {
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
                    frozen_until: Instant::ORIGIN,
                    verdict: None,
                }
            })
            .collect();
        Self {
            now: Instant::ORIGIN,
            odds,
            random,
            store: Store::default(),
            operators,
            due: Vec::new(),
            in_force: Vec::new(),
        }
    }

    /// Runs until nothing is on its way any more, late requests included.
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
        let frozen_until = self.operators[operator].frozen_until;
        let event = match due.pending {
            Pending::Request(request, operation) => {
                self.serve(operator, request, &operation);
                return;
            }
            pending if frozen_until > self.now => {
                let at = frozen_until;
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
        if self.hits(self.odds.freeze) {
            let pause = self.random.random_range(1..60);
            self.operators[operator].frozen_until = self.now + Duration::from_secs(pause);
        }
        let actions = self.operators[operator].command.handle(event, self.now);
        for action in actions {
            self.carry_out(operator, action);
        }
        if let Some(wakeup) = self.operators[operator].command.next_wakeup() {
            let wait = wakeup.since(self.now).max(Duration::from_millis(1));
            self.due
                .retain(|due| due.operator != operator || !matches!(due.pending, Pending::Wake));
            self.push(wait, operator, Pending::Wake);
        }
    }

    fn carry_out(&mut self, operator: usize, action: RollAction) {
        match action {
            RollAction::Finished(verdict) => {
                assert!(self.operators[operator].verdict.is_none());
                self.operators[operator].verdict = Some(verdict);
            }
            RollAction::Store { request, operation } => self.ask(operator, request, operation),
            _ => {}
        }
    }

    fn ask(&mut self, operator: usize, request: StoreRequestId, operation: StoreOperation) {
        let refusal = if self.hits(self.odds.unreachable) {
            Some(StoreAnswer::Unreachable)
        } else if self.hits(self.odds.rate_limited) {
            Some(StoreAnswer::RateLimited { retry_after: None })
        } else {
            None
        };
        let delay = self.delay();
        match refusal {
            Some(answer) => self.push(delay, operator, Pending::Answer(request, answer)),
            None if self.hits(self.odds.request_lost) => {}
            None => self.push(delay, operator, Pending::Request(request, operation)),
        }
    }

    fn serve(&mut self, operator: usize, request: StoreRequestId, operation: &StoreOperation) {
        let answer = self.store.answer(operation);
        self.note_in_force(operation, &answer);
        let lost = self.hits(self.odds.answer_lost);
        let delay = self.delay();
        let told = self.random.random_bool(0.5);
        match lost {
            false => self.push(delay, operator, Pending::Answer(request, answer)),
            true if told => {
                let unknown = StoreAnswer::Unknown;
                self.push(delay, operator, Pending::Answer(request, unknown));
            }
            true => {}
        }
    }

    fn note_in_force(&mut self, operation: &StoreOperation, answer: &StoreAnswer) {
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
        let late = self.hits(self.odds.late);
        let longest = if late { 30_000 } else { 50 };
        Duration::from_millis(self.random.random_range(1..longest))
    }

    fn hits(&mut self, percent: u32) -> bool {
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
            self.check_verdict(operator);
        }
    }

    fn check_verdict(&self, operator: &Operator) {
        let nonce = operator.command.nonce();
        let took_effect = self
            .in_force
            .iter()
            .filter(|record| record.statement.nonce == nonce)
            .count();
        assert!(took_effect <= 1, "a roll took effect twice");
        match operator.verdict.as_ref().expect("the command never ended") {
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
    fn odds()(
        unreachable in 0..30_u32,
        rate_limited in 0..30_u32,
        request_lost in 0..30_u32,
        answer_lost in 0..50_u32,
        late in 0..30_u32,
        freeze in 0..20_u32,
    ) -> Odds {
        Odds { unreachable, rate_limited, request_lost, answer_lost, late, freeze }
    }
}

proptest! {
    #[test]
    fn every_sequence_has_one_winner_and_every_verdict_is_true(
        operators in 1..5_u64,
        odds in odds(),
        seed in any::<u64>(),
    ) {
        let mut race = Race::new(operators, odds, seed);
        race.run();
        race.check();
    }

    #[test]
    fn without_faults_somebody_wins_and_everybody_knows(operators in 1..5_u64, seed in any::<u64>()) {
        let odds = Odds { unreachable: 0, rate_limited: 0, request_lost: 0, answer_lost: 0, late: 0, freeze: 0 };
        let mut race = Race::new(operators, odds, seed);
        race.run();
        race.check();
        prop_assert!(!race.in_force.is_empty());
        for operator in &race.operators {
            let verdict = operator.verdict.as_ref().unwrap();
            let known = matches!(verdict, Ok(_) | Err(RollError::LostRace { winner: Some(_), in_doubt: false }));
            prop_assert!(known, "{:?}", verdict);
        }
    }
}
