//! Which versions of the configuration an opening may be handled by.
//!
//! Probing callers send single openings to each balancer, and targets tell which of them
//! they take. A handling is compared with all versions that may be in force.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use super::address::{Ends, STORE};

/// Time after the acknowledgement of a version from which on no older one may be used: the
/// users' bound for a change of the configuration.
pub const APPLY_LIMIT: Duration = Duration::from_secs(3);
/// Time after a disturbance from which on a machine is in touch again, as in the users' rules.
pub const CONTACT: Duration = Duration::from_secs(4);
/// Time after the effect of a version has been seen for which a machine may still use an older
/// one.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
/// Time by which a store that has been disturbed, though it answers, extends the bounds, as in
/// the users' rules.
const SKEW_LIMIT: Duration = Duration::from_secs(12);

/// What keeps a machine, or the store, out of touch for as long as it lasts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LastingFault {
    /// The machine's process stands still.
    StandsStill,
    /// The machine does not reach the store; of the store itself: it does not answer all calls.
    StoreUnreachable,
}

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
    /// Faults of machines, or of the store, that have not ended.
    lasting: BTreeSet<(u8, LastingFault)>,
    /// When the store last forgot its history.
    history_forgotten_at: Option<Instant>,
    /// Machines of each service's targets.
    target_machines: BTreeMap<String, BTreeSet<u8>>,
    /// Longest time from an acknowledgement to the handling of an opening as only an older
    /// version allows, whenever it was sent.
    last_older: Duration,
    judged: u64,
    /// Time by which the judge's clock is ahead of the system's.
    ahead: Duration,
}

impl ConfigurationJudge {
    /// Lets time pass at once.
    pub fn advance(&mut self, time: Duration) {
        self.ahead += time;
    }

    fn now(&self) -> Instant {
        Instant::now() + self.ahead
    }

    /// The store has acknowledged a version.
    pub fn acknowledged(&mut self, routes: &[(SocketAddrV4, &str)]) {
        let services = routes.iter();
        self.versions.push(Version {
            acknowledged_at: self.now(),
            services: services
                .map(|(address, service)| (*address, (*service).to_owned()))
                .collect(),
        });
    }

    /// A machine, or the store, is disturbed now: it is in touch again after [`CONTACT`].
    pub fn disturb(&mut self, machine: u8) {
        let now = self.now();
        self.disturbed.insert(machine, now);
    }

    /// A fault of a machine, or of the store, begins and lasts.
    pub fn begin_fault(&mut self, machine: u8, fault: LastingFault) {
        self.lasting.insert((machine, fault));
    }

    /// A fault ends: the machine is in touch again after [`CONTACT`].
    pub fn end_fault(&mut self, machine: u8, fault: LastingFault) {
        if self.lasting.remove(&(machine, fault)) {
            self.disturb(machine);
        }
    }

    /// The process on a machine gets a signal.
    pub fn signalled(&mut self, machine: u8, signal: Signal) {
        match signal {
            Signal::SIGSTOP => self.begin_fault(machine, LastingFault::StandsStill),
            Signal::SIGCONT => self.end_fault(machine, LastingFault::StandsStill),
            Signal::SIGKILL | Signal::SIGTERM => self.disturb(machine),
            _ => {}
        }
    }

    /// The store forgets its history, and goes on answering.
    pub fn history_forgotten(&mut self) {
        self.history_forgotten_at = Some(self.now());
    }

    /// A target of a service stands on a machine.
    pub fn target_at(&mut self, service: &str, machine: u8) {
        let machines = self.target_machines.entry(service.to_owned()).or_default();
        machines.insert(machine);
    }

    /// A process starts on a machine, or ends there: its use of the configuration begins anew.
    pub fn restart(&mut self, machine: u8) {
        self.lasting.remove(&(machine, LastingFault::StandsStill));
        self.disturb(machine);
        self.seen.remove(&machine);
    }

    /// An opening is sent to a balancer.
    pub fn probe_sent(&mut self, ends: Ends, balancer: u8) {
        let copies_sent_at = vec![self.now()];
        let probe = Probe {
            balancer,
            copies_sent_at,
        };
        self.probes.insert(ends, probe);
    }

    /// A further copy of an opening is sent to the same balancer.
    pub fn copy_sent(&mut self, ends: Ends) {
        let now = self.now();
        if let Some(probe) = self.probes.get_mut(&ends) {
            probe.copies_sent_at.push(now);
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
            .filter(|_| self.are_in_touch(&probe, target_machine))
            .filter(|(_, required)| {
                handling != Handling::Refused || self.has_target(&probe, route, *required)
            });
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
        let extension = self.extension(probe);
        let apply_limit = APPLY_LIMIT + extension;
        let due = |version: &Version| version.acknowledged_at + apply_limit < probe.sent_at;
        let oldest_due = self.versions.iter().rposition(due);
        let is_older = |required: &usize| allowing.iter().all(|index| index < required);
        if let Some(required) = oldest_due.filter(is_older) {
            return Some((OlderUse::Late, required));
        }
        let seen = self.seen.get(&probe.balancer)?;
        let is_due = seen.seen_at + ROLLBACK_SLACK + extension < probe.sent_at;
        (is_due && is_older(&seen.index)).then_some((OlderUse::Regressed, seen.index))
    }

    fn are_in_touch(&self, probe: &HandledCopy, target_machine: Option<u8>) -> bool {
        let machines = [Some(probe.balancer), Some(STORE), target_machine];
        let mut machines = machines.into_iter().flatten();
        machines.all(|machine| self.is_in_touch(machine, probe))
    }

    /// Whether nothing disturbed a machine, or the store, from [`CONTACT`] before the sending
    /// of a probe until now.
    fn is_in_touch(&self, machine: u8, probe: &HandledCopy) -> bool {
        let is_disturbed = self.lasting.iter().any(|(owner, _)| *owner == machine);
        let ended_at = self.disturbed.get(&machine);
        !is_disturbed && ended_at.is_none_or(|at| *at + CONTACT < probe.sent_at)
    }

    /// Time by which the bounds are extended for a probe.
    fn extension(&self, probe: &HandledCopy) -> Duration {
        match self.history_forgotten_at {
            Some(at) if probe.sent_at <= at + CONTACT => SKEW_LIMIT,
            _ => Duration::ZERO,
        }
    }

    /// Whether a service that the route leads to by this version or a later one has a target
    /// on a machine in touch. Without one an opening may be refused by any version.
    fn has_target(&self, probe: &HandledCopy, route: SocketAddrV4, required: usize) -> bool {
        let mut services = self.versions[required..]
            .iter()
            .filter_map(|version| version.services.get(&route));
        let serves = |service: &String| {
            self.target_machines.get(service).is_none_or(|machines| {
                let mut machines = machines.iter();
                machines.any(|machine| self.is_in_touch(*machine, probe))
            })
        };
        services.all(serves)
    }

    /// The balancer has used at least the oldest of these versions that is not older than the
    /// one that it had used before.
    fn record_seen(&mut self, balancer: u8, allowing: &[usize]) {
        let former = self.seen.get(&balancer).map_or(0, |seen| seen.index);
        let Some(index) = allowing.iter().copied().find(|index| *index >= former) else {
            return;
        };
        if index > former || !self.seen.contains_key(&balancer) {
            let seen_at = self.now();
            self.seen.insert(balancer, SeenVersion { index, seen_at });
        }
    }

    fn record_age(&mut self, allowing: &[usize], newest: usize) {
        if let Some(last) = allowing.last()
            && *last < newest
        {
            let acknowledged_at = self.versions[last + 1].acknowledged_at;
            let age = self.now().saturating_duration_since(acknowledged_at);
            self.last_older = self.last_older.max(age);
        }
    }
}
