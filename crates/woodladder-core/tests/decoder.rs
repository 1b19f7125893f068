//! Decoding stored or received bytes gives a value or an error and never panics.

mod support;

use borsh::BorshDeserialize;
use proptest::collection::vec;
use proptest::prelude::*;
use woodladder_core::configuration::bundle::SignedBundle;
use woodladder_core::configuration::roll_record::{RollRecord, StoredRoll};
use woodladder_core::configuration::snapshot::Snapshot;
use woodladder_core::configuration::snapshot_delta::SnapshotDelta;

use support::{ORDERS, active, snapshot};

fn decode_all(bytes: &[u8]) {
    let _ = SignedBundle::try_from_slice(bytes);
    let _ = Snapshot::try_from_slice(bytes);
    let _ = SnapshotDelta::try_from_slice(bytes);
    let _ = RollRecord::try_from_slice(bytes);
    let _ = StoredRoll::try_from_slice(bytes);
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in vec(any::<u8>(), 0..2000)) {
        decode_all(&bytes);
    }

    #[test]
    fn damaged_snapshots_never_panic(
        damages in vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
        cut: prop::sample::Index,
    ) {
        let mut bytes = snapshot(None, active(1..8, ORDERS)).encode();
        for (position, value) in damages {
            let position = position.index(bytes.len());
            bytes[position] = value;
        }
        decode_all(&bytes);
        decode_all(&bytes[..cut.index(bytes.len())]);
    }

    #[test]
    fn applying_a_delta_gives_the_second_snapshot(
        before in prop::collection::btree_set(0..30_u32, 0..20),
        after in prop::collection::btree_set(0..30_u32, 0..20),
    ) {
        let before = snapshot(None, active(before, ORDERS));
        let after = snapshot(Some(&before), active(after, ORDERS));
        let delta = SnapshotDelta::between(&before, &after);
        let applied = delta.apply(&before, before.digest(), after.digest());
        prop_assert_eq!(applied, Ok(after));
    }
}
