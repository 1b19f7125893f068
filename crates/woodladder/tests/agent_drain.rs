//! Requests that arrive while an agent drains: at the moment when the drain begins,
//! and from callers that do not heed GOAWAY.

mod agent_support;

use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::Poll;
use std::time::Duration;

use agent_support::back_end::BackEnd;
use agent_support::caller::{Caller, Stream, body, field, head};
use agent_support::{LOCALHOST, TestBed, eventually, within};
use bytes::Bytes;
use http::{Request, StatusCode};
use tokio::runtime::Builder;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use woodladder::agent::{Limits, OUTCOME_HEADER};
use woodladder_core::target::drain::{DrainPhase, DrainReason};

/// More task steps than a request takes from the caller to its decision.
const MAXIMUM_STEPS: usize = 400;
/// Accepted requests in a row after which later moments are all alike.
const ACCEPTED_IN_A_ROW: usize = 20;
/// Time in which a request that is refused gets its answer.
const REFUSAL_TIME: Duration = Duration::from_millis(50);

/// Time that the back end takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Time that a datagram takes between an agent and a distant caller.
const DISTANT_DELAY: Duration = Duration::from_secs(1);
/// A drained agent allows its connections 2 s to close; closing at once must not
/// take longer. The rest is for a busy machine.
const CLOSE_LIMIT: Duration = Duration::from_secs(3);
const CALLERS: usize = 4;
const REQUESTS_AT_A_TIME: usize = 3;

/// How the agent decided on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Treatment {
    Accepted,
    Refused,
}

fn post(path: &str) -> Request<()> {
    Request::post(format!("https://{LOCALHOST}{path}"))
        .body(())
        .unwrap()
}

/// Lets the runtime run its ready tasks, `steps` times.
async fn let_tasks_run(steps: usize) {
    let mut polled = 0;
    poll_fn(|context| {
        polled += 1;
        if polled > steps {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Sends the head of a request, begins to drain this many task steps later, and
/// tells how the request was treated. An accepted request waits for its body.
async fn drain_after(steps: usize, test_bed: &mut TestBed) -> Treatment {
    let caller = test_bed.caller().await;
    let mut stream = caller.send_head(post("/")).await;
    let_tasks_run(steps).await;
    test_bed.agent().begin_drain(DrainReason::MachineList);
    let treatment = match timeout(REFUSAL_TIME, stream.recv_response()).await {
        Ok(answer) => {
            // A request after the last GOAWAY is rejected without an answer.
            if let Ok(head) = answer {
                assert_eq!(head.status(), StatusCode::SERVICE_UNAVAILABLE);
            }
            Treatment::Refused
        }
        Err(_) => {
            finish_accepted(steps, &mut stream, test_bed).await;
            Treatment::Accepted
        }
    };
    drop(caller);
    test_bed.agent().withdraw_drain(DrainReason::MachineList);
    let agent = test_bed.agent();
    eventually("the connection is closed", || {
        agent.status().connections == 0 && agent.status().open_requests == 0
    })
    .await;
    treatment
}

/// Sends the body of an accepted request, which the agent must still answer.
async fn finish_accepted(steps: usize, stream: &mut Stream, test_bed: &mut TestBed) {
    assert_ne!(
        test_bed.agent().status().drain.phase,
        DrainPhase::Drained,
        "drained with a request accepted {steps} steps before"
    );
    stream.send_data(Bytes::from_static(b"body")).await.unwrap();
    stream.finish().await.unwrap();
    // The back end no longer gets it: new work is refused since the drain began.
    assert_eq!(head(stream).await.status(), StatusCode::SERVICE_UNAVAILABLE);
}

/// Guards against a planned stop that cuts an accepted request: the agent decided
/// to accept the request before it counted it as open, drained in between, and
/// closed while the caller still sent the body.
#[test]
fn an_agent_with_an_accepted_request_is_never_drained() {
    // One thread and one event at a time, so that the drain begins between any
    // two steps of the agent's tasks.
    let runtime = Builder::new_current_thread()
        .enable_all()
        .event_interval(1)
        .build()
        .unwrap();
    let limits = Limits {
        drain_grace: Duration::ZERO,
        ..Limits::default()
    };
    let treatments: Vec<Treatment> = runtime.block_on(async {
        let mut test_bed = TestBed::start(limits).await;
        let mut treatments = Vec::new();
        for steps in 0..MAXIMUM_STEPS {
            treatments.push(drain_after(steps, &mut test_bed).await);
            if treatments.ends_with(&[Treatment::Accepted; ACCEPTED_IN_A_ROW]) {
                break;
            }
        }
        treatments
    });
    assert_eq!(treatments.first(), Some(&Treatment::Refused));
    assert_eq!(treatments.last(), Some(&Treatment::Accepted));
}

/// Asks without a pause until the connection closes; returns the number of whole
/// answers. Everything else must be a refusal as not run, or a rejected stream.
async fn ask_until_closed(caller: Arc<Caller>) -> usize {
    let mut whole = 0;
    while caller.connection.close_reason().is_none() {
        let Ok(mut stream) = caller.try_get("/").await else {
            continue;
        };
        let Ok(head) = stream.recv_response().await else {
            continue;
        };
        if head.status() == StatusCode::OK {
            body(&mut stream).await.expect("the whole answer");
            whole += 1;
        } else {
            assert_eq!(head.status(), StatusCode::SERVICE_UNAVAILABLE);
            assert_eq!(field(&head, OUTCOME_HEADER.as_str()), Some("not-run"));
        }
    }
    whole
}

/// Counts and answers every request, each after a short time.
async fn answer_requests(mut back_end: BackEnd, ran: Arc<AtomicUsize>) {
    loop {
        let exchange = back_end.next().await;
        ran.fetch_add(1, Ordering::AcqRel);
        sleep(SERVICE_TIME).await;
        exchange.answer("whole").await;
    }
}

/// Guards against an agent that never ends since callers that do not heed GOAWAY
/// keep a request open at each moment.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_agent_ends_although_callers_ignore_goaway() {
    let mut test_bed = TestBed::start(Limits::default()).await;
    let back_end = std::mem::replace(
        &mut test_bed.nodes[0].back_end,
        BackEnd::refusing_connections().await,
    );
    let ran = Arc::new(AtomicUsize::new(0));
    let answering = tokio::spawn(answer_requests(back_end, Arc::clone(&ran)));
    let mut tasks = JoinSet::new();
    for _ in 0..CALLERS {
        let chain = &test_bed.certificate.chain;
        let connecting = Caller::connect_ignoring_goaway(test_bed.fabric.service_address, chain);
        let caller = Arc::new(connecting.await.unwrap());
        for _ in 0..REQUESTS_AT_A_TIME {
            tasks.spawn(ask_until_closed(Arc::clone(&caller)));
        }
    }
    sleep(Duration::from_millis(300)).await;
    test_bed.agent().begin_drain(DrainReason::Signal);
    within("the drain", test_bed.agent().wait_until_drained()).await;
    test_bed.agent().close().await;

    let mut whole = 0;
    while let Some(answers) = within("the callers", tasks.join_next()).await {
        whole += answers.unwrap();
    }
    answering.abort();
    assert_eq!(whole, ran.load(Ordering::Acquire), "work was cut");
    assert!(whole > 0);
}

/// Guards against a stop that takes as long as the slowest caller's transport:
/// closing waited until each connection had been silent for three of its probe
/// timeouts, which grow with the round-trip time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_agent_closes_at_once_beside_a_distant_caller() {
    let mut test_bed = TestBed::start(Limits::default()).await;
    test_bed.fabric.set_delay(DISTANT_DELAY);
    let caller = test_bed.caller().await;
    let mut stream = caller.get("/").await;
    test_bed.back_end().next().await.answer("far").await;
    assert_eq!(head(&mut stream).await.status(), StatusCode::OK);
    assert_eq!(test_bed.agent().status().connections, 1);
    let begin = Instant::now();
    test_bed.agent().close().await;
    let elapsed = begin.elapsed();
    assert!(elapsed <= CLOSE_LIMIT, "closed after {elapsed:?}");
    within("the connection", caller.connection.closed()).await;
}
