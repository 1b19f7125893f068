//! Puts a copy together from its chunks.

use crate::control_message::{CHUNK_LENGTH, CopyChunk, CopyContent, MAXIMUM_CHUNKS_PER_REQUEST};

/// A copy of known length, of which some chunks may be missing.
#[derive(Clone, Debug)]
pub(super) struct CopyAssembly {
    content: CopyContent,
    length: usize,
    chunks: Vec<Option<Vec<u8>>>,
    missing: usize,
}

/// Consecutive chunks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ChunkRange {
    pub(super) first: u32,
    pub(super) count: u16,
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

    /// The first run of missing chunks, as many as one request may ask for.
    pub(super) fn next_missing(&self) -> Option<ChunkRange> {
        let first = self.chunks.iter().position(Option::is_none)?;
        let run = self.chunks[first..]
            .iter()
            .take(usize::from(MAXIMUM_CHUNKS_PER_REQUEST))
            .take_while(|chunk| chunk.is_none())
            .count();
        Some(ChunkRange {
            first: u32::try_from(first).ok()?,
            count: u16::try_from(run).ok()?,
        })
    }

    /// Whether all chunks of a range are there.
    pub(super) fn has(&self, range: ChunkRange) -> bool {
        let first = range.first as usize;
        let end = (first + usize::from(range.count)).min(self.chunks.len());
        self.chunks
            .get(first..end)
            .is_some_and(|chunks| chunks.iter().all(Option::is_some))
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
