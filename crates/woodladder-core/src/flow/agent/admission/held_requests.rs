//! Requests on open flows that wait at the agent, with all packets behind their first.
//!
//! The packets of a flow keep the order of their bytes, and a repetition of one that
//! waits is not kept. Nothing that waits is acknowledged, so its caller goes on sending
//! it and nothing is lost when the agent ends.
//!
//! A request that is given up is forgotten with its packets; the flow stays open. If its
//! caller has not left after all, it sends them again: they wait with the age of the
//! first time, and are not given up a second time, so that the flow goes on.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::clock::Instant;
use crate::flow::identity::{FlowKey, NodeAddress};
use crate::flow::packet::FlowPacket;

/// Most flows whose requests wait.
pub const HELD_FLOWS: usize = 128;
/// Most bytes of all packets that wait.
pub const HELD_BYTES: usize = 256 * 1024;
/// Most packets of one flow that wait: what a caller may have under way.
pub const HELD_PACKETS: usize = 16;
/// Most flows of which it is remembered that a request was given up.
const GIVEN_UP_FLOWS: usize = 512;

/// What a route asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldTerms {
    /// Time in which a request should be answered.
    pub aim: Duration,
    /// Time after which an answer is of no use any more.
    pub timeout: Duration,
    /// Whether the route matters more than another one of the same service.
    pub is_urgent: bool,
}

/// A packet that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldPacket {
    /// What the decisions need of it.
    pub packet: FlowPacket,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// A request that waits.
#[derive(Clone, Debug)]
pub struct HeldRequest {
    /// Balancer that sent the latest packet.
    pub balancer: NodeAddress,
    /// What its route asks for.
    pub terms: HeldTerms,
    /// When its first packet came.
    pub first_seen: Instant,
    /// When it began to wait, this time.
    pub held_at: Instant,
    /// Its packets in the order of their bytes.
    pub packets: Vec<HeldPacket>,
    /// Whether it was given up before and its caller has sent it again.
    pub is_revived: bool,
}

/// What became of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Held {
    /// It waits.
    Waits,
    /// It waits already.
    Copy,
    /// There is no place for it.
    Full,
}

/// What is remembered of a request that was given up.
#[derive(Clone, Copy, Debug)]
struct GivenUpRequest {
    /// When its first packet came.
    first_seen: Instant,
    /// When it was given up. Its caller has been silent since then.
    given_up_at: Instant,
}

/// Requests of open flows that wait, by flow.
#[derive(Clone, Debug, Default)]
pub struct HeldRequests {
    requests: FxHashMap<FlowKey, HeldRequest>,
    given_up: FxHashMap<FlowKey, GivenUpRequest>,
    bytes: usize,
}

impl HeldRequests {
    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Bytes of the packets that wait.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether a request of a flow waits.
    #[must_use]
    pub fn contains(&self, key: &FlowKey) -> bool {
        self.requests.contains_key(key)
    }

    /// Whether a flow's request that waits was given up before.
    #[must_use]
    pub fn was_given_up(&self, key: &FlowKey) -> bool {
        self.requests
            .get(key)
            .is_some_and(|request| request.is_revived)
    }

    /// All that wait.
    pub fn iter(&self) -> impl Iterator<Item = (&FlowKey, &HeldRequest)> {
        self.requests.iter()
    }

    /// Lets a request wait, from its first packet on.
    pub fn hold(
        &mut self,
        from: NodeAddress,
        packet: &FlowPacket,
        bytes: &[u8],
        terms: HeldTerms,
        now: Instant,
    ) -> Held {
        if self.requests.len() >= HELD_FLOWS || self.bytes + bytes.len() > HELD_BYTES {
            return Held::Full;
        }
        let given_up = self.given_up.remove(&packet.key);
        let request = HeldRequest {
            balancer: from,
            terms,
            first_seen: given_up.map_or(now, |request| request.first_seen),
            held_at: now,
            packets: vec![HeldPacket {
                packet: *packet,
                bytes: bytes.to_vec(),
            }],
            is_revived: given_up.is_some(),
        };
        self.bytes += bytes.len();
        self.requests.insert(packet.key, request);
        Held::Waits
    }

    /// Lets a further packet wait with its flow's request.
    pub fn add(&mut self, from: NodeAddress, packet: &FlowPacket, bytes: &[u8]) -> Held {
        let Some(request) = self.requests.get_mut(&packet.key) else {
            return Held::Full;
        };
        request.balancer = from;
        let waits = |held: &HeldPacket| {
            held.packet.sequence == packet.sequence && held.packet.kind == packet.kind
        };
        if request.packets.iter().any(waits) {
            return Held::Copy;
        }
        if request.packets.len() >= HELD_PACKETS || self.bytes + bytes.len() > HELD_BYTES {
            return Held::Full;
        }
        let place = request
            .packets
            .partition_point(|held| !is_before(packet.sequence, held.packet.sequence));
        let held = HeldPacket {
            packet: *packet,
            bytes: bytes.to_vec(),
        };
        request.packets.insert(place, held);
        self.bytes += bytes.len();
        Held::Waits
    }

    /// Takes a flow's request out, to be handed over.
    pub fn take(&mut self, key: &FlowKey) -> Option<HeldRequest> {
        let request = self.requests.remove(key)?;
        self.bytes -= request.bytes();
        Some(request)
    }

    /// A flow's request has gone to the target: if it was given up before, that is
    /// forgotten, since the flow's next request is another one.
    pub fn passed(&mut self, key: &FlowKey) {
        self.given_up.remove(key);
    }

    /// Forgets what is known of a flow that has ended; says how many packets waited.
    pub fn forget(&mut self, key: &FlowKey) -> usize {
        self.given_up.remove(key);
        self.take(key).map_or(0, |request| request.packets.len())
    }

    /// Gives requests up whose callers have left: their timeout has passed. Requests
    /// that cannot be remembered, or whose callers have come back, stay.
    pub fn give_up_hopeless(&mut self, now: Instant) -> Vec<(FlowKey, HeldRequest)> {
        let room = GIVEN_UP_FLOWS.saturating_sub(self.given_up.len());
        let hopeless: Vec<FlowKey> = self
            .requests
            .iter()
            .filter(|(_, request)| request.is_hopeless(now))
            .map(|(key, _)| *key)
            .take(room)
            .collect();
        let mut given_up = Vec::new();
        for key in hopeless {
            if let Some(request) = self.take(&key) {
                let remembered = GivenUpRequest {
                    first_seen: request.first_seen,
                    given_up_at: now,
                };
                self.given_up.insert(key, remembered);
                given_up.push((key, request));
            }
        }
        given_up
    }

    /// Forgets given-up requests whose callers have been silent for this long.
    pub fn forget_silent(&mut self, after: Duration, now: Instant) {
        self.given_up
            .retain(|_, request| now.since(request.given_up_at) < after);
    }

    /// The flows that wait, those whose requests came first in front.
    #[must_use]
    pub fn keys_by_age(&self) -> Vec<FlowKey> {
        let mut keys: Vec<FlowKey> = self.requests.keys().copied().collect();
        keys.sort_by_key(|key| self.requests.get(key).map(|request| request.first_seen));
        keys
    }
}

impl HeldRequest {
    fn is_hopeless(&self, now: Instant) -> bool {
        !self.is_revived && now.since(self.first_seen) >= self.terms.timeout
    }

    fn bytes(&self) -> usize {
        self.packets.iter().map(|held| held.bytes.len()).sum()
    }
}

/// Whether one number of a wrapping sequence lies before another.
fn is_before(one: u32, other: u32) -> bool {
    one.wrapping_sub(other) > u32::MAX / 2
}
