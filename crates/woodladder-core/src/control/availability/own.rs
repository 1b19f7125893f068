//! What an agent says of itself, and its answer to what others say of it.

use std::net::SocketAddr;

use crate::control::availability::{Availability, AvailabilityReport, ReportVersion, RunNumber};
use crate::identifier::TargetId;

/// The target that an agent stands beside.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServedTarget {
    /// The target.
    pub target: TargetId,
    /// Run of the agent's process.
    pub run: RunNumber,
}

/// What a report about the own target amounts to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hearing {
    /// It repeats what the agent says itself.
    Known,
    /// It is older than what the agent says now.
    Outdated,
    /// It was wrong, and the agent has raised its version.
    Refuted,
    /// A later process serves the target.
    Replaced,
}

/// An agent's report about itself.
#[derive(Clone, Copy, Debug)]
pub struct OwnAvailability {
    report: AvailabilityReport,
}

impl OwnAvailability {
    /// The report of an agent that has just started.
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

    /// The report as it is now.
    #[must_use]
    pub fn report(&self) -> &AvailabilityReport {
        &self.report
    }

    /// Changes what the agent says of itself; true when it said otherwise.
    pub fn set(&mut self, availability: Availability) -> bool {
        if self.report.availability == availability {
            return false;
        }
        self.report.availability = availability;
        self.rise_above(self.report);
        true
    }

    /// Takes note of a report about the own target. A run that is later than
    /// the own one and has the own address comes from before a clock was set
    /// back.
    pub fn hear(&mut self, heard: &AvailabilityReport) -> Hearing {
        if self.report.repeats(heard) {
            return Hearing::Known;
        }
        if !heard.supersedes(&self.report) {
            return Hearing::Outdated;
        }
        if heard.run > self.report.run && heard.control_address != self.report.control_address {
            return Hearing::Replaced;
        }
        self.rise_above(*heard);
        Hearing::Refuted
    }

    /// Takes the version that follows, or the run when versions are used up.
    fn rise_above(&mut self, known: AvailabilityReport) {
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
