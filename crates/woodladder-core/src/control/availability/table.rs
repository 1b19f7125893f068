//! The latest report about each target that a node has received.

use std::net::SocketAddr;

use rustc_hash::FxHashMap;

use crate::clock::Instant;
use crate::control::availability::{Availability, AvailabilityReport, TargetSchedule};
use crate::identifier::TargetId;

/// Largest number of targets in a table.
pub const MAXIMUM_KNOWN_TARGETS: usize = 16 * 1024;

/// Result of merging a report into the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// The report was stored: the table held no report about the target, or an
    /// older one.
    New {
        /// Whether the set of unavailable targets changed.
        unavailable_changed: bool,
    },
    /// The same report is already in the table.
    Repeated,
    /// The report is older than the one in the table, which is returned.
    Outdated(AvailabilityReport),
    /// The table is full and holds no report about the target.
    Full,
}

/// Latest report about each target, and the set of unavailable targets.
#[derive(Clone, Debug, Default)]
pub struct AvailabilityTable {
    reports: FxHashMap<TargetId, AvailabilityReport>,
    targets_by_address: FxHashMap<SocketAddr, TargetId>,
    /// When the agents of unavailable targets are probed again.
    rechecks: TargetSchedule,
    fingerprint: u64,
}

impl AvailabilityTable {
    /// Merges a report into the table. If it makes the target unavailable, the
    /// target's agent is probed again at `recheck`.
    pub fn merge(&mut self, report: AvailabilityReport, recheck: Instant) -> MergeOutcome {
        let known = self.reports.get(&report.target).copied();
        if let Some(known) = known {
            if known.is_same_as(&report) {
                return MergeOutcome::Repeated;
            }
            if !report.supersedes(&known) {
                return MergeOutcome::Outdated(known);
            }
        } else if self.reports.len() >= MAXIMUM_KNOWN_TARGETS {
            return MergeOutcome::Full;
        }
        let was_unavailable = known.is_some_and(|known| known.availability.is_unavailable());
        self.remove_report(report.target);
        self.insert_report(report, recheck);
        MergeOutcome::New {
            unavailable_changed: was_unavailable != report.availability.is_unavailable(),
        }
    }

    /// The report about a target.
    #[must_use]
    pub fn report(&self, target: TargetId) -> Option<&AvailabilityReport> {
        self.reports.get(&target)
    }

    /// The report about the target whose agent has this control address.
    #[must_use]
    pub fn report_at_address(&self, control_address: SocketAddr) -> Option<&AvailabilityReport> {
        self.report(*self.targets_by_address.get(&control_address)?)
    }

    /// The unavailable targets in the order of their next probes.
    pub fn unavailable_targets(&self) -> impl Iterator<Item = TargetId> {
        self.rechecks.targets()
    }

    /// Number of unavailable targets.
    #[must_use]
    pub fn unavailable_count(&self) -> usize {
        self.rechecks.len()
    }

    /// Fingerprint of the reports about unavailable targets; equal at two nodes
    /// that hold the same ones.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// When the next unavailable target's agent is to be probed.
    #[must_use]
    pub fn next_recheck(&self) -> Option<Instant> {
        self.rechecks.next_due()
    }

    /// The report about an unavailable target whose agent is due for a probe;
    /// sets the next probe to `again`.
    pub fn take_due_recheck(&mut self, now: Instant, again: Instant) -> Option<AvailabilityReport> {
        let target = self.rechecks.take_due(now)?;
        self.rechecks.set(target, again);
        self.reports.get(&target).copied()
    }

    /// Removes the targets for which `keeps` returns false; returns whether an
    /// unavailable target was among them.
    pub fn retain(&mut self, keeps: impl Fn(TargetId) -> bool) -> bool {
        let known = self.reports.keys().copied();
        let removed: Vec<TargetId> = known.filter(|target| !keeps(*target)).collect();
        let previous_count = self.unavailable_count();
        for target in removed {
            self.remove_report(target);
        }
        self.unavailable_count() != previous_count
    }

    /// Whether the table has no room for further targets.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.reports.len() >= MAXIMUM_KNOWN_TARGETS
    }

    fn insert_report(&mut self, report: AvailabilityReport, recheck: Instant) {
        self.fingerprint ^= report.fingerprint();
        self.targets_by_address
            .insert(report.control_address, report.target);
        self.reports.insert(report.target, report);
        match report.availability {
            Availability::Serving => {}
            Availability::Leaving | Availability::Unreachable => {
                self.rechecks.set(report.target, recheck);
            }
        }
    }

    fn remove_report(&mut self, target: TargetId) {
        let Some(known) = self.reports.remove(&target) else {
            return;
        };
        self.fingerprint ^= known.fingerprint();
        self.rechecks.remove(target);
        if self.targets_by_address.get(&known.control_address) == Some(&target) {
            self.targets_by_address.remove(&known.control_address);
        }
    }
}
