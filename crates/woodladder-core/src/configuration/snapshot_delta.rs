//! The difference between two snapshots, so that a small change travels small.
//!
//! A delta is not signed. Its result is: the roll record names the digest that
//! the result must have, so a wrong delta is found out and a full copy fetched.

use std::collections::BTreeSet;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::configuration::bundle::{Bundle, Service, Target, Zone};
use crate::configuration::snapshot::{RetiredTarget, Snapshot};
use crate::digest::Digest;
use crate::identifier::{ServiceId, TargetId};
use crate::signature::Signed;

/// Changes that turn one snapshot into another.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct SnapshotDelta {
    /// Digest of the snapshot that the changes start from.
    pub base: Digest,
    /// New version of the bundle.
    pub version: u64,
    /// New sign-off of the bundle.
    pub sign_off: Signed,
    /// New list of zones, when it changed.
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
    /// The delta starts from another snapshot.
    OtherBase,
    /// The result does not have the digest that the roll record names.
    WrongResult,
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
    /// [`DeltaError`] when `base` is not the snapshot the delta starts from or
    /// the result does not have the digest `expected`.
    pub fn apply(
        &self,
        base: &Snapshot,
        base_digest: Digest,
        expected: Digest,
    ) -> Result<Snapshot, DeltaError> {
        if base_digest != self.base {
            return Err(DeltaError::OtherBase);
        }
        let result = self.result(base);
        if result.digest() == expected {
            Ok(result)
        } else {
            Err(DeltaError::WrongResult)
        }
    }

    fn result(&self, base: &Snapshot) -> Snapshot {
        let zones = self.zones.clone();
        let bundle = Bundle {
            version: self.version,
            deployment: base.bundle.deployment.clone(),
            zones: zones.unwrap_or_else(|| base.bundle.zones.clone()),
            services: merged(
                &base.bundle.services,
                &self.services,
                &self.removed_services,
                |service| service.id,
            ),
            targets: merged(
                &base.bundle.targets,
                &self.targets,
                &self.removed_targets,
                |target| target.id,
            ),
        };
        Snapshot {
            bundle,
            sign_off: self.sign_off,
            retired: merged(
                &base.retired,
                &self.retired,
                &self.removed_retired,
                |target| target.id,
            ),
        }
    }
}

/// Values added or changed, and keys removed, between two sorted lists.
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

/// A sorted list with values replaced or added and keys removed.
fn merged<T, K>(base: &[T], changed: &[T], removed: &[K], key: impl Fn(&T) -> K) -> Vec<T>
where
    T: Clone,
    K: Ord + Clone,
{
    let mut dropped: BTreeSet<K> = removed.iter().cloned().collect();
    dropped.extend(changed.iter().map(&key));
    let mut list: Vec<T> = base
        .iter()
        .filter(|item| !dropped.contains(&key(item)))
        .cloned()
        .collect();
    list.extend(changed.iter().cloned());
    list.sort_by_key(&key);
    list
}

impl std::fmt::Display for DeltaError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::OtherBase => "the delta starts from another snapshot",
            Self::WrongResult => "the delta does not give the snapshot that was rolled",
        })
    }
}

impl std::error::Error for DeltaError {}
