//! A caller takes only the whole answer to its own request.

#[path = "support/cluster.rs"]
mod cluster;

use std::time::Duration;

use bytes::BytesMut;
use cluster::{ARCHIVE, DESK, Setup, World};
use futures::future::join_all;
use http_body_util::BodyExt;
use volo_http::client::ClientBuilder;
use volo_http::response::Response;
use woodladder_lab::demo::{BACK_END_PORT, FaultPath};
use woodladder_lab::fault_proxy::FaultRule;
use woodladder_lab::stand_in::answer;
use woodladder_lab::stand_in::back_end::BackEndFault;
use woodladder_lab::stand_in::caller::{Operation, Outcome};
use woodladder_lab::stand_in::operation::OperationId;
use woodladder_lab::stand_in::oracle::OracleSettings;

const PATHS: [FaultPath; 2] = [FaultPath::Callers, FaultPath::Answers];
const CALLERS: u64 = 24;
const REQUESTS: u64 = 6;

/// Answers that are late, end in their middle or never come.
const POOR_ANSWERS: BackEndFault = BackEndFault {
    answer_delay_ms: 150,
    half_answer: 0.3,
    close_before_run: 0.05,
    close_after_run: 0.1,
    ..NO_FAULT
};

const NO_FAULT: BackEndFault = BackEndFault {
    frozen: false,
    answer_delay_ms: 0,
    half_answer: 0.0,
    close_before_run: 0.0,
    close_after_run: 0.0,
    shed: 0.0,
    health: woodladder_lab::stand_in::back_end::HealthFault::Honest,
    load: woodladder_lab::stand_in::back_end::LoadFault::Honest,
};

/// One caller's requests, some at the same time on one connection, one of them cancelled.
async fn ask_side_by_side(world: &World, service: &str, caller: u64) {
    let connection = world.caller(service);
    let first = caller * 1_000;
    let asked = (first..first + REQUESTS).map(|id| {
        let operation = match id % 2 {
            0 => Operation::change(id),
            _ => Operation::sheet(id),
        };
        connection.ask(operation)
    });
    let short = Duration::from_millis(100);
    let cancelled = connection.ask_once_within(Operation::change(first + 500), 1, short);
    tokio::join!(join_all(asked), cancelled);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_half_and_missing_answers_are_never_taken_as_whole() {
    let mut world = Setup::with_faults_on(&PATHS).start().await;
    let rough = FaultRule {
        loss: 0.02,
        duplicate: 0.02,
        jitter_us: 5_000,
        ..FaultRule::default()
    };
    world.set_rule(&PATHS, rough);
    for place in 0..5 {
        world.set_fault(place, POOR_ANSWERS).await;
    }
    let callers = (1..=CALLERS).map(|caller| {
        let service = if caller % 4 == 0 { ARCHIVE } else { DESK };
        ask_side_by_side(&world, service, caller)
    });
    join_all(callers).await;

    let report = world.judge(&OracleSettings::default()).await;
    assert_eq!(report.violations, [], "{:?}", report.totals);
    assert!(report.totals.answered > 0, "{:?}", report.totals);
    assert!(report.totals.unknown > 0, "{:?}", report.totals);
}

/// A client that takes the bytes it got as the answer: every one of them is short.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_client_that_trusts_what_it_got_takes_half_answers() {
    let world = Setup::with_faults_on(&[]).start().await;
    let half = BackEndFault {
        half_answer: 1.0,
        ..NO_FAULT
    };
    world.set_fault(0, half).await;
    let client = ClientBuilder::new().build().expect("client");
    let address = world.target(0).at(BACK_END_PORT);
    let mut short = 0;
    for id in 1..=10 {
        let request = client.get(format!("http://{address}/sheet/{id}")).send();
        let answer: Response = request.await.expect("head");
        let mut body = answer.into_body();
        let mut bytes = BytesMut::new();
        while let Some(Ok(frame)) = body.frame().await {
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
            }
        }
        short += usize::from(answer::verify(&bytes, OperationId(id), DESK).is_err());
    }
    assert_eq!(short, 10);
    let outcome = world.caller(DESK).ask_once(Operation::sheet(100), 1).await;
    assert!(!matches!(outcome, Outcome::Answered { defect: Some(_) }));
}
