//! What a course of events cost.

use std::time::Duration;

use serde::Serialize;
use woodladder_core::clock::Instant;

use super::meter::NodeMeter;
use super::scenario::Scenario;
use super::size::DeploymentSize;
use super::trace::{Durations, Spread};
use super::world::World;

/// Figures of one course.
#[derive(Clone, Debug, Serialize)]
pub struct ScenarioFigures {
    /// The course.
    pub scenario: Scenario,
    /// Virtual seconds that it took, settling included.
    pub virtual_seconds: f64,
    /// Rolls accepted in it.
    pub rolls: u64,
    /// Bytes a second of the mean node, sent and received, headers included.
    pub bytes_per_second: f64,
    /// Bytes a second among them of readings of the machine list.
    pub list_bytes_per_second: f64,
    /// Bytes a second of the node with most.
    pub greatest_bytes_per_second: f64,
    /// Datagrams a second of the mean node, sent and received.
    pub messages_per_second: f64,
    /// Share of a core of the mean node.
    pub processor_share: f64,
    /// Share of a core of the node with most.
    pub greatest_processor_share: f64,
    /// Reads a second of the key-value service by all nodes that it answered.
    pub store_reads_per_second: f64,
    /// Reads that the key-value service refused for its rate limit.
    pub store_reads_refused: u64,
    /// Seconds from a roll's acceptance until it is in force, over all nodes
    /// that ran and rolls; rolls from before the end of a cut only at nodes
    /// that had them before it.
    pub in_force: Spread,
    /// Seconds from the end of a cut until an earlier roll is in force, over
    /// the nodes that were cut off.
    pub caught_up: Spread,
    /// Seconds from a process's start until it is ready.
    pub ready: Spread,
    /// Bytes that a starting node takes until it is ready, mean.
    pub bytes_until_ready: f64,
    /// Seconds until every node had the last roll after the course's last
    /// event; `None` when that took too long.
    pub settled_after: Option<f64>,
    /// Nodes ready at the end of an outage, and nodes up then.
    pub served_in_outage: Option<Served>,
}

/// Nodes that serve among those that run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Served {
    /// Nodes that are ready.
    pub ready: usize,
    /// Nodes that run.
    pub up: usize,
}

/// Figures of one deployment.
#[derive(Clone, Debug, Serialize)]
pub struct DeploymentFigures {
    /// Its size.
    pub size: DeploymentSize,
    /// Length of a snapshot's encoding in bytes.
    pub snapshot_length: u32,
    /// Resident memory of a node in bytes after the start: the process's
    /// growth, over all nodes.
    pub resident_per_node: u64,
    /// The same after all courses.
    pub resident_per_node_at_end: u64,
    /// Figures by course.
    pub scenarios: Vec<ScenarioFigures>,
}

/// The time over which a course is measured.
pub(super) struct Window {
    begin: Instant,
    rolls: u64,
    reads: u64,
    refused: u64,
    settled_after: Option<Duration>,
    served: Option<Served>,
}

impl Window {
    /// Begins to measure; counts from before are dropped.
    pub(super) fn open(world: &mut World) -> Self {
        for node in &mut world.nodes {
            node.meter = NodeMeter::default();
        }
        world.in_force = Durations::new();
        world.caught_up = Durations::new();
        world.ready = Durations::new();
        Self {
            begin: world.now,
            rolls: world.last_sequence().0,
            reads: world.store.reads,
            refused: world.store.refused,
            settled_after: None,
            served: None,
        }
    }

    /// Takes note of who serves at the end of an outage.
    pub(super) fn note_outage(&mut self, world: &World) {
        self.served = Some(Served {
            ready: world.up().filter(|node| node.replica.is_ready()).count(),
            up: world.up().count(),
        });
    }

    /// Waits until every node has the last roll.
    pub(super) fn settle(&mut self, world: &mut World, limit: Duration) {
        self.settled_after = world.run_until_settled(limit);
    }

    #[allow(clippy::cast_precision_loss)]
    pub(super) fn close(self, scenario: Scenario, world: &World) -> ScenarioFigures {
        let seconds = world.now.since(self.begin).as_secs_f64().max(f64::EPSILON);
        let meters: Vec<NodeMeter> = world.up().map(|node| node.meter).collect();
        let count = meters.len().max(1) as f64;
        let bytes = meters.iter().map(|meter| meter.bytes as f64);
        let list_bytes = meters.iter().map(|meter| meter.list_bytes as f64);
        let processor = meters.iter().map(|meter| meter.processor.as_secs_f64());
        let messages = meters.iter().map(|meter| meter.messages as f64);
        ScenarioFigures {
            scenario,
            virtual_seconds: seconds,
            rolls: world.last_sequence().0 - self.rolls,
            bytes_per_second: bytes.clone().sum::<f64>() / count / seconds,
            list_bytes_per_second: list_bytes.sum::<f64>() / count / seconds,
            greatest_bytes_per_second: bytes.fold(0.0, f64::max) / seconds,
            messages_per_second: messages.sum::<f64>() / count / seconds,
            processor_share: processor.clone().sum::<f64>() / count / seconds,
            greatest_processor_share: processor.fold(0.0, f64::max) / seconds,
            store_reads_per_second: (world.store.reads - self.reads) as f64 / seconds,
            store_reads_refused: world.store.refused - self.refused,
            in_force: world.in_force.spread(),
            caught_up: world.caught_up.spread(),
            ready: world.ready.spread(),
            bytes_until_ready: bytes_until_ready(world, self.begin),
            settled_after: self.settled_after.map(|time| time.as_secs_f64()),
            served_in_outage: self.served,
        }
    }
}

/// Mean over the nodes that started since `begin`.
#[allow(clippy::cast_precision_loss)]
fn bytes_until_ready(world: &World, begin: Instant) -> f64 {
    let started = world.up().filter(|node| node.started_at >= begin);
    let bytes: Vec<u64> = started
        .filter(|node| node.ready_at.is_some())
        .map(|node| node.bytes_until_ready)
        .collect();
    bytes.iter().sum::<u64>() as f64 / bytes.len().max(1) as f64
}
