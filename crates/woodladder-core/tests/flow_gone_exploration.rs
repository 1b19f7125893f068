//! Exhaustive exploration of the proof that a flow is gone, in a small world: a
//! balancer that has just started, two agents, and one flow. Messages may arrive
//! in any order, one may be lost, the holder's agent may restart beside its
//! running target, and the caller repeats its packet.
//!
//! In every reachable state the flow of a living target must not be reset.

mod flow_exploration_world;
mod flow_support;

use std::collections::HashSet;

use flow_exploration_world::{FlowAnnouncements, HOLDER, OTHER, TICKS, World, agent_on};
use flow_support::*;

/// Most states that are visited, as a guard against an endless test.
const MOST_STATES: usize = 300_000;

/// Visits every reachable state, or those up to the first with the flow reset;
/// returns how many they are, and whether any has the flow reset.
fn explore(start: World, ends_at_reset: bool) -> (usize, bool) {
    let mut seen = HashSet::new();
    let mut open = vec![start];
    let mut any_reset = false;
    while let Some(world) = open.pop() {
        if !seen.insert(world.fingerprint()) {
            continue;
        }
        assert!(seen.len() <= MOST_STATES, "more states than expected");
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
fn no_course_of_events_resets_the_flow_of_a_living_target() {
    let without_loss = World {
        losses_left: 0,
        ..World::new(true)
    };
    // One tick less keeps the states with a loss within what a test can visit;
    // two ticks with a loss are 107,850 states.
    let with_loss = World {
        ticks_left: TICKS - 1,
        ..World::new(true)
    };
    for start in [without_loss, with_loss] {
        let (states, any_reset) = explore(start, false);
        println!("{states} states");
        assert!(!any_reset, "a living flow was reset");
        assert!(states > 1000, "{states}");
    }
}

/// The exploration does find resets where they are right.
#[test]
fn a_flow_that_nobody_holds_is_reset_in_some_course() {
    let (states, any_reset) = explore(World::new(false), true);
    println!("{states} states");
    assert!(any_reset);
}

/// Without losses, whatever the order, the flow that nobody holds is reset.
#[test]
fn a_flow_that_nobody_holds_is_reset_when_all_messages_arrive() {
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

/// What agents tell of their flows: rightly, wrongly, or nothing, by agents whose reports
/// say that they know all their flows or that they do not.
fn tellings() -> Vec<FlowAnnouncements> {
    let mut tellings = Vec::new();
    for announcer in [None, Some(HOLDER), Some(OTHER)] {
        for know_all in [false, true] {
            tellings.push(FlowAnnouncements {
                announcer,
                know_all,
            });
        }
    }
    tellings
}

/// The same where agents tell their flows, whatever they tell.
#[test]
fn no_course_of_events_resets_a_living_flow_whatever_agents_tell() {
    for telling in tellings() {
        let without_loss = World {
            losses_left: 0,
            ..World::with_announcements(true, Some(telling))
        };
        let with_loss = World {
            ticks_left: TICKS - 1,
            ..World::with_announcements(true, Some(telling))
        };
        for start in [without_loss, with_loss] {
            let (states, any_reset) = explore(start, false);
            println!("{telling:?}: {states} states");
            assert!(!any_reset, "a living flow was reset: {telling:?}");
            assert!(states > 100, "{states}");
        }
    }
}

/// Without losses, a flow that nobody holds is reset, whatever agents tell.
#[test]
fn a_flow_that_nobody_holds_is_reset_whatever_agents_tell() {
    for telling in tellings() {
        let mut world = World::with_announcements(false, Some(telling));
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
        assert!(world.was_reset, "{telling:?}");
    }
}

/// An agent that wrongly believes to have seen its target begin denies what the
/// target holds: the exploration notices.
#[test]
fn the_exploration_finds_a_living_flow_that_is_reset() {
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

/// The same where agents tell their flows.
#[test]
fn the_exploration_finds_a_living_flow_that_is_reset_where_agents_tell() {
    for telling in tellings() {
        let mut world = World::with_announcements(true, Some(telling));
        let mut mistaken = agent_on(HOLDER, 50, world.now);
        mistaken
            .handle_heartbeat(&heartbeat(HOLDER.into(), 1), at(world.now))
            .expect("heartbeat");
        world.agents[World::index(HOLDER)] = mistaken;
        world.restarts_left = 0;
        let (_, any_reset) = explore(world, true);
        assert!(any_reset, "{telling:?}");
    }
}
