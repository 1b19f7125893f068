//! The envelope around a caller's datagram between balancers and agents.
//!
//! | bytes | content |
//! | --- | --- |
//! | 0 | format version |
//! | 1..3 | length of the header, big endian |
//! | 3..11 | SipHash-2-4 tag over the header |
//! | 11.. | header (borsh), then the caller's datagram |

use std::net::SocketAddr;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::identifier::{Sequence, ServiceId, TargetId};
use crate::packets::hop_list::{Hop, MAXIMUM_HOPS};
use crate::packets::keyed_tag::{TAG_LENGTH, TagKey};

/// Format version of envelopes that this build writes and reads.
pub const ENVELOPE_VERSION: u8 = 1;
/// Longest header in bytes; enough for four hops with IPv6 addresses.
pub const MAXIMUM_HEADER_LENGTH: usize = 256;
/// Most bytes that an envelope adds to a datagram.
pub const MAXIMUM_OVERHEAD_LENGTH: usize = PREFIX_LENGTH + MAXIMUM_HEADER_LENGTH;

/// Position in bytes of the header length in an envelope.
const LENGTH_START: usize = 1;
/// Position in bytes of the tag in an envelope.
const TAG_START: usize = 3;
/// Length in bytes of the part of an envelope before the header.
const PREFIX_LENGTH: usize = TAG_START + TAG_LENGTH;

/// Header of an envelope.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct Envelope {
    /// Service that the caller sent to.
    pub service: ServiceId,
    /// Sequence of the roll that the balancer's routing table was built from.
    pub sequence: Sequence,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Service address that the caller sent to.
    pub service_address: SocketAddr,
    /// How the datagram reaches its target.
    pub route: Route,
}

/// How an enveloped datagram reaches its target.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// The datagram carries a token of this target.
    Established(TargetId),
    /// The datagram opens a flow.
    NewFlow(NewFlowRoute),
    /// The datagram carries a token of a target that the balancer does not know;
    /// the agent that receives it forwards it if that agent knows the target.
    Relay(TargetId),
}

/// Hop list of a new flow: targets that may accept it.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct NewFlowRoute {
    /// Targets in the order in which they are asked, at most [`MAXIMUM_HOPS`].
    pub hops: Vec<Hop>,
    /// Position in `hops` of the target that the envelope is sent to.
    pub position: u8,
    /// Whether the target that receives the envelope must accept or refuse the
    /// flow instead of handing it on.
    pub must_decide: bool,
}

/// Why bytes are not an envelope.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EnvelopeError {
    /// The bytes end inside the header.
    Truncated,
    /// The header is longer than [`MAXIMUM_HEADER_LENGTH`].
    Oversized,
    /// This build does not know the format version.
    UnknownVersion,
    /// The tag does not match.
    Forged,
    /// The header cannot be decoded, or its parts contradict each other.
    Malformed,
}

impl NewFlowRoute {
    /// The hop that the envelope is sent to.
    #[must_use]
    pub fn current_hop(&self) -> Option<&Hop> {
        self.hops.get(usize::from(self.position))
    }
}

impl Envelope {
    /// The target that the envelope is meant for; `None` for a relay, which may
    /// be sent to any agent of the service.
    #[must_use]
    pub fn target(&self) -> Option<TargetId> {
        match &self.route {
            Route::Established(target) => Some(*target),
            Route::NewFlow(first) => first.current_hop().map(|hop| hop.target),
            Route::Relay(_) => None,
        }
    }

    /// Writes the envelope and the datagram into `buffer`, which is cleared
    /// first and keeps its capacity.
    pub fn encode_into(&self, key: &TagKey, datagram: &[u8], buffer: &mut Vec<u8>) {
        buffer.clear();
        buffer.resize(PREFIX_LENGTH, 0);
        if self.serialize(buffer).is_err() {
            buffer.clear();
            return;
        }
        let length = u16::try_from(buffer.len() - PREFIX_LENGTH).unwrap_or(u16::MAX);
        let tag = key.tag(&buffer[PREFIX_LENGTH..], &[]);
        buffer[0] = ENVELOPE_VERSION;
        buffer[LENGTH_START..TAG_START].copy_from_slice(&length.to_be_bytes());
        buffer[TAG_START..PREFIX_LENGTH].copy_from_slice(&tag);
        buffer.extend_from_slice(datagram);
    }

    /// Decodes an envelope and returns it with the datagram inside.
    ///
    /// # Errors
    /// [`EnvelopeError`] when the bytes are not an envelope with a tag of this key.
    pub fn decode<'a>(key: &TagKey, bytes: &'a [u8]) -> Result<(Self, &'a [u8]), EnvelopeError> {
        let prefix = bytes.get(..PREFIX_LENGTH).ok_or(EnvelopeError::Truncated)?;
        if prefix[0] != ENVELOPE_VERSION {
            return Err(EnvelopeError::UnknownVersion);
        }
        let length = usize::from(u16::from_be_bytes([prefix[1], prefix[2]]));
        if length > MAXIMUM_HEADER_LENGTH {
            return Err(EnvelopeError::Oversized);
        }
        let header = bytes
            .get(PREFIX_LENGTH..PREFIX_LENGTH + length)
            .ok_or(EnvelopeError::Truncated)?;
        if key.tag(header, &[]) != prefix[TAG_START..] {
            return Err(EnvelopeError::Forged);
        }
        let envelope = Self::try_from_slice(header).map_err(|_| EnvelopeError::Malformed)?;
        envelope.check_hops()?;
        Ok((envelope, &bytes[PREFIX_LENGTH + length..]))
    }

    fn check_hops(&self) -> Result<(), EnvelopeError> {
        let Route::NewFlow(first) = &self.route else {
            return Ok(());
        };
        if first.hops.len() > MAXIMUM_HOPS || first.current_hop().is_none() {
            return Err(EnvelopeError::Malformed);
        }
        Ok(())
    }
}

impl std::fmt::Display for EnvelopeError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Truncated => "the envelope ends inside its header",
            Self::Oversized => "the envelope's header is too long",
            Self::UnknownVersion => "the envelope's format version is not known",
            Self::Forged => "the envelope's tag does not match",
            Self::Malformed => "the envelope's header is malformed",
        })
    }
}

impl std::error::Error for EnvelopeError {}
