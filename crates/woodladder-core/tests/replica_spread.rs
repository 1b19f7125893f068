//! A roll reaches every node despite faults of the network.

mod control_simulation;

use std::time::Duration;

use control_simulation::fixture::{bundle, roll};
use control_simulation::network::{Faults, Simulation};
use woodladder_core::control::replica::ReplicaTuning;
use woodladder_core::identifier::Sequence;

const ROLLOUT_LIMIT: Duration = Duration::from_secs(11);

#[test]
fn first_roll_reaches_all_nodes() {
    let mut simulation = Simulation::listed(40, 1, ReplicaTuning::default());
    simulation.run_for(Duration::from_secs(5));
    let first = roll(None, bundle(1, 0..200, 4), 1);
    simulation.store.put_roll(&first);
    assert!(simulation.run_until(ROLLOUT_LIMIT, |simulation| {
        simulation.all_have_in_force(Sequence(1))
    }));
    simulation.assert_never_reverted();
}

#[test]
fn second_roll_reaches_all_nodes_by_delta() {
    let mut simulation = Simulation::listed(40, 2, ReplicaTuning::default());
    let first = roll(None, bundle(1, 0..200, 4), 1);
    simulation.store.put_roll(&first);
    assert!(simulation.run_until(ROLLOUT_LIMIT, |simulation| {
        simulation.all_have_in_force(Sequence(1))
    }));
    let second = roll(Some(&first), bundle(2, 1..201, 4), 2);
    simulation.store.put_roll(&second);
    assert!(simulation.run_until(ROLLOUT_LIMIT, |simulation| {
        simulation.all_have_in_force(Sequence(2))
    }));
    for node in &simulation.nodes {
        assert_eq!(node.replica.counters().rolls_adopted_by_delta, 1);
    }
    simulation.assert_never_reverted();
}

#[test]
fn roll_reaches_all_nodes_over_a_lossy_network() {
    let mut simulation = Simulation::listed(40, 3, ReplicaTuning::default());
    simulation.faults = Faults {
        loss: 0.2,
        duplication: 0.2,
        shortest_delay: Duration::from_millis(1),
        longest_delay: Duration::from_millis(100),
    };
    let mut last = roll(None, bundle(1, 0..400, 4), 1);
    simulation.store.put_roll(&last);
    for version in 2..6 {
        simulation.run_for(Duration::from_secs(3));
        last = roll(Some(&last), bundle(version, 0..400, 4 + version as u16), 1);
        simulation.store.put_roll(&last);
    }
    assert!(simulation.run_until(ROLLOUT_LIMIT, |simulation| {
        simulation.all_have_in_force(Sequence(5))
    }));
    simulation.assert_never_reverted();
}
