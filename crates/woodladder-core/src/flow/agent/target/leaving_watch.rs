//! Watches that no new flow reaches a target whose leaving was acknowledged.
//!
//! The watch is independent of the target's state by which openings are admitted, so that
//! it notices when this state is wrong. An acknowledged leaving is watched until its
//! incarnation has ended: until nothing listens at its address, a later incarnation is
//! present, or another one keeps sending heartbeats while it is silent.

use crate::clock::Instant;
use crate::flow::agent::{Agent, OpeningPath};
use crate::flow::identity::{Incarnation, NodeAddress};
use crate::flow::log_event::LogEvent;
use crate::flow::packet::{FlowPacket, PacketKind};
use crate::flow::target_restart::SILENCE_BEFORE_SUPERSEDED;

/// Heartbeats of another incarnation since the watched one was last heard.
#[derive(Clone, Copy, Debug)]
struct Successor {
    incarnation: Incarnation,
    sequence: u64,
    since: Instant,
}

/// A leaving that was acknowledged.
#[derive(Clone, Copy, Debug)]
pub struct AcknowledgedLeaving {
    /// The incarnation that leaves, or the target's name if it deregistered by name.
    pub incarnation: Incarnation,
    /// When the leaving was first acknowledged.
    pub acknowledged_at: Instant,
    successor: Option<Successor>,
}

/// The latest leaving that was acknowledged to a target which may still run.
#[derive(Clone, Debug, Default)]
pub struct LeavingWatch {
    leaving: Option<AcknowledgedLeaving>,
}

impl LeavingWatch {
    /// Records that a leaving was acknowledged. Returns whether it was not known before.
    pub fn record_acknowledged(&mut self, incarnation: Incarnation, now: Instant) -> bool {
        let is_known = self
            .leaving
            .is_some_and(|known| known.incarnation == incarnation);
        if !is_known {
            self.leaving = Some(AcknowledgedLeaving {
                incarnation,
                acknowledged_at: now,
                successor: None,
            });
        }
        !is_known
    }

    /// Records a deregistration that was acknowledged: the first word of a leaving, or the
    /// last one of an incarnation that had announced it. Returns whether it was the first.
    pub fn record_deregistration(&mut self, names: [Option<Incarnation>; 2], now: Instant) -> bool {
        let known = self.leaving.map(|known| known.incarnation);
        if known.is_some() && names.contains(&known) {
            return false;
        }
        let named = names.into_iter().flatten().next();
        named.is_some_and(|incarnation| self.record_acknowledged(incarnation, now))
    }

    /// Records that the incarnation has ended: nothing listens at its address, or a later
    /// one is present.
    pub fn record_end(&mut self) {
        self.leaving = None;
    }

    /// Records a heartbeat, whether or not it was accepted.
    pub fn record_heartbeat(&mut self, incarnation: Incarnation, sequence: u64, now: Instant) {
        let Some(leaving) = &mut self.leaving else {
            return;
        };
        if leaving.incarnation == incarnation {
            leaving.successor = None;
            return;
        }
        let successor = leaving
            .successor
            .filter(|known| known.incarnation == incarnation);
        let successor = *leaving.successor.insert(successor.unwrap_or(Successor {
            incarnation,
            sequence,
            since: now,
        }));
        let is_still_sending = sequence > successor.sequence;
        if is_still_sending && now.since(successor.since) >= SILENCE_BEFORE_SUPERSEDED {
            self.leaving = None;
        }
    }

    /// The acknowledged leaving of a target that may still run.
    #[must_use]
    pub fn outstanding(&self) -> Option<AcknowledgedLeaving> {
        self.leaving
    }
}

impl Agent {
    /// Records that the leaving of an incarnation is acknowledged.
    pub(crate) fn acknowledge_leaving(&mut self, incarnation: Incarnation, now: Instant) {
        if self.leaving_watch.record_acknowledged(incarnation, now) {
            self.log_acknowledged_leaving(incarnation, now);
        }
    }

    /// Counts and logs a leaving that is acknowledged for the first time.
    pub(crate) fn log_acknowledged_leaving(&mut self, incarnation: Incarnation, now: Instant) {
        self.counters.leavings_acknowledged += 1;
        self.log_events.add(LogEvent::LeavingAcknowledged {
            incarnation,
            status: self.target_status(now),
        });
    }

    /// Counts and logs a delivered packet that opens a flow while a leaving is outstanding.
    pub(crate) fn watch_delivered_opening(
        &mut self,
        balancer: NodeAddress,
        packet: &FlowPacket,
        path: OpeningPath,
        now: Instant,
    ) {
        if packet.kind != PacketKind::Open {
            return;
        }
        let Some(leaving) = self.leaving_watch.outstanding() else {
            return;
        };
        self.promises.record_opened_after_leaving();
        self.log_events.add(LogEvent::OpeningAfterLeaving {
            key: packet.key,
            balancer,
            copy: packet.acknowledgement,
            path,
            leaving: leaving.incarnation,
            acknowledged_ago: now.since(leaving.acknowledged_at),
            status: self.target_status(now),
        });
    }
}
