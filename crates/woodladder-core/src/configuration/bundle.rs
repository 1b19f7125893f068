//! The bundle: one version of the configuration that operators write, in
//! canonical form.

use std::net::SocketAddr;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::digest::Digest;
use crate::identifier::{ServiceId, TargetId, ZoneIndex};
use crate::signature::{OperatorKey, OperatorSignature, Purpose, SignatureError, TrustedKeys};

/// One version of the configuration.
///
/// [`Bundle::canonical`] sorts services and targets by identifier and the
/// addresses of each service by value, so that equal bundles have equal encodings
/// and digests. [`Bundle::service`] and [`Bundle::target`] need this order.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct Bundle {
    /// Version number, chosen by the operators.
    pub version: u64,
    /// Name of the deployment, such as `ankang`.
    pub deployment: String,
    /// Zones of the targets.
    pub zones: Vec<Zone>,
    /// Services, sorted by identifier.
    pub services: Vec<Service>,
    /// Targets of all services, sorted by identifier.
    pub targets: Vec<Target>,
}

/// A zone and its region.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Zone {
    /// Name of the zone.
    pub name: String,
    /// Name of the region that the zone is in.
    pub region: String,
}

/// A service and the addresses that its callers send to.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Identifier of the service, never reused for another one.
    pub id: ServiceId,
    /// Name of the service for operators; envelopes carry `id` instead.
    pub name: String,
    /// Addresses that callers send to, sorted.
    pub addresses: Vec<SocketAddr>,
}

/// One back end with its agent.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Identifier of the target, never reused in another service.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Address at which the agent receives datagrams from balancers.
    pub address: SocketAddr,
    /// Zone that the target is in.
    pub zone: ZoneIndex,
    /// Most requests that the back end runs at the same time.
    pub slots: u16,
    /// Most connections that the back end holds at the same time.
    pub connections: u32,
    /// Whether the target accepts new work.
    pub state: TargetState,
}

/// Whether a target accepts new work.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum TargetState {
    /// The target accepts new flows.
    Active,
    /// The target accepts no new flow; established ones continue.
    Leaving,
}

/// A bundle with an operator's signature, as `bundle sign` writes it.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct SignedBundle {
    /// The bundle.
    pub bundle: Bundle,
    /// Signature over the bundle's digest, for [`Purpose::SignOff`].
    pub sign_off: OperatorSignature,
}

impl Bundle {
    /// Sorts services, their addresses and targets into canonical order.
    #[must_use]
    pub fn canonical(mut self) -> Self {
        for service in &mut self.services {
            service.addresses.sort();
        }
        self.services.sort_by_key(|service| service.id);
        self.targets.sort_by_key(|target| target.id);
        self
    }

    /// Digest of the canonical encoding.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&encode(self))
    }

    /// The service with this identifier.
    #[must_use]
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        let position = self
            .services
            .binary_search_by_key(&id, |service| service.id)
            .ok()?;
        self.services.get(position)
    }

    /// The target with this identifier.
    #[must_use]
    pub fn target(&self, id: TargetId) -> Option<&Target> {
        let position = self
            .targets
            .binary_search_by_key(&id, |target| target.id)
            .ok()?;
        self.targets.get(position)
    }
}

impl SignedBundle {
    /// Signs a bundle with an operator's key.
    #[must_use]
    pub fn sign(bundle: Bundle, key: &OperatorKey) -> Self {
        let sign_off = key.sign(Purpose::SignOff, &bundle.digest().0);
        Self { bundle, sign_off }
    }

    /// Verifies the signature.
    ///
    /// # Errors
    /// [`SignatureError`] when the key is not trusted or the signature does not
    /// match.
    pub fn verify(&self, trusted: &TrustedKeys) -> Result<(), SignatureError> {
        trusted.verify(Purpose::SignOff, &self.bundle.digest().0, &self.sign_off)
    }
}

/// Encodes a value of a type whose encoding never fails.
pub(crate) fn encode<T: BorshSerialize>(value: &T) -> Vec<u8> {
    borsh::to_vec(value).unwrap_or_default()
}
