//! What was refused as not run did not run, and the refusal is immediate.

#[path = "support/cluster.rs"]
mod cluster;

use cluster::{DESK, PATIENCE, Setup, World, eventually_async};
use futures::future::join_all;
use woodladder_lab::demo::{Flag, StopResult};
use woodladder_lab::stand_in::back_end::BackEndFault;
use woodladder_lab::stand_in::caller::{Caller, NotRunReason, Operation, Outcome, UnknownReason};
use woodladder_lab::stand_in::oracle::{OracleSettings, Violation, judge};

const DESK_TARGETS: usize = 3;

/// Callers that have a connection already.
async fn connected(world: &World, count: u64) -> Vec<Caller> {
    let callers: Vec<Caller> = (0..count).map(|_| world.caller(DESK)).collect();
    let asked = callers.iter().zip(1..);
    join_all(asked.map(|(caller, id)| caller.ask(Operation::change(id)))).await;
    callers
}

/// One attempt of each caller, all at the same time.
async fn ask_once(callers: &[Caller], first: u64) -> Vec<Outcome> {
    let asked = callers.iter().zip(first..);
    join_all(asked.map(|(caller, id)| caller.ask_once(Operation::change(id), 1))).await
}

/// Outcomes that an answer gave with its header and its time to come back.
fn told_not_run(outcomes: &[Outcome]) -> usize {
    let told = |outcome: &&Outcome| {
        matches!(
            outcome,
            Outcome::NotRun {
                reason: NotRunReason::Told,
                retry_after_ms: Some(1..),
            }
        )
    };
    outcomes.iter().filter(told).count()
}

async fn set_desk_fault(world: &World, fault: BackEndFault) {
    for place in 0..DESK_TARGETS {
        world.set_fault(place, fault).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_full_queue_refuses_while_every_slot_is_still_busy() {
    let mut setup = Setup::with_faults_on(&[]);
    setup.options.agent_flags = vec![
        Flag::new("--queue", "2"),
        Flag::new("--slow-start", "false"),
    ];
    let mut world = setup.start().await;
    let callers = connected(&world, 60).await;
    let slow = BackEndFault {
        answer_delay_ms: 4_000,
        ..BackEndFault::default()
    };
    set_desk_fault(&world, slow).await;

    let outcomes = ask_once(&callers, 1_000).await;
    // Three targets with seven slots and two waiting places each.
    assert!(told_not_run(&outcomes) >= 60 - 27, "{outcomes:?}");
    let settings = OracleSettings {
        refusal_limit_ms: Some(3_000),
        ..OracleSettings::default()
    };
    let report = world.judge(&settings).await;
    assert_eq!(report.violations, [], "{:?}", report.totals);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shed_work_and_lost_back_ends_are_refused_as_not_run() {
    let mut world = Setup::with_faults_on(&[]).start().await;
    let callers = connected(&world, 30).await;
    let shedding = BackEndFault {
        shed: 1.0,
        ..BackEndFault::default()
    };
    set_desk_fault(&world, shedding).await;
    let outcomes = ask_once(&callers, 1_000).await;
    assert_eq!(told_not_run(&outcomes), 30, "{outcomes:?}");

    for place in 0..DESK_TARGETS {
        world.kill_back_end(place).await;
    }
    let outcomes = ask_once(&callers, 2_000).await;
    let not_run = |outcome: &&Outcome| matches!(outcome, Outcome::NotRun { .. });
    assert_eq!(outcomes.iter().filter(not_run).count(), 30, "{outcomes:?}");
    assert!(told_not_run(&outcomes) > 0, "{outcomes:?}");

    let report = world.judge(&OracleSettings::default()).await;
    assert_eq!(report.violations, [], "{:?}", report.totals);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_refused_by_a_stopping_agent_ran_only_where_it_was_taken() {
    let mut world = Setup::with_faults_on(&[]).start().await;
    let callers = connected(&world, 30).await;
    world.cluster.agents[0].terminate();
    let mut first = 1_000;
    loop {
        let asked = callers.iter().zip(first..);
        join_all(asked.map(|(caller, id)| caller.ask(Operation::change(id)))).await;
        first += 1_000;
        if world.cluster.agents[0].ended().expect("process").is_some() {
            break;
        }
        if first >= 1_000_000 {
            // What still holds it: open requests, connections, its phase.
            let status = world.status(world.target(0)).await;
            panic!("the agent does not end: {status:?}");
        }
    }
    assert_eq!(
        world.cluster.agents[0].wait(PATIENCE).await,
        StopResult::Clean
    );
    let settings = OracleSettings {
        planned_changes_only: true,
        ..OracleSettings::default()
    };
    let report = world.judge(&settings).await;
    assert_eq!(report.violations, [], "{:?}", report.totals);
}

/// An agent that took an unknown outcome for "not run": the oracle sees each case.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_oracle_sees_a_refusal_of_what_ran() {
    let mut world = Setup::with_faults_on(&[]).start().await;
    let closing = BackEndFault {
        close_after_run: 1.0,
        ..BackEndFault::default()
    };
    set_desk_fault(&world, closing).await;
    let callers: Vec<Caller> = (0..20).map(|_| world.caller(DESK)).collect();
    ask_once(&callers, 1).await;
    eventually_async("all ran", async || {
        let mut ran = 0;
        for place in 0..DESK_TARGETS {
            ran += world.log(place).await.executions.len();
        }
        ran == 20
    })
    .await;

    let mut evidence = world.evidence().await;
    assert_eq!(judge(&evidence, &OracleSettings::default()).violations, []);
    for record in &mut evidence.callers.outcomes {
        assert!(matches!(
            record.outcome,
            Outcome::Unknown {
                reason: UnknownReason::Told
            }
        ));
        record.outcome = Outcome::NotRun {
            reason: NotRunReason::Told,
            retry_after_ms: Some(1_000),
        };
    }
    let report = judge(&evidence, &OracleSettings::default());
    let seen = |violation: &&Violation| matches!(violation, Violation::NotRunButExecuted { .. });
    assert_eq!(report.violations.iter().filter(seen).count(), 20);
}
