//! The core's request table, driven by the requests' tasks and the clock.
//!
//! Each request has a [`Ticket`]: its task reports events through it and gets
//! its actions from it. A ticket dropped before a final action takes the
//! request back.

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

/// Longest sleep of the task that watches the clock.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// Requests of one agent that have no final outcome.
pub(super) struct RequestDesk {
    clock: Clock,
    state: Mutex<State>,
    limits_changed: Arc<Notify>,
}

struct State {
    table: RequestTable,
    slots: u16,
    slow_start: Option<SlowStart>,
    back_end_down: bool,
    mailboxes: HashMap<RequestId, mpsc::UnboundedSender<RequestAction>>,
    last_id: u64,
}

/// One request's place at the desk.
pub(super) struct Ticket {
    id: RequestId,
    mailbox: mpsc::UnboundedReceiver<RequestAction>,
    desk: Arc<RequestDesk>,
}

impl RequestDesk {
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
                mailboxes: HashMap::new(),
                last_id: 0,
            }),
            limits_changed: Arc::default(),
        }
    }

    /// A request has arrived.
    pub(super) fn arrive(self: &Arc<Self>, deadline: Instant, repeatable: bool) -> Ticket {
        let (sender, mailbox) = mpsc::unbounded_channel();
        let mut state = self.state();
        state.last_id += 1;
        let id = RequestId(state.last_id);
        state.mailboxes.insert(id, sender);
        let arrived = RequestEvent::Arrived {
            id,
            deadline: Some(deadline),
            repeatable,
        };
        state.handle(arrived, self.clock.now());
        drop(state);
        self.limits_changed.notify_one();
        Ticket {
            id,
            mailbox,
            desk: Arc::clone(self),
        }
    }

    /// A back-end connection is open for a request. Gives the permission to
    /// write, unless the request has been given up.
    pub(super) fn connected(&self, id: RequestId) -> Option<SendPermit> {
        let now = self.clock.now();
        self.state().handle(RequestEvent::BackEndConnected(id), now)
    }

    /// Takes an event in.
    pub(super) fn handle(&self, event: RequestEvent) {
        let now = self.clock.now();
        // No permission follows from any event but a connection.
        let _ = self.state().handle(event, now);
        self.limits_changed.notify_one();
    }

    /// The back end does not take connections: requests that wait or arrive
    /// are refused at once. Tells whether that is news.
    pub(super) fn back_end_down(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.state();
        let news = !std::mem::replace(&mut state.back_end_down, true);
        state.update_slots(now);
        news
    }

    /// The back end takes connections again, and starts cold.
    pub(super) fn back_end_up(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        state.back_end_down = false;
        if let Some(slow_start) = &mut state.slow_start {
            slow_start.restart(now);
        }
        state.update_slots(now);
    }

    /// Whether the back end takes no connections, as far as is known.
    pub(super) fn is_back_end_down(&self) -> bool {
        self.state().back_end_down
    }

    /// A request has held its slot for this time.
    pub(super) fn record_service_time(&self, time: Duration) {
        let now = self.clock.now();
        if let Some(slow_start) = &mut self.state().slow_start {
            slow_start.record_service_time(time, now);
        }
    }

    /// How many requests are where.
    pub(super) fn counts(&self) -> RequestCounts {
        self.state().table.counts()
    }

    /// Slots of the back end in all.
    pub(super) fn slots(&self) -> u16 {
        self.state().slots
    }

    /// Sets how many requests the back end runs at the same time.
    pub(super) fn set_slots(&self, slots: u16) {
        let now = self.clock.now();
        let mut state = self.state();
        if state.slots != slots {
            state.slots = slots;
            state.update_slots(now);
            drop(state);
            self.limits_changed.notify_one();
        }
    }

    /// Slots that may be used now.
    pub(super) fn effective_slots(&self) -> EffectiveSlots {
        let now = self.clock.now();
        self.state().effective_slots(now)
    }

    /// Looks at the clock.
    pub(super) fn tick(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        state.update_slots(now);
        state.handle(RequestEvent::Tick, now);
    }

    fn next_sleep(&self) -> Duration {
        let wake = self.state().table.next_wakeup();
        wake.map_or(LONGEST_SLEEP, |at| self.clock.until(at).min(LONGEST_SLEEP))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // A panic elsewhere leaves the table as it was between events.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Ticks the desk whenever a request's time may be up; ends with the desk.
pub(super) async fn watch_clock(desk: Weak<RequestDesk>) {
    while let Some(strong) = desk.upgrade() {
        strong.tick();
        let changed = Arc::clone(&strong.limits_changed);
        let next = strong.next_sleep();
        drop(strong);
        tokio::select! {
            () = changed.notified() => {}
            () = sleep(next) => {}
        }
    }
}

impl State {
    /// Takes an event in and posts the actions; a permission to write is
    /// given back at once.
    fn handle(&mut self, event: RequestEvent, now: Instant) -> Option<SendPermit> {
        let mut permit = None;
        for action in self.table.handle(event, now) {
            match action {
                RequestAction::Send(given) => permit = Some(given),
                other => self.post(other),
            }
        }
        permit
    }

    fn post(&mut self, action: RequestAction) {
        let id = action.id();
        let is_final = action.is_final();
        if let Some(mailbox) = self.mailboxes.get(&id) {
            // A task that has ended needs its actions no more.
            let _ = mailbox.send(action);
        }
        if is_final {
            self.mailboxes.remove(&id);
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

impl Ticket {
    /// The request.
    pub(super) fn id(&self) -> RequestId {
        self.id
    }

    /// The next action; `None` after a final one.
    pub(super) async fn next(&mut self) -> Option<RequestAction> {
        self.mailbox.recv().await
    }

    /// The final action, all before it passed over.
    pub(super) async fn outcome(&mut self) -> Option<RequestAction> {
        loop {
            let action = self.next().await?;
            if action.is_final() {
                return Some(action);
            }
        }
    }

    /// Takes an event of this request in.
    pub(super) fn handle(&self, event: RequestEvent) {
        self.desk.handle(event);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.desk.handle(RequestEvent::Cancelled(self.id));
    }
}

impl fmt::Debug for RequestDesk {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("RequestDesk")
            .finish_non_exhaustive()
    }
}
