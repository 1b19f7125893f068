//! A hollow node: the replica that a daemon runs, without the data path.

use rand_chacha::ChaCha8Rng;
use woodladder_core::clock::Instant;
use woodladder_core::control::availability::{RunNumber, ServedTarget};
use woodladder_core::control::replica::{Replica, ReplicaSettings, ReplicaTuning};
use woodladder_core::identifier::NodeId;
use woodladder_core::signature::TrustedKeys;

use super::meter::NodeMeter;
use super::size::{DeploymentSize, NodeIndex};

/// A node with what is measured of it.
pub(super) struct HollowNode {
    pub(super) replica: Replica,
    pub(super) meter: NodeMeter,
    /// Runs of the process before this one.
    pub(super) run: u32,
    pub(super) down: bool,
    /// Next wake-up that is queued.
    pub(super) wake_at: Instant,
    /// When the process started.
    pub(super) started_at: Instant,
    /// When it turned ready, or `None` so far.
    pub(super) ready_at: Option<Instant>,
    /// Bytes of its meter when the process started.
    pub(super) bytes_at_start: u64,
    /// Bytes that this run took until it was ready.
    pub(super) bytes_until_ready: u64,
}

/// What all nodes have in common.
pub(super) struct NodeTemplate {
    pub(super) size: DeploymentSize,
    pub(super) trusted: TrustedKeys,
}

impl HollowNode {
    pub(super) fn start(
        template: &NodeTemplate,
        index: NodeIndex,
        run: u32,
        random: ChaCha8Rng,
        now: Instant,
    ) -> Self {
        let settings = ReplicaSettings {
            node: NodeId(((index.0 as u64) << 32) | u64::from(run)),
            role: template.size.role(index),
            locality: index.locality(),
            control: index.control(),
            served: template.size.target(index).map(|target| ServedTarget {
                target,
                run: RunNumber(u64::from(run) + 1),
            }),
            seeds: Vec::new(),
            trusted: template.trusted.clone(),
            tuning: ReplicaTuning::default(),
        };
        Self {
            replica: Replica::new(settings, random, now),
            meter: NodeMeter::default(),
            run,
            down: false,
            wake_at: now,
            started_at: now,
            ready_at: None,
            bytes_at_start: 0,
            bytes_until_ready: 0,
        }
    }
}
