//! Bytes that no process of the deployment has made.

use std::net::SocketAddr;

use woodladder_core::configuration::bundle::SignedBundle;
use woodladder_core::configuration::roll_record::{RollNonce, RollRecord, RollStatement};
use woodladder_core::configuration::snapshot::{DEFAULT_LINGER, Snapshot};
use woodladder_core::configuration::snapshot_delta::SnapshotDelta;
use woodladder_core::control::control_message::{
    ControlMessage, FRAME_VERSION, MAXIMUM_DATAGRAM_LENGTH, Offer, OfferedDelta,
};
use woodladder_core::identifier::{Sequence, ServiceId, TargetId};
use woodladder_core::packets::envelope::{Envelope, Route};
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::packets::token::{TokenKey, TokenKeys};
use woodladder_core::signature::OperatorKey;

use super::deployment::Deployment;
use super::frame::{Content, FrameDatagram, Payload};
use super::random::Random;
use super::topology::Site;

/// A sequence far beyond those that operators reach.
const FORGED_SEQUENCE: Sequence = Sequence(1_000_000);
const FORGED_SECRET: [u8; 16] = [0x55; 16];
const MOST_EXCESS: usize = 200;
const RANDOM_VERSION: u32 = 300;

/// Key of an operator whom no node trusts.
#[must_use]
pub fn forger_key() -> OperatorKey {
    OperatorKey::from_bytes([0x66; 32])
}

/// Random bytes in the shape of a control frame, some of them too long.
pub fn random_frame(random: &mut Random) -> Vec<u8> {
    let length = 1 + random.below(MAXIMUM_DATAGRAM_LENGTH + MOST_EXCESS);
    let mut bytes = vec![0; length];
    bytes[0] = FRAME_VERSION + u8::from(random.chance(RANDOM_VERSION));
    for byte in bytes.iter_mut().skip(1) {
        *byte = u8::try_from(random.below(256)).unwrap_or_default();
    }
    bytes
}

/// A roll offered under the nodes' control key and signed by a stranger: what
/// somebody can do who has taken over one node.
#[must_use]
pub fn forged_offer(base: Option<&Snapshot>, site: Site, control: &TagKey) -> Option<Vec<u8>> {
    let key = forger_key();
    let bundle = Deployment::initial(site).bundle(666);
    let signed = SignedBundle::sign(bundle, &key);
    let snapshot = Snapshot::following(base, signed, 0, DEFAULT_LINGER).ok()?;
    let statement = RollStatement {
        sequence: FORGED_SEQUENCE,
        nonce: RollNonce([0x77; 16]),
        bundle_version: snapshot.bundle.version,
        snapshot_digest: snapshot.digest(),
        snapshot_length: u32::try_from(snapshot.encode().len()).ok()?,
        operator: "forger".to_owned(),
        rolled_at_unix_seconds: 0,
    };
    let delta = base.map_or(OfferedDelta::None, |base| {
        OfferedDelta::Inline(Box::new(SnapshotDelta::between(base, &snapshot)))
    });
    let record = RollRecord::sign(statement, &key);
    let message = ControlMessage::Offer(Box::new(Offer { record, delta }));
    message.encode(control).ok()
}

/// A packet with a token that a stranger made for a target.
#[must_use]
pub fn forged_packet(target: TargetId, meant: ServiceId, random: &mut Random) -> Vec<u8> {
    let current = TokenKey {
        number: 1,
        key: TagKey::new(FORGED_SECRET),
    };
    let keys = TokenKeys {
        current,
        previous: None,
    };
    let payload = Payload {
        service: meant,
        flow: random.bytes(),
        content: Content::Frames(FrameDatagram::default()),
    };
    payload.later_datagram(&keys.issue(target, random.bytes()))
}

/// An envelope under a stranger's key round a packet for another service.
#[must_use]
pub fn forged_envelope(
    target: TargetId,
    service: ServiceId,
    addresses: (SocketAddr, SocketAddr),
    datagram: &[u8],
) -> Vec<u8> {
    let (caller, service_address) = addresses;
    let envelope = Envelope {
        service,
        sequence: FORGED_SEQUENCE,
        caller,
        service_address,
        route: Route::Established(target),
    };
    let mut bytes = Vec::new();
    envelope.encode_into(&TagKey::new(FORGED_SECRET), datagram, &mut bytes);
    bytes
}
