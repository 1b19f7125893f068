//! The latest report about each target that a node has heard.

use std::net::SocketAddr;

use rustc_hash::FxHashMap;

use crate::clock::Instant;
use crate::control::availability::{Availability, AvailabilityReport, Schedule};
use crate::identifier::TargetId;

/// Targets that a table holds at most.
pub const MAXIMUM_KNOWN_TARGETS: usize = 16 * 1024;

/// What a report amounts to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Learned {
    /// It is new; `marks_changed` when other targets take new flows now.
    New {
        /// Whether the set of marked targets changed.
        marks_changed: bool,
    },
    /// It was known.
    Known,
    /// It is older than this one.
    Outdated(AvailabilityReport),
    /// The table is full.
    Full,
}

/// Latest reports by target, and the marked targets: those whose report turns
/// new flows away.
#[derive(Clone, Debug, Default)]
pub struct AvailabilityTable {
    reports: FxHashMap<TargetId, AvailabilityReport>,
    targets: FxHashMap<SocketAddr, TargetId>,
    /// When a marked target's agent is probed again.
    rechecks: Schedule,
    fingerprint: u64,
}

impl AvailabilityTable {
    /// Takes a report in; a target that it marks is probed at `recheck`.
    pub fn learn(&mut self, report: AvailabilityReport, recheck: Instant) -> Learned {
        let known = self.reports.get(&report.target).copied();
        if let Some(known) = known {
            if known.repeats(&report) {
                return Learned::Known;
            }
            if !report.supersedes(&known) {
                return Learned::Outdated(known);
            }
        } else if self.reports.len() >= MAXIMUM_KNOWN_TARGETS {
            return Learned::Full;
        }
        let diverted = known.is_some_and(|known| known.availability.diverts());
        self.forget(report.target);
        self.put(report, recheck);
        Learned::New {
            marks_changed: diverted != report.availability.diverts(),
        }
    }

    /// The report about a target.
    #[must_use]
    pub fn report(&self, target: TargetId) -> Option<&AvailabilityReport> {
        self.reports.get(&target)
    }

    /// The report about the target whose agent has this control address.
    #[must_use]
    pub fn report_at(&self, control_address: SocketAddr) -> Option<&AvailabilityReport> {
        self.report(*self.targets.get(&control_address)?)
    }

    /// The marked targets, by the instants of their next probes.
    pub fn marked(&self) -> impl Iterator<Item = TargetId> {
        self.rechecks.targets()
    }

    /// How many targets are marked.
    #[must_use]
    pub fn marked_count(&self) -> usize {
        self.rechecks.len()
    }

    /// Hash over the marks; equal at two nodes that hold the same ones.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// When the next marked target is due for a probe.
    #[must_use]
    pub fn next_recheck(&self) -> Option<Instant> {
        self.rechecks.next()
    }

    /// A marked target that is due, with its next probe set to `again`.
    pub fn take_recheck(&mut self, now: Instant, again: Instant) -> Option<AvailabilityReport> {
        let target = self.rechecks.take_due(now)?;
        self.rechecks.set(target, again);
        self.reports.get(&target).copied()
    }

    /// Forgets the targets for which `keeps` is false; true when one of them
    /// was marked.
    pub fn retain(&mut self, keeps: impl Fn(TargetId) -> bool) -> bool {
        let known = self.reports.keys().copied();
        let lost: Vec<TargetId> = known.filter(|target| !keeps(*target)).collect();
        let marked = self.marked_count();
        for target in lost {
            self.forget(target);
        }
        self.marked_count() != marked
    }

    /// Whether no further target can be taken in.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.reports.len() >= MAXIMUM_KNOWN_TARGETS
    }

    fn put(&mut self, report: AvailabilityReport, recheck: Instant) {
        self.fingerprint ^= report.fingerprint();
        self.targets.insert(report.control_address, report.target);
        self.reports.insert(report.target, report);
        match report.availability {
            Availability::Serving => {}
            Availability::Leaving | Availability::Unreachable => {
                self.rechecks.set(report.target, recheck);
            }
        }
    }

    fn forget(&mut self, target: TargetId) {
        let Some(known) = self.reports.remove(&target) else {
            return;
        };
        self.fingerprint ^= known.fingerprint();
        self.rechecks.remove(target);
        if self.targets.get(&known.control_address) == Some(&target) {
            self.targets.remove(&known.control_address);
        }
    }
}
