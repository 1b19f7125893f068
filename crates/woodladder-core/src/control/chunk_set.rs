//! A set of chunks of a copy, encoded as a bitmap in messages between nodes.

use borsh::{BorshDeserialize, BorshSerialize};

/// Longest encoding of the bitmap in bytes.
pub const MAXIMUM_CHUNK_SET_LENGTH: usize = 1024;

const BITS_PER_BYTE: usize = 8;

/// Positions of chunks as a bitmap, the lowest bit of the first byte first.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Default, Eq, PartialEq)]
pub struct ChunkSet {
    bits: Vec<u8>,
}

impl ChunkSet {
    /// The empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a chunk. A position whose bit lies beyond the first
    /// [`MAXIMUM_CHUNK_SET_LENGTH`] bytes of the bitmap is ignored, because a
    /// set that contains it would not fit in a datagram.
    pub fn insert(&mut self, index: usize) {
        let byte = index / BITS_PER_BYTE;
        if byte >= MAXIMUM_CHUNK_SET_LENGTH {
            return;
        }
        if byte >= self.bits.len() {
            self.bits.resize(byte + 1, 0);
        }
        self.bits[byte] |= 1 << (index % BITS_PER_BYTE);
    }

    /// Positions in the set, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        let bytes = self.bits.iter().enumerate();
        bytes.flat_map(|(byte, bits)| {
            let is_set = move |bit: &usize| bits & (1 << bit) != 0;
            (0..BITS_PER_BYTE)
                .filter(is_set)
                .map(move |bit| byte * BITS_PER_BYTE + bit)
        })
    }

    /// Whether the bitmap is no longer than [`MAXIMUM_CHUNK_SET_LENGTH`].
    #[must_use]
    pub fn is_within_limits(&self) -> bool {
        self.bits.len() <= MAXIMUM_CHUNK_SET_LENGTH
    }
}

impl FromIterator<usize> for ChunkSet {
    fn from_iter<T: IntoIterator<Item = usize>>(indices: T) -> Self {
        let mut set = Self::new();
        for index in indices {
            set.insert(index);
        }
        set
    }
}
