//! Explores all event orders in a small world to check the proof that no target holds a
//! flow. The world has a balancer that has just started, two agents and one flow.
//! Messages may arrive in any order, one may be lost, the holder's agent may restart
//! beside its running target, and the caller retransmits its packet.
//!
//! In no reachable state may the flow of a live target have been reset.

mod flow_exploration_world;
mod flow_support;

use std::collections::HashSet;

use flow_exploration_world::{FlowAnnouncements, HOLDER, OTHER, TICKS, World, agent_on};
use flow_support::*;

/// Maximum number of visited states, so that the test cannot run without end.
const MAXIMUM_STATES: usize = 300_000;

/// Visits every reachable state, or stops at the first in which the flow was reset.
/// Returns the number of visited states and whether the flow was reset in any of them.
fn explore(start: World, ends_at_reset: bool) -> (usize, bool) {
    let mut seen = HashSet::new();
    let mut open = vec![start];
    let mut any_reset = false;
    while let Some(world) = open.pop() {
        if !seen.insert(world.fingerprint()) {
            continue;
        }
        assert!(seen.len() <= MAXIMUM_STATES, "more states than expected");
        any_reset |= world.was_reset;
        if any_reset && ends_at_reset {
            break;
        }
        if !world.was_reset {
            open.extend(world.next());
        }
    }
    (seen.len(), any_reset)
}

#[test]
fn no_event_order_resets_the_flow_of_a_live_target() {
    let without_loss = World {
        losses_left: 0,
        ..World::new(true)
    };
    // One tick less limits the number of states with a lost message: two ticks with a
    // loss make 107,850 states.
    let with_loss = World {
        ticks_left: TICKS - 1,
        ..World::new(true)
    };
    for start in [without_loss, with_loss] {
        let (states, any_reset) = explore(start, false);
        println!("{states} states");
        assert!(!any_reset, "the flow of a live target was reset");
        assert!(states > 1000, "{states}");
    }
}

/// The exploration must be able to find resets where they are correct.
#[test]
fn some_event_order_resets_a_flow_that_no_target_holds() {
    let (states, any_reset) = explore(World::new(false), true);
    println!("{states} states");
    assert!(any_reset);
}

/// Without losses, the flow that no target holds must be reset.
#[test]
fn a_flow_that_no_target_holds_is_reset_when_all_messages_arrive() {
    for restarts in [false, true] {
        let mut world = World::new(false);
        if restarts {
            world.restart_agent();
        }
        for _ in 0..TICKS {
            while !world.under_way.is_empty() {
                let message = world.under_way.remove(0);
                world.deliver(message);
            }
            if !world.was_reset {
                world.tick();
            }
        }
        assert!(world.was_reset, "restart: {restarts}");
    }
}

/// All variants of what agents announce: the holder, the other agent or neither
/// announces the flow, each with agents that say or do not say that they know all their
/// flows.
fn announcement_variants() -> Vec<FlowAnnouncements> {
    let mut variants = Vec::new();
    for announcer in [None, Some(HOLDER), Some(OTHER)] {
        for know_all in [false, true] {
            variants.push(FlowAnnouncements {
                announcer,
                know_all,
            });
        }
    }
    variants
}

/// The same where agents announce their flows, correctly or not.
#[test]
fn no_event_order_resets_the_flow_of_a_live_target_whatever_agents_announce() {
    for announcements in announcement_variants() {
        let without_loss = World {
            losses_left: 0,
            ..World::with_announcements(true, Some(announcements))
        };
        let with_loss = World {
            ticks_left: TICKS - 1,
            ..World::with_announcements(true, Some(announcements))
        };
        for start in [without_loss, with_loss] {
            let (states, any_reset) = explore(start, false);
            println!("{announcements:?}: {states} states");
            assert!(
                !any_reset,
                "the flow of a live target was reset: {announcements:?}"
            );
            assert!(states > 100, "{states}");
        }
    }
}

/// Without losses, a flow that no target holds must be reset whatever the agents
/// announce.
#[test]
fn a_flow_that_no_target_holds_is_reset_whatever_agents_announce() {
    for announcements in announcement_variants() {
        let mut world = World::with_announcements(false, Some(announcements));
        for _ in 0..TICKS {
            while !world.under_way.is_empty() {
                let message = world.under_way.remove(0);
                world.deliver(message);
            }
            if !world.was_reset {
                world.tick();
            }
        }
        while !world.under_way.is_empty() {
            let message = world.under_way.remove(0);
            world.deliver(message);
        }
        assert!(world.was_reset, "{announcements:?}");
    }
}

/// Checks the exploration itself: an agent that wrongly assumes that it ran before its
/// target denies a flow that the target holds, and the exploration must find the wrong
/// reset.
#[test]
fn the_exploration_finds_a_wrong_reset() {
    let mut world = World::new(true);
    let mut mistaken = agent_on(HOLDER, 50, world.now);
    mistaken
        .handle_heartbeat(&heartbeat(HOLDER.into(), 1), at(world.now))
        .expect("heartbeat");
    world.agents[World::index(HOLDER)] = mistaken;
    world.restarts_left = 0;
    let (_, any_reset) = explore(world, true);
    assert!(any_reset);
}

/// The same where agents announce their flows.
#[test]
fn the_exploration_finds_a_wrong_reset_where_agents_announce_flows() {
    for announcements in announcement_variants() {
        let mut world = World::with_announcements(true, Some(announcements));
        let mut mistaken = agent_on(HOLDER, 50, world.now);
        mistaken
            .handle_heartbeat(&heartbeat(HOLDER.into(), 1), at(world.now))
            .expect("heartbeat");
        world.agents[World::index(HOLDER)] = mistaken;
        world.restarts_left = 0;
        let (_, any_reset) = explore(world, true);
        assert!(any_reset, "{announcements:?}");
    }
}
