//! Runs the core's admission and drain state machines for one agent, with the
//! time from [`Clock`].

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
use woodladder_core::target::drain::{Activity, Drain, DrainAction, DrainEvent, DrainReason};
use woodladder_core::target::load::Usage;
use woodladder_core::target::request::RequestEvent;

use super::clock::Clock;
use super::counters::Counters;
use super::request_scheduler::RequestScheduler;
use super::shared_drain::{DrainStage, DrainState, SharedDrain};

/// Admission and drain of one agent, shared by all of its tasks.
pub(super) struct AdmissionControl {
    identity: TargetIdentity,
    clock: Clock,
    routing_table: Arc<ArcSwap<RoutingTable>>,
    scheduler: Arc<RequestScheduler>,
    counters: Arc<Counters>,
    connection_limit: AtomicU32,
    logger: Logger,
    admission: Mutex<Admission>,
    drain: SharedDrain,
    /// Number of times that callers with an open connection were asked to
    /// reconnect.
    reconnects: watch::Sender<u64>,
}

impl AdmissionControl {
    pub(super) fn new(
        identity: TargetIdentity,
        keys: TokenKeys,
        options: AdmissionOptions,
        drain: Drain,
        context: AdmissionContext,
    ) -> Self {
        Self {
            identity,
            clock: context.clock,
            routing_table: context.routing_table,
            scheduler: context.scheduler,
            counters: context.counters,
            connection_limit: AtomicU32::new(context.connection_limit),
            logger: context.logger,
            admission: Mutex::new(Admission::new(identity, keys, options)),
            drain: SharedDrain::new(drain),
            reconnects: watch::Sender::new(0),
        }
    }

    /// Decides on a datagram and its envelope.
    pub(super) fn admit(&self, envelope: Envelope, packet: &Packet<'_>) -> Decision {
        let now = self.now();
        let mut admission = self.admission();
        self.refresh_routing_table(&mut admission, now);
        let conditions = TargetConditions {
            usage: self.usage(),
            takes_new_flows: self.drain.takes_new_flows() && !self.scheduler.is_back_end_down(),
        };
        admission.handle(envelope, packet, &conditions, now)
    }

    /// Records that the transport has accepted a flow's connection.
    pub(super) fn connection_opened(&self, flow: u64) {
        self.admission().connection_opened(flow);
        self.activity_changed();
    }

    /// Records that the first request of a flow has arrived.
    pub(super) fn request_arrived(&self, flow: u64) {
        self.admission().request_arrived(flow);
    }

    /// Records that a flow's connection has ended.
    pub(super) fn connection_closed(&self, flow: u64) {
        self.admission().connection_closed(flow);
        self.activity_changed();
    }

    /// Whether a request that arrives now is accepted.
    pub(super) fn takes_new_requests(&self) -> bool {
        self.drain.takes_new_requests(self.now())
    }

    /// Reports the open requests and connections to the drain.
    pub(super) fn activity_changed(&self) {
        self.report_drain_event_with(|| {
            DrainEvent::Activity(Activity {
                requests: saturating_u32(self.counters.open_requests.count()),
                connections: saturating_u32(self.counters.open_connections.count()),
            })
        });
    }

    /// Passes an event to the drain and carries out the actions that it
    /// returns.
    pub(super) fn report_drain_event(&self, event: DrainEvent) {
        self.report_drain_event_with(|| event);
    }

    fn report_drain_event_with(&self, make_event: impl FnOnce() -> DrainEvent) {
        self.drain.handle(make_event, self.now(), |action| {
            match action {
                DrainAction::RefuseRequests => self.scheduler.handle(RequestEvent::RefuseArrivals),
                DrainAction::Resume => self.scheduler.handle(RequestEvent::TakeArrivals),
                DrainAction::NotifyCallers | DrainAction::Finish => {}
            }
            info!(self.logger, "agent: {}", describe(action));
        });
    }

    /// Records whether the back end's health endpoint reports that the back end
    /// is leaving. While the endpoint reports this, the target is the last resort for new flows:
    /// chosen only when no other target accepts. Nothing is refused, because
    /// the report may be late or wrong.
    pub(super) fn set_back_end_leaving(&self, leaving: bool) {
        self.admission().set_last_resort(leaving);
    }

    /// Applies the routing table in force and lets the drain's timer advance.
    pub(super) fn tick(&self) {
        let now = self.now();
        self.refresh_routing_table(&mut self.admission(), now);
        self.apply_routing_table_limits();
        if let Some(event) = self.drain_event_from_routing_table() {
            self.report_drain_event(event);
        }
        self.report_drain_event(DrainEvent::Tick);
    }

    /// Subscribes to the stage of the drain.
    pub(super) fn subscribe_stage(&self) -> watch::Receiver<DrainStage> {
        self.drain.subscribe_stage()
    }

    /// Asks the callers of all connections open now to open another connection.
    /// Nothing is refused on the old ones.
    pub(super) fn ask_callers_to_reconnect(&self) {
        info!(
            self.logger,
            "agent: the back end is leaving, callers are asked to reconnect"
        );
        self.reconnects.send_modify(|reconnects| *reconnects += 1);
    }

    /// Subscribes to requests to reconnect; earlier ones are not received.
    pub(super) fn subscribe_reconnects(&self) -> watch::Receiver<u64> {
        self.reconnects.subscribe()
    }

    /// State of the drain.
    pub(super) fn drain_state(&self) -> DrainState {
        self.drain.state()
    }

    fn refresh_routing_table(&self, admission: &mut Admission, now: Instant) {
        let routing_table = self.routing_table.load();
        if !Arc::ptr_eq(&routing_table, admission.routing_table()) {
            admission.refresh(Arc::clone(&routing_table), now);
        }
    }

    /// Applies the back end's limits from the routing table. When the table has
    /// no limits for the target, the limits applied last stay: those of an earlier
    /// table, or those of the settings.
    fn apply_routing_table_limits(&self) {
        let routing_table = self.routing_table.load();
        let entry = routing_table.target(self.identity.target);
        if let Some(limits) = entry.and_then(|entry| entry.limits) {
            self.scheduler.set_slots(limits.slots);
            self.connection_limit
                .store(limits.connections, Ordering::Relaxed);
        }
    }

    /// The drain event that follows from the target's state in the routing
    /// table. `None` when the routing table has never held the target, because
    /// the roll that adds the target has yet to come into force.
    fn drain_event_from_routing_table(&self) -> Option<DrainEvent> {
        let routing_table = self.routing_table.load();
        let entry = routing_table.target(self.identity.target)?;
        let is_active = match entry.status {
            TargetStatus::InBundle(state) | TargetStatus::Unavailable(state) => {
                state == TargetState::Active
            }
            TargetStatus::Retired => false,
        };
        Some(if is_active {
            DrainEvent::RemoveReason(DrainReason::Bundle)
        } else {
            DrainEvent::AddReason(DrainReason::Bundle)
        })
    }

    fn usage(&self) -> Usage {
        let counts = self.scheduler.counts();
        Usage {
            busy_slots: counts.busy,
            queued: counts.queued,
            slots: self.scheduler.effective_slots(),
            open_connections: saturating_u32(self.counters.open_connections.count()),
            connection_limit: self.connection_limit.load(Ordering::Relaxed),
        }
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn admission(&self) -> MutexGuard<'_, Admission> {
        // Admission is consistent between events, so a panic in another task
        // that held the lock does no harm.
        self.admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Shared state that admission and drain read, besides their events.
pub(super) struct AdmissionContext {
    pub(super) routing_table: Arc<ArcSwap<RoutingTable>>,
    pub(super) clock: Clock,
    pub(super) scheduler: Arc<RequestScheduler>,
    pub(super) counters: Arc<Counters>,
    pub(super) connection_limit: u32,
    pub(super) logger: Logger,
}

impl fmt::Debug for AdmissionControl {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("AdmissionControl")
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}

fn describe(action: DrainAction) -> &'static str {
    match action {
        DrainAction::NotifyCallers => "leaving, no new flows",
        DrainAction::RefuseRequests => "leaving, no new requests",
        DrainAction::Resume => "serving again",
        DrainAction::Finish => "drained",
    }
}

fn saturating_u32(value: usize) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
