//! Runs the core's request table: passes events from request tasks and the
//! clock to the table, and the table's actions back to the tasks.
//!
//! The task of a request reports events and receives actions through its
//! [`RequestHandle`]. Dropping the handle before a final action cancels the
//! request.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, mpsc};
use tokio::time::sleep;
use woodladder_core::clock::Instant;
use woodladder_core::target::request::{
    RequestAction, RequestCounts, RequestEvent, RequestId, RequestOptions, RequestTable, SendPermit,
};
use woodladder_core::target::slow_start::{EffectiveSlots, SlowStart};

use super::clock::Clock;

/// Longest time between two ticks of [`run_timer`].
const MAXIMUM_TIMER_SLEEP: Duration = Duration::from_secs(1);

/// Requests of one agent that have no final outcome yet, and the back end's
/// slots that they use.
pub(super) struct RequestScheduler {
    clock: Clock,
    state: Mutex<State>,
    timer_changed: Arc<Notify>,
}

struct State {
    table: RequestTable,
    slots: u16,
    slow_start: Option<SlowStart>,
    back_end_down: bool,
    action_senders: HashMap<RequestId, mpsc::UnboundedSender<RequestAction>>,
    last_id: u64,
}

/// A request's handle to the scheduler, held by the request's task.
pub(super) struct RequestHandle {
    id: RequestId,
    actions: mpsc::UnboundedReceiver<RequestAction>,
    scheduler: Arc<RequestScheduler>,
}

impl RequestScheduler {
    pub(super) fn new(
        clock: Clock,
        options: RequestOptions,
        slots: u16,
        slow_start: Option<SlowStart>,
        random: ChaCha8Rng,
    ) -> Self {
        Self {
            clock,
            state: Mutex::new(State {
                table: RequestTable::new(options, slots, random),
                slots,
                slow_start,
                back_end_down: false,
                action_senders: HashMap::new(),
                last_id: 0,
            }),
            timer_changed: Arc::default(),
        }
    }

    /// Adds a request that a caller has sent. `repeatable` is whether the
    /// caller may repeat the request when its outcome is unknown.
    pub(super) fn register(self: &Arc<Self>, deadline: Instant, repeatable: bool) -> RequestHandle {
        let (sender, actions) = mpsc::unbounded_channel();
        let mut state = self.state();
        state.last_id += 1;
        let id = RequestId(state.last_id);
        state.action_senders.insert(id, sender);
        let arrived = RequestEvent::Arrived {
            id,
            deadline: Some(deadline),
            repeatable,
        };
        state.handle(arrived, self.clock.now());
        drop(state);
        self.timer_changed.notify_one();
        RequestHandle {
            id,
            actions,
            scheduler: Arc::clone(self),
        }
    }

    /// Records that a back-end connection is open for a request and that the
    /// request counts as sent from now on. Returns the permission to write the
    /// request, or `None` when the request has been given up.
    pub(super) fn permit_send(&self, id: RequestId) -> Option<SendPermit> {
        let now = self.clock.now();
        self.state().handle(RequestEvent::BackEndConnected(id), now)
    }

    /// Passes an event to the request table.
    pub(super) fn handle(&self, event: RequestEvent) {
        let now = self.clock.now();
        // Only `BackEndConnected` leads to a send permit, and
        // `permit_send` handles that event.
        let _ = self.state().handle(event, now);
        self.timer_changed.notify_one();
    }

    /// Records that the back end accepts no connections: requests that wait or
    /// arrive are refused at once. Returns `true` when the back end was
    /// marked as up until now.
    pub(super) fn mark_back_end_down(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.state();
        let newly_down = !std::mem::replace(&mut state.back_end_down, true);
        state.update_slots(now);
        newly_down
    }

    /// Records that the back end accepts connections again, and restarts the
    /// slow start.
    pub(super) fn mark_back_end_up(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        state.back_end_down = false;
        if let Some(slow_start) = &mut state.slow_start {
            slow_start.restart(now);
        }
        state.update_slots(now);
    }

    /// Whether the back end is marked as down: it refused a connection, and has
    /// accepted none since.
    pub(super) fn is_back_end_down(&self) -> bool {
        self.state().back_end_down
    }

    /// Passes the time that a request held its slot to the slow start.
    pub(super) fn record_service_time(&self, time: Duration) {
        let now = self.clock.now();
        if let Some(slow_start) = &mut self.state().slow_start {
            slow_start.record_service_time(time, now);
        }
    }

    /// Numbers of requests by stage.
    pub(super) fn counts(&self) -> RequestCounts {
        self.state().table.counts()
    }

    /// All slots of the back end, including those that the slow start holds
    /// back.
    pub(super) fn slots(&self) -> u16 {
        self.state().slots
    }

    /// Sets the number of requests that the back end runs at the same time.
    pub(super) fn set_slots(&self, slots: u16) {
        let now = self.clock.now();
        let mut state = self.state();
        if state.slots != slots {
            state.slots = slots;
            state.update_slots(now);
            drop(state);
            self.timer_changed.notify_one();
        }
    }

    /// Slots that the slow start lets requests use now; none while the back end
    /// is down.
    pub(super) fn effective_slots(&self) -> EffectiveSlots {
        let now = self.clock.now();
        self.state().effective_slots(now)
    }

    /// Updates the slots and lets requests whose deadline has passed expire.
    pub(super) fn tick(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        state.update_slots(now);
        state.handle(RequestEvent::Tick, now);
    }

    fn time_to_next_tick(&self) -> Duration {
        let wake = self.state().table.next_wakeup();
        wake.map_or(MAXIMUM_TIMER_SLEEP, |at| {
            self.clock.until(at).min(MAXIMUM_TIMER_SLEEP)
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // The table is consistent between events, so a panic in another task
        // that held the lock does no harm.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Ticks the scheduler whenever a timer of the request table is due. Ends when
/// the scheduler is dropped.
pub(super) async fn run_timer(scheduler: Weak<RequestScheduler>) {
    while let Some(scheduler) = scheduler.upgrade() {
        scheduler.tick();
        let changed = Arc::clone(&scheduler.timer_changed);
        let sleep_time = scheduler.time_to_next_tick();
        drop(scheduler);
        tokio::select! {
            () = changed.notified() => {}
            () = sleep(sleep_time) => {}
        }
    }
}

impl State {
    /// Passes an event to the request table and sends the actions to the
    /// requests' tasks. A send permit is returned instead of sent.
    fn handle(&mut self, event: RequestEvent, now: Instant) -> Option<SendPermit> {
        let mut permit = None;
        for action in self.table.handle(event, now) {
            match action {
                RequestAction::Send(given) => permit = Some(given),
                other => self.send_action(other),
            }
        }
        permit
    }

    fn send_action(&mut self, action: RequestAction) {
        let id = action.id();
        let is_final = action.is_final();
        if let Some(sender) = self.action_senders.get(&id) {
            // Sending fails when the request's task has ended, and then the
            // task needs no more actions.
            let _ = sender.send(action);
        }
        if is_final {
            self.action_senders.remove(&id);
        }
    }

    fn effective_slots(&mut self, now: Instant) -> EffectiveSlots {
        match &mut self.slow_start {
            _ if self.back_end_down => EffectiveSlots::all(0),
            Some(slow_start) => slow_start.effective_slots(self.slots, now),
            None => EffectiveSlots::all(self.slots),
        }
    }

    fn update_slots(&mut self, now: Instant) {
        let slots = self.effective_slots(now).whole();
        self.handle(RequestEvent::SlotsChanged(slots), now);
    }
}

impl RequestHandle {
    /// The request's identifier.
    pub(super) fn id(&self) -> RequestId {
        self.id
    }

    /// The next action; `None` after a final one.
    pub(super) async fn next_action(&mut self) -> Option<RequestAction> {
        self.actions.recv().await
    }

    /// Waits for the final action and skips all actions before it.
    pub(super) async fn final_action(&mut self) -> Option<RequestAction> {
        loop {
            let action = self.next_action().await?;
            if action.is_final() {
                return Some(action);
            }
        }
    }

    /// Passes an event of this request to the request table.
    pub(super) fn report(&self, event: RequestEvent) {
        self.scheduler.handle(event);
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.scheduler.handle(RequestEvent::Cancelled(self.id));
    }
}

impl fmt::Debug for RequestScheduler {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("RequestScheduler")
            .finish_non_exhaustive()
    }
}
