//! The rolls of a run, laid out for routing.

use std::collections::BTreeMap;
use std::sync::Arc;

use woodladder_core::clock::Instant;
use woodladder_core::identifier::{Sequence, ServiceId, TargetId};
use woodladder_core::packets::hop_list::Candidate;
use woodladder_core::packets::router::Router;
use woodladder_core::packets::routing_table::RoutingTable;
use woodladder_core::target::admission::AdmissionOptions;

use super::model_keys;
use super::target::TargetModel;
use crate::measure::change::Schedule;
use crate::measure::deployment::{Deployment, follow};

/// One roll, laid out for routing.
pub(super) struct Version {
    pub(super) directory: Arc<RoutingTable>,
    pub(super) router: Router,
}

impl Version {
    /// The candidates of a service for new flows.
    pub(super) fn candidates(&self, service: ServiceId) -> &[Candidate] {
        let entry = self.directory.service(service);
        entry.map_or(&[], |entry| &entry.candidates)
    }

    /// Whether a target takes new flows.
    pub(super) fn is_active(&self, target: TargetId) -> bool {
        let entry = self.directory.target(target);
        entry.is_some_and(|entry| entry.status.takes_new_flows())
    }
}

/// Lays all rolls out.
pub(super) fn build(deployment: &Deployment, schedule: &Schedule, hops: usize) -> Vec<Version> {
    let mut versions = Vec::new();
    let mut snapshot = None;
    let mut sequence = Sequence::default();
    for roll in &schedule.rolls {
        sequence = sequence.next();
        let signed = deployment.bundle(sequence.0, roll.targets.clone());
        let Some((next, directory)) = follow(snapshot.as_ref(), signed, sequence) else {
            continue;
        };
        snapshot = Some(next);
        let router = Router::new(directory.clone(), model_keys(), hops);
        versions.push(Version { directory, router });
    }
    versions
}

/// Every target that is ever in a bundle; those that a later roll adds start
/// cold at that roll.
pub(super) fn all_targets(schedule: &Schedule, options: AdmissionOptions) -> Vec<TargetModel> {
    let mut models = BTreeMap::new();
    for roll in &schedule.rolls {
        let cold_since = Some(roll.at).filter(|at| *at > Instant::ORIGIN);
        for target in &roll.targets {
            models
                .entry(target.id)
                .or_insert_with(|| TargetModel::new(target, model_keys(), options, cold_since));
        }
    }
    models.into_values().collect()
}
