//! Flows at agents: admission, drain, hand-on, restart.

mod agent_support;

use std::net::UdpSocket;

use agent_support::back_end::BackEnd;
use agent_support::caller::{Caller, body, field, head, next};
use agent_support::{World, eventually, within};
use http::StatusCode;
use woodladder::agent::{Agent, DatagramDrop, Limits, OUTCOME};
use woodladder_core::identifier::{ServiceId, TargetId};
use woodladder_core::packets::envelope::Route;
use woodladder_core::target::drain::{DrainPhase, DrainReason};

#[tokio::test]
async fn envelope_for_another_target_is_dropped() {
    let world = World::start(Limits::default()).await;
    world.fabric.tamper(Some(Box::new(|envelope| {
        if let Route::NewFlow(first) = &mut envelope.route {
            first.hops[0].target = TargetId(99);
        }
    })));
    expect_drop_then_connection(&world, DatagramDrop::WrongTarget).await;
}

#[tokio::test]
async fn envelope_for_another_service_is_dropped() {
    let world = World::start(Limits::default()).await;
    world.fabric.tamper(Some(Box::new(|envelope| {
        envelope.service = ServiceId(2);
    })));
    expect_drop_then_connection(&world, DatagramDrop::WrongService).await;
}

#[tokio::test]
async fn bytes_that_are_no_envelope_are_dropped() {
    let world = World::start(Limits::default()).await;
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let agent = world.agent();
    for bytes in [&b"noise"[..], &[1; 1500], &[0xff; 9], &[]] {
        socket.send_to(bytes, world.peers[0].address).unwrap();
    }
    eventually("all are counted", || {
        agent.status().dropped(DatagramDrop::BadEnvelope) == 4
    })
    .await;
}

#[tokio::test]
async fn draining_agent_hands_flows_on() {
    let back_ends = vec![BackEnd::start().await, BackEnd::start().await];
    let mut world = World::with_back_ends(Limits::default(), back_ends).await;
    world.agent().begin_drain(DrainReason::Signal);
    for _ in 0..8 {
        let caller = world.caller().await;
        let mut stream = caller.get("/").await;
        world.peers[1].back_end.next().await.answer("other").await;
        assert_eq!(head(&mut stream).await.status(), StatusCode::OK);
        assert_eq!(body(&mut stream).await.unwrap(), b"other");
    }
    assert_eq!(world.agent().status().flows.accepted, 0);
    assert!(world.back_end().is_idle());
}

#[tokio::test]
async fn flow_that_no_target_takes_is_told_so_at_once() {
    let mut world = World::start(Limits::default()).await;
    world.agent().begin_drain(DrainReason::MachineList);
    let caller = world.caller().await;
    let mut stream = caller.get("/").await;
    let response = head(&mut stream).await;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(field(&response, OUTCOME.as_str()), Some("not-run"));
    assert!(field(&response, "retry-after").is_some());
    assert_eq!(world.agent().status().flows.declined, 1);
    assert!(world.back_end().is_idle());

    // The connection ends, so that the caller can come back on another.
    within("the connection", caller.connection.closed()).await;
    world.agent().withdraw_drain(DrainReason::MachineList);
    let caller = world.caller().await;
    let mut stream = caller.get("/").await;
    world.back_end().next().await.answer("taken").await;
    assert_eq!(head(&mut stream).await.status(), StatusCode::OK);
}

#[tokio::test]
async fn drain_keeps_a_feed_and_refuses_requests() {
    let limits = Limits {
        drain_grace: std::time::Duration::ZERO,
        ..Limits::default()
    };
    let mut world = World::start(limits).await;
    let caller = world.caller().await;
    let mut feed = caller.get("/feed").await;
    let mut exchange = world.back_end().next().await;
    exchange.begin_feed().await;
    head(&mut feed).await;

    world.agent().begin_drain(DrainReason::MachineList);
    refused_or_rejected(&caller).await;
    assert!(world.back_end().is_idle());
    exchange.write_chunk("data: still here\n\n").await;
    let event = next(&mut feed).await.unwrap();
    assert_eq!(event.as_deref(), Some(&b"data: still here\n\n"[..]));
    assert_ne!(world.agent().status().drain_phase, DrainPhase::Drained);

    exchange.write(b"0\r\n\r\n").await;
    assert_eq!(next(&mut feed).await.unwrap(), None);
    within("the drain", world.agent().wait_until_drained()).await;
    assert_eq!(world.agent().status().drain_phase, DrainPhase::Drained);
    within("the connection", caller.connection.closed()).await;
}

#[tokio::test]
async fn withdrawn_drain_takes_requests_again() {
    let mut world = World::start(Limits::default()).await;
    world.agent().begin_drain(DrainReason::MachineList);
    world.agent().withdraw_drain(DrainReason::MachineList);
    let caller = world.caller().await;
    let mut stream = caller.get("/").await;
    world.back_end().next().await.answer("back").await;
    assert_eq!(head(&mut stream).await.status(), StatusCode::OK);
}

#[tokio::test]
async fn bundle_that_lists_the_target_as_leaving_drains_it() {
    let world = World::start(Limits::default()).await;
    world.roll_first_leaving();
    within("the drain", world.agent().wait_until_drained()).await;
}

#[tokio::test]
async fn target_without_a_back_end_gets_no_flows_until_it_is_back() {
    let limits = Limits {
        slow_start: None,
        ..Limits::default()
    };
    let back_ends = vec![BackEnd::absent().await, BackEnd::start().await];
    let mut world = World::with_back_ends(limits, back_ends).await;
    while world.agent().status().effective_slots > 0 {
        let caller = world.caller().await;
        let mut stream = caller.get("/").await;
        if world.agent().status().flows.accepted == 0 {
            world.peers[1].back_end.next().await.answer("other").await;
        }
        head(&mut stream).await;
    }
    for _ in 0..8 {
        let caller = world.caller().await;
        let mut stream = caller.get("/").await;
        world.peers[1].back_end.next().await.answer("other").await;
        assert_eq!(head(&mut stream).await.status(), StatusCode::OK);
    }
    let address = world.back_end().address;
    let _back = BackEnd::start_at(address).await;
    let agent = world.agent();
    eventually("the slots are back", || agent.status().effective_slots == 7).await;
}

#[tokio::test]
async fn flow_survives_a_change_of_the_callers_address() {
    let mut world = World::start(Limits::default()).await;
    let caller = world.caller().await;
    let mut feed = caller.get("/feed").await;
    let mut exchange = world.back_end().next().await;
    exchange.begin_feed().await;
    head(&mut feed).await;
    caller.change_address();
    for event in ["data: 1\n\n", "data: 2\n\n"] {
        exchange.write_chunk(event).await;
        let received = next(&mut feed).await.unwrap();
        assert_eq!(received.as_deref(), Some(event.as_bytes()));
    }
    assert_eq!(world.agent().status().connections, 1);
}

#[tokio::test]
async fn agent_relays_flows_that_a_balancer_cannot_place() {
    let back_ends = vec![BackEnd::start().await, BackEnd::start().await];
    let mut world = World::with_back_ends(Limits::default(), back_ends).await;
    world.agent().begin_drain(DrainReason::Signal);
    let caller = world.caller().await;
    world.fabric.route_by(&world.older_layout(0));
    let mut stream = caller.get("/").await;
    world.peers[1].back_end.next().await.answer("found").await;
    head(&mut stream).await;
    assert_eq!(body(&mut stream).await.unwrap(), b"found");
    assert!(world.agent().status().flows.relayed_datagrams > 0);
}

#[tokio::test]
async fn restarted_agent_ends_old_flows_at_once() {
    let (world, mut sockets) = World::without_agents(1).await;
    let back_end = BackEnd::start().await.address;
    let socket = sockets.remove(0);
    let address = socket.local_addr().unwrap();
    let config = world.config(0, back_end, socket, Limits::default());
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let first = runtime.spawn(async move { Agent::start(config).unwrap() });
    let first = first.await.unwrap();
    let caller = world.caller().await;
    assert_eq!(first.status().connections, 1);

    // The process dies without a word.
    drop(first);
    runtime.shutdown_background();
    let socket = bind(address).await;
    let config = world.config(0, back_end, socket, Limits::default());
    let _second = Agent::start(config).unwrap();
    let _stream = caller.try_get("/").await;
    let error = within("the connection", caller.connection.closed()).await;
    assert_eq!(error, quinn::ConnectionError::Reset);
}

/// Connects through a fabric that changes envelopes, and once some were
/// dropped, lets them pass.
async fn expect_drop_then_connection(world: &World, reason: DatagramDrop) {
    let repair = async {
        eventually("a datagram is dropped", || {
            world.agent().status().dropped(reason) > 0
        })
        .await;
        assert_eq!(world.agent().status().connections, 0);
        world.fabric.tamper(None);
    };
    let (_, connected) = tokio::join!(repair, world.try_caller());
    connected.unwrap();
}

/// A request on an old connection of an agent that refuses them: told that it
/// didn't run, or rejected by the transport's code for that.
async fn refused_or_rejected(caller: &Caller) {
    let Ok(mut stream) = caller.try_get("/late").await else {
        return;
    };
    if let Ok(response) = within("the refusal", stream.recv_response()).await {
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(field(&response, OUTCOME.as_str()), Some("not-run"));
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
