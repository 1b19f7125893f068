//! The back end keeps its limits, logs what it runs and shows each fault it is told to show.

mod support;

use std::time::Duration;

use http::Method;
use support::{Answer, HttpClient, NoAnswer, PATIENCE, eventually};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use woodladder_lab::stand_in::answer::{self, AnswerDefect};
use woodladder_lab::stand_in::back_end::{
    BackEnd, BackEndConfig, BackEndFault, HealthFault, LoadFault, LoadReport,
};
use woodladder_lab::stand_in::execution_log::{ExecutionEnd, ExecutionLog};
use woodladder_lab::stand_in::operation::OperationId;

const SERVICE: &str = "orders";
const LONG: Duration = Duration::from_secs(600);

fn config() -> BackEndConfig {
    BackEndConfig {
        service: SERVICE.to_owned(),
        service_time: Duration::from_millis(1),
        feed_interval: Duration::from_millis(2),
        ..BackEndConfig::default()
    }
}

async fn start(config: BackEndConfig) -> BackEnd {
    BackEnd::start(config).await.expect("back end")
}

async fn operate(back_end: &BackEnd, operation: u64) -> Result<Answer, NoAnswer> {
    operate_with(back_end, operation, &[]).await
}

async fn operate_with(
    back_end: &BackEnd,
    operation: u64,
    headers: &[(&'static str, String)],
) -> Result<Answer, NoAnswer> {
    let path = format!("/operation/{operation}");
    HttpClient::default()
        .send_with(Method::POST, back_end.address(), &path, headers, "body")
        .await
}

/// Starts an operation on a connection of its own and leaves it running.
async fn begin(back_end: &BackEnd, operation: u64) -> TcpStream {
    let mut stream = TcpStream::connect(back_end.address())
        .await
        .expect("connect");
    let head =
        format!("POST /operation/{operation} HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("write");
    eventually("operation started", || {
        let log = back_end.execution_log();
        log.executions
            .iter()
            .any(|run| run.operation == OperationId(operation))
    })
    .await;
    stream
}

fn assert_not_run(answer: &Answer, back_end: &BackEnd, operation: u64) {
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("woodladder-outcome"), Some("not-run"));
    assert_eq!(answer.header("retry-after"), Some("1"));
    let log = back_end.execution_log();
    assert!(
        log.executions
            .iter()
            .all(|run| run.operation != OperationId(operation))
    );
}

#[tokio::test]
async fn runs_an_operation_and_logs_it() {
    let back_end = start(config()).await;
    let headers = [
        ("x-attempt", "2".to_owned()),
        ("x-intended-service", SERVICE.to_owned()),
    ];
    let answer = operate_with(&back_end, 7, &headers).await.expect("answer");
    assert_eq!(
        answer::verify(&answer.body, OperationId(7), SERVICE),
        Ok(())
    );
    let sheet = HttpClient::default()
        .get(back_end.address(), "/sheet/8")
        .await
        .expect("answer");
    assert_eq!(answer::verify(&sheet.body, OperationId(8), SERVICE), Ok(()));

    let log: ExecutionLog = HttpClient::default()
        .get(back_end.admin_address(), "/executions")
        .await
        .expect("log")
        .json();
    assert_eq!(log.executions[0].operation, OperationId(7));
    assert_eq!(log.executions[0].attempt, Some(2));
    assert_eq!(log.executions[0].end, ExecutionEnd::Completed);
    assert!(!log.executions[0].repeatable);
    assert!(log.executions[1].repeatable);
    assert!(log.wrong_service_arrivals.is_empty());
}

#[test]
fn an_answer_shows_each_defect() {
    let body = answer::encode(OperationId(1), SERVICE, 100);
    let verify = |bytes: &[u8]| answer::verify(bytes, OperationId(1), SERVICE);
    assert_eq!(verify(&body), Ok(()));
    let short = verify(&body[..body.len() - 1]);
    assert_eq!(
        short,
        Err(AnswerDefect::WrongLength {
            expected: 100,
            received: 99
        })
    );
    let mut corrupted = body.to_vec();
    *corrupted.last_mut().expect("payload") ^= 1;
    assert_eq!(verify(&corrupted), Err(AnswerDefect::Corrupted));
    assert_eq!(verify(b"no answer"), Err(AnswerDefect::Malformed));
    let crossed = answer::verify(&body, OperationId(2), SERVICE);
    assert_eq!(
        crossed,
        Err(AnswerDefect::Crossed {
            found: OperationId(1)
        })
    );
    let wrong = answer::verify(&body, OperationId(1), "other");
    assert_eq!(
        wrong,
        Err(AnswerDefect::WrongService {
            found: SERVICE.to_owned()
        })
    );
}

#[tokio::test]
async fn sheds_when_all_slots_are_busy_and_frees_the_slot_of_a_cancelled_run() {
    let back_end = start(BackEndConfig {
        slots: 1,
        service_time: LONG,
        ..config()
    })
    .await;
    let running = begin(&back_end, 1).await;
    let refused = operate(&back_end, 2).await.expect("answer");
    assert_not_run(&refused, &back_end, 2);

    drop(running);
    eventually("slot free", || back_end.true_load().busy == 0).await;
    assert_eq!(
        back_end.execution_log().executions[0].end,
        ExecutionEnd::Cancelled
    );
}

#[tokio::test]
async fn respects_the_deadline_before_and_during_the_run() {
    let back_end = start(BackEndConfig {
        service_time: LONG,
        ..config()
    })
    .await;
    let deadline = |ms: u64| [("woodladder-deadline-ms", ms.to_string())];
    let before = operate_with(&back_end, 1, &deadline(0))
        .await
        .expect("answer");
    assert_not_run(&before, &back_end, 1);
    let during = operate_with(&back_end, 2, &deadline(50))
        .await
        .expect("answer");
    assert_eq!(during.status, 504);
    assert_eq!(during.header("woodladder-outcome"), Some("unknown"));
    let log = back_end.execution_log();
    assert_eq!(log.executions[0].end, ExecutionEnd::DeadlineExceeded);
}

#[tokio::test]
async fn a_feed_ticks_without_a_slot_and_holds_a_connection() {
    let back_end = start(BackEndConfig {
        slots: 1,
        connection_limit: 1,
        ..config()
    })
    .await;
    let mut stream = TcpStream::connect(back_end.address())
        .await
        .expect("connect");
    let head = "GET /feed HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("write");
    let mut received = String::new();
    let mut buffer = [0; 1024];
    while !received.contains("data: orders 3\n\n") {
        let length = stream.read(&mut buffer).await.expect("read");
        assert_ne!(length, 0, "feed ended: {received}");
        received.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    assert!(received.contains("text/event-stream"));
    let load = back_end.true_load();
    assert_eq!((load.busy, load.connections), (0, 1));
    let refused = operate(&back_end, 1).await.expect("answer");
    assert_not_run(&refused, &back_end, 1);
    assert_eq!(back_end.execution_log().feed_openings.len(), 1);
}

#[tokio::test]
async fn closes_before_or_after_the_run_or_in_the_middle_of_the_answer() {
    let back_end = start(config()).await;
    back_end.set_fault(BackEndFault {
        close_before_run: 1.0,
        ..BackEndFault::default()
    });
    assert!(operate(&back_end, 1).await.is_err());
    assert!(back_end.execution_log().executions.is_empty());

    back_end.set_fault(BackEndFault {
        close_after_run: 1.0,
        ..BackEndFault::default()
    });
    assert!(operate(&back_end, 2).await.is_err());
    assert_eq!(back_end.execution_log().executions.len(), 1);

    back_end.set_fault(BackEndFault {
        half_answer: 1.0,
        ..BackEndFault::default()
    });
    assert!(operate(&back_end, 3).await.is_err());
    let mut stream = begin(&back_end, 4).await;
    let mut received = Vec::new();
    // The connection may end with a reset after the half.
    let _ = stream.read_to_end(&mut received).await;
    let received = String::from_utf8_lossy(&received);
    assert!(
        received.contains("woodladder-answer 4"),
        "no half: {received}"
    );
}

#[tokio::test]
async fn freezes_and_thaws() {
    let back_end = start(config()).await;
    back_end.set_fault(BackEndFault {
        frozen: true,
        ..BackEndFault::default()
    });
    let silence = Duration::from_millis(100);
    assert!(timeout(silence, operate(&back_end, 1)).await.is_err());
    back_end.set_fault(BackEndFault::default());
    let thawed = timeout(PATIENCE, operate(&back_end, 2))
        .await
        .expect("in time");
    assert_eq!(thawed.expect("answer").status, 200);
}

#[tokio::test]
async fn health_and_load_tell_the_truth_or_not() {
    let back_end = start(BackEndConfig {
        service_time: LONG,
        ..config()
    })
    .await;
    let client = HttpClient::default();
    let health = async || {
        client
            .get(back_end.address(), "/health")
            .await
            .expect("health")
            .status
    };
    let busy = async || {
        let answer = client.get(back_end.address(), "/load").await.expect("load");
        answer.json::<LoadReport>().busy
    };
    let fault = |health, load| BackEndFault {
        health,
        load,
        ..BackEndFault::default()
    };
    let _running = begin(&back_end, 1).await;
    assert_eq!((health().await.as_u16(), busy().await), (200, 1));
    let lie = LoadFault::Lying { busy: 5 };
    back_end.set_fault(fault(HealthFault::AlwaysDraining, lie));
    assert_eq!((health().await.as_u16(), busy().await), (503, 5));
    let lag = LoadFault::Lagging { lag_ms: 600_000 };
    back_end.set_fault(fault(HealthFault::Failing, lag));
    assert_eq!((health().await.as_u16(), busy().await), (500, 0));

    back_end.set_fault(BackEndFault::default());
    let drain = client
        .put(back_end.admin_address(), "/drain", "")
        .await
        .expect("answer");
    assert_eq!((drain.status.as_u16(), health().await.as_u16()), (200, 503));
    back_end.set_fault(fault(HealthFault::AlwaysLive, LoadFault::Honest));
    assert_eq!(health().await, 200);
    let _late = begin(&back_end, 2).await;
    assert!(
        back_end.execution_log().executions[1]
            .leaving_for_ms
            .is_some()
    );
}

#[tokio::test]
async fn logs_a_request_meant_for_another_service() {
    let back_end = start(config()).await;
    let headers = [("x-intended-service", "archive".to_owned())];
    operate_with(&back_end, 1, &headers).await.expect("answer");
    let log = back_end.execution_log();
    assert_eq!(log.wrong_service_arrivals[0].intended, "archive");
}

#[test]
fn a_cold_back_end_is_slower() {
    let config = BackEndConfig {
        service_time: Duration::from_millis(100),
        cold_start: Duration::from_secs(10),
        cold_factor: 3.0,
        ..BackEndConfig::default()
    };
    let after = |seconds| {
        config
            .service_time_after(Duration::from_secs(seconds))
            .as_millis()
    };
    assert_eq!((after(0), after(5), after(10)), (300, 200, 100));
}
