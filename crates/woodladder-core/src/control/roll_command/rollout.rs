//! After a roll was accepted: offers it to nodes and asks where it is in force.

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

/// Nodes that get an offer at once; they spread it further.
const OFFER_FANOUT: usize = 32;
/// Time between two batches of status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Status requests in one batch.
const POLL_BATCH: usize = 1000;
/// Time that nodes get to hear of the roll from each other, before one that
/// is behind gets an offer of its own.
const OFFER_AGAIN_AFTER: Duration = Duration::from_secs(1);
/// Time before a node is asked again.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(700);
/// Bytes a second of copies that the command sends.
const COPY_BYTES_PER_SECOND: u32 = 1024 * 1024;

/// A node that is reported on.
#[derive(Clone, Copy, Debug)]
struct AskedNode {
    control_address: SocketAddr,
    asked: Option<Instant>,
    answered: bool,
    in_force: bool,
}

/// Watches a roll come into force.
#[derive(Clone, Debug)]
pub(super) struct Rollout {
    planned: PlannedRoll,
    nodes: Vec<AskedNode>,
    known: FxHashSet<SocketAddr>,
    copies: CopyServer,
    next_position: usize,
    next_poll: Instant,
    offers_again_at: Instant,
    ends_at: Instant,
    progress: RollProgress,
}

/// A message and where it goes.
pub(super) type Addressed = (SocketAddr, ControlMessage);

impl Rollout {
    pub(super) fn new(
        planned: PlannedRoll,
        nodes: &[SocketAddr],
        time: Duration,
        now: Instant,
    ) -> Self {
        let mut rollout = Self {
            planned,
            nodes: Vec::with_capacity(nodes.len()),
            known: FxHashSet::default(),
            copies: CopyServer::new(COPY_BYTES_PER_SECOND, now),
            next_position: 0,
            next_poll: now + POLL_INTERVAL,
            offers_again_at: now + OFFER_AGAIN_AFTER,
            ends_at: now + time,
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

    /// Adds nodes that are not known yet.
    pub(super) fn add_nodes(&mut self, nodes: &[SocketAddr]) {
        for control_address in nodes {
            if !self.known.insert(*control_address) {
                continue;
            }
            self.nodes.push(AskedNode {
                control_address: *control_address,
                asked: None,
                answered: false,
                in_force: false,
            });
        }
        self.progress.known = self.nodes.len();
    }

    /// The first offers.
    pub(super) fn offers(&self, random: &mut impl Rng) -> Vec<Addressed> {
        let count = OFFER_FANOUT.min(self.nodes.len());
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

    /// Whether all nodes have it in force or the time is over.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        self.progress.in_force == self.progress.known || now >= self.ends_at
    }

    /// Status requests that are due.
    pub(super) fn due(&mut self, now: Instant) -> Vec<Addressed> {
        if now < self.next_poll {
            return Vec::new();
        }
        self.next_poll = now + POLL_INTERVAL;
        let mut due = Vec::new();
        for _ in 0..self.nodes.len() {
            let position = self.next_position;
            self.next_position = (position + 1) % self.nodes.len();
            due.extend(self.ask(position, now));
            if due.len() == POLL_BATCH {
                break;
            }
        }
        due
    }

    /// Takes a reply; true when the progress changed.
    pub(super) fn reply(&mut self, reply: &StatusReply) -> bool {
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

    /// The offer to a node whose reply shows that it is still behind.
    pub(super) fn offer_to_late(
        &self,
        reply: &StatusReply,
        now: Instant,
    ) -> Option<ControlMessage> {
        if now < self.offers_again_at {
            return None;
        }
        self.answer_record(RecordRequest {
            sequence: reply.sequence,
            snapshot_digest: reply.snapshot,
        })
    }

    /// The offer that a node asks for.
    pub(super) fn answer_record(&self, request: RecordRequest) -> Option<ControlMessage> {
        if request.sequence >= self.planned.record().sequence() {
            return None;
        }
        let offer = self.planned.offer(request.snapshot_digest);
        Some(ControlMessage::Offer(Box::new(offer)))
    }

    /// The chunks that a node asks for.
    pub(super) fn answer_copy(
        &mut self,
        request: &CopyRequest,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<ControlMessage> {
        let planned = &self.planned;
        let load = |content: &CopyContent| planned_content(planned, content);
        self.copies.answer(request, now, random, load)
    }

    pub(super) fn next_wakeup(&self) -> Instant {
        self.next_poll.min(self.ends_at)
    }

    fn ask(&mut self, position: usize, now: Instant) -> Option<Addressed> {
        let node = &mut self.nodes[position];
        let lately = |asked: Instant| now.since(asked) < ASK_AGAIN_AFTER;
        if node.in_force || node.asked.is_some_and(lately) {
            return None;
        }
        node.asked = Some(now);
        let number = ProbeNumber(u32::try_from(position).ok()?);
        let request = StatusRequest { number };
        Some((node.control_address, ControlMessage::StatusRequest(request)))
    }
}

fn planned_content(planned: &PlannedRoll, content: &CopyContent) -> Option<Vec<u8>> {
    let result: Digest = planned.digest();
    match content {
        CopyContent::Snapshot(digest) if *digest == result => Some(planned.copy.clone()),
        CopyContent::Delta { base, result: to } if *to == result => {
            let delta = planned.delta.as_ref().filter(|delta| delta.base == *base)?;
            Some(crate::configuration::bundle::encode(delta))
        }
        _ => None,
    }
}
