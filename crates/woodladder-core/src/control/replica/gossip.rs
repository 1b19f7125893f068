//! Gossip among nodes: digest messages at intervals, offers to nodes that are
//! behind, and offers to a few nodes as soon as a roll is adopted or being
//! fetched.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Instant;
use crate::configuration::snapshot_delta::SnapshotDelta;
use crate::control::control_message::{
    ControlMessage, DigestMessage, Exchange, MAXIMUM_PEER_SAMPLE, Offer, ProbeNumber, RecordRequest,
};
use crate::control::replica::store_reader::jittered;
use crate::control::replica::token_bucket::TokenBucket;
use crate::control::replica::{Replica, ReplicaTuning};
use crate::digest::Digest;
use crate::identifier::Sequence;

/// Number of nodes that a node contacts at once when it starts, resumes after a
/// pause, begins a planned stop or receives a greater sequence.
const URGENT_FANOUT: usize = 5;
/// Mean time between the rounds of a node that is not ready yet.
const JOINING_INTERVAL: Duration = Duration::from_millis(300);
/// Largest number of rounds at this short interval after the start.
const JOINING_ROUNDS: u32 = 20;
/// Least time between two requests for the same record.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// Schedule of the rounds, and the last record request.
#[derive(Clone, Debug)]
pub(super) struct Gossip {
    next_round: Instant,
    urgent: bool,
    short_rounds_left: u32,
    probe: ProbeNumber,
    requested: Option<(Sequence, Instant)>,
    offer_bucket: TokenBucket,
}

impl Gossip {
    pub(super) fn new(tuning: &ReplicaTuning, now: Instant) -> Self {
        Self {
            next_round: now,
            urgent: true,
            short_rounds_left: JOINING_ROUNDS,
            probe: ProbeNumber(1),
            requested: None,
            offer_bucket: TokenBucket::new(tuning.copy_bytes_per_second, now),
        }
    }

    pub(super) fn next_round(&self) -> Instant {
        self.next_round
    }

    /// Number that identifies the probes of the next round, and the probes that
    /// are sent outside the rounds until then.
    pub(super) fn next_probe(&self) -> ProbeNumber {
        self.probe
    }

    /// Makes the next round due at once, with more nodes than usual.
    pub(super) fn schedule_urgent_round(&mut self, now: Instant) {
        self.next_round = now;
        self.urgent = true;
    }

    /// Whether a record may be requested: only if the last request for it, or
    /// for a greater sequence, is at least [`REQUEST_INTERVAL`] ago. Records the
    /// request if it may be sent.
    fn may_request(&mut self, sequence: Sequence, now: Instant) -> bool {
        let is_recent = self.requested.is_some_and(|(requested, at)| {
            requested >= sequence && now.since(at) < REQUEST_INTERVAL
        });
        if !is_recent {
            self.requested = Some((sequence, now));
        }
        !is_recent
    }
}

impl Replica {
    /// Sends the probes of a round when the round is due.
    pub(super) fn send_due_round(&mut self, now: Instant) {
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
            self.track_probe(control_address, now);
            let message = self.digest_message(Exchange::Probe(number), now);
            self.send(control_address, message);
        }
        self.copies.drop_idle_copies(now);
    }

    /// Handles a digest message: answers a probe, and offers or requests a
    /// record if either node is behind.
    pub(super) fn handle_digest(&mut self, from: SocketAddr, digest: &DigestMessage, now: Instant) {
        if digest.sender.node == self.settings.node {
            return;
        }
        self.members
            .record_message_from(digest.sender, digest.leaving, now);
        for peer in &digest.peer_sample {
            self.members.record_named_peer(*peer);
        }
        self.record_digest(digest, now);
        self.compare_unavailable_targets(from, digest, now);
        match digest.exchange {
            Exchange::Probe(number) => {
                let answer = self.digest_message(Exchange::Answer(number), now);
                self.send(from, answer);
            }
            Exchange::Answer(number) => self.record_probe_answer(number, digest),
        }
        if digest.sequence > self.sequence() {
            self.handle_greater_sequence(from, digest.sequence, now);
        } else if digest.sequence < self.sequence() {
            self.offer_to(from, digest.snapshot_digest, now);
        }
    }

    /// Handles a request for an offer.
    pub(super) fn handle_record_request(
        &mut self,
        from: SocketAddr,
        request: RecordRequest,
        now: Instant,
    ) {
        if request.sequence < self.sequence() {
            self.offer_to(from, request.snapshot_digest, now);
        } else if let Some(offer) = self.offer_of_record_being_fetched()
            && offer.record.sequence() > request.sequence
        {
            self.send(from, ControlMessage::Offer(Box::new(offer)));
        }
    }

    /// Handles a sequence that the data path saw in a packet, and requests its
    /// record if the sequence is greater than the one in force.
    pub(super) fn handle_sequence_seen(&mut self, sequence: Sequence, now: Instant) {
        if sequence <= self.sequence() || self.is_fetching(sequence, now) {
            return;
        }
        self.greatest_known_sequence = self.greatest_known_sequence.max(sequence);
        if !self.gossip.may_request(sequence, now) {
            return;
        }
        let request = self.record_request();
        for control_address in self.members.pick(URGENT_FANOUT, &mut self.random) {
            self.send(control_address, ControlMessage::RecordRequest(request));
        }
    }

    /// Offers the roll that was just adopted to a few nodes.
    pub(super) fn offer_adopted_roll(&mut self) {
        let Some(offer) = self.adopted_offer() else {
            return;
        };
        let fanout = self.settings.tuning.offer_fanout;
        for control_address in self.members.pick(fanout, &mut self.random) {
            self.send(
                control_address,
                ControlMessage::Offer(Box::new(offer.clone())),
            );
        }
    }

    /// Offers the record that is being fetched to a few nodes, so that they
    /// fetch its snapshot at the same time and exchange chunks.
    pub(super) fn offer_roll_being_fetched(&mut self) {
        let Some(offer) = self.offer_of_record_being_fetched() else {
            return;
        };
        let fanout = self.settings.tuning.offer_fanout;
        for control_address in self.members.pick(fanout, &mut self.random) {
            self.send(
                control_address,
                ControlMessage::Offer(Box::new(offer.clone())),
            );
        }
    }

    fn offer_of_record_being_fetched(&self) -> Option<Offer> {
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

    fn record_probe_answer(&mut self, number: ProbeNumber, digest: &DigestMessage) {
        if digest.sequence > Sequence::default() {
            self.joining.record_peer_answer(digest.sender.node);
        }
        if digest.sequence <= self.sequence() {
            self.pause_detector.record_peer_confirmation(number);
        }
    }

    /// Handles a digest message whose sender has a greater sequence in force.
    fn handle_greater_sequence(&mut self, from: SocketAddr, sequence: Sequence, now: Instant) {
        self.greatest_known_sequence = self.greatest_known_sequence.max(sequence);
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

    /// Whether a record with this or a greater sequence is being fetched and
    /// the fetch is not stuck.
    fn is_fetching(&self, sequence: Sequence, now: Instant) -> bool {
        let fetch = self.fetch.as_ref();
        fetch.is_some_and(|fetch| fetch.record().sequence() >= sequence && !fetch.is_stuck(now))
    }

    /// Offers the roll in force to a node that has the snapshot `base`. Sends
    /// nothing when the rate limit for these offers is used up.
    fn offer_to(&mut self, to: SocketAddr, base: Digest, now: Instant) {
        let delta = self.delta_history.delta_from(base);
        let Some(offer) = self.offer(delta.as_ref()) else {
            return;
        };
        let message = ControlMessage::Offer(Box::new(offer));
        if self
            .gossip
            .offer_bucket
            .take(message.datagram_length(), now)
        {
            self.send(to, message);
        }
    }

    pub(super) fn record_request(&self) -> RecordRequest {
        RecordRequest {
            sequence: self.sequence(),
            snapshot_digest: self.digest(),
        }
    }

    fn adopted_offer(&self) -> Option<Offer> {
        self.offer(self.delta_history.latest())
    }

    /// An offer of the roll in force, with the delta if it fits.
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
