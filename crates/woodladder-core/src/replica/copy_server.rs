//! Sends copies in chunks to nodes that ask for them.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::control_message::{
    CHUNK_LENGTH, ControlMessage, CopyChunk, CopyContent, CopyRefusal, CopyRefused, CopyRequest,
    MAXIMUM_CHUNKS_PER_REQUEST,
};
use crate::replica::pace::Pace;

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
        load: impl FnOnce(&CopyContent) -> Option<Vec<u8>>,
    ) -> Vec<ControlMessage> {
        let Some(bytes) = self.hold(request.content, now, load) else {
            return vec![refused(request.content, CopyRefusal::NotHeld)];
        };
        let messages = chunks(request, &bytes);
        let length = messages.iter().map(ControlMessage::datagram_length).sum();
        if messages.is_empty() {
            return vec![refused(request.content, CopyRefusal::NotHeld)];
        }
        if !self.pace.take(length, now) {
            return vec![refused(request.content, CopyRefusal::Busy)];
        }
        messages
    }

    /// Drops copies that nobody asked for lately.
    pub fn release_idle(&mut self, now: Instant) {
        self.held.retain(|copy| now.since(copy.used) < IDLE_TIME);
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

fn refused(content: CopyContent, reason: CopyRefusal) -> ControlMessage {
    ControlMessage::CopyRefused(CopyRefused { content, reason })
}

fn chunks(request: &CopyRequest, bytes: &[u8]) -> Vec<ControlMessage> {
    let count = request.count.min(MAXIMUM_CHUNKS_PER_REQUEST);
    let first = request.first;
    let wanted = first..first.saturating_add(u32::from(count));
    wanted
        .filter_map(|index| chunk(request.content, index, bytes))
        .collect()
}

fn chunk(content: CopyContent, index: u32, bytes: &[u8]) -> Option<ControlMessage> {
    let start = (index as usize).checked_mul(CHUNK_LENGTH)?;
    let rest = bytes.get(start..).filter(|rest| !rest.is_empty())?;
    let length = rest.len().min(CHUNK_LENGTH);
    Some(ControlMessage::CopyChunk(CopyChunk {
        content,
        index,
        bytes: rest[..length].to_vec(),
    }))
}
