//! Spreads what is known of targets' agents, and tells the data path which
//! targets are to get no new flows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng as _;
use rustc_hash::FxHashSet;

use crate::clock::Instant;
use crate::control::availability::{
    Availability, AvailabilityReport, AvailabilityTable, MergeOutcome, OwnAvailability,
    OwnReportOutcome, ReportQueue,
};
use crate::control::control_message::{
    AvailabilityReports, ControlMessage, DigestMessage, MAXIMUM_REPORTS_PER_MESSAGE,
};
use crate::control::replica::pace::Pace;
use crate::control::replica::probing::Probing;
use crate::control::replica::store_reader::jittered;
use crate::control::replica::{Replica, ReplicaAction, ReplicaSettings};
use crate::identifier::TargetId;
use crate::packets::routing_table::TargetStatus;

/// Times that a node passes on what it learned from others.
const RELAY_SENDS: u8 = 2;
/// Times that a node passes on what it says itself.
const ANNOUNCEMENT_SENDS: u8 = 4;
/// Nodes that each of these goes to.
const FANOUT: usize = 4;
/// Longest time for which a node gathers news before it passes them on.
const GATHERING_TIME: Duration = Duration::from_millis(50);
/// Mean time until the same news are passed on again.
const REPEAT_TIME: Duration = Duration::from_millis(400);
/// Time until news are tried again that could not be passed on.
const RETRY_TIME: Duration = Duration::from_millis(300);
/// Least time between two directories for the data path.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a marked target's agent is probed again: between this and
/// this with the spread.
const RECHECK_TIME: Duration = Duration::from_secs(20);
const RECHECK_SPREAD: Duration = Duration::from_secs(10);

/// What a replica knows of targets' agents.
#[derive(Clone, Debug)]
pub(super) struct AvailabilityState {
    pub(super) own: Option<OwnAvailability>,
    pub(super) table: AvailabilityTable,
    pub(super) probing: Probing,
    pub(super) pace: Pace,
    report_queue: ReportQueue,
    refreshed: Instant,
    refresh_at: Option<Instant>,
}

impl AvailabilityState {
    pub(super) fn new(settings: &ReplicaSettings, now: Instant) -> Self {
        let own = settings.served_target;
        let own = own.map(|served| OwnAvailability::new(served, settings.control_address));
        let mut report_queue = ReportQueue::default();
        if let Some(own) = &own {
            report_queue.add(own.report().target, ANNOUNCEMENT_SENDS, now);
        }
        Self {
            own,
            table: AvailabilityTable::default(),
            probing: Probing::default(),
            pace: Pace::new(settings.tuning.report_bytes_per_second, now),
            report_queue,
            refreshed: now,
            refresh_at: None,
        }
    }

    pub(super) fn next_wakeup(&self) -> Option<Instant> {
        let wakeups = [
            self.report_queue.next_due(),
            self.table.next_recheck(),
            self.probing.next_wakeup(),
            self.refresh_at,
        ];
        wakeups.into_iter().flatten().min()
    }

    /// Fingerprint of the marks, the own one included.
    pub(super) fn fingerprint(&self) -> u64 {
        let own = self.own.as_ref();
        self.table.fingerprint() ^ own.map_or(0, |own| own.report().fingerprint())
    }

    /// Targets that are to get no new flows.
    fn marked(&self) -> impl Iterator<Item = TargetId> {
        let own = self.own.iter().map(OwnAvailability::report);
        let own = own.filter(|own| own.availability.is_unavailable());
        self.table
            .unavailable_targets()
            .chain(own.map(|own| own.target))
    }

    fn report(&self, target: TargetId) -> Option<AvailabilityReport> {
        let own = self.own.iter().map(OwnAvailability::report);
        let mut own = own.filter(|own| own.target == target);
        own.next().or_else(|| self.table.report(target)).copied()
    }

    fn marks_changed(&mut self, now: Instant) {
        let at = now.max(self.refreshed + REFRESH_INTERVAL);
        self.refresh_at.get_or_insert(at);
    }
}

impl Replica {
    /// Targets that are known to take no new flows, the own one included.
    #[must_use]
    pub fn unavailable_target_count(&self) -> usize {
        self.availability.marked().count()
    }

    /// Whether a target is known to take no new flows.
    #[must_use]
    pub fn is_marked(&self, target: TargetId) -> bool {
        self.availability.marked().any(|marked| marked == target)
    }

    /// Says of the own target whether it takes new flows.
    pub(super) fn announce(&mut self, availability: Availability, now: Instant) {
        let Some(own) = &mut self.availability.own else {
            return;
        };
        if !own.set_availability(availability) {
            return;
        }
        let target = own.report().target;
        self.availability
            .report_queue
            .add(target, ANNOUNCEMENT_SENDS, now);
        self.availability.marks_changed(now);
    }

    /// Takes reports that another node passed on.
    pub(super) fn handle_reports(
        &mut self,
        from: SocketAddr,
        batch: &AvailabilityReports,
        now: Instant,
    ) {
        let reports = batch.reports.iter();
        let newer: Vec<AvailabilityReport> = reports
            .filter_map(|report| self.take_report(*report, now))
            .collect();
        self.send_reports(from, newer, now);
    }

    /// Takes what a digest message says of its sender's target and marks.
    pub(super) fn compare_marks(&mut self, from: SocketAddr, digest: &DigestMessage, now: Instant) {
        let own = digest.own_report;
        let own = own.filter(|own| own.control_address == digest.sender.control_address);
        let mut differing: Vec<AvailabilityReport> = own
            .and_then(|own| self.take_report(own, now))
            .into_iter()
            .collect();
        if digest.unavailable_fingerprint != self.availability.fingerprint() {
            differing.extend(self.some_marks());
            differing.truncate(MAXIMUM_REPORTS_PER_MESSAGE);
        }
        self.send_reports(from, differing, now);
    }

    /// Calls a target's agent unreachable.
    pub(super) fn accuse(&mut self, target: TargetId, now: Instant) {
        let Some(known) = self.availability.table.report(target) else {
            return;
        };
        let report = AvailabilityReport {
            availability: Availability::Unreachable,
            ..*known
        };
        self.counters.agents_declared_unreachable += 1;
        self.learn(report, ANNOUNCEMENT_SENDS, now);
    }

    /// Forgets what is known of targets that the roll in force removed.
    pub(super) fn forget_removed_targets(&mut self) {
        let Some(installed) = &self.installed else {
            return;
        };
        let directory = &installed.directory;
        let table = &mut self.availability.table;
        let marked: FxHashSet<TargetId> = table.unavailable_targets().collect();
        let full = table.is_full();
        table.retain(|target| match directory.target(target) {
            Some(entry) => entry.status != TargetStatus::Retired,
            None => !full && !marked.contains(&target),
        });
    }

    /// Does what is due.
    pub(super) fn run_availability(&mut self, now: Instant) {
        self.run_probing(now);
        self.run_rechecks(now);
        self.run_rumors(now);
        if self.availability.refresh_at.is_some_and(|at| at <= now) {
            self.refresh(now);
        }
    }

    /// Gives the data path a directory with the marks as they are.
    pub(super) fn refresh(&mut self, now: Instant) {
        self.availability.refresh_at = None;
        self.availability.refreshed = now;
        let Some(installed) = &self.installed else {
            return;
        };
        let marked: FxHashSet<TargetId> = self.availability.marked().collect();
        let own = self.settings.served_target.map(|served| served.target);
        let directory = installed.directory.with_unavailable(&marked, own);
        self.actions
            .push(ReplicaAction::ReplaceDirectory(Arc::new(directory)));
    }

    /// Takes a report; returns a newer one when there is one.
    fn take_report(
        &mut self,
        report: AvailabilityReport,
        now: Instant,
    ) -> Option<AvailabilityReport> {
        if let Some(own) = &mut self.availability.own
            && own.report().target == report.target
        {
            let hearing = own.compare(&report);
            let own = *own.report();
            return self.answer_hearing(hearing, own, now);
        }
        if report.availability.is_unavailable() && !self.may_be_marked(report.target) {
            return None;
        }
        match self.learn(report, RELAY_SENDS, now) {
            MergeOutcome::Outdated(known) => Some(known),
            MergeOutcome::New { .. } | MergeOutcome::Repeated | MergeOutcome::Full => None,
        }
    }

    fn answer_hearing(
        &mut self,
        hearing: OwnReportOutcome,
        own: AvailabilityReport,
        now: Instant,
    ) -> Option<AvailabilityReport> {
        match hearing {
            OwnReportOutcome::Repeated | OwnReportOutcome::Superseded => None,
            OwnReportOutcome::Outdated => Some(own),
            OwnReportOutcome::Refuted => {
                self.counters.own_reports_refuted += 1;
                self.availability
                    .report_queue
                    .add(own.target, ANNOUNCEMENT_SENDS, now);
                Some(own)
            }
        }
    }

    /// Marks matter only for targets of the bundle in force.
    fn may_be_marked(&self, target: TargetId) -> bool {
        let Some(installed) = &self.installed else {
            return true;
        };
        let entry = installed.directory.target(target);
        entry.is_some_and(|entry| entry.status != TargetStatus::Retired)
    }

    fn learn(&mut self, report: AvailabilityReport, sends: u8, now: Instant) -> MergeOutcome {
        if self.availability.table.is_full() {
            self.forget_removed_targets();
        }
        let recheck = now + self.recheck_time();
        let learned = self.availability.table.merge(report, recheck);
        if let MergeOutcome::New {
            unavailable_changed,
        } = learned
        {
            let due = now + jittered(GATHERING_TIME / 2, &mut self.random);
            self.availability
                .report_queue
                .add(report.target, sends, due);
            if unavailable_changed {
                self.availability.marks_changed(now);
            }
        }
        learned
    }

    fn run_rechecks(&mut self, now: Instant) {
        loop {
            let again = now + self.recheck_time();
            let Some(report) = self.availability.table.take_due_recheck(now, again) else {
                return;
            };
            self.probe_again(report.control_address, now);
        }
    }

    fn run_rumors(&mut self, now: Instant) {
        if self
            .availability
            .report_queue
            .next_due()
            .is_none_or(|next| next > now)
        {
            return;
        }
        let due = self
            .availability
            .report_queue
            .take_due(MAXIMUM_REPORTS_PER_MESSAGE, now);
        let reports = due.iter();
        let reports: Vec<AvailabilityReport> = reports
            .filter_map(|target| self.availability.report(*target))
            .collect();
        let mut sent = false;
        for control_address in self.members.pick(FANOUT, &mut self.random) {
            sent |= self.send_reports(control_address, reports.clone(), now);
        }
        for target in due {
            if sent {
                let again = now + jittered(REPEAT_TIME, &mut self.random);
                self.availability.report_queue.record_sent(target, again);
            } else {
                self.availability
                    .report_queue
                    .postpone(target, now + RETRY_TIME);
            }
        }
    }

    /// Sends reports if there are any and the rate allows for it.
    fn send_reports(
        &mut self,
        to: SocketAddr,
        reports: Vec<AvailabilityReport>,
        now: Instant,
    ) -> bool {
        if reports.is_empty() {
            return false;
        }
        let message = ControlMessage::AvailabilityReports(AvailabilityReports { reports });
        let length = message.datagram_length();
        if !self.availability.pace.take(length, now) {
            return false;
        }
        self.counters.report_bytes_sent += length as u64;
        self.send(to, message);
        true
    }

    /// Marks from a random place in their order, as many as a message carries.
    fn some_marks(&mut self) -> Vec<AvailabilityReport> {
        let marked: Vec<TargetId> = self.availability.marked().collect();
        if marked.is_empty() {
            return Vec::new();
        }
        let start = self.random.random_range(0..marked.len());
        let from_start = marked[start..].iter().chain(&marked[..start]);
        let some = from_start.take(MAXIMUM_REPORTS_PER_MESSAGE);
        some.filter_map(|target| self.availability.report(*target))
            .collect()
    }

    fn recheck_time(&mut self) -> Duration {
        RECHECK_TIME + RECHECK_SPREAD.mul_f64(self.random.random_range(0.0..1.0))
    }
}
