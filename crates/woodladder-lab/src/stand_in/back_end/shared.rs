//! What the back end's request handlers share.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{HeaderMap, Uri};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use woodladder_core::clock::Instant;

use super::capacity::{Capacity, Lease};
use super::config::BackEndConfig;
use super::fault::{BackEndFault, RequestFault};
use super::load::{LoadHistory, LoadReport};
use crate::stand_in::clock::{MonotonicClock, unix_milliseconds};
use crate::stand_in::execution_log::{ExecutionRecorder, WrongServiceArrival};
use crate::stand_in::gate::Gate;
use crate::stand_in::headers;

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) config: BackEndConfig,
    pub(super) recorder: ExecutionRecorder,
    pub(super) gate: Gate,
    clock: MonotonicClock,
    slots: Arc<Capacity>,
    exchanges: Arc<Capacity>,
    load: Mutex<LoadHistory>,
    fault: watch::Sender<BackEndFault>,
    generator: Mutex<ChaCha8Rng>,
    leaving_since: Mutex<Option<Instant>>,
}

/// A slot in use; the load history learns of its release.
pub(super) struct Slot {
    lease: Option<Lease>,
    shared: Arc<Shared>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        drop(self.lease.take());
        self.shared.record_load();
    }
}

impl Shared {
    pub(super) fn new(config: BackEndConfig, gate: Gate) -> Self {
        Self {
            recorder: ExecutionRecorder::default(),
            gate,
            clock: MonotonicClock::start(),
            slots: Capacity::new(config.slots),
            exchanges: Capacity::new(config.connection_limit),
            load: Mutex::new(LoadHistory::default()),
            fault: watch::Sender::new(BackEndFault::default()),
            generator: Mutex::new(ChaCha8Rng::seed_from_u64(config.seed)),
            leaving_since: Mutex::new(None),
            config,
        }
    }

    pub(super) fn fault(&self) -> BackEndFault {
        *self.fault.borrow()
    }

    pub(super) fn set_fault(&self, fault: BackEndFault) {
        self.fault.send_replace(fault);
    }

    pub(super) async fn wait_while_frozen(&self) {
        let mut faults = self.fault.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = faults.wait_for(|fault| !fault.frozen).await;
    }

    pub(super) fn draw_fault(&self) -> RequestFault {
        let mut generator = self
            .generator
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        self.fault().draw(&mut generator)
    }

    /// Takes one of the open requests allowed, if one is free.
    pub(super) fn open_exchange(&self) -> Option<Lease> {
        self.exchanges.take()
    }

    /// Takes a slot, if one is free.
    pub(super) fn take_slot(self: &Arc<Self>) -> Option<Slot> {
        let lease = self.slots.take()?;
        self.record_load();
        Some(Slot {
            lease: Some(lease),
            shared: Arc::clone(self),
        })
    }

    fn record_load(&self) {
        let now = self.clock.now();
        let mut load = self.load.lock().unwrap_or_else(PoisonError::into_inner);
        load.record(self.slots.used(), now);
    }

    /// What the load endpoint tells.
    pub(super) fn told_load(&self) -> LoadReport {
        let load = self.load.lock().unwrap_or_else(PoisonError::into_inner);
        let truth = self.true_load();
        LoadReport {
            busy: load.told(self.fault().load, truth.busy, self.clock.now()),
            ..truth
        }
    }

    pub(super) fn true_load(&self) -> LoadReport {
        LoadReport {
            busy: self.slots.used(),
            slots: self.slots.limit(),
            connections: self.exchanges.used(),
            connection_limit: self.exchanges.limit(),
        }
    }

    pub(super) fn start_leaving(&self) {
        let mut leaving = self
            .leaving_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        leaving.get_or_insert(self.clock.now());
    }

    pub(super) fn leaving_for(&self) -> Option<Duration> {
        let leaving = self
            .leaving_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        leaving.map(|since| self.clock.now().since(since))
    }

    pub(super) fn leaving_for_ms(&self) -> Option<u64> {
        self.leaving_for()
            .map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
    }

    pub(super) fn service_time(&self) -> Duration {
        let uptime = self.clock.now().since_origin();
        self.config.service_time_after(uptime)
    }

    /// Logs the request when it was meant for another service.
    pub(super) fn check_service(&self, headers: &HeaderMap, uri: &Uri) {
        let Some(intended) = headers::text(headers, headers::INTENDED_SERVICE) else {
            return;
        };
        if intended != self.config.service {
            self.recorder.wrong_service(WrongServiceArrival {
                service: self.config.service.clone(),
                intended: intended.to_owned(),
                path: uri.path().to_owned(),
                arrived_ms: unix_milliseconds(),
            });
        }
    }
}
