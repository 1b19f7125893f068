//! The routing table: look-up tables over a snapshot, built once per roll.

use std::net::SocketAddr;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::configuration::bundle::TargetState;
use crate::configuration::snapshot::Snapshot;
use crate::identifier::{Sequence, ServiceId, TargetId};
use crate::packets::hop_list::Candidate;

/// Look-up tables over one snapshot: service by address, and services and
/// targets by identifier.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    sequence: Sequence,
    by_address: FxHashMap<SocketAddr, ServiceId>,
    services: FxHashMap<ServiceId, ServiceEntry>,
    targets: FxHashMap<TargetId, TargetEntry>,
}

/// Data about a service that routing uses.
#[derive(Clone, Debug, Default)]
pub struct ServiceEntry {
    /// Targets that may be asked to accept a new flow. When all targets are
    /// leaving, these are the leaving ones, so that callers get a refusal.
    pub candidates: Vec<Candidate>,
}

/// Data about a target that routing uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetEntry {
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Data address of the target's agent.
    pub address: SocketAddr,
    /// Whether the target accepts new work.
    pub status: TargetStatus,
    /// Limits of the back end; `None` for a retired target.
    pub limits: Option<TargetLimits>,
}

/// Limits of a back end, from the bundle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetLimits {
    /// Most requests that the back end runs at the same time.
    pub slots: u16,
    /// Most connections that the back end holds at the same time.
    pub connections: u32,
}

/// Whether a target is in the bundle and available.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetStatus {
    /// In the bundle, with this state.
    InBundle(TargetState),
    /// Removed by an earlier roll; accepts no new work.
    Retired,
    /// In the bundle with this state, but marked as unavailable for new flows at
    /// the moment (see [`RoutingTable::with_unavailable`]).
    Unavailable(TargetState),
}

impl TargetStatus {
    /// Whether a target of this status accepts new flows.
    #[must_use]
    pub fn takes_new_flows(self) -> bool {
        self == Self::InBundle(TargetState::Active)
    }

    fn marked_unavailable(self) -> Self {
        match self {
            Self::InBundle(state) => Self::Unavailable(state),
            Self::Retired | Self::Unavailable(_) => self,
        }
    }
}

impl RoutingTable {
    /// Builds the table from a snapshot.
    #[must_use]
    pub fn new(sequence: Sequence, snapshot: &Snapshot) -> Self {
        let mut table = Self {
            sequence,
            ..Self::default()
        };
        table.add_services(snapshot);
        table.add_targets(snapshot);
        table.add_retired(snapshot);
        table
    }

    /// A copy of the table in which some targets are marked as unavailable. The
    /// marks are not applied to a service that they would leave without a candidate.
    /// Marked targets are removed from the candidates of their service. That includes
    /// the node's own target, `own`, but its status does not change.
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
            let removed = entry.candidates.iter().filter(|one| !is_available(one));
            for candidate in removed.filter(|one| Some(one.target) != own) {
                if let Some(target) = marked.targets.get_mut(&candidate.target) {
                    target.status = target.status.marked_unavailable();
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

    /// Makes the targets of one state the candidates of each service that has no
    /// candidates yet.
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
