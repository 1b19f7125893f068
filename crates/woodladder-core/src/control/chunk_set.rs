//! A set of chunks of a copy, as nodes name it to each other.

use borsh::{BorshDeserialize, BorshSerialize};

/// Longest encoding of the bits of a set in bytes.
pub const MAXIMUM_SET_LENGTH: usize = 1024;

const BITS: usize = 8;

/// Chunks by position: one bit each, the lowest bit of the first byte first.
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

    /// Adds a chunk; positions that no datagram could name are left out.
    pub fn insert(&mut self, index: usize) {
        let byte = index / BITS;
        if byte >= MAXIMUM_SET_LENGTH {
            return;
        }
        if byte >= self.bits.len() {
            self.bits.resize(byte + 1, 0);
        }
        self.bits[byte] |= 1 << (index % BITS);
    }

    /// Positions in the set, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        let bytes = self.bits.iter().enumerate();
        bytes.flat_map(|(byte, bits)| {
            let is_set = move |bit: &usize| bits & (1 << bit) != 0;
            (0..BITS).filter(is_set).map(move |bit| byte * BITS + bit)
        })
    }

    /// Whether the set is short enough for a datagram.
    #[must_use]
    pub fn is_within_limits(&self) -> bool {
        self.bits.len() <= MAXIMUM_SET_LENGTH
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
