//! Notices that the process was paused, and keeps it suspect until somebody
//! confirmed what it has in force.

use std::time::Duration;

use crate::clock::Instant;
use crate::control::control_message::ProbeNumber;
use crate::control::replica::LEASE_LENGTH;
use crate::control::store_operation::StoreRequestId;

/// What counts as confirmation after a pause.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    ends_at: Instant,
    first_probe: ProbeNumber,
    first_request: StoreRequestId,
}

/// When the replica was called last, and whether it is suspect.
#[derive(Clone, Debug)]
pub(super) struct Vigilance {
    called: Instant,
    time: Duration,
    suspicion: Option<Suspicion>,
}

impl Vigilance {
    pub(super) fn new(time: Duration, now: Instant) -> Self {
        Self {
            called: now,
            time,
            suspicion: None,
        }
    }

    /// Takes note of a call; true when the process was paused before it.
    pub(super) fn called(&mut self, now: Instant) -> bool {
        let paused = now.since(self.called) > LEASE_LENGTH;
        self.called = now;
        if self.suspicion.is_some_and(|known| now >= known.ends_at) {
            self.suspicion = None;
        }
        paused
    }

    /// Turns suspect; only answers to these or later questions count.
    pub(super) fn suspect(
        &mut self,
        first_probe: ProbeNumber,
        first_request: StoreRequestId,
        now: Instant,
    ) {
        self.suspicion = Some(Suspicion {
            ends_at: now + self.time,
            first_probe,
            first_request,
        });
    }

    /// Takes note of a node's answer that names nothing greater.
    pub(super) fn confirmed_by_peer(&mut self, probe: ProbeNumber) {
        self.suspicion = self.suspicion.filter(|known| probe < known.first_probe);
    }

    /// Takes note of the key-value service's answer that names nothing greater.
    pub(super) fn confirmed_by_store(&mut self, request: StoreRequestId) {
        self.suspicion = self.suspicion.filter(|known| request < known.first_request);
    }

    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        let paused = now.since(self.called) > LEASE_LENGTH;
        paused || self.suspicion.is_some_and(|known| now < known.ends_at)
    }

    pub(super) fn next_wakeup(&self) -> Option<Instant> {
        self.suspicion.map(|known| known.ends_at)
    }
}
