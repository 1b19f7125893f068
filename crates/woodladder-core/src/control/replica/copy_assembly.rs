//! Assembles a copy from its chunks.

use crate::control::chunk_set::ChunkSet;
use crate::control::control_message::{CHUNK_LENGTH, CopyChunk, CopyContent};

/// A copy of known length, some of whose chunks may be missing.
#[derive(Clone, Debug)]
pub(super) struct CopyAssembly {
    content: CopyContent,
    length: usize,
    chunks: Vec<Option<Vec<u8>>>,
    missing: usize,
}

impl CopyAssembly {
    /// An assembly without any chunk.
    pub(super) fn new(content: CopyContent, length: u32) -> Self {
        let length = length as usize;
        let count = length.div_ceil(CHUNK_LENGTH);
        Self {
            content,
            length,
            chunks: vec![None; count],
            missing: count,
        }
    }

    /// What the copy contains.
    pub(super) fn content(&self) -> CopyContent {
        self.content
    }

    /// Length of the complete copy in bytes.
    pub(super) fn byte_length(&self) -> u32 {
        u32::try_from(self.length).unwrap_or(u32::MAX)
    }

    /// Whether any chunk has arrived.
    pub(super) fn has_chunks(&self) -> bool {
        self.missing < self.chunks.len()
    }

    /// Number of missing chunks.
    pub(super) fn missing_count(&self) -> usize {
        self.missing
    }

    /// Positions of the missing chunks.
    pub(super) fn missing(&self) -> ChunkSet {
        let chunks = self.chunks.iter().enumerate();
        chunks
            .filter(|(_, chunk)| chunk.is_none())
            .map(|(index, _)| index)
            .collect()
    }

    /// Bytes of a chunk that has arrived.
    pub(super) fn chunk(&self, index: usize) -> Option<&[u8]> {
        self.chunks.get(index)?.as_deref()
    }

    /// Adds a chunk; returns false when it does not belong to this copy, does
    /// not have the length of the chunk at its position or has arrived before.
    pub(super) fn add(&mut self, chunk: CopyChunk) -> bool {
        let index = chunk.index as usize;
        let is_same_copy = chunk.content == self.content;
        if !is_same_copy || chunk.bytes.len() != self.expected_length(index) {
            return false;
        }
        match self.chunks.get_mut(index) {
            Some(slot @ None) => {
                *slot = Some(chunk.bytes);
                self.missing -= 1;
                true
            }
            _ => false,
        }
    }

    /// The complete copy, once no chunk is missing.
    pub(super) fn complete_bytes(&self) -> Option<Vec<u8>> {
        if self.missing > 0 {
            return None;
        }
        let mut bytes = Vec::with_capacity(self.length);
        for chunk in self.chunks.iter().flatten() {
            bytes.extend_from_slice(chunk);
        }
        Some(bytes)
    }

    fn expected_length(&self, index: usize) -> usize {
        let start = index.saturating_mul(CHUNK_LENGTH);
        self.length.saturating_sub(start).min(CHUNK_LENGTH)
    }
}
