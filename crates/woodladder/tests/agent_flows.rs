//! How agents treat flows: admission, drain, handing on to other targets,
//! restart.

mod agent_support;

use std::net::UdpSocket;

use agent_support::back_end::BackEnd;
use agent_support::caller::{Caller, body, field, head, next_chunk};
use agent_support::{TestBed, eventually, within};
use http::StatusCode;
use woodladder::agent::{Agent, DatagramDropReason, Limits, OUTCOME_HEADER};
use woodladder_core::identifier::{ServiceId, TargetId};
use woodladder_core::packets::envelope::Route;
use woodladder_core::target::drain::{DrainPhase, DrainReason};

#[tokio::test]
async fn envelope_for_another_target_is_dropped() {
    let test_bed = TestBed::start(Limits::default()).await;
    test_bed.fabric.tamper(Some(Box::new(|envelope| {
        if let Route::NewFlow(first) = &mut envelope.route {
            first.hops[0].target = TargetId(99);
        }
    })));
    expect_drop_then_connection(&test_bed, DatagramDropReason::WrongTarget).await;
}

#[tokio::test]
async fn envelope_for_another_service_is_dropped() {
    let test_bed = TestBed::start(Limits::default()).await;
    test_bed.fabric.tamper(Some(Box::new(|envelope| {
        envelope.service = ServiceId(2);
    })));
    expect_drop_then_connection(&test_bed, DatagramDropReason::WrongService).await;
}

#[tokio::test]
async fn datagrams_that_are_not_envelopes_are_dropped() {
    let test_bed = TestBed::start(Limits::default()).await;
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let agent = test_bed.agent();
    for bytes in [&b"noise"[..], &[1; 1500], &[0xff; 9], &[]] {
        socket.send_to(bytes, test_bed.nodes[0].address).unwrap();
    }
    eventually("all are counted", || {
        agent.status().dropped(DatagramDropReason::BadEnvelope) == 4
    })
    .await;
}

#[tokio::test]
async fn draining_agent_hands_flows_on() {
    let back_ends = vec![BackEnd::start().await, BackEnd::start().await];
    let mut test_bed = TestBed::with_back_ends(Limits::default(), back_ends).await;
    test_bed.agent().begin_drain(DrainReason::Signal);
    for _ in 0..8 {
        let caller = test_bed.caller().await;
        let mut stream = caller.get("/").await;
        test_bed.nodes[1]
            .back_end
            .next()
            .await
            .answer("other")
            .await;
        assert_eq!(head(&mut stream).await.status(), StatusCode::OK);
        assert_eq!(body(&mut stream).await.unwrap(), b"other");
    }
    assert_eq!(test_bed.agent().status().flows.accepted, 0);
    assert!(test_bed.back_end().is_idle());
}

#[tokio::test]
async fn flow_that_no_target_accepts_is_declined_at_once() {
    let mut test_bed = TestBed::start(Limits::default()).await;
    test_bed.agent().begin_drain(DrainReason::MachineList);
    let caller = test_bed.caller().await;
    let mut stream = caller.get("/").await;
    let response = head(&mut stream).await;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(field(&response, OUTCOME_HEADER.as_str()), Some("not-run"));
    assert!(field(&response, "retry-after").is_some());
    assert_eq!(test_bed.agent().status().flows.declined, 1);
    assert!(test_bed.back_end().is_idle());

    // The agent closes the connection, so that the caller can come back on
    // another.
    within("the connection", caller.connection.closed()).await;
    test_bed.agent().withdraw_drain(DrainReason::MachineList);
    let caller = test_bed.caller().await;
    let mut stream = caller.get("/").await;
    test_bed.back_end().next().await.answer("taken").await;
    assert_eq!(head(&mut stream).await.status(), StatusCode::OK);
}

#[tokio::test]
async fn drain_keeps_a_feed_and_refuses_requests() {
    let limits = Limits {
        drain_grace: std::time::Duration::ZERO,
        ..Limits::default()
    };
    let mut test_bed = TestBed::start(limits).await;
    let caller = test_bed.caller().await;
    let mut feed = caller.get("/feed").await;
    let mut exchange = test_bed.back_end().next().await;
    exchange.begin_feed().await;
    head(&mut feed).await;

    test_bed.agent().begin_drain(DrainReason::MachineList);
    refused_or_rejected(&caller).await;
    assert!(test_bed.back_end().is_idle());
    exchange.write_chunk("data: still here\n\n").await;
    let event = next_chunk(&mut feed).await.unwrap();
    assert_eq!(event.as_deref(), Some(&b"data: still here\n\n"[..]));
    assert_ne!(test_bed.agent().status().drain.phase, DrainPhase::Drained);

    exchange.write(b"0\r\n\r\n").await;
    assert_eq!(next_chunk(&mut feed).await.unwrap(), None);
    within("the drain", test_bed.agent().wait_until_drained()).await;
    assert_eq!(test_bed.agent().status().drain.phase, DrainPhase::Drained);
    within("the connection", caller.connection.closed()).await;
}

#[tokio::test]
async fn withdrawn_drain_accepts_requests_again() {
    let mut test_bed = TestBed::start(Limits::default()).await;
    test_bed.agent().begin_drain(DrainReason::MachineList);
    test_bed.agent().withdraw_drain(DrainReason::MachineList);
    let caller = test_bed.caller().await;
    let mut stream = caller.get("/").await;
    test_bed.back_end().next().await.answer("back").await;
    assert_eq!(head(&mut stream).await.status(), StatusCode::OK);
}

#[tokio::test]
async fn bundle_that_lists_the_target_as_leaving_drains_it() {
    let test_bed = TestBed::start(Limits::default()).await;
    test_bed.roll_first_target_leaving();
    within("the drain", test_bed.agent().wait_until_drained()).await;
}

#[tokio::test]
async fn target_without_a_back_end_gets_no_flows_until_it_is_back() {
    let limits = Limits {
        slow_start: None,
        ..Limits::default()
    };
    let back_ends = vec![
        BackEnd::refusing_connections().await,
        BackEnd::start().await,
    ];
    let mut test_bed = TestBed::with_back_ends(limits, back_ends).await;
    while test_bed.agent().status().effective_slots > 0 {
        let caller = test_bed.caller().await;
        let mut stream = caller.get("/").await;
        if test_bed.agent().status().flows.accepted == 0 {
            test_bed.nodes[1]
                .back_end
                .next()
                .await
                .answer("other")
                .await;
        }
        head(&mut stream).await;
    }
    for _ in 0..8 {
        let caller = test_bed.caller().await;
        let mut stream = caller.get("/").await;
        test_bed.nodes[1]
            .back_end
            .next()
            .await
            .answer("other")
            .await;
        assert_eq!(head(&mut stream).await.status(), StatusCode::OK);
    }
    let address = test_bed.back_end().address;
    let _restarted = BackEnd::start_at(address).await;
    let agent = test_bed.agent();
    eventually("the slots are back", || agent.status().effective_slots == 7).await;
}

#[tokio::test]
async fn flow_survives_a_change_of_the_callers_address() {
    let mut test_bed = TestBed::start(Limits::default()).await;
    let caller = test_bed.caller().await;
    let mut feed = caller.get("/feed").await;
    let mut exchange = test_bed.back_end().next().await;
    exchange.begin_feed().await;
    head(&mut feed).await;
    caller.change_address();
    for event in ["data: 1\n\n", "data: 2\n\n"] {
        exchange.write_chunk(event).await;
        let received = next_chunk(&mut feed).await.unwrap();
        assert_eq!(received.as_deref(), Some(event.as_bytes()));
    }
    assert_eq!(test_bed.agent().status().connections, 1);
}

#[tokio::test]
async fn agent_relays_flows_that_a_balancer_cannot_route() {
    let back_ends = vec![BackEnd::start().await, BackEnd::start().await];
    let mut test_bed = TestBed::with_back_ends(Limits::default(), back_ends).await;
    test_bed.agent().begin_drain(DrainReason::Signal);
    let caller = test_bed.caller().await;
    test_bed
        .fabric
        .set_routing_table(&test_bed.routing_table_with_only(0));
    let mut stream = caller.get("/").await;
    test_bed.nodes[1]
        .back_end
        .next()
        .await
        .answer("found")
        .await;
    head(&mut stream).await;
    assert_eq!(body(&mut stream).await.unwrap(), b"found");
    assert!(test_bed.agent().status().flows.relayed_datagrams > 0);
}

#[tokio::test]
async fn restarted_agent_resets_old_flows_at_once() {
    let (test_bed, mut sockets) = TestBed::without_agents(1).await;
    let back_end = BackEnd::start().await.address;
    let socket = sockets.remove(0);
    let address = socket.local_addr().unwrap();
    let config = test_bed.config(0, back_end, socket, Limits::default());
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let first = runtime.spawn(async move { Agent::start(config).unwrap() });
    let first = first.await.unwrap();
    let caller = test_bed.caller().await;
    assert_eq!(first.status().connections, 1);

    // Simulates a crash: the agent ends without closing its connections.
    drop(first);
    runtime.shutdown_background();
    let socket = bind(address).await;
    let config = test_bed.config(0, back_end, socket, Limits::default());
    let _second = Agent::start(config).unwrap();
    let _stream = caller.try_get("/").await;
    let error = within("the connection", caller.connection.closed()).await;
    assert_eq!(error, quinn::ConnectionError::Reset);
}

/// Connects through a fabric that modifies envelopes. Once the agent has
/// dropped a datagram for `reason`, the envelopes pass unmodified and the
/// connection must succeed.
async fn expect_drop_then_connection(test_bed: &TestBed, reason: DatagramDropReason) {
    let repair = async {
        eventually("a datagram is dropped", || {
            test_bed.agent().status().dropped(reason) > 0
        })
        .await;
        assert_eq!(test_bed.agent().status().connections, 0);
        test_bed.fabric.tamper(None);
    };
    let (_, connected) = tokio::join!(repair, test_bed.try_caller());
    connected.unwrap();
}

/// Sends a request on an open connection of an agent that refuses new ones. The
/// agent must answer that it was not run, or reject the stream.
async fn refused_or_rejected(caller: &Caller) {
    let Ok(mut stream) = caller.try_get("/late").await else {
        return;
    };
    if let Ok(response) = within("the refusal", stream.recv_response()).await {
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(field(&response, OUTCOME_HEADER.as_str()), Some("not-run"));
    }
}

async fn bind(address: std::net::SocketAddr) -> UdpSocket {
    let mut socket = None;
    eventually("the address is free", || {
        socket = UdpSocket::bind(address).ok();
        socket.is_some()
    })
    .await;
    socket.unwrap()
}
