//! History of the latest deltas. A node that is a few rolls behind receives
//! these deltas merged into one instead of a full copy of the snapshot.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::configuration::bundle::encode;
use crate::configuration::snapshot_delta::SnapshotDelta;
use crate::digest::Digest;

/// Largest number of deltas in the history.
const MAXIMUM_DELTAS: usize = 8;
/// Longest encoding of a delta in the history, in bytes. A longer delta is not
/// kept, because a full copy serves as well.
const MAXIMUM_DELTA_LENGTH: usize = 48 * 1024;

/// Consecutive deltas that lead to the snapshot in force.
#[derive(Clone, Debug, Default)]
pub(super) struct DeltaHistory {
    result: Digest,
    deltas: VecDeque<SnapshotDelta>,
}

impl DeltaHistory {
    /// Records that `delta` led to the snapshot `result`.
    pub(super) fn push(&mut self, delta: SnapshotDelta, result: Digest) {
        if delta.base != self.result {
            self.deltas.clear();
        }
        self.result = result;
        if encode(&delta).len() > MAXIMUM_DELTA_LENGTH {
            self.deltas.clear();
            return;
        }
        if self.deltas.len() == MAXIMUM_DELTAS {
            self.deltas.pop_front();
        }
        self.deltas.push_back(delta);
    }

    /// Empties the history, and sets `result`, the first snapshot in force, as
    /// the snapshot from which the next delta starts.
    pub(super) fn reset(&mut self, result: Digest) {
        self.deltas.clear();
        self.result = result;
    }

    /// The delta from the previous snapshot to the one in force.
    pub(super) fn latest(&self) -> Option<&SnapshotDelta> {
        self.deltas.back()
    }

    /// One delta from the snapshot `base` to the one in force.
    pub(super) fn delta_from(&self, base: Digest) -> Option<SnapshotDelta> {
        let start = self.deltas.iter().position(|delta| delta.base == base)?;
        let mut parts = self.deltas.range(start..);
        let first = parts.next()?.clone();
        Some(parts.fold(first, merge))
    }
}

/// The delta that has the effect of `first` followed by `next`.
fn merge(first: SnapshotDelta, next: &SnapshotDelta) -> SnapshotDelta {
    let (services, removed_services) = merge_changes(
        (first.services, first.removed_services),
        (&next.services, &next.removed_services),
        |service| service.id,
    );
    let (targets, removed_targets) = merge_changes(
        (first.targets, first.removed_targets),
        (&next.targets, &next.removed_targets),
        |target| target.id,
    );
    let (retired, removed_retired) = merge_changes(
        (first.retired, first.removed_retired),
        (&next.retired, &next.removed_retired),
        |target| target.id,
    );
    SnapshotDelta {
        base: first.base,
        version: next.version,
        sign_off: next.sign_off,
        zones: next.zones.clone().or(first.zones),
        services,
        removed_services,
        targets,
        removed_targets,
        retired,
        removed_retired,
    }
}

fn merge_changes<T, K>(
    first: (Vec<T>, Vec<K>),
    next: (&[T], &[K]),
    key: impl Fn(&T) -> K,
) -> (Vec<T>, Vec<K>)
where
    T: Clone,
    K: Ord + Clone,
{
    let mut changed: BTreeMap<K, T> = BTreeMap::new();
    let mut removed: BTreeSet<K> = first.1.into_iter().collect();
    for item in first.0 {
        changed.insert(key(&item), item);
    }
    for removed_key in next.1 {
        changed.remove(removed_key);
        removed.insert(removed_key.clone());
    }
    for item in next.0 {
        removed.remove(&key(item));
        changed.insert(key(item), item.clone());
    }
    (
        changed.into_values().collect(),
        removed.into_iter().collect(),
    )
}
