//! The result of a roll command is correct, whatever the key-value service
//! does.

mod control_simulation;

use std::time::Duration;

use borsh::BorshDeserialize as _;
use control_simulation::fixture::{bundle, operator, roll, trusted, untrusted_operator};
use control_simulation::store::Store;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use woodladder_core::clock::Instant;
use woodladder_core::configuration::bundle::SignedBundle;
use woodladder_core::configuration::roll_record::StoredRoll;
use woodladder_core::control::roll_command::{
    RollAction, RollCommand, RollError, RollEvent, RollOutcome, RollRequest,
};
use woodladder_core::control::store_operation::{StoreAnswer, StoreKey, StoreOperation};
use woodladder_core::identifier::Sequence;
use woodladder_core::signature::SignatureError;

type CommandResult = Result<RollOutcome, RollError>;

fn request(version: u64, operator_name: &str) -> RollRequest {
    let signed = SignedBundle::sign(bundle(version, 0..20, version as u16), &operator());
    RollRequest::new(
        signed,
        operator_name.to_owned(),
        operator(),
        trusted(),
        2_000,
    )
}

fn command(request: RollRequest, seed: u64) -> RollCommand {
    RollCommand::new(request, ChaCha8Rng::seed_from_u64(seed), Instant::ORIGIN)
}

/// Runs a command to its end; `answer` stands in for the key-value service.
fn run(
    command: &mut RollCommand,
    mut answer: impl FnMut(&StoreOperation) -> Option<StoreAnswer>,
) -> CommandResult {
    let mut now = Instant::ORIGIN;
    let mut pending = command.handle(RollEvent::Tick, now);
    loop {
        let mut next = Vec::new();
        for action in pending {
            match action {
                RollAction::Finished(result) => return result,
                RollAction::Store { request, operation } => {
                    if let Some(answer) = answer(&operation) {
                        next.push(RollEvent::StoreAnswer { request, answer });
                    }
                }
                _ => {}
            }
        }
        if next.is_empty() {
            now = command.next_wakeup().unwrap().max(now);
            next.push(RollEvent::Tick);
        }
        now = now + Duration::from_millis(1);
        pending = next
            .into_iter()
            .flat_map(|event| command.handle(event, now))
            .collect();
    }
}

fn is_swap(operation: &StoreOperation) -> bool {
    matches!(
        operation,
        StoreOperation::CompareAndSwap {
            key: StoreKey::Current,
            ..
        }
    )
}

fn current(store: &Store) -> StoredRoll {
    StoredRoll::try_from_slice(store.value(StoreKey::Current).unwrap()).unwrap()
}

#[test]
fn an_older_bundle_version_gets_the_next_sequence() {
    let mut store = Store::default();
    for (index, version) in [1, 2, 1].into_iter().enumerate() {
        let mut command = command(request(version, "lin"), version);
        let outcome = run(&mut command, |operation| Some(store.answer(operation))).unwrap();
        assert_eq!(outcome.roll.sequence, Sequence(index as u64 + 1));
        assert_eq!(outcome.roll.bundle_version, version);
        let copy = store.value(StoreKey::Snapshot(outcome.snapshot));
        assert!(copy.is_some());
        assert_eq!(
            current(&store).record.statement.snapshot_digest,
            outcome.snapshot
        );
    }
}

#[test]
fn same_bundle_again_changes_nothing() {
    let mut store = Store::default();
    run(&mut command(request(1, "lin"), 1), |operation| {
        Some(store.answer(operation))
    })
    .unwrap();
    let again = run(&mut command(request(1, "lin"), 2), |operation| {
        Some(store.answer(operation))
    });
    let Err(RollError::AlreadyInForce(known)) = again else {
        panic!("{again:?}");
    };
    assert_eq!(known.sequence, Sequence(1));
}

#[test]
fn untrusted_input_is_refused_before_any_request() {
    let refuse = |_: &StoreOperation| -> Option<StoreAnswer> { panic!("asked the service") };
    let mut unsigned = request(1, "lin");
    unsigned.bundle = SignedBundle::sign(unsigned.bundle.bundle, &untrusted_operator());
    let untrusted = RollError::SignOff(SignatureError::UntrustedKey);
    assert_eq!(run(&mut command(unsigned, 1), refuse), Err(untrusted));
    let mut other_key = request(1, "lin");
    other_key.key = untrusted_operator();
    let result = run(&mut command(other_key, 1), refuse);
    assert_eq!(result, Err(RollError::OperatorNotTrusted));
    let result = run(&mut command(request(1, ""), 1), refuse);
    assert_eq!(result, Err(RollError::InvalidOperatorName));
}

#[test]
fn unreachable_service_is_reported_and_nothing_is_rolled() {
    let result = run(&mut command(request(1, "lin"), 1), |_| {
        Some(StoreAnswer::Unreachable)
    });
    assert_eq!(result, Err(RollError::StoreUnavailable));
    assert!(!result.unwrap_err().may_have_taken_effect());
}

#[test]
fn swap_that_took_effect_is_confirmed_after_its_answer_was_lost() {
    let mut store = Store::default();
    let mut lost = false;
    let outcome = run(&mut command(request(1, "lin"), 1), |operation| {
        let answer = store.answer(operation);
        if is_swap(operation) && !lost {
            lost = true;
            return Some(StoreAnswer::Unknown);
        }
        Some(answer)
    });
    assert_eq!(outcome.unwrap().roll.sequence, Sequence(1));
    assert!(lost);
}

#[test]
fn swap_that_never_arrived_is_sent_again() {
    let mut store = Store::default();
    let mut swaps = 0;
    let outcome = run(&mut command(request(1, "lin"), 1), |operation| {
        if is_swap(operation) {
            swaps += 1;
            if swaps == 1 {
                return None;
            }
        }
        Some(store.answer(operation))
    });
    assert_eq!(outcome.unwrap().roll.sequence, Sequence(1));
    assert_eq!(swaps, 2);
}

#[test]
fn outage_after_the_swap_leaves_the_outcome_unknown() {
    let mut store = Store::default();
    let result = run(&mut command(request(1, "lin"), 1), |operation| {
        let answer = store.answer(operation);
        if is_swap(operation) {
            store.down = true;
            return None;
        }
        Some(answer)
    });
    let sequence = Sequence(1);
    assert_eq!(result, Err(RollError::OutcomeUnknown { sequence }));
    assert!(result.unwrap_err().may_have_taken_effect());
}

#[test]
fn lost_race_names_the_roll_in_force() {
    let mut store = Store::default();
    let winner = roll(None, bundle(9, 0..20, 9), 9);
    let result = run(&mut command(request(1, "mei"), 1), |operation| {
        if is_swap(operation) && store.value(StoreKey::Current).is_none() {
            store.put_roll(&winner);
        }
        Some(store.answer(operation))
    });
    let Err(RollError::LostRace {
        winner: Some(known),
        in_doubt: false,
    }) = result
    else {
        panic!("{result:?}");
    };
    assert_eq!((known.operator.as_str(), known.bundle_version), ("lin", 9));
    assert_eq!(current(&store), winner.stored);
}

#[test]
fn damaged_copy_under_the_digest_is_replaced() {
    let mut store = Store::default();
    let planned = roll(None, bundle(1, 0..20, 1), 1).snapshot;
    store.put(StoreKey::Snapshot(planned.digest()), vec![1, 2, 3]);
    run(&mut command(request(1, "lin"), 1), |operation| {
        Some(store.answer(operation))
    })
    .unwrap();
    let copy = store.value(StoreKey::Snapshot(planned.digest()));
    assert_eq!(copy, Some(planned.encode().as_slice()));
}

#[test]
fn bundle_of_another_deployment_is_refused() {
    let mut store = Store::default();
    store.put_roll(&roll(None, bundle(1, 0..20, 1), 1));
    let mut other = bundle(2, 0..20, 1);
    other.deployment = "other".to_owned();
    let mut wanted = request(1, "lin");
    wanted.bundle = SignedBundle::sign(other, &operator());
    let result = run(&mut command(wanted, 1), |operation| {
        Some(store.answer(operation))
    });
    assert_eq!(
        result,
        Err(RollError::DeploymentMismatch("test".to_owned()))
    );
}
