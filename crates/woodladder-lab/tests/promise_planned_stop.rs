//! A planned stop of a balancer or an agent cuts no request in progress.

#[path = "support/cluster.rs"]
mod cluster;

use cluster::{DESK, PATIENCE, Setup, World, eventually_async};
use tokio::task::JoinHandle;
use woodladder_lab::demo::{Flag, StopResult};
use woodladder_lab::stand_in::back_end::BackEndFault;
use woodladder_lab::stand_in::caller::{Operation, Outcome};
use woodladder_lab::stand_in::oracle::{OracleSettings, Violation};

/// As many as one target has slots, so that none waits for another's end.
const REQUESTS: usize = 7;
const PLANNED: OracleSettings = OracleSettings {
    leaving_limit_ms: 5_000,
    refusal_limit_ms: None,
    planned_changes_only: true,
    all_logs_present: true,
};

/// Every slot is in use from the start.
async fn started() -> World {
    let mut setup = Setup::with_faults_on(&[]);
    setup.options.agent_flags = vec![Flag::new("--slow-start", "false")];
    setup.start().await
}

/// Requests that run for several seconds, all of them started.
async fn long_requests(world: &World) -> Vec<JoinHandle<Outcome>> {
    for place in 0..3 {
        let fault = BackEndFault {
            answer_delay_ms: 6_000,
            ..BackEndFault::default()
        };
        world.set_fault(place, fault).await;
    }
    let asked = (1..=REQUESTS as u64)
        .map(|id| {
            let caller = world.caller(DESK);
            tokio::spawn(async move { caller.ask(Operation::change(id)).await })
        })
        .collect();
    eventually_async("requests run", async || {
        let mut running = 0;
        for place in 0..3 {
            running += world.log(place).await.executions.len();
        }
        running == REQUESTS
    })
    .await;
    asked
}

/// The place of a target that runs some of the requests.
async fn busy_target(world: &World) -> usize {
    for place in 0..3 {
        if !world.log(place).await.executions.is_empty() {
            return place;
        }
    }
    panic!("no target runs a request");
}

async fn answered(asked: Vec<JoinHandle<Outcome>>) -> usize {
    let mut answered = 0;
    for request in asked {
        let outcome = request.await.expect("outcome");
        answered += usize::from(outcome == Outcome::Answered { defect: None });
    }
    answered
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_end_although_balancers_and_an_agent_stop() {
    let mut world = started().await;
    let asked = long_requests(&world).await;
    let busy = busy_target(&world).await;
    world.cluster.balancers[0].terminate();
    world.cluster.balancers[1].terminate();
    world.cluster.agents[busy].terminate();

    let answered = answered(asked).await;
    assert_eq!(answered, REQUESTS, "{:?}", world.recorder.snapshot());
    let balancers = &mut world.cluster.balancers;
    assert_eq!(balancers[0].wait(PATIENCE).await, StopResult::Clean);
    assert_eq!(balancers[1].wait(PATIENCE).await, StopResult::Clean);
    let agent = &mut world.cluster.agents[busy];
    assert_eq!(agent.wait(PATIENCE).await, StopResult::Clean);
    let report = world.judge(&PLANNED).await;
    assert_eq!(report.violations, [], "{:?}", report.totals);
}

/// Guards against a stopping agent of which nobody can tell why it still lives.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_status_of_a_stopping_agent_names_what_it_waits_for() {
    let mut world = started().await;
    let asked = long_requests(&world).await;
    let busy = busy_target(&world).await;
    world.cluster.agents[busy].terminate();

    let machine = world.target(busy);
    let mut drain = None;
    eventually_async("the agent refuses requests", async || {
        let status = world.status(machine).await;
        drain = status.and_then(|status| status.drain);
        let stage = drain.as_ref().map(|drain| drain.stage.as_str());
        stage == Some("refusing")
    })
    .await;
    let drain = drain.expect("status");
    assert_eq!(drain.phase, "leaving");
    assert_eq!(drain.reasons, ["signal"]);
    assert!(drain.open_requests > 0 && drain.open_connections > 0);
    assert!(drain.transport_connections >= drain.open_connections);
    let oldest_request = drain.oldest_request.expect("a request is open");
    assert_eq!(oldest_request.stage, "awaiting_answer");
    assert!(oldest_request.age_ms > 0);
    let oldest_connection = drain.oldest_connection.expect("a connection is open");
    assert_eq!(oldest_connection.stage, "refusing");
    assert!(oldest_connection.age_ms >= oldest_request.age_ms);

    assert_eq!(answered(asked).await, REQUESTS);
    let agent = &mut world.cluster.agents[busy];
    assert_eq!(agent.wait(PATIENCE).await, StopResult::Clean);
}

/// The same stop without the drain cuts the requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_cut_by_an_agent_that_does_not_drain() {
    let mut world = started().await;
    let asked = long_requests(&world).await;
    let busy = busy_target(&world).await;
    world.cluster.agents[busy].kill();

    let answered = answered(asked).await;
    assert!(answered < REQUESTS);
    let report = world.judge(&PLANNED).await;
    let seen = |violation: &&Violation| matches!(violation, Violation::RequestCut { .. });
    let cut = report.violations.iter().filter(seen).count();
    assert_eq!(cut, REQUESTS - answered, "{:?}", report.violations);
}
