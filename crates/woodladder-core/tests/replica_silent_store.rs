//! A roll is in force in time although the open connections to the key-value service carry
//! nothing any more.

mod control_simulation;

use std::ops::Range;
use std::time::Duration;

use control_simulation::fixture::{Roll, bundle, roll};
use control_simulation::network::Simulation;
use woodladder_core::control::replica::ReplicaTuning;
use woodladder_core::identifier::Sequence;

const ROLLOUT_LIMIT: Duration = Duration::from_secs(11);
/// Time between two silences, in which the nodes are at rest again.
const REST: Duration = Duration::from_secs(63);
const SILENCES: u64 = 10;
const SEEDS: Range<u64> = 0..8;
/// Numbers of nodes: alone, watching, too many to watch, and those of which nearly each read
/// finds a connection that the client has kept.
const FLEETS: [usize; 6] = [1, 2, 8, 17, 40, 50];

fn next_roll(last: Option<&Roll>, version: u64) -> Roll {
    let nonce = u8::try_from(version).expect("few rolls");
    roll(last, bundle(version, 0..4, 4), nonce)
}

/// Longest time from a roll to its being in force everywhere, when all connections to the store
/// go silent just before each roll.
fn longest_time_in_force(nodes: usize, seed: u64) -> Duration {
    let mut simulation = Simulation::listed(nodes, seed, ReplicaTuning::default());
    let mut last = next_roll(None, 1);
    simulation.store.put_roll(&last);
    let mut longest = Duration::ZERO;
    for version in 2..2 + SILENCES {
        simulation.run_for(REST);
        assert!(simulation.all_have_in_force(Sequence(version - 1)));
        last = next_roll(Some(&last), version);
        simulation.silence_store_connections();
        simulation.store.put_roll(&last);
        let since = simulation.now;
        let in_force = |simulation: &Simulation| simulation.all_have_in_force(Sequence(version));
        assert!(simulation.run_until(REST, in_force));
        longest = longest.max(simulation.now.since(since));
    }
    longest
}

/// Longest time of several simulations.
fn longest_of_seeds(nodes: usize) -> Duration {
    let times = SEEDS.map(|seed| longest_time_in_force(nodes, seed));
    times.max().unwrap_or_default()
}

/// Guards against nodes that wait on silent connections, one after the other. No operator's
/// command tells the nodes of the roll here: they learn it from the service, or from a node
/// that has read it there.
#[test]
fn a_roll_is_in_force_in_time_after_all_store_connections_have_gone_silent() {
    let handles = FLEETS.map(|nodes| std::thread::spawn(move || longest_of_seeds(nodes)));
    for (nodes, handle) in FLEETS.into_iter().zip(handles) {
        let longest = handle.join().expect("simulated");
        println!("figures: {nodes} nodes, {longest:?}");
        assert!(longest < ROLLOUT_LIMIT, "{nodes} nodes: {longest:?}");
    }
}
