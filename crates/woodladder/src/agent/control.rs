//! The core's state machines of one agent, driven by the real clock.

use std::fmt;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use slog::{Logger, info};
use tokio::sync::watch;
use woodladder_core::clock::Instant;
use woodladder_core::configuration::bundle::TargetState;
use woodladder_core::packets::envelope::Envelope;
use woodladder_core::packets::quic_header::Packet;
use woodladder_core::packets::routing_table::{RoutingTable, TargetStatus};
use woodladder_core::packets::token::TokenKeys;
use woodladder_core::target::admission::{
    Admission, AdmissionOptions, Decision, TargetConditions, TargetIdentity,
};
use woodladder_core::target::drain::{
    Activity, Drain, DrainAction, DrainEvent, DrainPhase, DrainReason,
};
use woodladder_core::target::load::Usage;
use woodladder_core::target::request::RequestEvent;

use super::clock::Clock;
use super::counters::Counters;
use super::request_desk::RequestDesk;
use super::shared_drain::{Notice, SharedDrain};

/// State machines of one agent.
pub(super) struct Control {
    identity: TargetIdentity,
    clock: Clock,
    directory: Arc<ArcSwap<RoutingTable>>,
    desk: Arc<RequestDesk>,
    counters: Arc<Counters>,
    connection_limit: AtomicU32,
    logger: Logger,
    admission: Mutex<Admission>,
    drain: SharedDrain,
    /// How often callers with an open connection were asked to use another.
    moves: watch::Sender<u64>,
}

impl Control {
    pub(super) fn new(
        identity: TargetIdentity,
        keys: TokenKeys,
        options: AdmissionOptions,
        drain: Drain,
        shared: SharedState,
    ) -> Self {
        Self {
            identity,
            clock: shared.clock,
            directory: shared.directory,
            desk: shared.desk,
            counters: shared.counters,
            connection_limit: AtomicU32::new(shared.connection_limit),
            logger: shared.logger,
            admission: Mutex::new(Admission::new(identity, keys, options)),
            drain: SharedDrain::new(drain),
            moves: watch::Sender::new(0),
        }
    }

    /// Decides on a datagram in its envelope.
    pub(super) fn admit(&self, envelope: Envelope, packet: &Packet<'_>) -> Decision {
        let now = self.now();
        let mut admission = self.admission();
        self.adopt(&mut admission, now);
        let conditions = TargetConditions {
            usage: self.usage(),
            takes_new_flows: self.drain.takes_new_flows() && !self.desk.is_back_end_down(),
        };
        admission.handle(envelope, packet, &conditions, now)
    }

    /// The transport has opened a flow's connection.
    pub(super) fn connection_opened(&self, flow: u64) {
        self.admission().connection_opened(flow);
        self.activity_changed();
    }

    /// The first request of a flow has arrived.
    pub(super) fn request_arrived(&self, flow: u64) {
        self.admission().request_arrived(flow);
    }

    /// A flow's connection has ended.
    pub(super) fn connection_closed(&self, flow: u64) {
        self.admission().connection_closed(flow);
        self.activity_changed();
    }

    /// Whether a request that arrives now is taken.
    pub(super) fn takes_new_requests(&self) -> bool {
        self.drain.takes_new_requests(self.now())
    }

    /// Tells the drain what the agent holds now.
    pub(super) fn activity_changed(&self) {
        self.drain_by(|| {
            DrainEvent::Activity(Activity {
                requests: count(self.counters.requests.load(Ordering::Acquire)),
                connections: count(self.counters.connections.load(Ordering::Acquire)),
            })
        });
    }

    /// Takes a drain event in and carries out what follows from it.
    pub(super) fn drain(&self, event: DrainEvent) {
        self.drain_by(|| event);
    }

    fn drain_by(&self, event: impl FnOnce() -> DrainEvent) {
        self.drain.handle(event, self.now(), |action| {
            match action {
                DrainAction::RefuseRequests => self.desk.handle(RequestEvent::RefuseArrivals),
                DrainAction::Resume => self.desk.handle(RequestEvent::TakeArrivals),
                DrainAction::NotifyCallers | DrainAction::Finish => {}
            }
            info!(self.logger, "agent: {}", description(action));
        });
    }

    /// The back end says whether it is leaving. Its word may be late or false,
    /// so it only turns new flows to other targets and refuses nothing.
    pub(super) fn back_end_leaving(&self, leaving: bool) {
        self.admission().set_last_resort(leaving);
    }

    /// Looks at the clock and at the directory in force.
    pub(super) fn tick(&self) {
        let now = self.now();
        self.adopt(&mut self.admission(), now);
        self.follow_limits();
        if let Some(event) = self.bundle_event() {
            self.drain(event);
        }
        self.drain(DrainEvent::Tick);
    }

    /// Follows the notices to callers.
    pub(super) fn notices(&self) -> watch::Receiver<Notice> {
        self.drain.notices()
    }

    /// Asks callers to open another connection, once for each that is open now.
    /// Nothing is refused on the old ones.
    pub(super) fn ask_to_move(&self) {
        info!(
            self.logger,
            "agent: the back end is leaving, callers are asked to move"
        );
        self.moves.send_modify(|moves| *moves += 1);
    }

    /// Follows the requests to move; those made before are not seen.
    pub(super) fn moves(&self) -> watch::Receiver<u64> {
        self.moves.subscribe()
    }

    /// How far the drain has come.
    pub(super) fn phase(&self) -> DrainPhase {
        self.drain.phase()
    }

    fn adopt(&self, admission: &mut Admission, now: Instant) {
        let directory = self.directory.load();
        if !Arc::ptr_eq(&directory, admission.routing_table()) {
            admission.refresh(Arc::clone(&directory), now);
        }
    }

    /// Takes over what the bundle says the back end takes at the same time.
    /// Until a bundle names the target the settings hold.
    fn follow_limits(&self) {
        let directory = self.directory.load();
        let entry = directory.target(self.identity.target);
        if let Some(limits) = entry.and_then(|entry| entry.limits) {
            self.desk.set_slots(limits.slots);
            self.connection_limit
                .store(limits.connections, Ordering::Relaxed);
        }
    }

    /// What the directory says about this target's leaving. A directory that
    /// never held the target says nothing: the target's roll is still to come.
    fn bundle_event(&self) -> Option<DrainEvent> {
        let directory = self.directory.load();
        let entry = directory.target(self.identity.target)?;
        let stays = match entry.status {
            TargetStatus::InBundle(state) | TargetStatus::Unavailable(state) => {
                state == TargetState::Active
            }
            TargetStatus::Retired => false,
        };
        Some(if stays {
            DrainEvent::RemoveReason(DrainReason::Bundle)
        } else {
            DrainEvent::AddReason(DrainReason::Bundle)
        })
    }

    fn usage(&self) -> Usage {
        let counts = self.desk.counts();
        Usage {
            busy_slots: counts.busy,
            queued: counts.queued,
            slots: self.desk.effective_slots(),
            open_connections: count(self.counters.connections.load(Ordering::Acquire)),
            connection_limit: self.connection_limit.load(Ordering::Relaxed),
        }
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn admission(&self) -> MutexGuard<'_, Admission> {
        // A panic elsewhere leaves the admission as it was between events.
        self.admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the machines look at besides their events.
pub(super) struct SharedState {
    pub(super) directory: Arc<ArcSwap<RoutingTable>>,
    pub(super) clock: Clock,
    pub(super) desk: Arc<RequestDesk>,
    pub(super) counters: Arc<Counters>,
    pub(super) connection_limit: u32,
    pub(super) logger: Logger,
}

impl fmt::Debug for Control {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Control")
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}

fn description(action: DrainAction) -> &'static str {
    match action {
        DrainAction::NotifyCallers => "leaving, no new flows",
        DrainAction::RefuseRequests => "leaving, no new requests",
        DrainAction::Resume => "serving again",
        DrainAction::Finish => "drained",
    }
}

fn count(value: usize) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
