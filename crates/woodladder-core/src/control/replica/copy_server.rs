//! Sends copies in chunks to nodes that ask for them.

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
use crate::control::replica::pace::Pace;

const MAXIMUM_HELD: usize = 4;
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Encoded copies that were asked for lately.
#[derive(Clone, Debug)]
pub struct CopyServer {
    pace: Pace,
    held: Vec<HeldCopy>,
}

#[derive(Clone, Debug)]
struct HeldCopy {
    content: CopyContent,
    bytes: Arc<[u8]>,
    used: Instant,
}

impl CopyServer {
    /// A server that sends so many bytes a second at most.
    #[must_use]
    pub fn new(bytes_per_second: u32, now: Instant) -> Self {
        Self {
            pace: Pace::new(bytes_per_second, now),
            held: Vec::new(),
        }
    }

    /// Messages that answer a request; `load` encodes content that is not
    /// held yet.
    pub fn answer(
        &mut self,
        request: &CopyRequest,
        now: Instant,
        random: &mut impl Rng,
        load: impl FnOnce(&CopyContent) -> Option<Vec<u8>>,
    ) -> Vec<ControlMessage> {
        let Some(bytes) = self.hold(request.content, now, load) else {
            return refused(request, CopyRefusal::NotHeld);
        };
        self.send(request, |index| chunk_of(&bytes, index), now, random)
    }

    /// Messages that answer a request for a copy that is not whole here yet.
    pub(super) fn answer_part(
        &mut self,
        request: &CopyRequest,
        part: &CopyAssembly,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<ControlMessage> {
        self.send(request, |index| part.chunk(index), now, random)
    }

    /// Drops copies that nobody asked for lately.
    pub fn release_idle(&mut self, now: Instant) {
        self.held.retain(|copy| now.since(copy.used) < IDLE_TIME);
    }

    /// Sends wanted chunks, chosen at random so that nodes which ask at the
    /// same time get different ones to pass on.
    fn send<'a>(
        &mut self,
        request: &CopyRequest,
        chunk: impl Fn(usize) -> Option<&'a [u8]>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<ControlMessage> {
        let wanted = request.wanted_chunks.iter();
        let held: Vec<(usize, &[u8])> = wanted
            .filter_map(|index| chunk(index).map(|bytes| (index, bytes)))
            .collect();
        if held.is_empty() {
            return refused(request, CopyRefusal::NoWantedChunk);
        }
        let limit = usize::from(request.maximum_chunks.min(MAXIMUM_CHUNKS_PER_REQUEST));
        let mut chosen = Vec::new();
        for place in index::sample(random, held.len(), limit.min(held.len())) {
            if !self.pace.take(held[place].1.len(), now) {
                break;
            }
            chosen.push(held[place]);
        }
        if chosen.is_empty() {
            return refused(request, CopyRefusal::Busy);
        }
        messages(request.content, &chosen)
    }

    fn hold(
        &mut self,
        content: CopyContent,
        now: Instant,
        load: impl FnOnce(&CopyContent) -> Option<Vec<u8>>,
    ) -> Option<Arc<[u8]>> {
        if let Some(copy) = self.held.iter_mut().find(|copy| copy.content == content) {
            copy.used = now;
            return Some(Arc::clone(&copy.bytes));
        }
        let bytes: Arc<[u8]> = load(&content)?.into();
        if self.held.len() == MAXIMUM_HELD {
            self.held.remove(0);
        }
        self.held.push(HeldCopy {
            content,
            bytes: Arc::clone(&bytes),
            used: now,
        });
        Some(bytes)
    }
}

fn refused(request: &CopyRequest, reason: CopyRefusal) -> Vec<ControlMessage> {
    let content = request.content;
    vec![ControlMessage::CopyRefused(CopyRefused { content, reason })]
}

fn chunk_of(copy: &[u8], index: usize) -> Option<&[u8]> {
    let start = index.checked_mul(CHUNK_LENGTH)?;
    let rest = copy.get(start..).filter(|rest| !rest.is_empty())?;
    Some(&rest[..rest.len().min(CHUNK_LENGTH)])
}

fn messages(content: CopyContent, chosen: &[(usize, &[u8])]) -> Vec<ControlMessage> {
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
