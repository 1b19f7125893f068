//! How many flows that bring many bytes share a link at a time.
//!
//! Each sender has up to [`super::WINDOW`] bytes under way, whatever the link
//! carries: when more windows come together than the link holds, packets are lost
//! and each loss costs a sender 200 milliseconds and more. Openings beyond that wait
//! here, where nothing of them has run. Flows that are open are never held.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::clock::Instant;
use crate::flow::identity::FlowKey;
use crate::flow::packet::{FlowPacket, PacketKind};

/// Silence after which a flow is not under way any more.
const QUIET: Duration = Duration::from_millis(60);
/// Longest wait: the caller's attempt ends at 1.4 seconds.
const LONGEST_WAIT: Duration = Duration::from_millis(1200);
/// Most openings that wait.
const MOST_WAITING: usize = 256;

/// What is known of an opening of a bulk route.
#[derive(Clone, Copy, Debug)]
pub struct BulkTerms {
    /// Time in which its request should be answered.
    pub aim: Duration,
    /// Time after which an answer is of no use any more.
    pub timeout: Duration,
    /// Time that its bytes take on the link alone.
    pub transfer: Duration,
}

impl BulkTerms {
    /// Age, counted from the first sending, from which an opening does not go any
    /// more: what its bytes take on the link is left of its timeout.
    fn longest_wait(&self) -> Duration {
        LONGEST_WAIT.min(self.timeout.saturating_sub(self.transfer))
    }
}

/// What happens to an opening.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BulkDecision {
    /// It goes on.
    Admit,
    /// It waits here.
    Wait,
    /// It is refused: nothing of it has run, and its time here would end before its
    /// turn comes.
    Refuse,
}

/// An opening whose wait has ended.
#[derive(Clone, Debug)]
pub struct ReleasedOpening {
    /// The opening.
    pub packet: FlowPacket,
    /// As it came.
    pub bytes: Vec<u8>,
    /// When it came.
    pub queued_at: Instant,
    /// When its caller sent it for the first time.
    pub first_sent: Instant,
    /// Whether it goes on; it is refused otherwise.
    pub is_admitted: bool,
}

#[derive(Clone, Copy, Debug)]
struct UnderWay {
    last_at: Instant,
    /// Longest data of one packet so far, in bytes.
    longest: u16,
}

#[derive(Clone, Debug)]
struct Waiting {
    packet: FlowPacket,
    bytes: Vec<u8>,
    terms: BulkTerms,
    since: Instant,
    first_sent: Instant,
}

impl Waiting {
    fn is_vain(&self, now: Instant) -> bool {
        now.since(self.first_sent) >= self.terms.longest_wait()
    }

    /// Whether it is answered within its aim when it begins now; half of the aim is
    /// left for what its packets meet on their way.
    fn is_in_time(&self, now: Instant) -> bool {
        now.since(self.first_sent) + self.terms.transfer <= self.terms.aim / 2
    }
}

/// Flows under way, and openings that wait for one of them to end.
#[derive(Clone, Debug, Default)]
pub struct BulkAdmission {
    under_way: FxHashMap<FlowKey, UnderWay>,
    waiting: Vec<Waiting>,
}

impl BulkAdmission {
    /// Takes an opening of a bulk route; at most `limit` flows are to be under way.
    pub fn opening(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        terms: BulkTerms,
        limit: usize,
        now: Instant,
    ) -> BulkDecision {
        let key = packet.key;
        if self.under_way.contains_key(&key) {
            return BulkDecision::Admit;
        }
        let mut waiting = self.waiting.iter_mut();
        if let Some(known) = waiting.find(|waiting| waiting.packet.key == key) {
            // The latest copy tells how old the opening is.
            known.packet = *packet;
            known.bytes = bytes.to_vec();
            known.first_sent = known.first_sent.min(packet.first_sent(now));
            return BulkDecision::Wait;
        }
        self.expire(now);
        let is_first = packet.acknowledgement == 0;
        if !is_first || (self.waiting.is_empty() && self.under_way.len() < limit) {
            self.begin(key, now);
            return BulkDecision::Admit;
        }
        if self.waiting.len() >= MOST_WAITING || self.turn_comes_late(terms, limit) {
            return BulkDecision::Refuse;
        }
        self.waiting.push(Waiting {
            packet: *packet,
            bytes: bytes.to_vec(),
            terms,
            since: now,
            first_sent: packet.first_sent(now),
        });
        BulkDecision::Wait
    }

    /// Takes any other packet of a bulk route's flow: its caller does not wait for an
    /// opening any more, of which a copy may have gone through another balancer.
    pub fn packet(&mut self, packet: &FlowPacket, now: Instant) {
        self.forget_waiting(|key| *key == packet.key);
        match packet.kind {
            PacketKind::Finish | PacketKind::Reset => {
                self.under_way.remove(&packet.key);
            }
            PacketKind::Data if packet.payload_length > 0 => self.data(packet, now),
            _ => {}
        }
    }

    fn data(&mut self, packet: &FlowPacket, now: Instant) {
        let flow = self.under_way.entry(packet.key).or_insert(UnderWay {
            last_at: now,
            longest: 0,
        });
        flow.last_at = now;
        flow.longest = flow.longest.max(packet.payload_length);
        // Senders fill their packets, but for the last one of a request.
        if packet.payload_length < flow.longest {
            self.under_way.remove(&packet.key);
        }
    }

    /// Forgets waiting openings of these flows.
    pub fn forget_waiting(&mut self, is_of: impl Fn(&FlowKey) -> bool) {
        self.waiting.retain(|waiting| !is_of(&waiting.packet.key));
    }

    /// Openings whose wait ends now, in the order in which they are to go.
    pub fn release(&mut self, limit: usize, now: Instant) -> Vec<ReleasedOpening> {
        let mut released = Vec::new();
        self.expire(now);
        let mut index = 0;
        while index < self.waiting.len() {
            if self.waiting[index].is_vain(now) {
                released.push(ended(self.waiting.remove(index), false));
            } else {
                index += 1;
            }
        }
        while self.under_way.len() < limit
            && let Some(next) = self.next(now)
        {
            let waiting = self.waiting.remove(next);
            self.begin(waiting.packet.key, now);
            released.push(ended(waiting, true));
        }
        released
    }

    /// Whether [`Self::release`] may have something to give.
    #[must_use]
    pub fn has_room(&self, limit: usize) -> bool {
        !self.waiting.is_empty() && self.under_way.len() < limit
    }

    /// Flows under way.
    #[must_use]
    pub fn under_way(&self) -> usize {
        self.under_way.len()
    }

    /// Openings that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The opening that goes next: the oldest of those that can still be answered in
    /// time, or the newest when none can; none of them is vain.
    fn next(&self, now: Instant) -> Option<usize> {
        let in_time = self
            .waiting
            .iter()
            .position(|waiting| waiting.is_in_time(now));
        in_time.or(self.waiting.len().checked_sub(1))
    }

    /// Whether an opening that comes now gets its turn only after its longest wait,
    /// when those before it take as long as the link needs for their bytes.
    fn turn_comes_late(&self, terms: BulkTerms, limit: usize) -> bool {
        let before = u32::try_from(self.waiting.len() + limit).unwrap_or(u32::MAX);
        terms.transfer.saturating_mul(before) > LONGEST_WAIT.min(terms.timeout)
    }

    fn begin(&mut self, key: FlowKey, now: Instant) {
        let flow = UnderWay {
            last_at: now,
            longest: 0,
        };
        self.under_way.insert(key, flow);
    }

    fn expire(&mut self, now: Instant) {
        self.under_way
            .retain(|_, flow| now.since(flow.last_at) < QUIET);
    }
}

fn ended(waiting: Waiting, is_admitted: bool) -> ReleasedOpening {
    ReleasedOpening {
        packet: waiting.packet,
        bytes: waiting.bytes,
        queued_at: waiting.since,
        first_sent: waiting.first_sent,
        is_admitted,
    }
}
