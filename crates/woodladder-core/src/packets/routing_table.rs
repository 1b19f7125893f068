//! The directory: a snapshot laid out for looking up, built once per roll.

use std::net::SocketAddr;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::configuration::bundle::TargetState;
use crate::configuration::snapshot::Snapshot;
use crate::identifier::{Sequence, ServiceId, TargetId};
use crate::packets::hop_list::Candidate;

/// Look-up tables over one snapshot.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    sequence: Sequence,
    by_address: FxHashMap<SocketAddr, ServiceId>,
    services: FxHashMap<ServiceId, ServiceEntry>,
    targets: FxHashMap<TargetId, TargetEntry>,
}

/// A service as routing sees it.
#[derive(Clone, Debug, Default)]
pub struct ServiceEntry {
    /// Targets that may be asked to take a new flow. When all targets are
    /// leaving these are the leaving ones, which refuse with a final answer.
    pub candidates: Vec<Candidate>,
}

/// A target as routing sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetEntry {
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Data address of its agent.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub status: TargetStatus,
    /// What its back end takes at the same time; `None` once it is retired.
    pub limits: Option<TargetLimits>,
}

/// What a back end takes at the same time, by the bundle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetLimits {
    /// Requests that it runs.
    pub slots: u16,
    /// Connections that it holds.
    pub connections: u32,
}

/// Standing of a target in the snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetStatus {
    /// In the bundle, with this state.
    InBundle(TargetState),
    /// Removed by an earlier roll; takes no new work.
    Retired,
    /// In the bundle with this state, but its agent is known to take no new
    /// flows at the moment.
    Unavailable(TargetState),
}

impl TargetStatus {
    /// Whether a target of this standing takes new flows.
    #[must_use]
    pub fn takes_new_flows(self) -> bool {
        self == Self::InBundle(TargetState::Active)
    }

    fn unavailable(self) -> Self {
        match self {
            Self::InBundle(state) => Self::Unavailable(state),
            Self::Retired | Self::Unavailable(_) => self,
        }
    }
}

impl RoutingTable {
    /// Lays a snapshot out.
    #[must_use]
    pub fn new(sequence: Sequence, snapshot: &Snapshot) -> Self {
        let mut directory = Self {
            sequence,
            ..Self::default()
        };
        directory.add_services(snapshot);
        directory.add_targets(snapshot);
        directory.add_retired(snapshot);
        directory
    }

    /// The same directory with some targets marked as unavailable. Marks are
    /// ignored in a service that would keep no candidate. The standing of the
    /// node's own target stays as it is.
    #[must_use]
    pub fn with_unavailable(
        &self,
        unavailable: &FxHashSet<TargetId>,
        own: Option<TargetId>,
    ) -> Self {
        let mut marked = self.clone();
        for entry in marked.services.values_mut() {
            let is_available = |one: &Candidate| !unavailable.contains(&one.target);
            if !entry.candidates.iter().any(is_available) {
                continue;
            }
            let lost = entry.candidates.iter().filter(|one| !is_available(one));
            for candidate in lost.filter(|one| Some(one.target) != own) {
                if let Some(target) = marked.targets.get_mut(&candidate.target) {
                    target.status = target.status.unavailable();
                }
            }
            entry.candidates.retain(is_available);
        }
        marked
    }

    /// Sequence of the roll that put the snapshot in force.
    #[must_use]
    pub fn sequence(&self) -> Sequence {
        self.sequence
    }

    /// The service that has this address.
    #[must_use]
    pub fn service_at(&self, address: &SocketAddr) -> Option<ServiceId> {
        self.by_address.get(address).copied()
    }

    /// A service's entry.
    #[must_use]
    pub fn service(&self, service: ServiceId) -> Option<&ServiceEntry> {
        self.services.get(&service)
    }

    /// A target's entry.
    #[must_use]
    pub fn target(&self, target: TargetId) -> Option<&TargetEntry> {
        self.targets.get(&target)
    }

    fn add_services(&mut self, snapshot: &Snapshot) {
        for service in &snapshot.bundle.services {
            for address in &service.addresses {
                self.by_address.insert(*address, service.id);
            }
            self.services.insert(service.id, ServiceEntry::default());
        }
    }

    fn add_targets(&mut self, snapshot: &Snapshot) {
        for target in &snapshot.bundle.targets {
            let entry = TargetEntry {
                service: target.service,
                address: target.address,
                status: TargetStatus::InBundle(target.state),
                limits: Some(TargetLimits {
                    slots: target.slots,
                    connections: target.connections,
                }),
            };
            self.targets.insert(target.id, entry);
        }
        self.add_candidates(snapshot, TargetState::Active);
        self.add_candidates(snapshot, TargetState::Leaving);
    }

    /// Adds the targets of one state to each service that has no candidates
    /// from an earlier call.
    fn add_candidates(&mut self, snapshot: &Snapshot, state: TargetState) {
        let mut candidates: FxHashMap<ServiceId, Vec<Candidate>> = FxHashMap::default();
        let wanted = snapshot.bundle.targets.iter();
        for target in wanted.filter(|target| target.state == state) {
            let candidate = Candidate::new(target.id, target.address, target.slots);
            candidates
                .entry(target.service)
                .or_default()
                .push(candidate);
        }
        for (service, list) in candidates {
            let entry = self.services.entry(service).or_default();
            if entry.candidates.is_empty() {
                entry.candidates = list;
            }
        }
    }

    fn add_retired(&mut self, snapshot: &Snapshot) {
        for target in &snapshot.retired {
            let entry = TargetEntry {
                service: target.service,
                address: target.address,
                status: TargetStatus::Retired,
                limits: None,
            };
            self.targets.entry(target.id).or_insert(entry);
        }
    }
}
