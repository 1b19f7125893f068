//! Messages and bytes that 300 replicas send, and the time until a roll is in
//! force at all of them, on the virtual clock. Run with `--nocapture` to see
//! the figures.

mod control_simulation;

use std::time::Duration;

use control_simulation::fixture::{Roll, bundle, roll};
use control_simulation::network::Simulation;
use woodladder_core::control::replica::ReplicaTuning;
use woodladder_core::identifier::Sequence;

const NODES: usize = 300;
const TARGETS: u32 = 630;
const ROLLOUT_LIMIT: Duration = Duration::from_secs(11);
const MAXIMUM_BYTES_PER_NODE_AND_SECOND: u64 = 7_000;

#[derive(Debug)]
struct Cost {
    messages: u64,
    bytes: u64,
    time: Duration,
}

/// Runs until all nodes have the sequence in force.
fn cost_until(simulation: &mut Simulation, sequence: Sequence) -> Cost {
    let (messages, bytes, start) = (simulation.messages, simulation.bytes, simulation.now);
    assert!(simulation.run_until(ROLLOUT_LIMIT, |simulation| {
        simulation.all_have_in_force(sequence)
    }));
    Cost {
        messages: simulation.messages - messages,
        bytes: simulation.bytes - bytes,
        time: simulation.now.since(start),
    }
}

fn print(name: &str, cost: &Cost) {
    println!(
        "{name}: {} messages and {} bytes sent by {NODES} nodes in {:?}",
        cost.messages, cost.bytes, cost.time
    );
}

#[test]
fn three_hundred_nodes_stay_within_limits_of_traffic_and_time() {
    let mut simulation = Simulation::listed(NODES, 1, ReplicaTuning::default());
    simulation.run_for(Duration::from_secs(5));
    let first = roll(None, bundle(1, 0..TARGETS, 4), 1);
    simulation.store.put_roll(&first);
    print(
        "first roll, full copies",
        &cost_until(&mut simulation, Sequence(1)),
    );

    let idle_time = Duration::from_secs(60);
    let bytes = simulation.bytes;
    simulation.run_for(idle_time);
    let bytes_per_second = (simulation.bytes - bytes) / NODES as u64 / idle_time.as_secs();
    println!("at rest: {bytes_per_second} bytes sent per node and second");
    assert!(bytes_per_second < MAXIMUM_BYTES_PER_NODE_AND_SECOND);

    let small: Roll = roll(Some(&first), bundle(2, 1..TARGETS + 1, 4), 2);
    simulation.store.put_roll(&small);
    print(
        "roll of one target",
        &cost_until(&mut simulation, Sequence(2)),
    );

    let large = roll(Some(&small), bundle(3, 1..TARGETS + 1, 5), 3);
    simulation.store.put_roll(&large);
    print(
        "roll of all targets",
        &cost_until(&mut simulation, Sequence(3)),
    );
    simulation.assert_never_reverted();
}
