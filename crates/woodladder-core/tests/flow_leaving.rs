//! A leaving that an agent has acknowledged holds until the target has ended: no later
//! message takes it back, and what is acknowledged is applied.

mod flow_support;

use flow_support::*;
use woodladder_core::flow::agent::{Agent, AgentAction, AgentOptions, Heartbeat, ListenState};
use woodladder_core::flow::balancer::{Balancer, BalancerAction};
use woodladder_core::flow::identity::Incarnation;
use woodladder_core::flow::message::{ForwardPurpose, PeerMessage, TargetLoad, TargetState};

/// The target that leaves.
const TARGET: u64 = 1;
/// Another target that was at the address before.
const FORMER: u64 = 2;

fn leaving_heartbeat(incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        leaving: true,
        ..heartbeat(incarnation, sequence)
    }
}

/// An agent that knows only the present target, which has sent heartbeats until second 4.
fn agent_of_target() -> Agent {
    let mut agent = empty_agent();
    for (sequence, time) in [(5, 1000), (6, 2200), (7, 3400)] {
        agent
            .handle_heartbeat(&heartbeat(TARGET, sequence), at(time))
            .expect("accepted");
    }
    agent
}

fn takes_flow(agent: &mut Agent, port: u16, milliseconds: u64) -> bool {
    let open = opening(flow(port), 0);
    is_delivered(&forward_to(agent, &open_header(1), &open, at(milliseconds)))
}

/// A held-up heartbeat of a former target replaced the leaving one, and its agent let new
/// flows pass.
#[test]
fn a_late_heartbeat_of_a_former_target_does_not_take_a_drain_back() {
    let mut agent = agent_of_target();
    agent
        .handle_heartbeat(&leaving_heartbeat(TARGET, 8), at(4000))
        .expect("accepted");
    for (sequence, time) in [(3, 4500), (1, 4600)] {
        let late = agent.handle_heartbeat(&heartbeat(FORMER, sequence), at(time));
        assert!(late.is_err(), "{late:?}");
        assert!(!takes_flow(&mut agent, 1, time + 10));
    }
    agent
        .handle_heartbeat(&leaving_heartbeat(TARGET, 9), at(5200))
        .expect("the leaving target is heard");
    assert!(!takes_flow(&mut agent, 2, 9000));
    assert_eq!(agent.broken_promises().opened_after_leaving, 0);
}

/// The same with a target that deregisters first, serves on and sends nothing more.
#[test]
fn late_heartbeats_of_a_former_target_do_not_take_a_deregistration_back() {
    let mut agent = agent_of_target();
    agent.handle_deregistration(Incarnation(TARGET), at(4000));
    for (sequence, time) in [(1, 4500), (3, 6000), (6, 8000)] {
        let late = agent.handle_heartbeat(&heartbeat(FORMER, sequence), at(time));
        assert!(late.is_err(), "{late:?}");
        assert!(!takes_flow(&mut agent, 1, time + 10));
    }
    assert_eq!(agent.target_state(), TargetState::Leaving);
}

/// A target that left was replaced by one that had ended long before, so that its own
/// heartbeats were refused for ever.
#[test]
fn a_target_that_a_late_heartbeat_replaced_is_known_again() {
    let mut agent = empty_agent();
    agent
        .handle_heartbeat(&heartbeat(TARGET, 5), at(1000))
        .expect("accepted");
    agent
        .handle_heartbeat(&heartbeat(FORMER, 9), at(1100))
        .expect("nothing shows yet which of them runs");
    for (sequence, time) in [(6, 2200), (7, 3400), (8, 4600), (9, 5800)] {
        let _refused_at_first = agent.handle_heartbeat(&heartbeat(TARGET, sequence), at(time));
    }
    agent
        .handle_heartbeat(&leaving_heartbeat(TARGET, 10), at(7000))
        .expect("the target that goes on is known");
    assert!(!takes_flow(&mut agent, 1, 7010));
}

/// Heartbeats of a living target were refused as soon as one of another was heard.
#[test]
fn a_late_heartbeat_of_a_former_target_does_not_replace_a_living_one() {
    let mut agent = agent_of_target();
    open_flow_at(&mut agent, flow(1), at(3500));
    for sequence in [1, 2, 90] {
        let late = agent.handle_heartbeat(&heartbeat(FORMER, sequence), at(3600 + sequence));
        assert!(late.is_err(), "{late:?}");
    }
    agent
        .handle_heartbeat(&heartbeat(TARGET, 8), at(4600))
        .expect("the living target is heard");
    assert_eq!(agent.load().flows, 1);
}

/// A heartbeat that says that the target leaves was acknowledged and ignored when a later
/// one had overtaken it.
#[test]
fn an_overtaken_heartbeat_that_says_leaving_is_applied() {
    let mut agent = agent_of_target();
    agent
        .handle_heartbeat(&leaving_heartbeat(TARGET, 6), at(3500))
        .expect("acknowledged");
    assert!(!takes_flow(&mut agent, 1, 3600));
}

/// A copy of an opening passed by the target's state when the flow table still had an entry
/// between the same ends.
#[test]
fn a_copy_of_an_opening_between_the_ends_of_an_older_flow_does_not_reach_a_leaving_target() {
    let mut agent = agent_of_target();
    open_flow_at(&mut agent, flow(1), at(3500));
    agent
        .handle_heartbeat(&leaving_heartbeat(TARGET, 8), at(4000))
        .expect("accepted");
    let copy = opening(flow(1), 1);
    let decision = forward_to(&mut agent, &open_header(1), &copy, at(9000));
    assert!(!is_delivered(&decision), "{decision:?}");
}

/// The caller of an opening that the target has just accepted may not have heard of it.
#[test]
fn a_copy_of_an_opening_that_the_target_has_just_accepted_is_delivered() {
    let mut agent = agent_of_target();
    open_flow_at(&mut agent, flow(1), at(3950));
    agent
        .handle_heartbeat(&leaving_heartbeat(TARGET, 8), at(4000))
        .expect("accepted");
    let copy = opening(flow(1), 1);
    let decision = forward_to(&mut agent, &open_header(1), &copy, at(4150));
    assert!(is_delivered(&decision), "{decision:?}");
}

/// A stopping agent admitted flows again when another start of the target was heard.
#[test]
fn an_agent_that_stops_admits_no_flow_whatever_is_heard() {
    let mut agent = agent_of_target();
    agent.begin_shutdown(at(3500));
    agent.handle_deregistration(Incarnation(TARGET), at(3510));
    let _next = agent.handle_heartbeat(&heartbeat(3, 1), at(3600));
    assert!(!takes_flow(&mut agent, 1, 3610));
}

/// An agent that had restarted and first heard a former target denied flows that the present
/// one held.
#[test]
fn a_single_late_heartbeat_does_not_make_a_restarted_agent_deny_living_flows() {
    let mut agent = empty_agent();
    agent
        .handle_heartbeat(&heartbeat(FORMER, 90), at(100))
        .expect("accepted");
    agent
        .handle_heartbeat(&heartbeat(TARGET, 40), at(200))
        .expect("accepted");
    let established = header(1, ForwardPurpose::Established);
    let delivery = forward_to(
        &mut agent,
        &established,
        &data(flow(1), 1101, 5001),
        at(300),
    );
    assert!(is_delivered(&delivery), "{delivery:?}");
}

/// The next target at an address takes flows as soon as the leaving one has ended without a
/// deregistration, shown by the address at which nothing listens any more.
#[test]
fn the_next_target_takes_flows_after_nothing_listens_at_the_address() {
    let mut agent = agent_of_target();
    agent
        .handle_heartbeat(&leaving_heartbeat(TARGET, 8), at(4000))
        .expect("accepted");
    assert!(agent.needs_listen_probe());
    agent.record_listen_state(ListenState::Listening);
    assert!(agent.handle_heartbeat(&heartbeat(3, 1), at(4100)).is_err());
    agent.record_listen_state(ListenState::NotListening);
    assert!(agent.handle_heartbeat(&heartbeat(3, 2), at(5250)).is_err());
    assert!(agent.needs_listen_probe_before(&heartbeat(3, 3)));
    agent.record_listen_state(ListenState::Listening);
    agent
        .handle_heartbeat(&heartbeat(3, 3), at(5300))
        .expect("accepted");
    assert!(!agent.needs_listen_probe());
    assert!(takes_flow(&mut agent, 1, 5310));
}

/// A target deregistered first and served on; its agent was killed, and a held-up heartbeat
/// from before opened the agent's next process, since the target itself says nothing more.
#[test]
fn a_restarted_agent_learns_from_balancers_that_its_target_leaves() {
    let mut agent = agent_of_target();
    agent.add_listed_balancers(&[node(1)], at(3500));
    agent.handle_deregistration(Incarnation(TARGET), at(4000));
    let mut balancer = balancer(&[]);
    exchange(&mut agent, &mut balancer, 4001);
    let mut restarted = empty_agent_of_epoch(2);
    restarted.add_listed_balancers(&[node(1)], at(5000));
    restarted
        .handle_heartbeat(&heartbeat(TARGET, 6), at(5500))
        .expect("accepted");
    exchange(&mut restarted, &mut balancer, 5510);
    assert!(!takes_flow(&mut restarted, 1, 5520));
    assert_eq!(restarted.target_state(), TargetState::Leaving);
}

/// The planned stop of an agent is no leaving of its target.
#[test]
fn a_target_whose_agent_was_stopped_is_ready_again_with_the_next_process() {
    let mut agent = agent_of_target();
    agent.add_listed_balancers(&[node(1)], at(3500));
    agent.begin_shutdown(at(4000));
    let mut balancer = balancer(&[]);
    exchange(&mut agent, &mut balancer, 4001);
    let mut restarted = empty_agent_of_epoch(2);
    restarted.add_listed_balancers(&[node(1)], at(5000));
    restarted
        .handle_heartbeat(&heartbeat(TARGET, 9), at(5500))
        .expect("accepted");
    exchange(&mut restarted, &mut balancer, 5510);
    assert!(takes_flow(&mut restarted, 1, 5520));
}

/// An agent like [`empty_agent`], in another process.
fn empty_agent_of_epoch(epoch: u64) -> Agent {
    let options = AgentOptions {
        epoch,
        ..agent_options()
    };
    Agent::new(options, at(5000))
}

/// Delivers what the agent reports to balancer 1, and the balancer's answers to the agent.
fn exchange(agent: &mut Agent, balancer: &mut Balancer, milliseconds: u64) {
    let mut reports = Vec::new();
    agent.tick(at(milliseconds), &mut reports);
    for action in reports {
        let AgentAction::Send { message, .. } = action else {
            continue;
        };
        for answer in deliver_message(balancer, 9, message, at(milliseconds)) {
            if let BalancerAction::Send { message, .. } = answer {
                agent.handle_message(node(1), &message, at(milliseconds), &mut Vec::new());
            }
        }
    }
}

/// A balancer reset the flows of a living target when its restarted agent had first heard
/// of a former one.
#[test]
fn a_restarted_agent_that_has_heard_a_former_target_resets_no_living_flow() {
    let mut balancer = balancer(&[2]);
    deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_010));
    let acceptance = PeerMessage::Accepted {
        key: flow(1),
        sequence: 5000,
        incarnation: Some(Incarnation(2)),
        load: TargetLoad::default(),
    };
    deliver_message(&mut balancer, 2, acceptance, at(10_011));
    deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(10_012));
    let restarted = |sequence, incarnation| {
        let mut it = report(2, sequence);
        it.epoch = 77;
        it.incarnation = Some(Incarnation(incarnation));
        it
    };
    let mut resets = 0;
    for (sequence, incarnation, time) in [(1, 900, 10_100), (2, 900, 10_200), (3, 2, 11_300)] {
        let report = restarted(sequence, incarnation);
        let actions = deliver_report(&mut balancer, 2, &report, at(time));
        let is_reset = |it: &&BalancerAction| matches!(it, BalancerAction::Reset(_));
        resets += actions.iter().filter(is_reset).count();
    }
    assert_eq!(resets, 0);
}

/// The next target at an address takes flows at once after one that said that it leaves
/// and then deregistered and ended. The deregistration alone does not show that it has
/// ended: a late heartbeat of a former target would bring flows to it.
#[test]
fn the_next_target_takes_flows_after_the_leaving_one_has_deregistered() {
    let mut agent = agent_of_target();
    agent
        .handle_heartbeat(&leaving_heartbeat(TARGET, 8), at(4000))
        .expect("accepted");
    agent.handle_deregistration(Incarnation(TARGET), at(7500));
    assert!(agent.is_end_near());
    assert!(
        agent
            .handle_heartbeat(&heartbeat(FORMER, 90), at(7510))
            .is_err()
    );
    assert!(!takes_flow(&mut agent, 2, 7520));
    agent.record_listen_state(ListenState::NotListening);
    agent.record_listen_state(ListenState::Listening);
    agent
        .handle_heartbeat(&heartbeat(3, 1), at(9500))
        .expect("accepted");
    assert!(takes_flow(&mut agent, 1, 9600));
}
