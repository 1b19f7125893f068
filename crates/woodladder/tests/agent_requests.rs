//! How agents treat requests: complete, truncated, refused, cancelled and late
//! ones.

mod agent_support;

use agent_support::back_end::BackEnd;
use agent_support::caller::{body, field, get, head, next_chunk};
use agent_support::{TestBed, eventually};
use http::{Request, StatusCode};
use woodladder::agent::{DEADLINE_HEADER, Limits, OUTCOME_HEADER, RequestOutcome};

#[tokio::test]
async fn whole_answer_reaches_the_caller() {
    let mut test_bed = TestBed::start(Limits::default()).await;
    let caller = test_bed.caller().await;
    let request = Request::post("https://localhost/pledges?amount=5")
        .header("content-length", "5")
        .header("x-kept", "yes")
        .body(())
        .unwrap();
    let mut stream = caller.send(request, "hello").await;

    let mut exchange = test_bed.back_end().next().await;
    assert!(exchange.head.starts_with("POST /pledges?amount=5 HTTP/1.1"));
    assert_eq!(exchange.header("host"), Some("localhost"));
    assert_eq!(exchange.header("x-kept"), Some("yes"));
    assert!(exchange.header("woodladder-deadline-ms").is_some());
    assert_eq!(exchange.body(5).await, b"hello");
    exchange.answer("whole").await;

    assert_eq!(head(&mut stream).await.status(), StatusCode::OK);
    assert_eq!(body(&mut stream).await.unwrap(), b"whole");
    let agent = test_bed.agent();
    eventually("the request is counted", || {
        agent
            .status()
            .requests_with_outcome(RequestOutcome::Answered)
            == 1
    })
    .await;
}

#[tokio::test]
async fn feed_releases_its_slot() {
    let mut test_bed = TestBed::start(limits(1, 0)).await;
    let caller = test_bed.caller().await;
    let mut feed = caller.get("/feed").await;
    let mut exchange = test_bed.back_end().next().await;
    exchange.begin_feed().await;
    assert_eq!(head(&mut feed).await.status(), StatusCode::OK);

    let mut other = caller.get("/other").await;
    test_bed.back_end().next().await.answer("other").await;
    assert_eq!(head(&mut other).await.status(), StatusCode::OK);
    assert_eq!(body(&mut other).await.unwrap(), b"other");

    exchange.write_chunk("data: 1\n\n").await;
    let event = next_chunk(&mut feed).await.unwrap();
    assert_eq!(event.as_deref(), Some(&b"data: 1\n\n"[..]));
    assert_eq!(test_bed.agent().status().feeds, 1);
}

#[tokio::test]
async fn truncated_answer_resets_the_stream() {
    let mut test_bed = TestBed::start(Limits::default()).await;
    let caller = test_bed.caller().await;
    let mut stream = caller.get("/").await;
    let mut exchange = test_bed.back_end().next().await;
    exchange
        .write(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly a part")
        .await;
    assert_eq!(head(&mut stream).await.status(), StatusCode::OK);
    drop(exchange);
    assert!(body(&mut stream).await.is_err());
    let agent = test_bed.agent();
    eventually("the request is counted", || {
        agent
            .status()
            .requests_with_outcome(RequestOutcome::Unknown)
            == 1
    })
    .await;
}

#[tokio::test]
async fn answer_without_a_detectable_end_is_unknown() {
    let mut test_bed = TestBed::start(Limits::default()).await;
    let caller = test_bed.caller().await;
    let mut stream = caller.get("/").await;
    let mut exchange = test_bed.back_end().next().await;
    exchange.write(b"HTTP/1.1 200 OK\r\n\r\nhow long?").await;
    drop(exchange);
    let response = head(&mut stream).await;
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    assert_eq!(field(&response, OUTCOME_HEADER.as_str()), Some("unknown"));
}

#[tokio::test]
async fn broken_exchange_is_unknown() {
    let mut test_bed = TestBed::start(Limits::default()).await;
    let caller = test_bed.caller().await;
    let mut stream = caller.get("/").await;
    drop(test_bed.back_end().next().await);
    let response = head(&mut stream).await;
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    assert_eq!(field(&response, OUTCOME_HEADER.as_str()), Some("unknown"));
    assert!(test_bed.back_end().is_idle(), "the request was sent again");
}

#[tokio::test]
async fn unreachable_back_end_is_not_run() {
    let test_bed = TestBed::with_back_ends(
        Limits::default(),
        vec![BackEnd::refusing_connections().await],
    )
    .await;
    let caller = test_bed.caller().await;
    let mut stream = caller.get("/").await;
    let response = head(&mut stream).await;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(field(&response, OUTCOME_HEADER.as_str()), Some("not-run"));
    let retry_after = field(&response, "retry-after").unwrap();
    assert!(retry_after.parse::<u64>().unwrap() >= 1);
    assert_eq!(body(&mut stream).await.unwrap(), b"");
}

#[tokio::test]
async fn full_queue_refuses_at_once() {
    let mut test_bed = TestBed::start(limits(1, 0)).await;
    let caller = test_bed.caller().await;
    let mut running = caller.get("/running").await;
    let exchange = test_bed.back_end().next().await;

    let mut refused = caller.get("/refused").await;
    let response = head(&mut refused).await;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(field(&response, OUTCOME_HEADER.as_str()), Some("not-run"));
    assert!(field(&response, "retry-after").is_some());

    exchange.answer("done").await;
    assert_eq!(head(&mut running).await.status(), StatusCode::OK);
    assert!(test_bed.back_end().is_idle());
}

#[tokio::test]
async fn queued_request_runs_when_a_slot_is_free() {
    let mut test_bed = TestBed::start(limits(1, 1)).await;
    let caller = test_bed.caller().await;
    let _running = caller.get("/running").await;
    let exchange = test_bed.back_end().next().await;
    let mut queued = caller.get("/queued").await;
    let agent = test_bed.agent().clone();
    eventually("the request waits", || agent.status().queued_requests == 1).await;
    exchange.answer("first").await;
    test_bed.back_end().next().await.answer("second").await;
    assert_eq!(head(&mut queued).await.status(), StatusCode::OK);
}

#[tokio::test]
async fn slots_follow_the_bundle() {
    let mut test_bed = TestBed::start(limits(1, 1)).await;
    let caller = test_bed.caller().await;
    let _running = caller.get("/running").await;
    let _first = test_bed.back_end().next().await;
    let _waiting = caller.get("/waiting").await;
    let agent = test_bed.agent().clone();
    eventually("the request waits", || agent.status().queued_requests == 1).await;
    test_bed.roll_with_slots(2);
    test_bed.back_end().next().await.answer("second").await;
}

#[tokio::test]
async fn cancelled_request_closes_the_back_ends_connection() {
    let mut test_bed = TestBed::start(Limits::default()).await;
    let caller = test_bed.caller().await;
    let stream = caller.get("/").await;
    let mut exchange = test_bed.back_end().next().await;
    drop(stream);
    exchange.closed().await;
    let agent = test_bed.agent();
    eventually("the slot is free", || agent.status().busy_slots == 0).await;
    assert_eq!(
        agent
            .status()
            .requests_with_outcome(RequestOutcome::Cancelled),
        1
    );
}

#[tokio::test]
async fn cancelled_feed_closes_the_back_ends_connection() {
    let mut test_bed = TestBed::start(Limits::default()).await;
    let caller = test_bed.caller().await;
    let mut feed = caller.get("/feed").await;
    let mut exchange = test_bed.back_end().next().await;
    exchange.begin_feed().await;
    head(&mut feed).await;
    drop(feed);
    exchange.closed().await;
    let agent = test_bed.agent();
    eventually("the feed is gone", || agent.status().feeds == 0).await;
}

#[tokio::test]
async fn lost_caller_closes_the_back_ends_connection() {
    let mut test_bed = TestBed::start(Limits::default()).await;
    let caller = test_bed.caller().await;
    let _stream = caller.get("/").await;
    let mut exchange = test_bed.back_end().next().await;
    drop(caller);
    exchange.closed().await;
}

#[tokio::test]
async fn late_answer_is_unknown_at_the_deadline() {
    let mut test_bed = TestBed::start(Limits::default()).await;
    let caller = test_bed.caller().await;
    let mut stream = caller.send(with_deadline("/", "300"), "").await;
    let mut exchange = test_bed.back_end().next().await;
    let remaining = exchange.header("woodladder-deadline-ms").unwrap();
    assert!(remaining.parse::<u64>().unwrap() <= 300);
    let response = head(&mut stream).await;
    assert_eq!(response.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(field(&response, OUTCOME_HEADER.as_str()), Some("unknown"));
    exchange.closed().await;
}

#[tokio::test]
async fn request_whose_deadline_passes_in_the_queue_is_not_run() {
    let mut test_bed = TestBed::start(limits(1, 8)).await;
    let caller = test_bed.caller().await;
    let _running = caller.get("/running").await;
    let exchange = test_bed.back_end().next().await;
    let mut late = caller.send(with_deadline("/late", "200"), "").await;
    let response = head(&mut late).await;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(field(&response, OUTCOME_HEADER.as_str()), Some("not-run"));
    assert!(test_bed.back_end().is_idle());
    drop(exchange);
}

#[tokio::test]
async fn request_whose_deadline_passes_while_connecting_is_not_run() {
    let test_bed =
        TestBed::with_back_ends(Limits::default(), vec![BackEnd::with_full_backlog().await]).await;
    let caller = test_bed.caller().await;
    for request in [with_deadline("/", "300"), with_deadline("/", "200")] {
        let mut stream = caller.send(request, "").await;
        let response = head(&mut stream).await;
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(field(&response, OUTCOME_HEADER.as_str()), Some("not-run"));
    }
}

#[tokio::test]
async fn refusal_of_the_back_end_is_passed_on() {
    let mut test_bed = TestBed::start(Limits::default()).await;
    let caller = test_bed.caller().await;
    let mut stream = caller.get("/").await;
    let mut exchange = test_bed.back_end().next().await;
    exchange
        .write(
            b"HTTP/1.1 503 Service Unavailable\r\nwoodladder-outcome: not-run\r\n\
              retry-after: 7\r\ncontent-length: 4\r\n\r\nshed",
        )
        .await;
    let response = head(&mut stream).await;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(field(&response, OUTCOME_HEADER.as_str()), Some("not-run"));
    assert_eq!(field(&response, "retry-after"), Some("7"));
    assert_eq!(body(&mut stream).await.unwrap(), b"shed");
    let agent = test_bed.agent();
    eventually("the request is counted", || {
        agent.status().requests_with_outcome(RequestOutcome::NotRun) == 1
    })
    .await;
}

#[tokio::test]
async fn invalid_deadline_is_refused() {
    let mut test_bed = TestBed::start(Limits::default()).await;
    let caller = test_bed.caller().await;
    let mut stream = caller.send(with_deadline("/", "soon"), "").await;
    let response = head(&mut stream).await;
    assert_eq!(response.status(), StatusCode::BAD_REQUEST);
    assert_eq!(field(&response, OUTCOME_HEADER.as_str()), Some("not-run"));
    assert!(test_bed.back_end().is_idle());
}

fn with_deadline(path: &str, milliseconds: &str) -> Request<()> {
    let mut request = get(path);
    request
        .headers_mut()
        .insert(DEADLINE_HEADER, milliseconds.parse().unwrap());
    request
}

fn limits(slots: u16, queue: usize) -> Limits {
    Limits {
        slots,
        queue,
        slow_start: None,
        ..Limits::default()
    }
}
