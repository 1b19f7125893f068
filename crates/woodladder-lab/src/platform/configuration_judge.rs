//! Which versions of the configuration an opening may be handled by.
//!
//! Probing callers send single openings to each balancer, and targets tell which of them
//! they take. A handling is compared with all versions that may be in force.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::oracle::Ends;

/// Time after the acknowledgement of a version from which on no older one may be used: the
/// users' bound for a change of the configuration.
pub const APPLY_LIMIT: Duration = Duration::from_secs(3);
/// Time after a disturbance from which on a machine is in touch again, as in the users' rules.
pub const CONTACT: Duration = Duration::from_secs(4);
/// Time after the effect of a version has been seen for which a machine may still use an older
/// one.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// What became of an opening.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Handling {
    /// A target of this service took it.
    Taken(String),
    /// It was reset.
    Refused,
}

/// How an opening was handled as only an older version allows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OlderUse {
    /// The version was acknowledged long before.
    Late,
    /// The machine had used the version before.
    Regressed,
}

/// An opening that was handled as only an older version allows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OlderHandling {
    /// The balancer that it was sent to.
    pub balancer: u8,
    /// The route's address.
    pub route: SocketAddrV4,
    /// What became of it.
    pub handling: Handling,
    /// In which way it was too late.
    pub older_use: OlderUse,
    /// Time from the acknowledgement of the newest version that it had to follow to its
    /// sending.
    pub sent_after: Duration,
}

impl fmt::Display for OlderHandling {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:?} at {} by balancer {} ({:?}), sent {} ms after the acknowledgement",
            self.handling,
            self.route,
            self.balancer,
            self.older_use,
            self.sent_after.as_millis()
        )
    }
}

/// A version as the store has acknowledged it.
#[derive(Clone, Debug)]
struct Version {
    acknowledged_at: Instant,
    services: BTreeMap<SocketAddrV4, String>,
}

impl Version {
    fn allows(&self, route: SocketAddrV4, handling: &Handling) -> bool {
        match (self.services.get(&route), handling) {
            (Some(service), Handling::Taken(taken_by)) => service == taken_by,
            (None, Handling::Refused) => true,
            (None, Handling::Taken(_)) | (Some(_), Handling::Refused) => false,
        }
    }
}

/// An opening of a probing caller.
#[derive(Clone, Debug)]
struct Probe {
    balancer: u8,
    /// When each copy was sent.
    copies_sent_at: Vec<Instant>,
}

impl Probe {
    fn sent_at(&self, copy: usize) -> Instant {
        let last = self.copies_sent_at.last();
        let sent_at = self.copies_sent_at.get(copy).or(last);
        sent_at.copied().unwrap_or_else(Instant::now)
    }
}

/// The copy of an opening that was handled.
#[derive(Clone, Copy, Debug)]
struct HandledCopy {
    balancer: u8,
    sent_at: Instant,
}

/// What is known of a machine.
#[derive(Clone, Copy, Debug)]
struct SeenVersion {
    index: usize,
    seen_at: Instant,
}

/// Judges the openings of probing callers.
#[derive(Debug, Default)]
pub struct ConfigurationJudge {
    versions: Vec<Version>,
    probes: BTreeMap<Ends, Probe>,
    /// The version that each balancer has at least used in this life.
    seen: BTreeMap<u8, SeenVersion>,
    /// When machines, or the store, were last disturbed.
    disturbed: BTreeMap<u8, Instant>,
    /// Longest time from an acknowledgement to the handling of an opening as only an older
    /// version allows, whenever it was sent.
    last_older: Duration,
    judged: u64,
}

impl ConfigurationJudge {
    /// The store has acknowledged a version.
    pub fn acknowledged(&mut self, routes: &[(SocketAddrV4, &str)]) {
        let services = routes.iter();
        self.versions.push(Version {
            acknowledged_at: Instant::now(),
            services: services
                .map(|(address, service)| (*address, (*service).to_owned()))
                .collect(),
        });
    }

    /// A machine, or the store, is disturbed now: it is in touch again after [`CONTACT`].
    pub fn disturb(&mut self, machine: u8) {
        self.disturbed.insert(machine, Instant::now());
    }

    /// A process starts on a machine, or ends there: its use of the configuration begins anew.
    pub fn restart(&mut self, machine: u8) {
        self.disturb(machine);
        self.seen.remove(&machine);
    }

    /// An opening is sent to a balancer.
    pub fn probe_sent(&mut self, ends: Ends, balancer: u8) {
        let copies_sent_at = vec![Instant::now()];
        let probe = Probe {
            balancer,
            copies_sent_at,
        };
        self.probes.insert(ends, probe);
    }

    /// A further copy of an opening is sent to the same balancer.
    pub fn copy_sent(&mut self, ends: Ends) {
        if let Some(probe) = self.probes.get_mut(&ends) {
            probe.copies_sent_at.push(Instant::now());
        }
    }

    /// A target takes a copy of an opening. `machine` is its own.
    pub fn taken(
        &mut self,
        ends: Ends,
        copy: u32,
        service: &str,
        machine: u8,
    ) -> Option<OlderHandling> {
        let copy = usize::try_from(copy).unwrap_or(0);
        let handling = Handling::Taken(service.to_owned());
        self.judge(ends, copy, handling, Some(machine))
    }

    /// An opening is reset. A reset does not tell which copy it answers, so the first one
    /// counts.
    pub fn refused(&mut self, ends: Ends) -> Option<OlderHandling> {
        self.judge(ends, 0, Handling::Refused, None)
    }

    /// Number of openings that were judged.
    pub fn judged(&self) -> u64 {
        self.judged
    }

    /// Longest time from the acknowledgement of a version to the handling of an opening as
    /// only an older one allows, whenever the opening was sent and whatever was disturbed.
    pub fn last_older(&self) -> Duration {
        self.last_older
    }

    /// Judges the first handling of an opening; `None` when it follows a version that it may.
    fn judge(
        &mut self,
        ends: Ends,
        copy: usize,
        handling: Handling,
        target_machine: Option<u8>,
    ) -> Option<OlderHandling> {
        let probe = self.probes.remove(&ends)?;
        let probe = HandledCopy {
            balancer: probe.balancer,
            sent_at: probe.sent_at(copy),
        };
        let newest = self.versions.len().checked_sub(1)?;
        self.judged += 1;
        let route = ends.1;
        let allowing: Vec<usize> = (0..=newest)
            .filter(|index| self.versions[*index].allows(route, &handling))
            .collect();
        self.record_age(&allowing, newest);
        let older_use = self
            .older_use(&probe, &allowing)
            .filter(|_| self.is_in_touch(&probe, target_machine));
        if matches!(handling, Handling::Taken(_)) {
            self.record_seen(probe.balancer, &allowing);
        }
        let (older_use, required) = older_use?;
        let acknowledged_at = self.versions[required].acknowledged_at;
        Some(OlderHandling {
            balancer: probe.balancer,
            route,
            handling,
            older_use,
            sent_after: probe.sent_at.saturating_duration_since(acknowledged_at),
        })
    }

    /// In which way the handling follows an older version than it must, and which version it
    /// must follow at least.
    fn older_use(&self, probe: &HandledCopy, allowing: &[usize]) -> Option<(OlderUse, usize)> {
        let due = |version: &Version| version.acknowledged_at + APPLY_LIMIT < probe.sent_at;
        let oldest_due = self.versions.iter().rposition(due);
        let is_older = |required: &usize| allowing.iter().all(|index| index < required);
        if let Some(required) = oldest_due.filter(is_older) {
            return Some((OlderUse::Late, required));
        }
        let seen = self.seen.get(&probe.balancer)?;
        let is_due = seen.seen_at + ROLLBACK_SLACK < probe.sent_at;
        (is_due && is_older(&seen.index)).then_some((OlderUse::Regressed, seen.index))
    }

    fn is_in_touch(&self, probe: &HandledCopy, target_machine: Option<u8>) -> bool {
        let machines = [
            Some(probe.balancer),
            Some(super::oracle::STORE),
            target_machine,
        ];
        machines.into_iter().flatten().all(|machine| {
            self.disturbed
                .get(&machine)
                .is_none_or(|at| *at + CONTACT < probe.sent_at)
        })
    }

    /// The balancer has used at least the oldest of these versions that is not older than the
    /// one that it had used before.
    fn record_seen(&mut self, balancer: u8, allowing: &[usize]) {
        let former = self.seen.get(&balancer).map_or(0, |seen| seen.index);
        let Some(index) = allowing.iter().copied().find(|index| *index >= former) else {
            return;
        };
        if index > former || !self.seen.contains_key(&balancer) {
            let seen_at = Instant::now();
            self.seen.insert(balancer, SeenVersion { index, seen_at });
        }
    }

    fn record_age(&mut self, allowing: &[usize], newest: usize) {
        if let Some(last) = allowing.last()
            && *last < newest
        {
            let age = self.versions[last + 1].acknowledged_at.elapsed();
            self.last_older = self.last_older.max(age);
        }
    }
}
