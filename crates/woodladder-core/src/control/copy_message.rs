//! Messages that transfer a copy in chunks. A copy is the encoding of a
//! snapshot or of a snapshot delta.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::control::chunk_set::ChunkSet;
use crate::digest::Digest;

/// What a copy contains.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CopyContent {
    /// The encoding of the snapshot with this digest.
    Snapshot(Digest),
    /// The encoding of the delta between two snapshots.
    Delta {
        /// Digest of the snapshot that the delta starts from.
        base: Digest,
        /// Digest of the snapshot that the delta leads to.
        result: Digest,
    },
}

/// Requests chunks of a copy.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct CopyRequest {
    /// Copy that the chunks belong to.
    pub content: CopyContent,
    /// Chunks that the sender lacks; the receiver chooses which of them to
    /// send.
    pub wanted_chunks: ChunkSet,
    /// Number of chunks to send, at most
    /// [`MAXIMUM_CHUNKS_PER_REQUEST`](super::control_message::MAXIMUM_CHUNKS_PER_REQUEST).
    pub maximum_chunks: u16,
}

/// One chunk of a copy.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct CopyChunk {
    /// Copy that the chunk belongs to.
    pub content: CopyContent,
    /// Position of the chunk in the copy, counted from zero.
    pub index: u32,
    /// Whether this is the last chunk sent for the request.
    pub is_last: bool,
    /// Bytes of the chunk:
    /// [`CHUNK_LENGTH`](super::control_message::CHUNK_LENGTH) of them, or fewer
    /// in the last chunk of the copy.
    pub bytes: Vec<u8>,
}

/// Refuses a request for chunks of a copy.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct CopyRefused {
    /// Copy that was requested.
    pub content: CopyContent,
    /// Why the request is refused.
    pub reason: CopyRefusal,
}

/// Why a request for chunks of a copy is refused.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyRefusal {
    /// The node neither has the copy nor is fetching it.
    NotHeld,
    /// The node is fetching the copy itself and has none of the wanted chunks
    /// yet.
    NoWantedChunk,
    /// The node has used up its send rate for copies.
    Busy,
}
