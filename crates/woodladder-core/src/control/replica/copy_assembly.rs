//! Puts a copy together from its chunks.

use crate::control::chunk_set::ChunkSet;
use crate::control::control_message::{CHUNK_LENGTH, CopyChunk, CopyContent};

/// A copy of known length, of which some chunks may be missing.
#[derive(Clone, Debug)]
pub(super) struct CopyAssembly {
    content: CopyContent,
    length: usize,
    chunks: Vec<Option<Vec<u8>>>,
    missing: usize,
}

impl CopyAssembly {
    /// An assembly without chunks yet.
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

    /// What is put together.
    pub(super) fn content(&self) -> CopyContent {
        self.content
    }

    /// Length of the whole copy in bytes.
    pub(super) fn byte_length(&self) -> u32 {
        u32::try_from(self.length).unwrap_or(u32::MAX)
    }

    /// Whether a chunk has come.
    pub(super) fn is_begun(&self) -> bool {
        self.missing < self.chunks.len()
    }

    /// How many chunks are missing.
    pub(super) fn missing_count(&self) -> usize {
        self.missing
    }

    /// The chunks that are missing.
    pub(super) fn missing(&self) -> ChunkSet {
        let chunks = self.chunks.iter().enumerate();
        chunks
            .filter(|(_, chunk)| chunk.is_none())
            .map(|(index, _)| index)
            .collect()
    }

    /// A chunk that is there.
    pub(super) fn chunk(&self, index: usize) -> Option<&[u8]> {
        self.chunks.get(index)?.as_deref()
    }

    /// Adds a chunk; false when it does not belong here or is there already.
    pub(super) fn add(&mut self, chunk: CopyChunk) -> bool {
        let index = chunk.index as usize;
        let belongs = chunk.content == self.content;
        if !belongs || chunk.bytes.len() != self.expected_length(index) {
            return false;
        }
        match self.chunks.get_mut(index) {
            Some(place @ None) => {
                *place = Some(chunk.bytes);
                self.missing -= 1;
                true
            }
            _ => false,
        }
    }

    /// The whole copy, once no chunk is missing.
    pub(super) fn whole(&self) -> Option<Vec<u8>> {
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
