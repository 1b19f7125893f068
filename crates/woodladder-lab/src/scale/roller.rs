//! An operator who rolls one small change after another.

use std::net::{Ipv4Addr, SocketAddr};

use woodladder_core::configuration::bundle::{Bundle, Service, SignedBundle, Target, TargetState};
use woodladder_core::configuration::roll_record::{
    NONCE_LENGTH, RollNonce, RollRecord, RollStatement, StoredRoll,
};
use woodladder_core::configuration::snapshot::{DEFAULT_LINGER, RetiredTarget, Snapshot};
use woodladder_core::configuration::snapshot_delta::SnapshotDelta;
use woodladder_core::identifier::{Sequence, ServiceId, TargetId, ZoneIndex};
use woodladder_core::signature::{OperatorKey, TrustedKeys};

use super::size::{DeploymentSize, bundle_zones};

const SECRET: [u8; 32] = [7; 32];
const FIRST_ROLLED_AT: u64 = 1_700_000_000;
const SECONDS_BETWEEN_ROLLS: u64 = 54;
const SLOTS: u16 = 16;
const CONNECTIONS: u32 = 8000;
const ZONE_COUNT: u32 = 7;
const DATA_PORT: u16 = 7100;
const SERVICE_PORT: u16 = 443;
/// One roll in so many replaces a target instead of changing one.
const REPLACEMENT_EVERY: u64 = 4;

/// Rolls one bundle after another.
pub(super) struct Roller {
    key: OperatorKey,
    bundle: Bundle,
    snapshot: Option<Snapshot>,
    sequence: Sequence,
    next_target: u32,
    /// Targets that were removed before the first roll.
    retired: Vec<RetiredTarget>,
}

/// A roll that the key-value service accepts.
pub(super) struct Roll {
    pub(super) stored: StoredRoll,
    pub(super) copy: Vec<u8>,
}

impl Roller {
    pub(super) fn new(size: &DeploymentSize) -> Self {
        Self {
            key: OperatorKey::from_bytes(SECRET),
            bundle: first_bundle(size),
            snapshot: None,
            sequence: Sequence::default(),
            next_target: size.targets + size.retired,
            retired: retired(size),
        }
    }

    /// Keys that every node trusts.
    pub(super) fn trusted(&self) -> TrustedKeys {
        TrustedKeys::new(vec![self.key.public()])
    }

    /// The next roll: the first bundle, and then one changed target a roll.
    /// `None` when the core finds fault with the bundle.
    pub(super) fn next(&mut self) -> Option<Roll> {
        if self.snapshot.is_some() {
            self.change();
        }
        let signed = SignedBundle::sign(self.bundle.clone(), &self.key);
        let rolled_at = FIRST_ROLLED_AT + self.sequence.0 * SECONDS_BETWEEN_ROLLS;
        let base = self.snapshot.as_ref();
        let mut snapshot = Snapshot::following(base, signed, rolled_at, DEFAULT_LINGER).ok()?;
        if base.is_none() {
            snapshot.retired = std::mem::take(&mut self.retired);
        }
        let delta = base.map(|base| SnapshotDelta::between(base, &snapshot));
        self.sequence = self.sequence.next();
        let copy = snapshot.encode();
        let statement = self.statement(&snapshot, copy.len(), rolled_at)?;
        self.snapshot = Some(snapshot);
        let record = RollRecord::sign(statement, &self.key);
        Some(Roll {
            stored: StoredRoll { record, delta },
            copy,
        })
    }

    fn statement(
        &self,
        snapshot: &Snapshot,
        length: usize,
        rolled_at: u64,
    ) -> Option<RollStatement> {
        let mut nonce = [0; NONCE_LENGTH];
        nonce[..8].copy_from_slice(&self.sequence.0.to_be_bytes());
        Some(RollStatement {
            sequence: self.sequence,
            nonce: RollNonce(nonce),
            bundle_version: snapshot.bundle.version,
            snapshot: snapshot.digest(),
            snapshot_length: u32::try_from(length).ok()?,
            operator: "lin".to_owned(),
            rolled_at,
        })
    }

    fn change(&mut self) {
        self.bundle.version += 1;
        let count = self.bundle.targets.len() as u64;
        if count == 0 {
            return;
        }
        let position = usize::try_from(self.sequence.0 % count).unwrap_or_default();
        if self.sequence.0.is_multiple_of(REPLACEMENT_EVERY) {
            let removed = self.bundle.targets.remove(position);
            let added = Target {
                id: TargetId(self.next_target),
                address: target_address(self.next_target),
                ..removed
            };
            self.next_target += 1;
            self.bundle.targets.push(added);
        } else {
            let target = &mut self.bundle.targets[position];
            target.slots = target.slots.wrapping_add(1).max(1);
        }
    }
}

fn first_bundle(size: &DeploymentSize) -> Bundle {
    Bundle {
        version: 1,
        deployment: "ankang".to_owned(),
        zones: bundle_zones(),
        services: (0..size.services).map(service).collect(),
        targets: (0..size.targets)
            .map(|id| target(id, size.services.max(1)))
            .collect(),
    }
    .canonical()
}

fn service(id: u32) -> Service {
    let [_, _, middle, low] = id.to_be_bytes();
    let address = Ipv4Addr::new(198, 18, middle, low);
    Service {
        id: ServiceId(id),
        name: format!("service-{id}"),
        addresses: vec![SocketAddr::from((address, SERVICE_PORT))],
    }
}

fn target(id: u32, services: u32) -> Target {
    let zone = u16::try_from(id % ZONE_COUNT).unwrap_or_default();
    Target {
        id: TargetId(id),
        service: ServiceId(id % services),
        address: target_address(id),
        zone: ZoneIndex(zone),
        slots: SLOTS,
        connections: CONNECTIONS,
        state: TargetState::Active,
    }
}

/// Removed targets with the identifiers that follow those of the bundle.
fn retired(size: &DeploymentSize) -> Vec<RetiredTarget> {
    let services = size.services.max(1);
    let identifiers = size.targets..size.targets + size.retired;
    identifiers
        .map(|id| RetiredTarget {
            id: TargetId(id),
            service: ServiceId(id % services),
            address: target_address(id),
            retired_at: FIRST_ROLLED_AT,
        })
        .collect()
}

fn target_address(id: u32) -> SocketAddr {
    let [_, high, middle, low] = id.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 128 | high, middle, low), DATA_PORT))
}
