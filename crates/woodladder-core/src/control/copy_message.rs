//! Messages that carry a copy of a snapshot, or of changes, in chunks.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::control::chunk_set::ChunkSet;
use crate::digest::Digest;

/// What a copy is of.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CopyContent {
    /// The encoding of the snapshot with this digest.
    Snapshot(Digest),
    /// The encoding of the changes between two snapshots.
    Delta {
        /// Digest of the snapshot that the changes start from.
        base: Digest,
        /// Digest of the snapshot that they lead to.
        result: Digest,
    },
}

/// Asks for chunks of a copy.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct CopyRequest {
    /// What to copy.
    pub content: CopyContent,
    /// Chunks that the sender misses; the receiver chooses among them.
    pub wanted: ChunkSet,
    /// How many to send, at most
    /// [`MAXIMUM_CHUNKS_PER_REQUEST`](super::control_message::MAXIMUM_CHUNKS_PER_REQUEST).
    pub limit: u16,
}

/// One chunk of a copy.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct CopyChunk {
    /// What it is a copy of.
    pub content: CopyContent,
    /// Position of the chunk.
    pub index: u32,
    /// Whether it is the last one sent for the request.
    pub last: bool,
    /// Bytes of the chunk: [`CHUNK_LENGTH`](super::control_message::CHUNK_LENGTH), fewer in the last one.
    pub bytes: Vec<u8>,
}

/// Refuses a copy.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct CopyRefused {
    /// What was asked for.
    pub content: CopyContent,
    /// Why it is refused.
    pub reason: CopyRefusal,
}

/// Why a copy is refused.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyRefusal {
    /// The node neither holds nor fetches it.
    NotHeld,
    /// The node fetches it itself and has none of the wanted chunks yet.
    NotYet,
    /// The node sends as much as it may already.
    Busy,
}
