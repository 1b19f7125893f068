//! A roll reaches every node, whatever the network and the service do.

mod control_world;

use std::time::Duration;

use control_world::fixture::{bundle, roll};
use control_world::network::{Faults, World};
use woodladder_core::control::replica::ReplicaTuning;
use woodladder_core::identifier::Sequence;

const LIMIT: Duration = Duration::from_secs(11);

#[test]
fn first_roll_reaches_all_nodes() {
    let mut world = World::listed(40, 1, ReplicaTuning::default());
    world.run_for(Duration::from_secs(5));
    let first = roll(None, bundle(1, 0..200, 4), 1);
    world.store.put_roll(&first);
    assert!(world.run_until(LIMIT, |world| world.all_have(Sequence(1))));
    world.assert_never_reverted();
}

#[test]
fn second_roll_reaches_all_nodes_by_delta() {
    let mut world = World::listed(40, 2, ReplicaTuning::default());
    let first = roll(None, bundle(1, 0..200, 4), 1);
    world.store.put_roll(&first);
    assert!(world.run_until(LIMIT, |world| world.all_have(Sequence(1))));
    let second = roll(Some(&first), bundle(2, 1..201, 4), 2);
    world.store.put_roll(&second);
    assert!(world.run_until(LIMIT, |world| world.all_have(Sequence(2))));
    for node in &world.nodes {
        assert_eq!(node.replica.counters().rolls_adopted_by_delta, 1);
    }
    world.assert_never_reverted();
}

#[test]
fn roll_reaches_all_nodes_over_a_lossy_network() {
    let mut world = World::listed(40, 3, ReplicaTuning::default());
    world.faults = Faults {
        loss: 0.2,
        duplication: 0.2,
        shortest_delay: Duration::from_millis(1),
        longest_delay: Duration::from_millis(100),
    };
    let mut last = roll(None, bundle(1, 0..400, 4), 1);
    world.store.put_roll(&last);
    for version in 2..6 {
        world.run_for(Duration::from_secs(3));
        last = roll(Some(&last), bundle(version, 0..400, 4 + version as u16), 1);
        world.store.put_roll(&last);
    }
    assert!(world.run_until(LIMIT, |world| world.all_have(Sequence(5))));
    world.assert_never_reverted();
}
