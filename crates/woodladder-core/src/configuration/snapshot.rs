//! The snapshot: everything that a roll puts in force, as one canonical value.
//!
//! Besides the bundle, a snapshot contains the targets that earlier rolls
//! removed, for the linger time after their removal. With them a node that
//! has no earlier snapshot can still route flows established with these targets.

use std::net::SocketAddr;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::configuration::bundle::{Bundle, SignedBundle, encode};
use crate::digest::Digest;
use crate::finding::Findings;
use crate::identifier::{ServiceId, TargetId};
use crate::signature::{OperatorSignature, SignatureError, TrustedKeys};

/// Default time for which a removed target stays in snapshots: eight days, so that
/// packets of a flow that lasts a week can still be routed.
pub const DEFAULT_LINGER: Duration = Duration::from_secs(8 * 24 * 3600);

const RULE_TARGET_SERVICE: &str = "a target identifier belongs to one service for good";

/// Everything that one roll puts in force.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// The bundle that `sign_off` signs.
    pub bundle: Bundle,
    /// Signature over the bundle's digest, for `Purpose::SignOff`.
    pub sign_off: OperatorSignature,
    /// Targets removed by earlier rolls, sorted by identifier.
    pub retired: Vec<RetiredTarget>,
}

/// A target that is no longer in the bundle but may still hold flows.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetiredTarget {
    /// Identifier of the target.
    pub id: TargetId,
    /// Service that the target belonged to.
    pub service: ServiceId,
    /// Address at which the agent receives datagrams from balancers.
    pub address: SocketAddr,
    /// When the target was removed, in seconds since the Unix epoch, by the clock
    /// of the operator who rolled.
    pub retired_at_unix_seconds: u64,
}

impl Snapshot {
    /// The snapshot that follows `previous` when `signed` is rolled at
    /// `unix_seconds`. Targets removed at least `linger` before that are dropped.
    ///
    /// # Errors
    /// Findings when a target identifier moves to another service.
    pub fn following(
        previous: Option<&Self>,
        signed: SignedBundle,
        unix_seconds: u64,
        linger: Duration,
    ) -> Result<Self, Findings> {
        let mut findings = Findings::new();
        let retired = match previous {
            Some(previous) => {
                check_targets_keep_service(previous, &signed.bundle, &mut findings);
                previous.retired_after(&signed.bundle, unix_seconds, linger)
            }
            None => Vec::new(),
        };
        findings.into_result(Self {
            bundle: signed.bundle,
            sign_off: signed.sign_off,
            retired,
        })
    }

    /// The canonical encoding.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Digest of the canonical encoding.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&self.encode())
    }

    /// Verifies the signature over the bundle.
    ///
    /// # Errors
    /// [`SignatureError`] when the key is not trusted or the signature does not
    /// match.
    pub fn verify_sign_off(&self, trusted: &TrustedKeys) -> Result<(), SignatureError> {
        trusted.verify(
            crate::signature::Purpose::SignOff,
            &self.bundle.digest().0,
            &self.sign_off,
        )
    }

    fn retired_after(
        &self,
        bundle: &Bundle,
        unix_seconds: u64,
        linger: Duration,
    ) -> Vec<RetiredTarget> {
        let mut retired: Vec<RetiredTarget> = self
            .retired
            .iter()
            .filter(|target| {
                unix_seconds.saturating_sub(target.retired_at_unix_seconds) < linger.as_secs()
            })
            .filter(|target| bundle.target(target.id).is_none())
            .copied()
            .collect();
        for target in &self.bundle.targets {
            if bundle.target(target.id).is_none() {
                retired.push(RetiredTarget {
                    id: target.id,
                    service: target.service,
                    address: target.address,
                    retired_at_unix_seconds: unix_seconds,
                });
            }
        }
        retired.sort_by_key(|target| target.id);
        retired
    }
}

fn check_targets_keep_service(previous: &Snapshot, bundle: &Bundle, findings: &mut Findings) {
    for target in &bundle.targets {
        let in_bundle = previous.bundle.target(target.id).map(|known| known.service);
        let position = previous
            .retired
            .binary_search_by_key(&target.id, |known| known.id);
        let in_retired = position.ok().map(|index| previous.retired[index].service);
        let known = in_bundle.or(in_retired);
        if known.is_some_and(|service| service != target.service) {
            findings.add(
                format!("target {}", target.id),
                format!("moves to service {}", target.service),
                RULE_TARGET_SERVICE,
            );
        }
    }
}
