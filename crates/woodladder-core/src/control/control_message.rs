//! Control messages between nodes. Each message is sent as one frame in one
//! datagram:
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
use crate::control::availability::AvailabilityReport;
use crate::control::membership::Peer;
use crate::digest::Digest;
use crate::identifier::Sequence;
use crate::packets::keyed_tag::{TAG_LENGTH, TagKey};

pub use crate::control::copy_message::{
    CopyChunk, CopyContent, CopyRefusal, CopyRefused, CopyRequest,
};

/// Format version of the frames that this build writes and accepts.
pub const FRAME_VERSION: u8 = 1;
/// Longest datagram in bytes. Every path that carries QUIC also carries
/// datagrams of this length.
pub const MAXIMUM_DATAGRAM_LENGTH: usize = 1200;
/// Length in bytes of the part of a frame before the payload.
pub const FRAME_HEADER_LENGTH: usize = TAG_START + TAG_LENGTH;
/// Longest payload of a frame in bytes.
pub const MAXIMUM_PAYLOAD_LENGTH: usize = MAXIMUM_DATAGRAM_LENGTH - FRAME_HEADER_LENGTH;
/// Length of a chunk in bytes; the last chunk of a copy may be shorter.
pub const CHUNK_LENGTH: usize = 1024;
/// Largest number of chunks that one request may ask for.
pub const MAXIMUM_CHUNKS_PER_REQUEST: u16 = 16;
/// Largest number of peers in the sample of one digest message.
pub const MAXIMUM_PEER_SAMPLE: usize = 4;

/// Largest number of availability reports in one message.
pub const MAXIMUM_REPORTS_PER_MESSAGE: usize = 32;

/// Length in bytes of the borsh variant index at the start of the payload.
const VARIANT_LENGTH: usize = 1;
const LENGTH_START: usize = 1;
const TAG_START: usize = 3;

/// A message between two nodes, or between a node and an operator's command.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub enum ControlMessage {
    /// The roll in force at the sender, sent as a probe or as the answer to
    /// one.
    Digest(DigestMessage),
    /// Offers a roll that the receiver may adopt.
    Offer(Box<Offer>),
    /// Requests an offer of a roll with a greater sequence than the sender's.
    RecordRequest(RecordRequest),
    /// Requests chunks of a copy.
    CopyRequest(CopyRequest),
    /// One chunk of a copy.
    CopyChunk(CopyChunk),
    /// Refuses a request for chunks of a copy.
    CopyRefused(CopyRefused),
    /// Requests the receiver's status.
    StatusRequest(StatusRequest),
    /// The sender's status.
    StatusReply(StatusReply),
    /// Availability reports about targets that the sender knows.
    AvailabilityReports(AvailabilityReports),
    /// Requests a probe of a node that does not answer the sender.
    ProbeRequest(ProbeRequest),
    /// Confirms that the node which the receiver asked the sender to probe has
    /// answered.
    ProbeConfirmed(ProbeConfirmed),
}

/// The roll in force at a node, and a sample of the nodes that it knows.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct DigestMessage {
    /// Node that sends the message.
    pub sender: Peer,
    /// Whether the sender has begun a planned stop.
    pub leaving: bool,
    /// Sequence in force at the sender; zero when none is.
    pub sequence: Sequence,
    /// Digest of the snapshot in force at the sender; all zeros when none is.
    pub snapshot_digest: Digest,
    /// Whether the message is a probe or the answer to one.
    pub exchange: Exchange,
    /// The sender's report about its own target; `None` when the sender is not
    /// an agent.
    pub own_report: Option<AvailabilityReport>,
    /// Fingerprint of the sender's reports about unavailable targets.
    pub unavailable_fingerprint: u64,
    /// Nodes that the sender heard from recently, at most
    /// [`MAXIMUM_PEER_SAMPLE`].
    pub peer_sample: Vec<Peer>,
}

/// Number that matches an answer to its probe, or a status reply to its
/// request.
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

/// Whether a digest message is a probe or an answer.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exchange {
    /// A probe: the receiver answers with its own digest message.
    Probe(ProbeNumber),
    /// The answer to the probe with this number.
    Answer(ProbeNumber),
}

/// Offers a roll to a node.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Signed record of the roll.
    pub record: RollRecord,
    /// Delta that leads to the snapshot of the roll.
    pub delta: OfferedDelta,
}

/// How an offer makes the delta available.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub enum OfferedDelta {
    /// No delta is available; the receiver needs a full copy of the snapshot.
    None,
    /// The offer contains the delta.
    Inline(Box<SnapshotDelta>),
    /// The sender has the delta and can send it in chunks.
    Chunked {
        /// Digest of the snapshot that the delta starts from.
        base: Digest,
        /// Length of the encoded delta in bytes.
        length: u32,
    },
}

/// Requests an offer of the roll that the receiver has in force or is fetching,
/// if its sequence is greater than the sender's. The digest lets the receiver
/// choose a delta.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct RecordRequest {
    /// Sequence in force at the sender; zero when none is.
    pub sequence: Sequence,
    /// Digest of the snapshot in force at the sender; all zeros when none is.
    pub snapshot_digest: Digest,
}

/// Requests the status of a node.
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
    /// Node that replies.
    pub node: Peer,
    /// Sequence in force; zero when none is.
    pub sequence: Sequence,
    /// Digest of the snapshot in force; all zeros when none is.
    pub snapshot: Digest,
    /// Version of the bundle in force; zero when none is.
    pub bundle_version: u64,
    /// Whether the node has joined and serves.
    pub ready: bool,
    /// Whether the node has begun a planned stop.
    pub leaving: bool,
    /// Whether the node's process was paused and the roll in force has not been
    /// confirmed since.
    pub suspect: bool,
    /// Number of nodes in the member table.
    pub known_nodes: u32,
    /// Number of nodes in the member table that were heard from recently.
    pub heard_nodes: u32,
    /// Number of frames, records, deltas and copies rejected since the node
    /// started.
    pub rejections: u64,
}

/// Some of the availability reports that a node has.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct AvailabilityReports {
    /// The reports, at most [`MAXIMUM_REPORTS_PER_MESSAGE`].
    pub reports: Vec<AvailabilityReport>,
}

/// Requests that the receiver probe another node.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProbeRequest {
    /// Control address of the node to probe.
    pub control_address: SocketAddr,
}

/// Confirms that the node which the receiver asked the sender to probe has
/// answered.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProbeConfirmed {
    /// Control address of the node that answered.
    pub control_address: SocketAddr,
}

/// Why a datagram is not a valid control message.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FrameError {
    /// The datagram ends before the end of the frame.
    Truncated,
    /// The frame is longer than [`MAXIMUM_DATAGRAM_LENGTH`].
    Oversized,
    /// This build does not support the format version.
    UnknownVersion,
    /// The tag does not match the payload: the frame is forged or damaged, or
    /// the sender has another key.
    TagMismatch,
    /// The payload cannot be decoded or exceeds a limit, or further bytes
    /// follow it.
    Malformed,
}

impl ControlMessage {
    /// Encodes the message as a frame.
    ///
    /// # Errors
    /// [`FrameError::Oversized`] when the frame does not fit in one datagram.
    pub fn encode(&self, key: &TagKey) -> Result<Vec<u8>, FrameError> {
        let mut frame = vec![0; FRAME_HEADER_LENGTH];
        self.serialize(&mut frame)
            .map_err(|_| FrameError::Malformed)?;
        if frame.len() > MAXIMUM_DATAGRAM_LENGTH {
            return Err(FrameError::Oversized);
        }
        let length = u16::try_from(frame.len() - FRAME_HEADER_LENGTH).unwrap_or(u16::MAX);
        let tag = key.tag(&frame[FRAME_HEADER_LENGTH..], &[]);
        frame[0] = FRAME_VERSION;
        frame[LENGTH_START..TAG_START].copy_from_slice(&length.to_be_bytes());
        frame[TAG_START..FRAME_HEADER_LENGTH].copy_from_slice(&tag);
        Ok(frame)
    }

    /// Decodes a frame.
    ///
    /// # Errors
    /// [`FrameError`] when the bytes are not exactly one valid frame under this
    /// key.
    pub fn decode(key: &TagKey, bytes: &[u8]) -> Result<Self, FrameError> {
        let payload = authenticated_payload(key, bytes)?;
        let message = Self::try_from_slice(payload).map_err(|_| FrameError::Malformed)?;
        if message.is_within_limits() {
            Ok(message)
        } else {
            Err(FrameError::Malformed)
        }
    }

    /// Length in bytes of the datagram that carries the message.
    #[must_use]
    pub fn datagram_length(&self) -> usize {
        FRAME_HEADER_LENGTH + encoded_length(self)
    }

    fn is_within_limits(&self) -> bool {
        match self {
            Self::Digest(digest) => digest.peer_sample.len() <= MAXIMUM_PEER_SAMPLE,
            Self::CopyRequest(request) => {
                request.maximum_chunks <= MAXIMUM_CHUNKS_PER_REQUEST
                    && request.wanted_chunks.is_within_limits()
            }
            Self::CopyChunk(chunk) => chunk.bytes.len() <= CHUNK_LENGTH,
            Self::AvailabilityReports(batch) => batch.reports.len() <= MAXIMUM_REPORTS_PER_MESSAGE,
            _ => true,
        }
    }
}

impl Offer {
    /// Builds an offer that fits in one datagram: with the delta inline if it
    /// fits, or else with the length of the delta.
    #[must_use]
    pub fn fitting_datagram(record: RollRecord, delta: Option<&SnapshotDelta>) -> Self {
        let Some(delta) = delta else {
            return Self {
                record,
                delta: OfferedDelta::None,
            };
        };
        let inline = Self {
            record,
            delta: OfferedDelta::Inline(Box::new(delta.clone())),
        };
        if VARIANT_LENGTH + encoded_length(&inline) <= MAXIMUM_PAYLOAD_LENGTH {
            return inline;
        }
        let length = u32::try_from(encoded_length(delta)).unwrap_or(u32::MAX);
        Self {
            record: inline.record,
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
    let header = bytes
        .get(..FRAME_HEADER_LENGTH)
        .ok_or(FrameError::Truncated)?;
    if header[0] != FRAME_VERSION {
        return Err(FrameError::UnknownVersion);
    }
    let length = usize::from(u16::from_be_bytes([header[1], header[2]]));
    if length > MAXIMUM_PAYLOAD_LENGTH {
        return Err(FrameError::Oversized);
    }
    let payload = bytes
        .get(FRAME_HEADER_LENGTH..FRAME_HEADER_LENGTH + length)
        .ok_or(FrameError::Truncated)?;
    if bytes.len() > FRAME_HEADER_LENGTH + length {
        return Err(FrameError::Malformed);
    }
    if key.tag(payload, &[]) != header[TAG_START..] {
        return Err(FrameError::TagMismatch);
    }
    Ok(payload)
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Truncated => "the control message is cut short",
            Self::Oversized => "the control message is longer than one datagram may be",
            Self::UnknownVersion => "the control message's format version is not known",
            Self::TagMismatch => "the control message's tag does not match",
            Self::Malformed => "the control message is malformed",
        })
    }
}

impl std::error::Error for FrameError {}
