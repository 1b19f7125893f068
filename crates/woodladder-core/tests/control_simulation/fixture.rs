//! Operators, bundles and rolls for tests.

use std::net::{Ipv4Addr, SocketAddr};

use woodladder_core::configuration::bundle::{
    Bundle, Service, SignedBundle, Target, TargetState, Zone,
};
use woodladder_core::configuration::roll_record::{
    NONCE_LENGTH, RollNonce, RollRecord, RollStatement, StoredRoll,
};
use woodladder_core::configuration::snapshot::{DEFAULT_LINGER, Snapshot};
use woodladder_core::configuration::snapshot_delta::SnapshotDelta;
use woodladder_core::identifier::{Sequence, ServiceId, TargetId, ZoneIndex};
use woodladder_core::signature::{OperatorKey, TrustedKeys};

/// A roll as stored in the key-value service, with its snapshot.
#[derive(Clone, Debug)]
pub struct Roll {
    pub stored: StoredRoll,
    pub snapshot: Snapshot,
}

pub fn operator() -> OperatorKey {
    OperatorKey::from_bytes([7; 32])
}

pub fn untrusted_operator() -> OperatorKey {
    OperatorKey::from_bytes([8; 32])
}

pub fn trusted() -> TrustedKeys {
    TrustedKeys::new(vec![operator().public()])
}

pub fn target(id: u32, slots: u16) -> Target {
    let low = u16::try_from(id % 60_000).unwrap();
    Target {
        id: TargetId(id),
        service: ServiceId(id % 2),
        address: SocketAddr::from((Ipv4Addr::new(10, 200, 0, 1), 1000 + low)),
        zone: ZoneIndex(0),
        slots,
        connections: 2000,
        state: TargetState::Active,
    }
}

pub fn service(id: u32) -> Service {
    Service {
        id: ServiceId(id),
        name: format!("service-{id}"),
        addresses: vec![SocketAddr::from((
            Ipv4Addr::new(198, 51, 100, 1),
            9000 + id as u16,
        ))],
    }
}

/// A bundle whose targets have these identifiers.
pub fn bundle(version: u64, targets: impl IntoIterator<Item = u32>, slots: u16) -> Bundle {
    Bundle {
        version,
        deployment: "test".to_owned(),
        zones: vec![Zone {
            name: "a".to_owned(),
            region: "north".to_owned(),
        }],
        services: vec![service(0), service(1)],
        targets: targets.into_iter().map(|id| target(id, slots)).collect(),
    }
    .canonical()
}

/// Rolls a bundle after `previous`, under the next sequence.
pub fn roll(previous: Option<&Roll>, bundle: Bundle, nonce: u8) -> Roll {
    let signed = SignedBundle::sign(bundle, &operator());
    let base = previous.map(|roll| &roll.snapshot);
    let snapshot = Snapshot::following(base, signed, 1_000, DEFAULT_LINGER).unwrap();
    let previous_sequence = previous.map_or(Sequence(0), |roll| roll.stored.record.sequence());
    let statement = statement(previous_sequence.next(), &snapshot, nonce);
    Roll {
        stored: StoredRoll {
            record: RollRecord::sign(statement, &operator()),
            delta: base.map(|base| SnapshotDelta::between(base, &snapshot)),
        },
        snapshot,
    }
}

pub fn statement(sequence: Sequence, snapshot: &Snapshot, nonce: u8) -> RollStatement {
    RollStatement {
        sequence,
        nonce: RollNonce([nonce; NONCE_LENGTH]),
        bundle_version: snapshot.bundle.version,
        snapshot_digest: snapshot.digest(),
        snapshot_length: u32::try_from(snapshot.encode().len()).unwrap(),
        operator: "lin".to_owned(),
        rolled_at_unix_seconds: 1_000,
    }
}
