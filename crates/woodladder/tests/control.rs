//! Tests the control plane over real sockets: which nodes learn of a roll, and
//! from which sources.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use tokio::time::{sleep, timeout};
use woodladder::control::{ControlPlane, ControlPlaneConfig, ControlPlaneStatus};
use woodladder::store::Store;
use woodladder_core::configuration::bundle::{Bundle, Service, SignedBundle, Zone};
use woodladder_core::configuration::roll_record::{
    NONCE_LENGTH, RollNonce, RollRecord, RollStatement, StoredRoll,
};
use woodladder_core::configuration::snapshot::{DEFAULT_LINGER, Snapshot};
use woodladder_core::control::availability::{RunNumber, ServedTarget};
use woodladder_core::control::membership::{Locality, Role};
use woodladder_core::control::replica::{ReplicaSettings, ReplicaTuning};
use woodladder_core::control::store_operation::{
    StoreAnswer, StoreIndex, StoreKey, StoreOperation,
};
use woodladder_core::identifier::{NodeId, Sequence, ServiceId, TargetId};
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::signature::{OperatorKey, TrustedKeys};

const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const CONTROL_SECRET: [u8; 16] = [5; 16];
const OTHER_SECRET: [u8; 16] = [6; 16];

/// A store in memory that can be made unreachable.
#[derive(Default)]
struct MemoryStore {
    entries: Mutex<BTreeMap<String, Vec<u8>>>,
    unreachable: bool,
}

#[async_trait]
impl Store for MemoryStore {
    async fn perform(&self, operation: &StoreOperation) -> StoreAnswer {
        if self.unreachable {
            return StoreAnswer::Unreachable;
        }
        let StoreOperation::Read { key, .. } = operation else {
            return StoreAnswer::Conflict;
        };
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        match entries.get(&key.path()) {
            None => StoreAnswer::NotFound,
            Some(value) => StoreAnswer::Value {
                index: StoreIndex(1),
                value: value.clone(),
            },
        }
    }
}

fn operator() -> OperatorKey {
    OperatorKey::from_bytes([3; 32])
}

/// A store that holds a first roll signed with this operator's key.
fn store_with_roll(key: &OperatorKey) -> Result<MemoryStore, Box<dyn std::error::Error>> {
    let bundle = Bundle {
        version: 4,
        deployment: "test".to_owned(),
        zones: vec![Zone {
            name: "a".to_owned(),
            region: "a".to_owned(),
        }],
        services: vec![Service {
            id: ServiceId(1),
            name: "kitchen".to_owned(),
            addresses: vec!["10.0.0.1:4433".parse()?],
        }],
        targets: Vec::new(),
    };
    let snapshot = Snapshot::following(None, SignedBundle::sign(bundle, key), 0, DEFAULT_LINGER)?;
    let statement = RollStatement {
        sequence: Sequence(1),
        nonce: RollNonce([1; NONCE_LENGTH]),
        bundle_version: 4,
        snapshot_digest: snapshot.digest(),
        snapshot_length: u32::try_from(snapshot.encode().len())?,
        operator: "lin".to_owned(),
        rolled_at_unix_seconds: 0,
    };
    let stored = StoredRoll {
        record: RollRecord::sign(statement, key),
        delta: None,
    };
    let snapshot_key = StoreKey::Snapshot(snapshot.digest()).path();
    let entries = BTreeMap::from([
        (StoreKey::Current.path(), borsh::to_vec(&stored)?),
        (snapshot_key, snapshot.encode()),
    ]);
    Ok(MemoryStore {
        entries: Mutex::new(entries),
        unreachable: false,
    })
}

async fn start_node(
    number: u64,
    secret: [u8; 16],
    store: MemoryStore,
    seeds: Vec<SocketAddr>,
) -> Result<ControlPlane, Box<dyn std::error::Error>> {
    ControlPlane::start(config(number, secret, store, seeds)?)
        .await
        .map_err(Into::into)
}

/// The control plane of an agent whose target has the given number.
async fn start_agent(
    number: u32,
    seeds: Vec<SocketAddr>,
) -> Result<ControlPlane, Box<dyn std::error::Error>> {
    let mut config = config(number.into(), CONTROL_SECRET, unreachable_store(), seeds)?;
    config.replica.role = Role::Agent;
    config.replica.served_target = Some(ServedTarget {
        target: TargetId(number),
        run: RunNumber(1),
    });
    Ok(ControlPlane::start(config).await?)
}

fn config(
    number: u64,
    secret: [u8; 16],
    store: MemoryStore,
    seeds: Vec<SocketAddr>,
) -> Result<ControlPlaneConfig, Box<dyn std::error::Error>> {
    let listen: SocketAddr = "127.0.0.1:0".parse()?;
    Ok(ControlPlaneConfig {
        listen,
        advertise: None,
        key: TagKey::new(secret),
        replica: ReplicaSettings {
            node: NodeId(number),
            role: Role::Balancer,
            locality: Locality::new("a", "a"),
            control_address: listen,
            served_target: None,
            seeds,
            trusted: TrustedKeys::new(vec![operator().public()]),
            tuning: ReplicaTuning::default(),
        },
        store: Arc::new(store),
        machine_list: None,
        routing_table_installer: Box::new(|_| {}),
        logger: woodladder::log::discarding_logger(),
    })
}

fn unreachable_store() -> MemoryStore {
    MemoryStore {
        unreachable: true,
        ..MemoryStore::default()
    }
}

async fn wait_until(
    control: &ControlPlane,
    condition: impl Fn(&ControlPlaneStatus) -> bool,
) -> Result<ControlPlaneStatus, Box<dyn std::error::Error>> {
    let wait = async {
        loop {
            match control.status().await {
                Some(status) if condition(&status) => return status,
                _ => sleep(POLL_INTERVAL).await,
            }
        }
    };
    Ok(timeout(TIMEOUT, wait).await?)
}

#[tokio::test]
async fn a_node_without_the_store_learns_the_roll_from_a_peer()
-> Result<(), Box<dyn std::error::Error>> {
    let first = start_node(1, CONTROL_SECRET, store_with_roll(&operator())?, Vec::new()).await?;
    wait_until(&first, |status| status.sequence == Sequence(1)).await?;
    let second = start_node(
        2,
        CONTROL_SECRET,
        unreachable_store(),
        vec![first.address()],
    )
    .await?;
    let status = wait_until(&second, |status| status.ready).await?;
    assert_eq!(status.sequence, Sequence(1));
    assert_eq!(status.bundle_version, Some(4));
    Ok(())
}

#[tokio::test]
async fn messages_under_another_key_are_refused_and_counted()
-> Result<(), Box<dyn std::error::Error>> {
    let alone = start_node(1, CONTROL_SECRET, unreachable_store(), Vec::new()).await?;
    let seeds = vec![alone.address()];
    let other = start_node(2, OTHER_SECRET, store_with_roll(&operator())?, seeds).await?;
    wait_until(&other, |status| status.sequence == Sequence(1)).await?;
    let forged = |status: &ControlPlaneStatus| status.counters.rejections.frame_tag_mismatch > 0;
    let status = wait_until(&alone, forged).await?;
    assert_eq!(status.sequence, Sequence(0));
    assert!(!status.ready);
    Ok(())
}

#[tokio::test]
async fn a_roll_by_an_untrusted_operator_is_refused() -> Result<(), Box<dyn std::error::Error>> {
    let other = OperatorKey::from_bytes([4; 32]);
    let node = start_node(1, CONTROL_SECRET, store_with_roll(&other)?, Vec::new()).await?;
    let refused = |status: &ControlPlaneStatus| status.counters.rejections.record_signature > 0;
    let status = wait_until(&node, refused).await?;
    assert_eq!(status.sequence, Sequence(0));
    assert!(!status.ready);
    Ok(())
}

#[tokio::test]
async fn agents_that_crash_or_leave_are_marked_unavailable()
-> Result<(), Box<dyn std::error::Error>> {
    let first = start_agent(1, Vec::new()).await?;
    let seeds = vec![first.address()];
    let second = start_agent(2, seeds.clone()).await?;
    let third = start_agent(3, seeds.clone()).await?;
    let fourth = start_agent(4, seeds).await?;
    let knows_all = |status: &ControlPlaneStatus| status.members.heard == 3;
    for node in [&first, &second, &third, &fourth] {
        wait_until(node, knows_all).await?;
    }
    drop(fourth);
    for node in [&first, &second, &third] {
        wait_until(node, |status| status.unavailable_target_count == 1).await?;
    }
    third.announce_accepting_flows(false);
    for node in [&first, &second, &third] {
        wait_until(node, |status| status.unavailable_target_count == 2).await?;
    }
    third.announce_accepting_flows(true);
    for node in [&first, &second, &third] {
        wait_until(node, |status| status.unavailable_target_count == 1).await?;
    }
    Ok(())
}
