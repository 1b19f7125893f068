//! An agent's report about its own target, and how it refutes wrong reports
//! about that target.

use std::net::SocketAddr;

use crate::control::availability::{Availability, AvailabilityReport, ReportVersion, RunNumber};
use crate::identifier::TargetId;

/// The target that an agent serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServedTarget {
    /// Identifier of the target.
    pub target: TargetId,
    /// Number of the run of the agent's process.
    pub run: RunNumber,
}

/// Result of comparing a received report about the agent's own target with the
/// agent's own report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnReportOutcome {
    /// The received report has the same run, version and availability as the
    /// agent's own report.
    Repeated,
    /// The received report is older than the agent's own report.
    Outdated,
    /// The received report was wrong; the agent has raised the version of its
    /// own report above that of the received one.
    Refuted,
    /// Another process, started later, serves the target now.
    Superseded,
}

/// An agent's report about its own target.
#[derive(Clone, Copy, Debug)]
pub struct OwnAvailability {
    report: AvailabilityReport,
}

impl OwnAvailability {
    /// The first report of an agent that has just started.
    #[must_use]
    pub fn new(served: ServedTarget, control_address: SocketAddr) -> Self {
        Self {
            report: AvailabilityReport {
                target: served.target,
                control_address,
                run: served.run,
                version: ReportVersion::default(),
                availability: Availability::Serving,
            },
        }
    }

    /// The current report.
    #[must_use]
    pub fn report(&self) -> &AvailabilityReport {
        &self.report
    }

    /// Sets the availability and raises the version; returns whether the
    /// availability changed.
    pub fn set_availability(&mut self, availability: Availability) -> bool {
        if self.report.availability == availability {
            return false;
        }
        self.report.availability = availability;
        self.raise_version_above(self.report);
        true
    }

    /// Compares a received report about this agent's target with the agent's
    /// own report. A report with a greater run but the agent's own address is
    /// from an earlier run of the agent, started before the machine's clock was
    /// set back; the agent refutes it.
    pub fn compare(&mut self, received: &AvailabilityReport) -> OwnReportOutcome {
        if self.report.is_same_as(received) {
            return OwnReportOutcome::Repeated;
        }
        if !received.supersedes(&self.report) {
            return OwnReportOutcome::Outdated;
        }
        if received.run > self.report.run && received.control_address != self.report.control_address
        {
            return OwnReportOutcome::Superseded;
        }
        self.raise_version_above(*received);
        OwnReportOutcome::Refuted
    }

    /// Adopts the run of `known` with the next version, or the next run if the
    /// versions are used up.
    fn raise_version_above(&mut self, known: AvailabilityReport) {
        match known.version.0.checked_add(1) {
            Some(version) => {
                self.report.run = known.run;
                self.report.version = ReportVersion(version);
            }
            None => {
                self.report.run = RunNumber(known.run.0.saturating_add(1));
                self.report.version = ReportVersion::default();
            }
        }
    }
}
