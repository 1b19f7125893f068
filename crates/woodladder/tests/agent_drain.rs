//! Requests that arrive while an agent begins to drain, at every moment.

mod agent_support;

use std::future::poll_fn;
use std::task::Poll;
use std::time::Duration;

use agent_support::caller::{Stream, head};
use agent_support::{LOCALHOST, TestBed, eventually};
use bytes::Bytes;
use http::{Request, StatusCode};
use tokio::runtime::Builder;
use tokio::time::timeout;
use woodladder::agent::Limits;
use woodladder_core::target::drain::{DrainPhase, DrainReason};

/// More task steps than a request takes from the caller to its decision.
const MAXIMUM_STEPS: usize = 400;
/// Accepted requests in a row after which later moments are all alike.
const ACCEPTED_IN_A_ROW: usize = 20;
/// Time in which a request that is refused gets its answer.
const REFUSAL_TIME: Duration = Duration::from_millis(50);

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
