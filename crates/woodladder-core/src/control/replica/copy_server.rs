//! Sends copies in chunks to nodes that request them.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::index;

use crate::clock::Instant;
use crate::control::control_message::{
    CHUNK_LENGTH, ControlMessage, CopyChunk, CopyContent, CopyRefusal, CopyRefused, CopyRequest,
    MAXIMUM_CHUNKS_PER_REQUEST,
};
use crate::control::replica::copy_assembly::CopyAssembly;
use crate::control::replica::token_bucket::TokenBucket;

const MAXIMUM_CACHED_COPIES: usize = 4;
/// A cached copy is dropped when it has not been requested for this time.
const CACHE_IDLE_TIME: Duration = Duration::from_secs(30);

/// Limits the rate of the copies that are sent, and caches the encoded copies
/// that were requested recently.
#[derive(Clone, Debug)]
pub struct CopyServer {
    bucket: TokenBucket,
    cached: Vec<CachedCopy>,
}

#[derive(Clone, Debug)]
struct CachedCopy {
    content: CopyContent,
    bytes: Arc<[u8]>,
    last_used: Instant,
}

impl CopyServer {
    /// Creates a server that sends copies at a mean rate of at most
    /// `bytes_per_second`.
    #[must_use]
    pub fn new(bytes_per_second: u32, now: Instant) -> Self {
        Self {
            bucket: TokenBucket::new(bytes_per_second, now),
            cached: Vec::new(),
        }
    }

    /// Returns the messages that answer a request. `encode` encodes a copy that
    /// is not cached.
    pub fn answer(
        &mut self,
        request: &CopyRequest,
        now: Instant,
        random: &mut impl Rng,
        encode: impl FnOnce(&CopyContent) -> Option<Vec<u8>>,
    ) -> Vec<ControlMessage> {
        let Some(bytes) = self.get_or_encode(request.content, now, encode) else {
            return refused(request, CopyRefusal::NotHeld);
        };
        self.send(request, |index| chunk_at(&bytes, index), now, random)
    }

    /// Returns the messages that answer a request for a copy of which only some
    /// chunks have arrived.
    pub(super) fn answer_from_partial_copy(
        &mut self,
        request: &CopyRequest,
        partial_copy: &CopyAssembly,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<ControlMessage> {
        self.send(request, |index| partial_copy.chunk(index), now, random)
    }

    /// Drops the cached copies that have not been requested recently.
    pub fn drop_idle_copies(&mut self, now: Instant) {
        self.cached
            .retain(|copy| now.since(copy.last_used) < CACHE_IDLE_TIME);
    }

    /// Sends some of the wanted chunks. The chunks are chosen at random, so that
    /// nodes which request the copy at the same time receive different chunks
    /// and can send them to each other.
    fn send<'a>(
        &mut self,
        request: &CopyRequest,
        chunk: impl Fn(usize) -> Option<&'a [u8]>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<ControlMessage> {
        let wanted = request.wanted_chunks.iter();
        let available: Vec<(usize, &[u8])> = wanted
            .filter_map(|index| chunk(index).map(|bytes| (index, bytes)))
            .collect();
        if available.is_empty() {
            return refused(request, CopyRefusal::NoWantedChunk);
        }
        let limit = usize::from(request.maximum_chunks.min(MAXIMUM_CHUNKS_PER_REQUEST));
        let mut chosen = Vec::new();
        for position in index::sample(random, available.len(), limit.min(available.len())) {
            if !self.bucket.take(available[position].1.len(), now) {
                break;
            }
            chosen.push(available[position]);
        }
        if chosen.is_empty() {
            return refused(request, CopyRefusal::Busy);
        }
        chunk_messages(request.content, &chosen)
    }

    /// Returns a copy from the cache, or encodes and caches it. A full cache
    /// drops the copy that was encoded first.
    fn get_or_encode(
        &mut self,
        content: CopyContent,
        now: Instant,
        encode: impl FnOnce(&CopyContent) -> Option<Vec<u8>>,
    ) -> Option<Arc<[u8]>> {
        if let Some(copy) = self.cached.iter_mut().find(|copy| copy.content == content) {
            copy.last_used = now;
            return Some(Arc::clone(&copy.bytes));
        }
        let bytes: Arc<[u8]> = encode(&content)?.into();
        if self.cached.len() == MAXIMUM_CACHED_COPIES {
            self.cached.remove(0);
        }
        self.cached.push(CachedCopy {
            content,
            bytes: Arc::clone(&bytes),
            last_used: now,
        });
        Some(bytes)
    }
}

fn refused(request: &CopyRequest, reason: CopyRefusal) -> Vec<ControlMessage> {
    let content = request.content;
    vec![ControlMessage::CopyRefused(CopyRefused { content, reason })]
}

fn chunk_at(copy: &[u8], index: usize) -> Option<&[u8]> {
    let start = index.checked_mul(CHUNK_LENGTH)?;
    let rest = copy.get(start..).filter(|rest| !rest.is_empty())?;
    Some(&rest[..rest.len().min(CHUNK_LENGTH)])
}

fn chunk_messages(content: CopyContent, chosen: &[(usize, &[u8])]) -> Vec<ControlMessage> {
    let mut left = chosen.len();
    let mut messages = Vec::with_capacity(left);
    for (index, bytes) in chosen {
        left -= 1;
        messages.push(ControlMessage::CopyChunk(CopyChunk {
            content,
            index: u32::try_from(*index).unwrap_or(u32::MAX),
            is_last: left == 0,
            bytes: bytes.to_vec(),
        }));
    }
    messages
}
