//! Anti-entropy: digest messages at intervals, offers to whoever is behind,
//! and offers to a few nodes at once when a roll was adopted.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Instant;
use crate::configuration::snapshot_delta::SnapshotDelta;
use crate::control::control_message::{
    ControlMessage, DigestMessage, Exchange, MAXIMUM_PEER_SAMPLE, Offer, ProbeNumber, RecordRequest,
};
use crate::control::replica::pace::Pace;
use crate::control::replica::store_reader::jittered;
use crate::control::replica::{Replica, ReplicaTuning};
use crate::digest::Digest;
use crate::identifier::Sequence;

/// Peers that are asked at once by a node that starts, wakes from a pause or
/// learns that a greater sequence exists.
const URGENT_FANOUT: usize = 5;
/// Time between rounds of a node that is not ready yet.
const JOINING_INTERVAL: Duration = Duration::from_millis(300);
/// Rounds that a node that starts runs at the short interval, at most.
const JOINING_ROUNDS: u32 = 20;
/// Least time between two requests for the same record.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// When rounds run and what was asked lately.
#[derive(Clone, Debug)]
pub(super) struct Gossip {
    next_round: Instant,
    urgent: bool,
    short_rounds_left: u32,
    probe: ProbeNumber,
    requested: Option<(Sequence, Instant)>,
    offer_pace: Pace,
}

impl Gossip {
    pub(super) fn new(tuning: &ReplicaTuning, now: Instant) -> Self {
        Self {
            next_round: now,
            urgent: true,
            short_rounds_left: JOINING_ROUNDS,
            probe: ProbeNumber(1),
            requested: None,
            offer_pace: Pace::new(tuning.copy_bytes_per_second, now),
        }
    }

    pub(super) fn next_round(&self) -> Instant {
        self.next_round
    }

    /// Number of the probes of the next round.
    pub(super) fn next_probe(&self) -> ProbeNumber {
        self.probe
    }

    /// Runs the next round now, with more nodes than usual.
    pub(super) fn round_soon(&mut self, now: Instant) {
        self.next_round = now;
        self.urgent = true;
    }

    /// Whether a record may be requested: not when it was a moment ago.
    fn may_request(&mut self, sequence: Sequence, now: Instant) -> bool {
        let lately = self.requested.is_some_and(|(requested, at)| {
            requested >= sequence && now.since(at) < REQUEST_INTERVAL
        });
        if !lately {
            self.requested = Some((sequence, now));
        }
        !lately
    }
}

impl Replica {
    /// Sends this round's digest messages, when it is due.
    pub(super) fn run_round(&mut self, now: Instant) {
        if now < self.gossip.next_round {
            return;
        }
        let fanout = match self.gossip.urgent {
            true => URGENT_FANOUT,
            false => self.settings.tuning.digest_fanout,
        };
        self.gossip.urgent = false;
        let interval = self.round_interval();
        self.gossip.next_round = now + jittered(interval, &mut self.random);
        let number = self.gossip.probe;
        self.gossip.probe = ProbeNumber(number.0.wrapping_add(1));
        for control_address in self.members.pick(fanout, &mut self.random) {
            self.members.record_request_sent(control_address);
            self.watch(control_address, now);
            let message = self.digest_message(Exchange::Probe(number), now);
            self.send(control_address, message);
        }
        self.copies.release_idle(now);
    }

    /// Takes a node's digest message: answers it, and offers or requests a
    /// record when one of both is behind.
    pub(super) fn handle_digest(&mut self, from: SocketAddr, digest: &DigestMessage, now: Instant) {
        if digest.sender.node == self.settings.node {
            return;
        }
        self.members
            .record_message_from(digest.sender, digest.leaving, now);
        for peer in &digest.peer_sample {
            self.members.record_named_peer(*peer);
        }
        self.note_alive(digest, now);
        self.compare_marks(from, digest, now);
        match digest.exchange {
            Exchange::Probe(number) => {
                let answer = self.digest_message(Exchange::Answer(number), now);
                self.send(from, answer);
            }
            Exchange::Answer(number) => self.note_answer(number, digest),
        }
        if digest.sequence > self.sequence() {
            self.note_greater(from, digest.sequence, now);
        } else if digest.sequence < self.sequence() {
            self.offer_to(from, digest.snapshot_digest, now);
        }
    }

    /// Takes a request for what is in force here.
    pub(super) fn handle_record_request(
        &mut self,
        from: SocketAddr,
        request: RecordRequest,
        now: Instant,
    ) {
        if request.sequence < self.sequence() {
            self.offer_to(from, request.snapshot_digest, now);
        } else if let Some(offer) = self.fetched_offer()
            && offer.record.sequence() > request.sequence
        {
            self.send(from, ControlMessage::Offer(Box::new(offer)));
        }
    }

    /// The data path saw a packet under a sequence.
    pub(super) fn handle_sequence_seen(&mut self, sequence: Sequence, now: Instant) {
        if sequence <= self.sequence() || self.is_fetching(sequence, now) {
            return;
        }
        self.greatest_heard = self.greatest_heard.max(sequence);
        if !self.gossip.may_request(sequence, now) {
            return;
        }
        let request = self.record_request();
        for control_address in self.members.pick(URGENT_FANOUT, &mut self.random) {
            self.send(control_address, ControlMessage::RecordRequest(request));
        }
    }

    /// Offers the roll that was just adopted to a few nodes.
    pub(super) fn spread(&mut self) {
        let Some(offer) = self.newest_offer() else {
            return;
        };
        let fanout = self.settings.tuning.rumor_fanout;
        for control_address in self.members.pick(fanout, &mut self.random) {
            self.send(
                control_address,
                ControlMessage::Offer(Box::new(offer.clone())),
            );
        }
    }

    /// Tells a few nodes of the record that is being fetched, so that they
    /// fetch it at the same time and pass chunks to each other.
    pub(super) fn spread_fetched(&mut self) {
        let Some(offer) = self.fetched_offer() else {
            return;
        };
        let fanout = self.settings.tuning.rumor_fanout;
        for control_address in self.members.pick(fanout, &mut self.random) {
            self.send(
                control_address,
                ControlMessage::Offer(Box::new(offer.clone())),
            );
        }
    }

    fn fetched_offer(&self) -> Option<Offer> {
        let fetch = self.fetch.as_ref()?;
        Some(Offer {
            record: fetch.record().clone(),
            delta: fetch.offered_delta(),
        })
    }

    fn round_interval(&mut self) -> Duration {
        let joining = !self.is_ready() && self.gossip.short_rounds_left > 0;
        if joining {
            self.gossip.short_rounds_left -= 1;
            JOINING_INTERVAL
        } else {
            self.settings.tuning.digest_interval
        }
    }

    fn note_answer(&mut self, number: ProbeNumber, digest: &DigestMessage) {
        if digest.sequence > Sequence::default() {
            self.joining.peer_answered(digest.sender.node);
        }
        if digest.sequence <= self.sequence() {
            self.vigilance.confirmed_by_peer(number);
        }
    }

    /// A node has a greater sequence in force.
    fn note_greater(&mut self, from: SocketAddr, sequence: Sequence, now: Instant) {
        self.greatest_heard = self.greatest_heard.max(sequence);
        if let Some(fetch) = &mut self.fetch
            && fetch.record().sequence() == sequence
        {
            fetch.add_source(from);
            return;
        }
        if self.is_fetching(sequence, now) || !self.gossip.may_request(sequence, now) {
            return;
        }
        let request = self.record_request();
        self.send(from, ControlMessage::RecordRequest(request));
    }

    fn is_fetching(&self, sequence: Sequence, now: Instant) -> bool {
        let fetch = self.fetch.as_ref();
        fetch.is_some_and(|fetch| fetch.record().sequence() >= sequence && !fetch.is_stuck(now))
    }

    fn offer_to(&mut self, to: SocketAddr, have: Digest, now: Instant) {
        let delta = self.history.since(have);
        let Some(offer) = self.offer(delta.as_ref()) else {
            return;
        };
        let message = ControlMessage::Offer(Box::new(offer));
        if self.gossip.offer_pace.take(message.datagram_length(), now) {
            self.send(to, message);
        }
    }

    pub(super) fn record_request(&self) -> RecordRequest {
        RecordRequest {
            sequence: self.sequence(),
            snapshot_digest: self.digest(),
        }
    }

    fn newest_offer(&self) -> Option<Offer> {
        self.offer(self.history.last())
    }

    /// An offer of the roll in force, with the delta as far as it fits.
    fn offer(&self, delta: Option<&SnapshotDelta>) -> Option<Offer> {
        let record = self.installed.as_ref()?.record.clone();
        Some(Offer::fitting_datagram(record, delta))
    }

    pub(super) fn digest_message(&mut self, exchange: Exchange, now: Instant) -> ControlMessage {
        ControlMessage::Digest(DigestMessage {
            sender: self.settings.peer(),
            leaving: self.leaving,
            sequence: self.sequence(),
            snapshot_digest: self.digest(),
            exchange,
            own_report: self.availability.own.as_ref().map(|own| *own.report()),
            unavailable_fingerprint: self.availability.fingerprint(),
            peer_sample: self
                .members
                .sample(MAXIMUM_PEER_SAMPLE, now, &mut self.random),
        })
    }
}
