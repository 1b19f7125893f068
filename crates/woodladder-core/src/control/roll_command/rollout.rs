//! After a roll was accepted: offers it to nodes and polls which nodes have it
//! in force.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::index;
use rustc_hash::FxHashSet;

use crate::clock::Instant;
use crate::control::control_message::{
    ControlMessage, CopyContent, CopyRequest, ProbeNumber, RecordRequest, StatusReply,
    StatusRequest,
};
use crate::control::replica::CopyServer;
use crate::control::roll_command::RollProgress;
use crate::control::roll_command::plan::PlannedRoll;
use crate::digest::Digest;

/// Number of nodes that are offered the roll at the start; these nodes spread
/// the roll to the others.
const INITIAL_OFFER_FANOUT: usize = 32;
/// Time between two batches of status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Largest number of status requests in one batch.
const POLL_BATCH: usize = 1000;
/// Time for nodes to receive the roll from each other. After this time, the
/// command offers the roll to each node whose status reply shows an older roll.
const DIRECT_OFFER_DELAY: Duration = Duration::from_secs(1);
/// Least time between two status requests to the same node.
const NODE_POLL_INTERVAL: Duration = Duration::from_millis(700);
/// Mean rate in bytes per second of the copies that the command sends.
const COPY_BYTES_PER_SECOND: u32 = 1024 * 1024;

/// A node whose status is polled.
#[derive(Clone, Copy, Debug)]
struct PolledNode {
    control_address: SocketAddr,
    last_polled: Option<Instant>,
    answered: bool,
    in_force: bool,
}

/// Offers a roll to nodes and counts the nodes that have it in force.
#[derive(Clone, Debug)]
pub(super) struct Rollout {
    planned: PlannedRoll,
    nodes: Vec<PolledNode>,
    known: FxHashSet<SocketAddr>,
    copies: CopyServer,
    next_poll_position: usize,
    next_poll: Instant,
    direct_offers_from: Instant,
    ends_at: Instant,
    progress: RollProgress,
}

/// A message with the address of its receiver.
pub(super) type AddressedMessage = (SocketAddr, ControlMessage);

impl Rollout {
    pub(super) fn new(
        planned: PlannedRoll,
        nodes: &[SocketAddr],
        timeout: Duration,
        now: Instant,
    ) -> Self {
        let mut rollout = Self {
            planned,
            nodes: Vec::with_capacity(nodes.len()),
            known: FxHashSet::default(),
            copies: CopyServer::new(COPY_BYTES_PER_SECOND, now),
            next_poll_position: 0,
            next_poll: now + POLL_INTERVAL,
            direct_offers_from: now + DIRECT_OFFER_DELAY,
            ends_at: now + timeout,
            progress: RollProgress::default(),
        };
        rollout.add_nodes(nodes);
        rollout
    }

    pub(super) fn planned(&self) -> &PlannedRoll {
        &self.planned
    }

    pub(super) fn progress(&self) -> RollProgress {
        self.progress
    }

    /// Adds the nodes that are not known yet.
    pub(super) fn add_nodes(&mut self, nodes: &[SocketAddr]) {
        for control_address in nodes {
            if !self.known.insert(*control_address) {
                continue;
            }
            self.nodes.push(PolledNode {
                control_address: *control_address,
                last_polled: None,
                answered: false,
                in_force: false,
            });
        }
        self.progress.known = self.nodes.len();
    }

    /// The offers to a few random nodes at the start.
    pub(super) fn initial_offers(&self, random: &mut impl Rng) -> Vec<AddressedMessage> {
        let count = INITIAL_OFFER_FANOUT.min(self.nodes.len());
        let base = self.planned.delta.as_ref().map(|delta| delta.base);
        let offer = self.planned.offer(base.unwrap_or_default());
        index::sample(random, self.nodes.len(), count)
            .into_iter()
            .map(|position| {
                let message = ControlMessage::Offer(Box::new(offer.clone()));
                (self.nodes[position].control_address, message)
            })
            .collect()
    }

    /// Whether all nodes have the roll in force or the time limit has passed.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        self.progress.in_force == self.progress.known || now >= self.ends_at
    }

    /// The status requests that are due.
    pub(super) fn due_status_requests(&mut self, now: Instant) -> Vec<AddressedMessage> {
        if now < self.next_poll {
            return Vec::new();
        }
        self.next_poll = now + POLL_INTERVAL;
        let mut due = Vec::new();
        for _ in 0..self.nodes.len() {
            let position = self.next_poll_position;
            self.next_poll_position = (position + 1) % self.nodes.len();
            due.extend(self.poll_node(position, now));
            if due.len() == POLL_BATCH {
                break;
            }
        }
        due
    }

    /// Handles a status reply; returns whether the progress changed.
    pub(super) fn handle_reply(&mut self, reply: &StatusReply) -> bool {
        let Some(node) = self.nodes.get_mut(reply.number.0 as usize) else {
            return false;
        };
        let before = self.progress;
        if !node.answered {
            node.answered = true;
            self.progress.answered += 1;
        }
        let own = self.planned.record().sequence();
        if !node.in_force && reply.sequence >= own {
            node.in_force = true;
            self.progress.in_force += 1;
            self.progress.later += usize::from(reply.sequence > own);
        }
        before != self.progress
    }

    /// The offer for a node whose status reply shows that it is still behind.
    pub(super) fn offer_if_behind(
        &self,
        reply: &StatusReply,
        now: Instant,
    ) -> Option<ControlMessage> {
        if now < self.direct_offers_from {
            return None;
        }
        self.answer_record_request(RecordRequest {
            sequence: reply.sequence,
            snapshot_digest: reply.snapshot,
        })
    }

    /// The answer to a node's request for an offer; `None` if the node is not
    /// behind.
    pub(super) fn answer_record_request(&self, request: RecordRequest) -> Option<ControlMessage> {
        if request.sequence >= self.planned.record().sequence() {
            return None;
        }
        let offer = self.planned.offer(request.snapshot_digest);
        Some(ControlMessage::Offer(Box::new(offer)))
    }

    /// The answer to a node's request for chunks.
    pub(super) fn answer_copy_request(
        &mut self,
        request: &CopyRequest,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<ControlMessage> {
        let planned = &self.planned;
        let encode_content = |content: &CopyContent| encoded_planned_content(planned, content);
        self.copies.answer(request, now, random, encode_content)
    }

    pub(super) fn next_wakeup(&self) -> Instant {
        self.next_poll.min(self.ends_at)
    }

    fn poll_node(&mut self, position: usize, now: Instant) -> Option<AddressedMessage> {
        let node = &mut self.nodes[position];
        let polled_recently = |last_polled: Instant| now.since(last_polled) < NODE_POLL_INTERVAL;
        if node.in_force || node.last_polled.is_some_and(polled_recently) {
            return None;
        }
        node.last_polled = Some(now);
        let number = ProbeNumber(u32::try_from(position).ok()?);
        let request = StatusRequest { number };
        Some((node.control_address, ControlMessage::StatusRequest(request)))
    }
}

fn encoded_planned_content(planned: &PlannedRoll, content: &CopyContent) -> Option<Vec<u8>> {
    let result: Digest = planned.digest();
    match content {
        CopyContent::Snapshot(digest) if *digest == result => {
            Some(planned.encoded_snapshot.clone())
        }
        CopyContent::Delta { base, result: to } if *to == result => {
            let delta = planned.delta.as_ref().filter(|delta| delta.base == *base)?;
            Some(crate::configuration::bundle::encode(delta))
        }
        _ => None,
    }
}
