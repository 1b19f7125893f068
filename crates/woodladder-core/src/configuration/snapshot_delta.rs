//! The difference between two snapshots, so that a small change needs only a
//! small message.
//!
//! A delta is not signed, but its result is checked: the signed roll record
//! states the digest of the result. When the digest differs, the node fetches a
//! full copy instead.

use std::collections::BTreeSet;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::configuration::bundle::{Bundle, Service, Target, Zone};
use crate::configuration::snapshot::{RetiredTarget, Snapshot};
use crate::digest::Digest;
use crate::identifier::{ServiceId, TargetId};
use crate::signature::OperatorSignature;

/// Changes that turn one snapshot into another.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct SnapshotDelta {
    /// Digest of the snapshot that the changes apply to.
    pub base: Digest,
    /// New version of the bundle.
    pub version: u64,
    /// New signature over the bundle.
    pub sign_off: OperatorSignature,
    /// New list of zones, if it changed.
    pub zones: Option<Vec<Zone>>,
    /// Services added or changed.
    pub services: Vec<Service>,
    /// Services removed.
    pub removed_services: Vec<ServiceId>,
    /// Targets added or changed.
    pub targets: Vec<Target>,
    /// Targets removed.
    pub removed_targets: Vec<TargetId>,
    /// Retired targets added or changed.
    pub retired: Vec<RetiredTarget>,
    /// Retired targets no longer kept.
    pub removed_retired: Vec<TargetId>,
}

/// Why a delta could not be applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeltaError {
    /// The delta applies to another snapshot.
    BaseMismatch,
    /// The result does not have the digest that the roll record states.
    ResultMismatch,
}

impl SnapshotDelta {
    /// The changes that turn `base` into `result`.
    #[must_use]
    pub fn between(base: &Snapshot, result: &Snapshot) -> Self {
        let (services, removed_services) =
            difference(&base.bundle.services, &result.bundle.services, |service| {
                service.id
            });
        let (targets, removed_targets) =
            difference(&base.bundle.targets, &result.bundle.targets, |target| {
                target.id
            });
        let (retired, removed_retired) =
            difference(&base.retired, &result.retired, |target| target.id);
        let zones_changed = base.bundle.zones != result.bundle.zones;
        Self {
            base: base.digest(),
            version: result.bundle.version,
            sign_off: result.sign_off,
            zones: zones_changed.then(|| result.bundle.zones.clone()),
            services,
            removed_services,
            targets,
            removed_targets,
            retired,
            removed_retired,
        }
    }

    /// Applies the changes and checks the result.
    ///
    /// # Errors
    /// [`DeltaError`] when `base` is not the snapshot that the delta applies to or
    /// the result does not have the digest `expected`.
    pub fn apply(
        &self,
        base: &Snapshot,
        base_digest: Digest,
        expected: Digest,
    ) -> Result<Snapshot, DeltaError> {
        if base_digest != self.base {
            return Err(DeltaError::BaseMismatch);
        }
        let result = self.compute_result(base);
        if result.digest() == expected {
            Ok(result)
        } else {
            Err(DeltaError::ResultMismatch)
        }
    }

    fn compute_result(&self, base: &Snapshot) -> Snapshot {
        let zones = self.zones.clone();
        let bundle = Bundle {
            version: self.version,
            deployment: base.bundle.deployment.clone(),
            zones: zones.unwrap_or_else(|| base.bundle.zones.clone()),
            services: apply_changes(
                &base.bundle.services,
                &self.services,
                &self.removed_services,
                |service| service.id,
            ),
            targets: apply_changes(
                &base.bundle.targets,
                &self.targets,
                &self.removed_targets,
                |target| target.id,
            ),
        };
        Snapshot {
            bundle,
            sign_off: self.sign_off,
            retired: apply_changes(
                &base.retired,
                &self.retired,
                &self.removed_retired,
                |target| target.id,
            ),
        }
    }
}

/// Items added or changed, and keys removed, between two lists sorted by key.
fn difference<T, K>(base: &[T], result: &[T], key: impl Fn(&T) -> K) -> (Vec<T>, Vec<K>)
where
    T: Clone + PartialEq,
    K: Ord,
{
    let find = |list: &[T], wanted: &K| list.binary_search_by(|item| key(item).cmp(wanted)).ok();
    let changed = result
        .iter()
        .filter(|item| find(base, &key(item)).is_none_or(|index| base[index] != **item))
        .cloned()
        .collect();
    let removed = base
        .iter()
        .map(&key)
        .filter(|wanted| find(result, wanted).is_none())
        .collect();
    (changed, removed)
}

/// The sorted list with items replaced or added and keys removed.
fn apply_changes<T, K>(base: &[T], changed: &[T], removed: &[K], key: impl Fn(&T) -> K) -> Vec<T>
where
    T: Clone,
    K: Ord + Clone,
{
    let mut replaced: BTreeSet<K> = removed.iter().cloned().collect();
    replaced.extend(changed.iter().map(&key));
    let mut list: Vec<T> = base
        .iter()
        .filter(|item| !replaced.contains(&key(item)))
        .cloned()
        .collect();
    list.extend(changed.iter().cloned());
    list.sort_by_key(&key);
    list
}

impl std::fmt::Display for DeltaError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::BaseMismatch => "the delta applies to another snapshot",
            Self::ResultMismatch => "the delta does not result in the snapshot that was rolled",
        })
    }
}

impl std::error::Error for DeltaError {}
