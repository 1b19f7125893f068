//! Detects that the process was paused. The node is then suspect until another
//! node or the key-value service confirms the roll in force, or until a time
//! limit.

use std::time::Duration;

use crate::clock::Instant;
use crate::control::control_message::ProbeNumber;
use crate::control::replica::PAUSE_THRESHOLD;
use crate::control::store_operation::StoreRequestId;

/// What confirms the roll in force after a pause, and when the node stops being
/// suspect without a confirmation.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    ends_at: Instant,
    first_probe: ProbeNumber,
    first_request: StoreRequestId,
}

/// When the replica was last called, and whether it is suspect.
#[derive(Clone, Debug)]
pub(super) struct PauseDetector {
    last_call: Instant,
    suspect_timeout: Duration,
    suspicion: Option<Suspicion>,
}

impl PauseDetector {
    pub(super) fn new(suspect_timeout: Duration, now: Instant) -> Self {
        Self {
            last_call: now,
            suspect_timeout,
            suspicion: None,
        }
    }

    /// Records a call; returns whether the process was paused before it.
    pub(super) fn record_call(&mut self, now: Instant) -> bool {
        let paused = now.since(self.last_call) > PAUSE_THRESHOLD;
        self.last_call = now;
        if self.suspicion.is_some_and(|known| now >= known.ends_at) {
            self.suspicion = None;
        }
        paused
    }

    /// Makes the node suspect. Only answers to probes from `first_probe` on, and
    /// to requests to the key-value service from `first_request` on, confirm the
    /// roll in force.
    pub(super) fn become_suspect(
        &mut self,
        first_probe: ProbeNumber,
        first_request: StoreRequestId,
        now: Instant,
    ) {
        self.suspicion = Some(Suspicion {
            ends_at: now + self.suspect_timeout,
            first_probe,
            first_request,
        });
    }

    /// Records an answer of a node whose sequence is not greater than the one
    /// in force.
    pub(super) fn record_peer_confirmation(&mut self, probe: ProbeNumber) {
        self.suspicion = self.suspicion.filter(|known| probe < known.first_probe);
    }

    /// Records an answer of the key-value service whose sequence is not greater
    /// than the one in force.
    pub(super) fn record_store_confirmation(&mut self, request: StoreRequestId) {
        self.suspicion = self.suspicion.filter(|known| request < known.first_request);
    }

    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        let paused = now.since(self.last_call) > PAUSE_THRESHOLD;
        paused || self.suspicion.is_some_and(|known| now < known.ends_at)
    }

    pub(super) fn next_wakeup(&self) -> Option<Instant> {
        self.suspicion.map(|known| known.ends_at)
    }
}
