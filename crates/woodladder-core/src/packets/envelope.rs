//! The envelope round a caller's datagram between balancers and agents.
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
/// Longest header in bytes: four hops with IPv6 addresses fit.
pub const MAXIMUM_HEADER: usize = 256;
/// Bytes that an envelope adds to a datagram at most.
pub const MAXIMUM_OVERHEAD_LENGTH: usize = PREFIX + MAXIMUM_HEADER;

const LENGTH_START: usize = 1;
const TAG_START: usize = 3;
const PREFIX: usize = TAG_START + TAG_LENGTH;

/// Header of an envelope.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct Envelope {
    /// Service that the caller addressed.
    pub service: ServiceId,
    /// Sequence that the balancer had in force.
    pub sequence: Sequence,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Address of the service that the caller sent to.
    pub service_address: SocketAddr,
    /// How the datagram travels.
    pub route: Route,
}

/// How an enveloped datagram travels.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// It carries a token of this target.
    Established(TargetId),
    /// It opens a flow.
    NewFlow(NewFlowRoute),
    /// It carries a token of a target that the balancer does not know; the
    /// agent that gets it sends it on if it knows the target.
    Relay(TargetId),
}

/// Targets that may take a new flow.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct NewFlowRoute {
    /// Targets in the order of asking, at most [`MAXIMUM_HOPS`].
    pub hops: Vec<Hop>,
    /// Position in `hops` of the target that the envelope is sent to.
    pub position: u8,
    /// Whether the target that gets it must take or refuse it.
    pub must_decide: bool,
}

/// Why bytes are not an envelope.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EnvelopeError {
    /// The bytes end inside the header.
    Truncated,
    /// The header is longer than [`MAXIMUM_HEADER`].
    Oversized,
    /// The format version is not known.
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
    /// The target that the envelope is meant for; `None` for a relay, which
    /// any agent of the service may get.
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
        buffer.resize(PREFIX, 0);
        if self.serialize(buffer).is_err() {
            buffer.clear();
            return;
        }
        let length = u16::try_from(buffer.len() - PREFIX).unwrap_or(u16::MAX);
        let tag = key.tag(&buffer[PREFIX..], &[]);
        buffer[0] = ENVELOPE_VERSION;
        buffer[LENGTH_START..TAG_START].copy_from_slice(&length.to_be_bytes());
        buffer[TAG_START..PREFIX].copy_from_slice(&tag);
        buffer.extend_from_slice(datagram);
    }

    /// Reads an envelope and the datagram in it.
    ///
    /// # Errors
    /// [`EnvelopeError`] when the bytes are not an envelope under this key.
    pub fn decode<'a>(key: &TagKey, bytes: &'a [u8]) -> Result<(Self, &'a [u8]), EnvelopeError> {
        let prefix = bytes.get(..PREFIX).ok_or(EnvelopeError::Truncated)?;
        if prefix[0] != ENVELOPE_VERSION {
            return Err(EnvelopeError::UnknownVersion);
        }
        let length = usize::from(u16::from_be_bytes([prefix[1], prefix[2]]));
        if length > MAXIMUM_HEADER {
            return Err(EnvelopeError::Oversized);
        }
        let header = bytes
            .get(PREFIX..PREFIX + length)
            .ok_or(EnvelopeError::Truncated)?;
        if key.tag(header, &[]) != prefix[TAG_START..] {
            return Err(EnvelopeError::Forged);
        }
        let envelope = Self::try_from_slice(header).map_err(|_| EnvelopeError::Malformed)?;
        envelope.check()?;
        Ok((envelope, &bytes[PREFIX + length..]))
    }

    fn check(&self) -> Result<(), EnvelopeError> {
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
