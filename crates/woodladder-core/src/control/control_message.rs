//! Control messages between nodes, and the frame that carries each in one
//! datagram.
//!
//! | bytes | content |
//! | --- | --- |
//! | 0 | format version |
//! | 1..3 | length of the payload, big endian |
//! | 3..11 | SipHash-2-4 tag over the payload |
//! | 11.. | payload (borsh) |

use std::net::SocketAddr;

use borsh::{BorshDeserialize, BorshSerialize};

use crate::configuration::roll_record::RollRecord;
use crate::configuration::snapshot_delta::SnapshotDelta;
use crate::control::availability::Report;
use crate::control::membership::Peer;
use crate::digest::Digest;
use crate::identifier::Sequence;
use crate::packets::keyed_tag::{TAG_LENGTH, TagKey};

pub use crate::control::copy_message::{
    CopyChunk, CopyContent, CopyRefusal, CopyRefused, CopyRequest,
};

/// Format version of frames that this build writes and reads.
pub const FRAME_VERSION: u8 = 1;
/// Longest datagram in bytes; fits any path that carries QUIC.
pub const MAXIMUM_DATAGRAM_LENGTH: usize = 1200;
/// Bytes before the payload.
pub const FRAME_PREFIX: usize = TAG_START + TAG_LENGTH;
/// Longest payload in bytes.
pub const MAXIMUM_PAYLOAD: usize = MAXIMUM_DATAGRAM_LENGTH - FRAME_PREFIX;
/// Bytes of a copy that one message carries.
pub const CHUNK_LENGTH: usize = 1024;
/// Chunks that one request may ask for.
pub const MAXIMUM_CHUNKS_PER_REQUEST: u16 = 16;
/// Peers that one digest message names at most.
pub const MAXIMUM_SAMPLE: usize = 4;

/// Reports that one message carries at most.
pub const MAXIMUM_REPORTS: usize = 32;

/// Bytes of the payload that tell which message it is.
const VARIANT_LENGTH: usize = 1;
const LENGTH_START: usize = 1;
const TAG_START: usize = 3;

/// A message between nodes, or between a node and an operator's command.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub enum ControlMessage {
    /// What the sender has in force.
    Digest(DigestMessage),
    /// A roll that the receiver may adopt.
    Offer(Box<Offer>),
    /// Asks for an offer of what the receiver has in force.
    RecordRequest(RecordRequest),
    /// Asks for a part of a copy.
    CopyRequest(CopyRequest),
    /// A part of a copy.
    CopyChunk(CopyChunk),
    /// The sender will not send the copy that was asked for.
    CopyRefused(CopyRefused),
    /// Asks for the receiver's status.
    StatusRequest(StatusRequest),
    /// The sender's status.
    StatusReply(StatusReply),
    /// What the sender knows of targets' agents.
    Reports(Reports),
    /// Asks the receiver to probe a node that does not answer the sender.
    ProbeRequest(ProbeRequest),
    /// The node that the receiver asked about answers the sender.
    ProbeConfirmed(ProbeConfirmed),
}

/// What a node has in force, and some of the nodes that it hears from.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct DigestMessage {
    /// The sender.
    pub sender: Peer,
    /// Whether the sender is stopping as planned.
    pub leaving: bool,
    /// Sequence in force at the sender.
    pub sequence: Sequence,
    /// Digest of the snapshot in force at the sender.
    pub snapshot: Digest,
    /// Whether the message asks for an answer or is one.
    pub exchange: Exchange,
    /// What the sender says of its target; none when it is no agent.
    pub own: Option<Report>,
    /// Fingerprint of the marked targets at the sender.
    pub marks: u64,
    /// Nodes that the sender heard from lately, at most [`MAXIMUM_SAMPLE`].
    pub sample: Vec<Peer>,
}

/// Number that ties a digest message to the answer to it.
#[derive(
    BorshDeserialize,
    BorshSerialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub struct ProbeNumber(pub u32);

/// Whether a digest message asks or answers.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exchange {
    /// Asks the receiver to answer with its own digest message.
    Probe(ProbeNumber),
    /// Answers the probe with this number.
    Answer(ProbeNumber),
}

/// A roll offered to a node.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct Offer {
    /// The roll.
    pub record: RollRecord,
    /// Changes that lead to it.
    pub delta: OfferedDelta,
}

/// Changes that an offer carries or names.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub enum OfferedDelta {
    /// None; the receiver needs a full copy.
    None,
    /// The changes themselves.
    Inline(Box<SnapshotDelta>),
    /// The sender can send them in chunks.
    Chunked {
        /// Digest of the snapshot that the changes start from.
        base: Digest,
        /// Length of their encoding in bytes.
        length: u32,
    },
}

/// Asks for an offer.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct RecordRequest {
    /// Sequence in force at the sender; zero when none is.
    pub sequence: Sequence,
    /// Digest of the snapshot in force at the sender; all zeros when none is.
    pub have: Digest,
}

/// Asks a node for its status.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct StatusRequest {
    /// Number that the reply repeats.
    pub number: ProbeNumber,
}

/// Status of a node's replica.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct StatusReply {
    /// Number of the request.
    pub number: ProbeNumber,
    /// The node.
    pub node: Peer,
    /// Sequence in force; zero when none is.
    pub sequence: Sequence,
    /// Digest of the snapshot in force; all zeros when none is.
    pub snapshot: Digest,
    /// Version of the bundle in force; zero when none is.
    pub bundle_version: u64,
    /// Whether the node has joined and serves.
    pub ready: bool,
    /// Whether the node is stopping as planned.
    pub leaving: bool,
    /// Whether the node woke from a pause and has not confirmed its state yet.
    pub suspect: bool,
    /// Nodes that it knows.
    pub known_nodes: u32,
    /// Nodes among them that it heard from lately.
    pub heard_nodes: u32,
    /// Records and copies that it refused since it started.
    pub rejections: u64,
}

/// What a node knows of targets' agents, in part.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct Reports {
    /// At most [`MAXIMUM_REPORTS`].
    pub reports: Vec<Report>,
}

/// Asks a node to probe another.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProbeRequest {
    /// Control address of the node to be probed.
    pub control: SocketAddr,
}

/// Says that a node answered which the receiver asked to have probed.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProbeConfirmed {
    /// Control address of the node that answered.
    pub control: SocketAddr,
}

/// Why bytes are not a control message.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FrameError {
    /// The bytes end inside the frame.
    Truncated,
    /// The frame is longer than [`MAXIMUM_DATAGRAM_LENGTH`].
    Oversized,
    /// The format version is not known.
    UnknownVersion,
    /// The tag does not match.
    Forged,
    /// The payload cannot be decoded, breaks a limit or is followed by bytes.
    Malformed,
}

impl ControlMessage {
    /// Writes the frame.
    ///
    /// # Errors
    /// [`FrameError::Oversized`] when it does not fit one datagram.
    pub fn encode(&self, key: &TagKey) -> Result<Vec<u8>, FrameError> {
        let mut frame = vec![0; FRAME_PREFIX];
        self.serialize(&mut frame)
            .map_err(|_| FrameError::Malformed)?;
        if frame.len() > MAXIMUM_DATAGRAM_LENGTH {
            return Err(FrameError::Oversized);
        }
        let length = u16::try_from(frame.len() - FRAME_PREFIX).unwrap_or(u16::MAX);
        let tag = key.tag(&frame[FRAME_PREFIX..], &[]);
        frame[0] = FRAME_VERSION;
        frame[LENGTH_START..TAG_START].copy_from_slice(&length.to_be_bytes());
        frame[TAG_START..FRAME_PREFIX].copy_from_slice(&tag);
        Ok(frame)
    }

    /// Reads a frame.
    ///
    /// # Errors
    /// [`FrameError`] when the bytes are not one whole frame under this key.
    pub fn decode(key: &TagKey, bytes: &[u8]) -> Result<Self, FrameError> {
        let payload = authenticated_payload(key, bytes)?;
        let message = Self::try_from_slice(payload).map_err(|_| FrameError::Malformed)?;
        if message.is_within_limits() {
            Ok(message)
        } else {
            Err(FrameError::Malformed)
        }
    }

    /// Length of the datagram that carries the message.
    #[must_use]
    pub fn datagram_length(&self) -> usize {
        FRAME_PREFIX + encoded_length(self)
    }

    fn is_within_limits(&self) -> bool {
        match self {
            Self::Digest(digest) => digest.sample.len() <= MAXIMUM_SAMPLE,
            Self::CopyRequest(request) => {
                request.limit <= MAXIMUM_CHUNKS_PER_REQUEST && request.wanted.is_within_limits()
            }
            Self::CopyChunk(chunk) => chunk.bytes.len() <= CHUNK_LENGTH,
            Self::Reports(batch) => batch.reports.len() <= MAXIMUM_REPORTS,
            _ => true,
        }
    }
}

impl Offer {
    /// An offer with the delta itself when it fits one datagram, or else with
    /// its length.
    #[must_use]
    pub fn fitting(record: RollRecord, delta: Option<&SnapshotDelta>) -> Self {
        let Some(delta) = delta else {
            return Self {
                record,
                delta: OfferedDelta::None,
            };
        };
        let whole = Self {
            record,
            delta: OfferedDelta::Inline(Box::new(delta.clone())),
        };
        if VARIANT_LENGTH + encoded_length(&whole) <= MAXIMUM_PAYLOAD {
            return whole;
        }
        let length = u32::try_from(encoded_length(delta)).unwrap_or(u32::MAX);
        Self {
            record: whole.record,
            delta: OfferedDelta::Chunked {
                base: delta.base,
                length,
            },
        }
    }
}

fn encoded_length<T: BorshSerialize>(value: &T) -> usize {
    borsh::object_length(value).unwrap_or(MAXIMUM_DATAGRAM_LENGTH)
}

fn authenticated_payload<'a>(key: &TagKey, bytes: &'a [u8]) -> Result<&'a [u8], FrameError> {
    if bytes.len() > MAXIMUM_DATAGRAM_LENGTH {
        return Err(FrameError::Oversized);
    }
    let prefix = bytes.get(..FRAME_PREFIX).ok_or(FrameError::Truncated)?;
    if prefix[0] != FRAME_VERSION {
        return Err(FrameError::UnknownVersion);
    }
    let length = usize::from(u16::from_be_bytes([prefix[1], prefix[2]]));
    if length > MAXIMUM_PAYLOAD {
        return Err(FrameError::Oversized);
    }
    let payload = bytes
        .get(FRAME_PREFIX..FRAME_PREFIX + length)
        .ok_or(FrameError::Truncated)?;
    if bytes.len() > FRAME_PREFIX + length {
        return Err(FrameError::Malformed);
    }
    if key.tag(payload, &[]) != prefix[TAG_START..] {
        return Err(FrameError::Forged);
    }
    Ok(payload)
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Truncated => "the control message is cut short",
            Self::Oversized => "the control message is longer than one datagram may be",
            Self::UnknownVersion => "the control message's format version is not known",
            Self::Forged => "the control message's tag does not match",
            Self::Malformed => "the control message is malformed",
        })
    }
}

impl std::error::Error for FrameError {}
