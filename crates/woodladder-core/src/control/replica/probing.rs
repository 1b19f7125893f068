//! Finds agents that do not answer: watches the probes that rounds send,
//! repeats them, and asks other nodes to probe as well.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Instant;
use crate::control::availability::{Availability, PendingProbes, ProbeStep, TargetSchedule};
use crate::control::control_message::{
    ControlMessage, DigestMessage, Exchange, ProbeConfirmed, ProbeRequest,
};
use crate::control::replica::Replica;
use crate::identifier::TargetId;

/// Time for which a node does not call an agent unreachable a second time, so
/// that a path between just the two does not divert flows again and again.
const SECOND_ACCUSATION_AFTER: Duration = Duration::from_secs(30);
/// Time for which a node that probes on request waits for the answer.
const REQUEST_TIME: Duration = Duration::from_secs(2);
/// Nodes that are asked to probe one that does not answer.
const HELPERS: usize = 2;
/// Requests of others that a node sees to at the same time.
const MAXIMUM_REQUESTS: usize = 32;

/// A probe that another node asked for.
#[derive(Clone, Copy, Debug)]
struct Requested {
    control_address: SocketAddr,
    by: SocketAddr,
    until: Instant,
}

/// Probes that wait for answers.
#[derive(Clone, Debug, Default)]
pub(super) struct Probing {
    pending_probes: PendingProbes,
    requested: Vec<Requested>,
    accused: TargetSchedule,
}

impl Probing {
    pub(super) fn next_wakeup(&self) -> Option<Instant> {
        self.pending_probes.next_deadline()
    }

    /// A paused process cannot tell who was silent meanwhile.
    pub(super) fn forget(&mut self) {
        self.pending_probes.clear();
    }
}

impl Replica {
    /// Takes note of a probe that a round sends.
    pub(super) fn watch(&mut self, control_address: SocketAddr, now: Instant) {
        let report = self
            .availability
            .table
            .report_at_address(control_address)
            .copied();
        let serving = report.filter(|report| report.availability == Availability::Serving);
        if let Some(report) = serving {
            let pending_probes = &mut self.availability.probing.pending_probes;
            pending_probes.track(report.target, control_address, now);
        }
    }

    /// Takes note of a digest message from a node itself.
    pub(super) fn note_alive(&mut self, digest: &DigestMessage, now: Instant) {
        let control_address = digest.sender.control_address;
        let probing = &mut self.availability.probing;
        probing.pending_probes.record_alive(control_address);
        let Exchange::Answer(_) = digest.exchange else {
            return;
        };
        probing.pending_probes.record_answer(now);
        let (answered, waiting): (Vec<Requested>, Vec<Requested>) = probing
            .requested
            .iter()
            .partition(|requested| requested.control_address == control_address);
        probing.requested = waiting;
        for requested in answered {
            let confirmed = ProbeConfirmed { control_address };
            self.send(requested.by, ControlMessage::ProbeConfirmed(confirmed));
        }
    }

    /// Probes a node for another.
    pub(super) fn handle_probe_request(
        &mut self,
        from: SocketAddr,
        request: ProbeRequest,
        now: Instant,
    ) {
        let requested = &mut self.availability.probing.requested;
        requested.retain(|known| known.until > now);
        if requested.len() >= MAXIMUM_REQUESTS
            || request.control_address == self.settings.control_address
        {
            return;
        }
        requested.push(Requested {
            control_address: request.control_address,
            by: from,
            until: now + REQUEST_TIME,
        });
        self.probe_again(request.control_address, now);
    }

    /// A node answered to another that probed it on request.
    pub(super) fn handle_probe_confirmed(&mut self, confirmed: ProbeConfirmed, now: Instant) {
        let pending_probes = &mut self.availability.probing.pending_probes;
        pending_probes.record_alive(confirmed.control_address);
        pending_probes.record_answer(now);
    }

    /// Probes a node outside the rounds, if the rate allows for it.
    pub(super) fn probe_again(&mut self, control_address: SocketAddr, now: Instant) {
        let probe = Exchange::Probe(self.gossip.next_probe());
        let message = self.digest_message(probe, now);
        if self.availability.pace.take(message.datagram_length(), now) {
            self.send(control_address, message);
        }
    }

    pub(super) fn run_probing(&mut self, now: Instant) {
        let probing = &mut self.availability.probing;
        while probing.accused.take_due(now).is_some() {}
        for step in probing.pending_probes.take_due(now) {
            match step {
                ProbeStep::Repeat(control_address) => self.probe_again(control_address, now),
                ProbeStep::RepeatIndirectly(control_address) => {
                    self.probe_again(control_address, now);
                    self.ask_to_probe(control_address, now);
                }
                ProbeStep::Unreachable(target) => self.judge(target, now),
            }
        }
    }

    /// Asks others to probe a node, and probes them: unless one of them
    /// answers, the silence tells nothing about the node.
    fn ask_to_probe(&mut self, control_address: SocketAddr, now: Instant) {
        let picked = self.members.pick(HELPERS + 1, &mut self.random);
        let helpers = picked
            .into_iter()
            .filter(|picked| *picked != control_address);
        for helper in helpers.take(HELPERS) {
            let request = ProbeRequest { control_address };
            self.send(helper, ControlMessage::ProbeRequest(request));
            self.probe_again(helper, now);
        }
    }

    fn judge(&mut self, target: TargetId, now: Instant) {
        let accused = &mut self.availability.probing.accused;
        if accused.contains(target) || self.vigilance.is_suspect(now) {
            return;
        }
        accused.set(target, now + SECOND_ACCUSATION_AFTER);
        self.accuse(target, now);
    }
}
