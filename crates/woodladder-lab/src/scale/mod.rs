//! Cost of the control traffic at scale, with hollow nodes: the replicas and
//! codecs that the daemons run, many in one process, on a virtual clock.

mod figures;
mod flows;
mod meter;
mod network;
mod node;
mod queue;
mod report;
mod roller;
mod scenario;
mod size;
mod slopes;
mod sockets;
mod store;
mod trace;
mod world;

pub use figures::{DeploymentFigures, ScenarioFigures, Served};
pub use flows::{FlowFigures, measure_flows};
pub use scenario::{Courses, Scenario};
pub use size::{DeploymentSize, NodeIndex};
pub use slopes::Slopes;
pub use sockets::{SocketFigures, measure_sockets};
pub use trace::Spread;

use std::time::Duration;

use world::World;

/// Time after the start in which agents' announcements die down, so that they
/// do not count as steady traffic.
const REST: Duration = Duration::from_secs(60);

/// Takes a deployment through courses of events and measures each.
#[must_use]
pub fn measure(
    size: DeploymentSize,
    seed: u64,
    scenarios: &[Scenario],
    courses: &Courses,
) -> DeploymentFigures {
    let resident_before = meter::resident_memory();
    let mut world = World::start(size, seed);
    let start = Scenario::Start.run(&mut world, courses);
    let resident = meter::resident_memory().saturating_sub(resident_before);
    let mut figures = DeploymentFigures {
        size,
        snapshot_length: world.snapshot_length(),
        resident_per_node: resident / world.nodes.len().max(1) as u64,
        resident_per_node_at_end: 0,
        scenarios: vec![start],
    };
    world.run_for(REST);
    for scenario in scenarios {
        if *scenario != Scenario::Start {
            figures.scenarios.push(scenario.run(&mut world, courses));
        }
    }
    let resident = meter::resident_memory().saturating_sub(resident_before);
    figures.resident_per_node_at_end = resident / world.nodes.len().max(1) as u64;
    figures
}
