//! The snapshot: all that a roll puts in force, as one canonical value.
//!
//! Besides the bundle it carries the targets that earlier rolls removed, for a
//! linger time, so that a node which knows no history still resolves the
//! tokens of flows established with them.

use std::net::SocketAddr;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::configuration::bundle::{Bundle, SignedBundle, encode};
use crate::digest::Digest;
use crate::finding::Findings;
use crate::identifier::{ServiceId, TargetId};
use crate::signature::{SignatureError, Signed, TrustedKeys};

/// Default linger of a removed target: longer than a flow that lasts a week.
pub const DEFAULT_LINGER: Duration = Duration::from_secs(8 * 24 * 3600);

const RULE_TARGET_SERVICE: &str = "a target identifier belongs to one service for good";

/// All that one roll puts in force.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// The signed-off bundle.
    pub bundle: Bundle,
    /// The sign-off over the bundle.
    pub sign_off: Signed,
    /// Targets removed by earlier rolls, sorted by identifier.
    pub retired: Vec<RetiredTarget>,
}

/// A target that is no longer in the bundle and still holds flows.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetiredTarget {
    /// Identifier it had.
    pub id: TargetId,
    /// Service it belonged to.
    pub service: ServiceId,
    /// Data address of its agent.
    pub address: SocketAddr,
    /// When it was removed, in seconds since the Unix epoch, by the clock of
    /// the operator who rolled.
    pub retired_at: u64,
}

impl Snapshot {
    /// The snapshot that follows `previous` when `signed` is rolled at
    /// `unix_time` seconds; targets removed longer ago than `linger` are
    /// dropped.
    ///
    /// # Errors
    /// Findings when a target identifier changes its service.
    pub fn following(
        previous: Option<&Self>,
        signed: SignedBundle,
        unix_time: u64,
        linger: Duration,
    ) -> Result<Self, Findings> {
        let mut findings = Findings::new();
        let retired = match previous {
            Some(previous) => {
                check_services_kept(previous, &signed.bundle, &mut findings);
                previous.retired_after(&signed.bundle, unix_time, linger)
            }
            None => Vec::new(),
        };
        findings.into_result(Self {
            bundle: signed.bundle,
            sign_off: signed.sign_off,
            retired,
        })
    }

    /// Canonical encoding.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Digest of the canonical encoding.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&self.encode())
    }

    /// Checks the sign-off of the bundle.
    ///
    /// # Errors
    /// [`SignatureError`] when the key is not trusted or does not match.
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
        unix_time: u64,
        linger: Duration,
    ) -> Vec<RetiredTarget> {
        let mut retired: Vec<RetiredTarget> = self
            .retired
            .iter()
            .filter(|target| unix_time.saturating_sub(target.retired_at) < linger.as_secs())
            .filter(|target| bundle.target(target.id).is_none())
            .copied()
            .collect();
        for target in &self.bundle.targets {
            if bundle.target(target.id).is_none() {
                retired.push(RetiredTarget {
                    id: target.id,
                    service: target.service,
                    address: target.address,
                    retired_at: unix_time,
                });
            }
        }
        retired.sort_by_key(|target| target.id);
        retired
    }
}

fn check_services_kept(previous: &Snapshot, bundle: &Bundle, findings: &mut Findings) {
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
