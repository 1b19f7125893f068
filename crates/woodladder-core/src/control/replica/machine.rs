//! The replica's state and the dispatch of events.

use std::sync::Arc;

use rand_chacha::ChaCha8Rng;

use crate::clock::Instant;
use crate::configuration::roll_record::RollRecord;
use crate::control::availability::Availability;
use crate::control::control_message::{ControlMessage, ProbeNumber, StatusReply, StatusRequest};
use crate::control::membership::{MemberCounts, Membership};
use crate::control::replica::availability::AvailabilityState;
use crate::control::replica::copy_server::CopyServer;
use crate::control::replica::fetch::Fetch;
use crate::control::replica::gossip::Gossip;
use crate::control::replica::history::History;
use crate::control::replica::joining::Joining;
use crate::control::replica::pace::Pace;
use crate::control::replica::store_reader::StoreReader;
use crate::control::replica::vigilance::Vigilance;
use crate::control::replica::{
    InstalledRoll, ReplicaAction, ReplicaCounters, ReplicaEvent, ReplicaSettings,
};
use crate::control::store_operation::StoreRequestId;
use crate::digest::Digest;
use crate::identifier::Sequence;

/// Keeps the roll in force up to date at one node.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(super) settings: ReplicaSettings,
    pub(super) random: ChaCha8Rng,
    pub(super) members: Membership,
    pub(super) installed: Option<Arc<InstalledRoll>>,
    pub(super) history: History,
    pub(super) fetch: Option<Fetch>,
    /// A greater record whose fetch got stuck while a smaller one could be had.
    pub(super) deferred: Option<RollRecord>,
    pub(super) fetch_pace: Pace,
    pub(super) copies: CopyServer,
    pub(super) gossip: Gossip,
    pub(super) store: StoreReader,
    pub(super) next_request: StoreRequestId,
    pub(super) joining: Joining,
    pub(super) vigilance: Vigilance,
    pub(super) availability: AvailabilityState,
    pub(super) greatest_heard: Sequence,
    pub(super) unacceptable: Vec<Digest>,
    pub(super) leaving: bool,
    pub(super) counters: ReplicaCounters,
    pub(super) actions: Vec<ReplicaAction>,
}

impl Replica {
    /// A replica that has no roll yet.
    #[must_use]
    pub fn new(settings: ReplicaSettings, random: ChaCha8Rng, now: Instant) -> Self {
        let tuning = settings.tuning;
        let mut members = Membership::new(
            settings.control_address,
            settings.locality,
            tuning.member_capacity,
        );
        for seed in &settings.seeds {
            members.add_seed(*seed);
        }
        Self {
            random,
            members,
            installed: None,
            history: History::default(),
            fetch: None,
            deferred: None,
            fetch_pace: Pace::new(tuning.copy_bytes_per_second, now),
            copies: CopyServer::new(tuning.copy_bytes_per_second, now),
            gossip: Gossip::new(&tuning, now),
            store: StoreReader::new(&tuning, now),
            next_request: StoreRequestId(1),
            joining: Joining::new(&tuning),
            vigilance: Vigilance::new(tuning.suspect_time, now),
            availability: AvailabilityState::new(&settings, now),
            greatest_heard: Sequence::default(),
            unacceptable: Vec::new(),
            leaving: false,
            counters: ReplicaCounters::default(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Takes an event and returns what is to be done.
    pub fn handle(&mut self, event: ReplicaEvent, now: Instant) -> Vec<ReplicaAction> {
        if self.vigilance.called(now) {
            self.begin_suspicion(now);
        }
        match event {
            ReplicaEvent::Tick => {}
            ReplicaEvent::Message { from, message } => {
                self.counters.messages_received += 1;
                self.handle_message(from, message, now);
            }
            ReplicaEvent::BadFrame(error) => self.counters.rejections.count_frame(error),
            ReplicaEvent::StoreAnswer { request, answer } => {
                self.handle_store(request, answer, now)
            }
            ReplicaEvent::MachineList(machines) => self.members.apply_machine_list(&machines),
            ReplicaEvent::SequenceSeen(sequence) => self.handle_sequence_seen(sequence, now),
            ReplicaEvent::Leaving => {
                self.leaving = true;
                self.announce(Availability::Leaving, now);
                self.gossip.round_soon(now);
            }
            ReplicaEvent::TakesNewFlows(true) if !self.leaving => {
                self.announce(Availability::Serving, now);
            }
            ReplicaEvent::TakesNewFlows(_) => self.announce(Availability::Leaving, now),
        }
        self.run_due(now);
        std::mem::take(&mut self.actions)
    }

    /// When [`ReplicaEvent::Tick`] is to be handled at the latest.
    #[must_use]
    pub fn next_wakeup(&self) -> Instant {
        let fetching = self.fetch.is_some();
        let fetch = self.fetch.as_ref();
        let optional = [
            fetch.and_then(|fetch| fetch.next_wakeup(&self.fetch_pace)),
            self.joining.next_wakeup(fetching),
            self.vigilance.next_wakeup(),
            self.availability.next_wakeup(),
        ];
        let regular = self.gossip.next_round().min(self.store.next_wakeup());
        optional.into_iter().flatten().fold(regular, Instant::min)
    }

    /// The roll in force, if any.
    #[must_use]
    pub fn installed(&self) -> Option<&Arc<InstalledRoll>> {
        self.installed.as_ref()
    }

    /// Keeps `same` in place of its own copy of the roll in force, so that many
    /// replicas of one process hold it once. Ignored when it is another roll.
    pub fn share_installed(&mut self, same: &Arc<InstalledRoll>) {
        let own = self.installed.as_ref();
        if own.is_some_and(|own| own.record == same.record) {
            self.installed = Some(Arc::clone(same));
        }
    }

    /// Sequence in force; zero when none is.
    #[must_use]
    pub fn sequence(&self) -> Sequence {
        let installed = self.installed.as_ref();
        installed.map_or(Sequence::default(), |installed| installed.sequence())
    }

    /// Whether the node has a roll in force and heard enough to serve.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.joining.is_ready()
    }

    /// Whether the process was paused and nobody has confirmed the roll in
    /// force since. True before the first call after the pause too.
    #[must_use]
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.vigilance.is_suspect(now)
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Counts since the start.
    #[must_use]
    pub fn counters(&self) -> &ReplicaCounters {
        &self.counters
    }

    /// Counts over the members known.
    #[must_use]
    pub fn member_counts(&self, now: Instant) -> MemberCounts {
        self.members.counts(now)
    }

    /// Status, as an operator's command gets it.
    #[must_use]
    pub fn status(&self, number: ProbeNumber, now: Instant) -> StatusReply {
        let counts = self.members.counts(now);
        let installed = self.installed.as_ref();
        let version = installed.map(|installed| installed.snapshot.bundle.version);
        StatusReply {
            number,
            node: self.settings.peer(),
            sequence: self.sequence(),
            snapshot: self.digest(),
            bundle_version: version.unwrap_or_default(),
            ready: self.is_ready(),
            leaving: self.leaving,
            suspect: self.is_suspect(now),
            known_nodes: u32::try_from(counts.known).unwrap_or(u32::MAX),
            heard_nodes: u32::try_from(counts.heard).unwrap_or(u32::MAX),
            rejections: self.counters.rejections.total(),
        }
    }

    /// Digest of the snapshot in force; all zeros when none is.
    pub(super) fn digest(&self) -> Digest {
        let installed = self.installed.as_ref();
        installed.map_or(Digest::default(), |installed| installed.digest())
    }

    pub(super) fn send(&mut self, to: std::net::SocketAddr, message: ControlMessage) {
        self.counters.messages_sent += 1;
        self.actions.push(ReplicaAction::Send { to, message });
    }

    pub(super) fn take_request_number(&mut self) -> StoreRequestId {
        let number = self.next_request;
        self.next_request = StoreRequestId(number.0 + 1);
        number
    }

    fn handle_message(
        &mut self,
        from: std::net::SocketAddr,
        message: ControlMessage,
        now: Instant,
    ) {
        match message {
            ControlMessage::Digest(digest) => self.handle_digest(from, &digest, now),
            ControlMessage::Offer(offer) => self.handle_offer(from, *offer, now),
            ControlMessage::RecordRequest(request) => {
                self.handle_record_request(from, request, now);
            }
            ControlMessage::CopyRequest(request) => self.handle_copy_request(from, &request, now),
            ControlMessage::CopyChunk(chunk) => self.handle_copy_chunk(chunk, now),
            ControlMessage::CopyRefused(refused) => self.handle_copy_refused(from, &refused, now),
            ControlMessage::StatusRequest(request) => self.answer_status(from, request, now),
            ControlMessage::StatusReply(_) => {}
            ControlMessage::AvailabilityReports(batch) => self.handle_reports(from, &batch, now),
            ControlMessage::ProbeRequest(request) => self.handle_probe_request(from, request, now),
            ControlMessage::ProbeConfirmed(confirmed) => {
                self.handle_probe_confirmed(confirmed, now);
            }
        }
    }

    fn answer_status(&mut self, from: std::net::SocketAddr, request: StatusRequest, now: Instant) {
        let reply = self.status(request.number, now);
        self.send(from, ControlMessage::StatusReply(reply));
    }

    fn begin_suspicion(&mut self, now: Instant) {
        self.counters.pauses_detected += 1;
        let probe = self.gossip.next_probe();
        self.vigilance.suspect(probe, self.next_request, now);
        self.gossip.round_soon(now);
        self.store.read_soon(now);
        self.availability.probing.forget();
    }

    fn run_due(&mut self, now: Instant) {
        self.run_round(now);
        self.run_store(now);
        self.run_fetch(now);
        self.update_joining(now);
        self.run_availability(now);
    }
}
