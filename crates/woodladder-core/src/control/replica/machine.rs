//! State of a replica and dispatch of events.

use std::sync::Arc;

use rand_chacha::ChaCha8Rng;

use crate::clock::Instant;
use crate::configuration::roll_record::RollRecord;
use crate::control::availability::Availability;
use crate::control::control_message::{ControlMessage, ProbeNumber, StatusReply, StatusRequest};
use crate::control::membership::{MemberCounts, Membership};
use crate::control::replica::availability::AvailabilityState;
use crate::control::replica::copy_server::CopyServer;
use crate::control::replica::delta_history::DeltaHistory;
use crate::control::replica::fetch::Fetch;
use crate::control::replica::gossip::Gossip;
use crate::control::replica::joining::Joining;
use crate::control::replica::pause_detector::PauseDetector;
use crate::control::replica::store_reader::StoreReader;
use crate::control::replica::token_bucket::TokenBucket;
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
    pub(super) delta_history: DeltaHistory,
    pub(super) fetch: Option<Fetch>,
    /// A record with a greater sequence than the one being fetched, put aside
    /// because its fetch was stuck.
    pub(super) deferred: Option<RollRecord>,
    pub(super) fetch_bucket: TokenBucket,
    pub(super) copies: CopyServer,
    pub(super) gossip: Gossip,
    pub(super) store: StoreReader,
    pub(super) next_store_request: StoreRequestId,
    pub(super) joining: Joining,
    pub(super) pause_detector: PauseDetector,
    pub(super) availability: AvailabilityState,
    pub(super) greatest_known_sequence: Sequence,
    pub(super) unacceptable_records: Vec<Digest>,
    pub(super) leaving: bool,
    pub(super) counters: ReplicaCounters,
    pub(super) actions: Vec<ReplicaAction>,
}

impl Replica {
    /// A replica without a roll in force.
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
            delta_history: DeltaHistory::default(),
            fetch: None,
            deferred: None,
            fetch_bucket: TokenBucket::new(tuning.copy_bytes_per_second, now),
            copies: CopyServer::new(tuning.copy_bytes_per_second, now),
            gossip: Gossip::new(&tuning, now),
            store: StoreReader::new(&tuning, now),
            next_store_request: StoreRequestId(1),
            joining: Joining::new(&tuning),
            pause_detector: PauseDetector::new(tuning.suspect_timeout, now),
            availability: AvailabilityState::new(&settings, now),
            greatest_known_sequence: Sequence::default(),
            unacceptable_records: Vec::new(),
            leaving: false,
            counters: ReplicaCounters::default(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, event: ReplicaEvent, now: Instant) -> Vec<ReplicaAction> {
        if self.pause_detector.record_call(now) {
            self.become_suspect(now);
        }
        match event {
            ReplicaEvent::Tick => {}
            ReplicaEvent::Message { from, message } => {
                self.counters.messages_received += 1;
                self.handle_message(from, message, now);
            }
            ReplicaEvent::BadFrame(error) => self.counters.rejections.count_frame(error),
            ReplicaEvent::StoreAnswer { request, answer } => {
                self.handle_store_answer(request, answer, now)
            }
            ReplicaEvent::MachineList(machines) => self.members.apply_machine_list(&machines),
            ReplicaEvent::SequenceSeen(sequence) => self.handle_sequence_seen(sequence, now),
            ReplicaEvent::Leaving => {
                self.leaving = true;
                self.announce(Availability::Leaving, now);
                self.gossip.schedule_urgent_round(now);
            }
            ReplicaEvent::TakesNewFlows(true) if !self.leaving => {
                self.announce(Availability::Serving, now);
            }
            ReplicaEvent::TakesNewFlows(_) => self.announce(Availability::Leaving, now),
        }
        self.run_due(now);
        std::mem::take(&mut self.actions)
    }

    /// Latest time for the next [`ReplicaEvent::Tick`].
    #[must_use]
    pub fn next_wakeup(&self) -> Instant {
        let fetching = self.fetch.is_some();
        let fetch = self.fetch.as_ref();
        let optional = [
            fetch.and_then(|fetch| fetch.next_wakeup(&self.fetch_bucket)),
            self.joining.next_wakeup(fetching),
            self.pause_detector.next_wakeup(),
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

    /// Replaces the replica's own copy of the roll in force by `same`, so that
    /// several replicas in one process share one allocation. Does nothing if
    /// `same` is another roll.
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

    /// Whether the node has a roll in force and is ready to serve, because it
    /// has enough answers or the time limit for joining has passed.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.joining.is_ready()
    }

    /// Whether the process was paused and the roll in force has not been
    /// confirmed since. Also true between the end of a pause and the first event
    /// handled after it.
    #[must_use]
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.pause_detector.is_suspect(now)
    }

    /// Whether the node has begun a planned stop.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Counters since the start.
    #[must_use]
    pub fn counters(&self) -> &ReplicaCounters {
        &self.counters
    }

    /// Number of members by state.
    #[must_use]
    pub fn member_counts(&self, now: Instant) -> MemberCounts {
        self.members.counts(now)
    }

    /// Status for an operator's command.
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

    pub(super) fn take_store_request_id(&mut self) -> StoreRequestId {
        let number = self.next_store_request;
        self.next_store_request = StoreRequestId(number.0 + 1);
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

    fn become_suspect(&mut self, now: Instant) {
        self.counters.pauses_detected += 1;
        let probe = self.gossip.next_probe();
        self.pause_detector
            .become_suspect(probe, self.next_store_request, now);
        self.gossip.schedule_urgent_round(now);
        self.store.schedule_read_now(now);
        self.availability.probing.clear();
    }

    fn run_due(&mut self, now: Instant) {
        self.send_due_round(now);
        self.send_due_store_reads(now);
        self.send_due_fetch_requests(now);
        self.update_joining(now);
        self.run_availability(now);
    }
}
