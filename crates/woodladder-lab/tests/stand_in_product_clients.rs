//! The product's clients understand the stand-ins.

mod support;

use support::PATIENCE;
use tokio::time::timeout;
use woodladder::store::{ConsulStore, Store as _};
use woodladder_core::control::store_operation::{
    StoreAnswer, StoreIndex, StoreKey, StoreOperation,
};
use woodladder_lab::stand_in::machine_list::{
    Machine, MachineList, MachineListConfig, MachineRole, MachineState,
};
use woodladder_lab::stand_in::store::{Store, StoreConfig, StoreFault};

fn read(wait: Option<StoreIndex>) -> StoreOperation {
    StoreOperation::Read {
        key: StoreKey::Current,
        wait,
    }
}

fn swap(expected: StoreIndex, value: &[u8]) -> StoreOperation {
    StoreOperation::CompareAndSwap {
        key: StoreKey::Current,
        expected,
        value: value.to_vec(),
    }
}

/// Index and value of an answer that has them.
fn found(answer: StoreAnswer) -> (StoreIndex, Vec<u8>) {
    match answer {
        StoreAnswer::Value { index, value } => (index, value),
        other => panic!("no value: {other:?}"),
    }
}

#[tokio::test]
async fn the_store_client_reads_watches_and_swaps() {
    let store = Store::start(StoreConfig::default()).await.expect("store");
    let logger = woodladder::log::discarding_logger();
    let client = ConsulStore::new(vec![store.address()], logger).expect("client");
    let absent = StoreIndex(0);
    assert_eq!(client.perform(&read(None)).await, StoreAnswer::NotFound);
    assert_eq!(
        client.perform(&swap(absent, b"one")).await,
        StoreAnswer::Written
    );
    assert_eq!(
        client.perform(&swap(absent, b"two")).await,
        StoreAnswer::Conflict
    );
    let (first, value) = found(client.perform(&read(None)).await);
    assert_eq!(value, b"one");

    store.set_fault(StoreFault {
        lose_next_write_answers: 1,
        ..StoreFault::default()
    });
    let watch = read(Some(first));
    let (watched, written) = tokio::join!(client.perform(&watch), async {
        client.perform(&swap(first, b"two")).await
    });
    assert_eq!(written, StoreAnswer::Unknown);
    let (second, value) = found(watched);
    assert!(second > first);
    assert_eq!(value, b"two");

    store.set_fault(StoreFault {
        down: true,
        ..StoreFault::default()
    });
    let refused = async {
        while client.perform(&swap(second, b"three")).await != StoreAnswer::Unreachable {}
    };
    timeout(PATIENCE, refused).await.expect("never refused");
    store.set_fault(StoreFault::default());
    let answered = async {
        loop {
            if let StoreAnswer::Value { value, .. } = client.perform(&read(None)).await {
                return value;
            }
        }
    };
    let value = timeout(PATIENCE, answered).await.expect("never back");
    assert_eq!(value, b"two");
}

#[tokio::test]
async fn the_machine_list_client_reads_the_list() {
    let machine = Machine {
        address: ([127, 0, 0, 1], 7_000).into(),
        role: MachineRole::Agent,
        state: MachineState::Leaving,
    };
    let list = MachineList::start(MachineListConfig {
        machines: vec![machine],
        ..MachineListConfig::default()
    })
    .await
    .expect("list");
    let client = woodladder::store::MachineListClient::new(list.address()).expect("client");
    let read = client.read().await.expect("read");
    let expected = woodladder::store::Machine {
        address: machine.address,
        role: woodladder::store::MachineRole::Agent,
        state: woodladder::store::MachineState::Leaving,
    };
    assert_eq!(read, [expected]);
}
