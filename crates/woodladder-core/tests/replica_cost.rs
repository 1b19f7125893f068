//! What 300 replicas cost and how fast a roll is in force, on the virtual
//! clock. Run with `--nocapture` to see the figures.

mod control_world;

use std::time::Duration;

use control_world::fixture::{Roll, bundle, roll};
use control_world::network::World;
use woodladder_core::control::replica::ReplicaTuning;
use woodladder_core::identifier::Sequence;

const NODES: usize = 300;
const TARGETS: u32 = 630;
const LIMIT: Duration = Duration::from_secs(11);
const BYTES_PER_NODE_AND_SECOND: u64 = 7_000;

#[derive(Debug)]
struct Cost {
    messages: u64,
    bytes: u64,
    time: Duration,
}

/// Runs until all nodes have the sequence.
fn cost_until(world: &mut World, sequence: Sequence) -> Cost {
    let (messages, bytes, start) = (world.messages, world.bytes, world.now);
    assert!(world.run_until(LIMIT, |world| world.all_have(sequence)));
    Cost {
        messages: world.messages - messages,
        bytes: world.bytes - bytes,
        time: world.now.since(start),
    }
}

fn print(name: &str, cost: &Cost) {
    println!(
        "{name}: {} messages and {} bytes sent by {NODES} nodes in {:?}",
        cost.messages, cost.bytes, cost.time
    );
}

#[test]
fn three_hundred_nodes_stay_within_their_budget() {
    let mut world = World::listed(NODES, 1, ReplicaTuning::default());
    world.run_for(Duration::from_secs(5));
    let first = roll(None, bundle(1, 0..TARGETS, 4), 1);
    world.store.put_roll(&first);
    print(
        "first roll, full copies",
        &cost_until(&mut world, Sequence(1)),
    );

    let quiet = Duration::from_secs(60);
    let bytes = world.bytes;
    world.run_for(quiet);
    let rate = (world.bytes - bytes) / NODES as u64 / quiet.as_secs();
    println!("at rest: {rate} bytes sent per node and second");
    assert!(rate < BYTES_PER_NODE_AND_SECOND);

    let small: Roll = roll(Some(&first), bundle(2, 1..TARGETS + 1, 4), 2);
    world.store.put_roll(&small);
    print("roll of one target", &cost_until(&mut world, Sequence(2)));

    let large = roll(Some(&small), bundle(3, 1..TARGETS + 1, 5), 3);
    world.store.put_roll(&large);
    print("roll of all targets", &cost_until(&mut world, Sequence(3)));
    world.assert_never_reverted();
}
