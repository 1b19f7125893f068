//! An operation that may not be repeated runs at most once.

#[path = "support/cluster.rs"]
mod cluster;

use std::time::Duration;

use cluster::{DESK, PATIENCE, Setup, World, eventually_async};
use futures::future::join_all;
use woodladder_lab::demo::FaultPath;
use woodladder_lab::fault_proxy::{Cut, FaultRule};
use woodladder_lab::stand_in::back_end::BackEndFault;
use woodladder_lab::stand_in::caller::{Caller, Operation, Outcome};
use woodladder_lab::stand_in::oracle::{OracleSettings, Violation};

const DESK_TARGETS: usize = 3;
const PATHS: [FaultPath; 4] = [
    FaultPath::Callers,
    FaultPath::Balancers,
    FaultPath::Agents,
    FaultPath::Answers,
];

async fn connected(world: &World, count: u64) -> Vec<Caller> {
    let callers: Vec<Caller> = (0..count).map(|_| world.caller(DESK)).collect();
    let asked = callers.iter().zip(1..);
    join_all(asked.map(|(caller, id)| caller.ask(Operation::change(id)))).await;
    callers
}

async fn executions(world: &World) -> usize {
    let mut executions = 0;
    for place in 0..DESK_TARGETS {
        executions += world.log(place).await.executions.len();
    }
    executions
}

async fn set_desk_fault(world: &World, fault: BackEndFault) {
    for place in 0..DESK_TARGETS {
        world.set_fault(place, fault).await;
    }
}

fn unknown(outcomes: &[Outcome]) -> usize {
    let unknown = |outcome: &&Outcome| matches!(outcome, Outcome::Unknown { .. });
    outcomes.iter().filter(unknown).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers_and_repeated_datagrams_double_nothing() {
    let mut world = Setup::with_faults_on(&PATHS).start().await;
    let callers = connected(&world, 20).await;
    let repeating = FaultRule {
        duplicate: 0.5,
        jitter_us: 5_000,
        ..FaultRule::default()
    };
    world.set_rule(&PATHS, repeating);
    let silent = FaultRule {
        cut: Cut::ToUpstream,
        ..repeating
    };
    world.set_rule(&[FaultPath::Answers], silent);
    let limit = Duration::from_secs(2);
    let asked = callers
        .iter()
        .zip(1_000..)
        .map(|(caller, id)| caller.ask_once_within(Operation::change(id), 1, limit));
    let outcomes = join_all(asked).await;
    assert_eq!(unknown(&outcomes), 20, "{outcomes:?}");
    world.set_rule(&PATHS, repeating);
    world.ask_all(DESK, 2_000..2_020).await;

    let report = world.judge(&OracleSettings::default()).await;
    assert_eq!(report.violations, [], "{:?}", report.totals);
    assert!(report.totals.executions >= 40, "{:?}", report.totals);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn back_ends_that_close_and_an_agent_that_dies_double_nothing() {
    let mut world = Setup::with_faults_on(&[]).start().await;
    let callers = connected(&world, 20).await;
    let closing = BackEndFault {
        close_after_run: 0.5,
        close_before_run: 0.2,
        answer_delay_ms: 1_000,
        ..BackEndFault::default()
    };
    set_desk_fault(&world, closing).await;
    let before = executions(&world).await;
    let asked: Vec<_> = callers
        .iter()
        .cloned()
        .zip(1_000..)
        .map(|(caller, id)| tokio::spawn(async move { caller.ask(Operation::change(id)).await }))
        .collect();
    eventually_async("requests run", async || {
        executions(&world).await > before + 8
    })
    .await;
    world.cluster.agents[0].kill();
    world.cluster.agents[0].wait(PATIENCE).await;
    world.cluster.start_agent(0, &[]).expect("agent");
    let outcomes: Vec<Outcome> = join_all(asked)
        .await
        .into_iter()
        .map(|outcome| outcome.expect("outcome"))
        .collect();
    assert!(unknown(&outcomes) > 0, "{outcomes:?}");

    set_desk_fault(&world, BackEndFault::default()).await;
    world.wait_node_ready(world.target(0)).await;
    world.ask_all(DESK, 2_000..2_020).await;
    let report = world.judge(&OracleSettings::default()).await;
    assert_eq!(report.violations, [], "{:?}", report.totals);
}

/// A client that asks again after an unknown outcome: the oracle sees each double run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_oracle_sees_operations_that_ran_twice() {
    let mut world = Setup::with_faults_on(&[]).start().await;
    let closing = BackEndFault {
        close_after_run: 1.0,
        ..BackEndFault::default()
    };
    set_desk_fault(&world, closing).await;
    for id in 1..=10 {
        let caller = world.caller(DESK);
        let first = caller.ask_once(Operation::change(id), 1).await;
        assert!(matches!(first, Outcome::Unknown { .. }), "{first:?}");
        caller.ask_once(Operation::change(id), 2).await;
    }
    let report = world.judge(&OracleSettings::default()).await;
    let seen = |violation: &&Violation| matches!(violation, Violation::RanMoreThanOnce { .. });
    assert_eq!(report.violations.iter().filter(seen).count(), 10);
}
