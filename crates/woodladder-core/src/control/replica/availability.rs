//! Spreads availability reports among nodes, and supplies the data path with a
//! routing table without the unavailable targets.

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
use crate::control::replica::probing::Probing;
use crate::control::replica::store_reader::jittered;
use crate::control::replica::token_bucket::TokenBucket;
use crate::control::replica::{Replica, ReplicaAction, ReplicaSettings};
use crate::identifier::TargetId;
use crate::packets::routing_table::TargetStatus;

/// How many times a node sends a report that it received.
const RECEIVED_REPORT_SENDS: u8 = 2;
/// How many times a node sends a report of its own.
const OWN_REPORT_SENDS: u8 = 4;
/// Number of nodes to which a report is sent each time.
const REPORT_FANOUT: usize = 4;
/// Longest time for which a node collects reports before it sends them.
const BATCHING_TIME: Duration = Duration::from_millis(50);
/// Mean time until the same report is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(400);
/// Delay before reports that could not be sent are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Least time between two routing tables for the data path.
const MINIMUM_ROUTING_TABLE_INTERVAL: Duration = Duration::from_millis(100);
/// The agent of an unavailable target is probed again after this time plus a
/// random part of [`RECHECK_DELAY_SPREAD`].
const MINIMUM_RECHECK_DELAY: Duration = Duration::from_secs(20);
const RECHECK_DELAY_SPREAD: Duration = Duration::from_secs(10);

/// Availability of targets as a replica knows it.
#[derive(Clone, Debug)]
pub(super) struct AvailabilityState {
    pub(super) own: Option<OwnAvailability>,
    pub(super) table: AvailabilityTable,
    pub(super) probing: Probing,
    pub(super) report_bucket: TokenBucket,
    report_queue: ReportQueue,
    last_routing_table_at: Instant,
    next_routing_table_at: Option<Instant>,
}

impl AvailabilityState {
    pub(super) fn new(settings: &ReplicaSettings, now: Instant) -> Self {
        let own = settings.served_target;
        let own = own.map(|served| OwnAvailability::new(served, settings.control_address));
        let mut report_queue = ReportQueue::default();
        if let Some(own) = &own {
            report_queue.add(own.report().target, OWN_REPORT_SENDS, now);
        }
        Self {
            own,
            table: AvailabilityTable::default(),
            probing: Probing::default(),
            report_bucket: TokenBucket::new(settings.tuning.report_bytes_per_second, now),
            report_queue,
            last_routing_table_at: now,
            next_routing_table_at: None,
        }
    }

    pub(super) fn next_wakeup(&self) -> Option<Instant> {
        let wakeups = [
            self.report_queue.next_due(),
            self.table.next_recheck(),
            self.probing.next_wakeup(),
            self.next_routing_table_at,
        ];
        wakeups.into_iter().flatten().min()
    }

    /// Fingerprint of the reports about unavailable targets, including the
    /// report about this node's target.
    pub(super) fn fingerprint(&self) -> u64 {
        let own = self.own.as_ref();
        self.table.fingerprint() ^ own.map_or(0, |own| own.report().fingerprint())
    }

    /// The targets that are to get no new flows.
    fn unavailable_targets(&self) -> impl Iterator<Item = TargetId> {
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

    fn schedule_routing_table(&mut self, now: Instant) {
        let at = now.max(self.last_routing_table_at + MINIMUM_ROUTING_TABLE_INTERVAL);
        self.next_routing_table_at.get_or_insert(at);
    }
}

impl Replica {
    /// Number of targets known to accept no new flows, including this node's
    /// target.
    #[must_use]
    pub fn unavailable_target_count(&self) -> usize {
        self.availability.unavailable_targets().count()
    }

    /// Whether a target is known to accept no new flows.
    #[must_use]
    pub fn is_unavailable(&self, target: TargetId) -> bool {
        self.availability
            .unavailable_targets()
            .any(|unavailable| unavailable == target)
    }

    /// Changes the availability of this node's target and announces it to other
    /// nodes.
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
            .add(target, OWN_REPORT_SENDS, now);
        self.availability.schedule_routing_table(now);
    }

    /// Handles reports that another node sent. Where this node has a newer
    /// report about the same target, it sends that report back.
    pub(super) fn handle_reports(
        &mut self,
        from: SocketAddr,
        batch: &AvailabilityReports,
        now: Instant,
    ) {
        let reports = batch.reports.iter();
        let newer: Vec<AvailabilityReport> = reports
            .filter_map(|report| self.merge_report(*report, now))
            .collect();
        self.send_reports(from, newer, now);
    }

    /// Merges the report that a digest message contains about its sender's
    /// target, and compares the message's fingerprint with this node's. Answers
    /// with this node's report about that target if it is newer, and with some
    /// reports about unavailable targets if the fingerprints differ.
    pub(super) fn compare_unavailable_targets(
        &mut self,
        from: SocketAddr,
        digest: &DigestMessage,
        now: Instant,
    ) {
        let own = digest.own_report;
        let own = own.filter(|own| own.control_address == digest.sender.control_address);
        let mut differing: Vec<AvailabilityReport> = own
            .and_then(|own| self.merge_report(own, now))
            .into_iter()
            .collect();
        if digest.unavailable_fingerprint != self.availability.fingerprint() {
            differing.extend(self.some_unavailable_reports());
            differing.truncate(MAXIMUM_REPORTS_PER_MESSAGE);
        }
        self.send_reports(from, differing, now);
    }

    /// Reports a target's agent as unreachable.
    pub(super) fn report_unreachable(&mut self, target: TargetId, now: Instant) {
        let Some(known) = self.availability.table.report(target) else {
            return;
        };
        let report = AvailabilityReport {
            availability: Availability::Unreachable,
            ..*known
        };
        self.counters.agents_declared_unreachable += 1;
        self.merge_and_queue(report, OWN_REPORT_SENDS, now);
    }

    /// Forgets reports about targets that the roll in force has removed.
    pub(super) fn forget_removed_targets(&mut self) {
        let Some(installed) = &self.installed else {
            return;
        };
        let routing_table = &installed.directory;
        let table = &mut self.availability.table;
        let unavailable: FxHashSet<TargetId> = table.unavailable_targets().collect();
        let full = table.is_full();
        table.retain(|target| match routing_table.target(target) {
            Some(entry) => entry.status != TargetStatus::Retired,
            None => !full && !unavailable.contains(&target),
        });
    }

    /// Runs everything that is due.
    pub(super) fn run_availability(&mut self, now: Instant) {
        self.run_probing(now);
        self.run_rechecks(now);
        self.send_queued_reports(now);
        if self
            .availability
            .next_routing_table_at
            .is_some_and(|at| at <= now)
        {
            self.replace_routing_table(now);
        }
    }

    /// Gives the data path a routing table without the targets that are
    /// unavailable now.
    pub(super) fn replace_routing_table(&mut self, now: Instant) {
        self.availability.next_routing_table_at = None;
        self.availability.last_routing_table_at = now;
        let Some(installed) = &self.installed else {
            return;
        };
        let unavailable: FxHashSet<TargetId> = self.availability.unavailable_targets().collect();
        let own = self.settings.served_target.map(|served| served.target);
        let routing_table = installed.directory.with_unavailable(&unavailable, own);
        self.actions
            .push(ReplicaAction::ReplaceDirectory(Arc::new(routing_table)));
    }

    /// Merges a received report; returns this node's report about the target if
    /// that report is newer. A report that makes a target unavailable is
    /// ignored if the bundle in force does not contain the target.
    fn merge_report(
        &mut self,
        report: AvailabilityReport,
        now: Instant,
    ) -> Option<AvailabilityReport> {
        if let Some(own) = &mut self.availability.own
            && own.report().target == report.target
        {
            let outcome = own.compare(&report);
            let own = *own.report();
            return self.handle_own_report_outcome(outcome, own, now);
        }
        if report.availability.is_unavailable() && !self.is_target_in_force(report.target) {
            return None;
        }
        match self.merge_and_queue(report, RECEIVED_REPORT_SENDS, now) {
            MergeOutcome::Outdated(known) => Some(known),
            MergeOutcome::New { .. } | MergeOutcome::Repeated | MergeOutcome::Full => None,
        }
    }

    fn handle_own_report_outcome(
        &mut self,
        outcome: OwnReportOutcome,
        own: AvailabilityReport,
        now: Instant,
    ) -> Option<AvailabilityReport> {
        match outcome {
            OwnReportOutcome::Repeated | OwnReportOutcome::Superseded => None,
            OwnReportOutcome::Outdated => Some(own),
            OwnReportOutcome::Refuted => {
                self.counters.own_reports_refuted += 1;
                self.availability
                    .report_queue
                    .add(own.target, OWN_REPORT_SENDS, now);
                Some(own)
            }
        }
    }

    /// Whether the bundle in force contains the target; reports that make other
    /// targets unavailable have no effect. Also true for every target while no
    /// roll is in force.
    fn is_target_in_force(&self, target: TargetId) -> bool {
        let Some(installed) = &self.installed else {
            return true;
        };
        let entry = installed.directory.target(target);
        entry.is_some_and(|entry| entry.status != TargetStatus::Retired)
    }

    fn merge_and_queue(
        &mut self,
        report: AvailabilityReport,
        sends: u8,
        now: Instant,
    ) -> MergeOutcome {
        if self.availability.table.is_full() {
            self.forget_removed_targets();
        }
        let recheck = now + self.recheck_delay();
        let outcome = self.availability.table.merge(report, recheck);
        if let MergeOutcome::New {
            unavailable_changed,
        } = outcome
        {
            let due = now + jittered(BATCHING_TIME / 2, &mut self.random);
            self.availability
                .report_queue
                .add(report.target, sends, due);
            if unavailable_changed {
                self.availability.schedule_routing_table(now);
            }
        }
        outcome
    }

    fn run_rechecks(&mut self, now: Instant) {
        loop {
            let again = now + self.recheck_delay();
            let Some(report) = self.availability.table.take_due_recheck(now, again) else {
                return;
            };
            self.probe_now(report.control_address, now);
        }
    }

    fn send_queued_reports(&mut self, now: Instant) {
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
        for control_address in self.members.pick(REPORT_FANOUT, &mut self.random) {
            sent |= self.send_reports(control_address, reports.clone(), now);
        }
        for target in due {
            if sent {
                let again = now + jittered(RESEND_DELAY, &mut self.random);
                self.availability.report_queue.record_sent(target, again);
            } else {
                self.availability
                    .report_queue
                    .postpone(target, now + RETRY_DELAY);
            }
        }
    }

    /// Sends reports if there are any and the rate limit allows it; returns
    /// whether they were sent.
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
        if !self.availability.report_bucket.take(length, now) {
            return false;
        }
        self.counters.report_bytes_sent += length as u64;
        self.send(to, message);
        true
    }

    /// Up to one message of reports about unavailable targets, from a random
    /// position in their order.
    fn some_unavailable_reports(&mut self) -> Vec<AvailabilityReport> {
        let unavailable: Vec<TargetId> = self.availability.unavailable_targets().collect();
        if unavailable.is_empty() {
            return Vec::new();
        }
        let start = self.random.random_range(0..unavailable.len());
        let from_start = unavailable[start..].iter().chain(&unavailable[..start]);
        let some = from_start.take(MAXIMUM_REPORTS_PER_MESSAGE);
        some.filter_map(|target| self.availability.report(*target))
            .collect()
    }

    fn recheck_delay(&mut self) -> Duration {
        MINIMUM_RECHECK_DELAY + RECHECK_DELAY_SPREAD.mul_f64(self.random.random_range(0.0..1.0))
    }
}
