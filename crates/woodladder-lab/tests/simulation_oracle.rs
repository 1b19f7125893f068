//! The oracle on hand-made logs: each promise once broken and once just kept.

use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_core::configuration::roll_record::RollNonce;
use woodladder_core::digest::Digest;
use woodladder_core::identifier::{Sequence, ServiceId, TargetId};
use woodladder_lab::simulation::log::{
    Asked, AttemptId, Entry, Log, OperationId, Outcome, ProcessRun, RollVerdict,
};
use woodladder_lab::simulation::oracle::judge;
use woodladder_lab::simulation::promise::Promise;
use woodladder_lab::simulation::topology::Machine;

const TARGET: TargetId = TargetId(1);
const WHOLE: u32 = 100;
const NODE: ProcessRun = ProcessRun {
    machine: Machine::Balancer(1),
    run: 1,
};
const PEER: ProcessRun = ProcessRun {
    machine: Machine::Balancer(2),
    run: 1,
};

fn at(milliseconds: u64) -> Instant {
    Instant::from_origin(Duration::from_millis(milliseconds))
}

fn broken(entries: &[(u64, Entry)]) -> Vec<Promise> {
    let mut log = Log::default();
    for (milliseconds, entry) in entries {
        log.add(at(*milliseconds), *entry);
    }
    let violations = judge(log.records());
    violations.iter().map(|found| found.promise).collect()
}

fn asked(attempt: u64, operation: u64) -> Entry {
    Entry::Asked(Asked {
        attempt: AttemptId(attempt),
        operation: OperationId(operation),
        service: ServiceId(1),
        repeatable: false,
        answer_length: WHOLE,
        deadline: None,
    })
}

fn executed(attempt: u64, operation: u64) -> Entry {
    Entry::Executed {
        attempt: AttemptId(attempt),
        operation: OperationId(operation),
        target: TARGET,
    }
}

fn ended(attempt: u64, outcome: Outcome) -> Entry {
    let attempt = AttemptId(attempt);
    Entry::Ended {
        attempt,
        outcome,
        target: TARGET,
    }
}

fn accepted(sequence: u64, content: u8) -> Entry {
    Entry::RollAccepted {
        sequence: Sequence(sequence),
        nonce: RollNonce([content; 16]),
        snapshot: Digest([content; 32]),
    }
}

fn in_force(node: ProcessRun, sequence: u64, content: u8) -> Entry {
    Entry::InForce {
        node,
        sequence: Sequence(sequence),
        snapshot: Digest([content; 32]),
    }
}

fn health(node: ProcessRun, sound: bool) -> Entry {
    Entry::NodeHealth { node, sound }
}

#[test]
fn not_run_with_an_execution() {
    let refused = ended(1, Outcome::NotRun);
    let log = [(0, asked(1, 1)), (1, executed(1, 1)), (2, refused)];
    assert_eq!(broken(&log), [Promise::NotRunMeansNotRun]);
    assert!(broken(&[(0, asked(1, 1)), (2, refused)]).is_empty());
}

#[test]
fn second_execution() {
    let log = [
        (0, asked(1, 1)),
        (1, executed(1, 1)),
        (2, asked(2, 1)),
        (3, executed(2, 1)),
    ];
    assert_eq!(broken(&log), [Promise::AtMostOnce]);
    let log = [(0, asked(1, 1)), (1, executed(1, 1)), (2, executed(1, 1))];
    assert_eq!(broken(&log), [Promise::AtMostOnce]);
    assert!(broken(&log[..2]).is_empty());
}

#[test]
fn short_or_foreign_answer() {
    let answer = |length, own| {
        let outcome = Outcome::Answered { length, own };
        broken(&[
            (0, asked(1, 1)),
            (1, executed(1, 1)),
            (2, ended(1, outcome)),
        ])
    };
    assert_eq!(answer(WHOLE - 1, true), [Promise::WholeOwnAnswer]);
    assert_eq!(answer(WHOLE, false), [Promise::WholeOwnAnswer]);
    assert!(answer(WHOLE, true).is_empty());
}

#[test]
fn packet_for_another_service() {
    let taken = |meant| Entry::PacketTaken {
        target: TARGET,
        service: ServiceId(1),
        meant: ServiceId(meant),
    };
    assert_eq!(broken(&[(0, taken(2))]), [Promise::RightService]);
    assert!(broken(&[(0, taken(1))]).is_empty());
}

#[test]
fn new_work_at_a_leaving_target() {
    let told = Entry::ToldToLeave { target: TARGET };
    let stays = Entry::ToldToStay { target: TARGET };
    let flow = Entry::FlowAccepted { target: TARGET };
    let request = Entry::RequestAdmitted {
        target: TARGET,
        attempt: AttemptId(1),
    };
    for work in [flow, request] {
        assert_eq!(
            broken(&[(0, told), (5001, work)]),
            [Promise::LeavingGetsNoWork]
        );
        assert!(broken(&[(0, told), (5000, work)]).is_empty());
        assert!(broken(&[(0, told), (1, stays), (9000, work)]).is_empty());
    }
}

#[test]
fn request_cut_without_a_fault() {
    let cut = [
        (0, asked(1, 1)),
        (1, executed(1, 1)),
        (9, ended(1, Outcome::Cut)),
    ];
    assert_eq!(broken(&cut), [Promise::PlannedStopKeepsRequests]);
    let failed = Entry::TargetFailed { target: TARGET };
    let spoiled = Entry::Spoiled {
        attempt: AttemptId(1),
    };
    for fault in [failed, spoiled, Entry::NoBalancer] {
        let log = [cut[0], cut[1], (5, fault), cut[2]];
        assert!(broken(&log).is_empty());
    }
}

#[test]
fn feed_cut_without_a_fault() {
    let flow = Entry::FlowBroken {
        target: TARGET,
        feed: true,
        last_heard: at(20_000),
    };
    assert_eq!(
        broken(&[(28_000, flow)]),
        [Promise::PlannedChangeKeepsFeeds]
    );
    let failed = Entry::TargetFailed { target: TARGET };
    assert!(broken(&[(21_000, failed), (28_000, flow)]).is_empty());
    let long_before = [(1000, failed), (28_000, flow)];
    assert_eq!(broken(&long_before), [Promise::PlannedChangeKeepsFeeds]);
}

#[test]
fn roll_that_goes_back_or_was_never_accepted() {
    let log = [
        (0, accepted(1, 1)),
        (0, accepted(2, 2)),
        (1, in_force(NODE, 2, 2)),
        (2, in_force(NODE, 1, 1)),
    ];
    assert_eq!(broken(&log), [Promise::NeverReverts]);
    assert!(broken(&log[..3]).is_empty());
    let other_content = [(0, accepted(1, 1)), (1, in_force(NODE, 1, 9))];
    assert_eq!(broken(&other_content), [Promise::NeverReverts]);
}

#[test]
fn roll_not_in_force_in_time() {
    let end = (30_000, health(PEER, false));
    let up = (0, health(NODE, true));
    let late = [up, (1000, accepted(1, 1)), end];
    assert_eq!(broken(&late), [Promise::SoonInForce]);
    let kept = [
        up,
        (1000, accepted(1, 1)),
        (12_000, in_force(NODE, 1, 1)),
        end,
    ];
    assert!(broken(&kept).is_empty());
    let frozen = [up, (1000, accepted(1, 1)), (9000, health(NODE, false)), end];
    assert!(broken(&frozen).is_empty());
}

#[test]
fn roll_learned_from_a_peer_while_the_store_is_down() {
    let down = Entry::StoreHealth { reachable: false };
    let mut log = vec![
        (0, health(PEER, true)),
        (10, accepted(1, 1)),
        (20, in_force(PEER, 1, 1)),
        (30, down),
        (1000, health(NODE, true)),
        (30_000, health(PEER, false)),
    ];
    assert_eq!(broken(&log), [Promise::SoonInForce]);
    log.insert(5, (9000, in_force(NODE, 1, 1)));
    assert!(broken(&log).is_empty());
}

#[test]
fn refusal_held_back() {
    let refused = |decided, retry_after| Entry::Refused {
        attempt: AttemptId(1),
        decided: at(decided),
        retry_after,
    };
    assert_eq!(broken(&[(5, refused(4, 1))]), [Promise::ImmediateRefusal]);
    assert_eq!(broken(&[(5, refused(5, 0))]), [Promise::ImmediateRefusal]);
    assert!(broken(&[(5, refused(5, 1))]).is_empty());
}

#[test]
fn operator_told_a_falsehood() {
    let judged = |verdict| Entry::RollJudged {
        nonce: RollNonce([1; 16]),
        verdict,
    };
    let roll = (0, accepted(1, 1));
    let false_denial = [roll, (1, judged(RollVerdict::NotAccepted))];
    assert_eq!(broken(&false_denial), [Promise::TrueRollVerdict]);
    let false_claim = [(1, judged(RollVerdict::Accepted))];
    assert_eq!(broken(&false_claim), [Promise::TrueRollVerdict]);
    for verdict in [RollVerdict::Accepted, RollVerdict::MayBeAccepted] {
        assert!(broken(&[roll, (1, judged(verdict))]).is_empty());
    }
}
