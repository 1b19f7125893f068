//! Detects agents that do not answer: tracks the probes that gossip rounds
//! send, repeats them, and asks other nodes to probe as well.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Instant;
use crate::control::availability::{Availability, PendingProbes, ProbeStep, TargetSchedule};
use crate::control::control_message::{
    ControlMessage, DigestMessage, Exchange, ProbeConfirmed, ProbeRequest,
};
use crate::control::replica::Replica;
use crate::identifier::TargetId;

/// Time during which a node does not report the same agent as unreachable
/// again. Without this limit, a broken path between just these two nodes would
/// divert flows from the agent again and again.
const REPEATED_REPORT_INTERVAL: Duration = Duration::from_secs(30);
/// How long a node that probes on behalf of another waits for the answer.
const PROBE_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of nodes that are asked to probe an agent that does not answer.
const INDIRECT_PROBERS: usize = 2;
/// Largest number of probes on behalf of other nodes at the same time.
const MAXIMUM_REQUESTED_PROBES: usize = 32;

/// A probe on behalf of another node.
#[derive(Clone, Copy, Debug)]
struct RequestedProbe {
    control_address: SocketAddr,
    requester: SocketAddr,
    expires_at: Instant,
}

/// This node's unanswered probes of agents, its unanswered probes on behalf of
/// other nodes, and the targets whose agents it reported as unreachable less
/// than [`REPEATED_REPORT_INTERVAL`] ago.
#[derive(Clone, Debug, Default)]
pub(super) struct Probing {
    pending_probes: PendingProbes,
    requested_probes: Vec<RequestedProbe>,
    recently_reported: TargetSchedule,
}

impl Probing {
    pub(super) fn next_wakeup(&self) -> Option<Instant> {
        self.pending_probes.next_deadline()
    }

    /// Drops all pending probes, because a process that was paused cannot tell
    /// which nodes failed to answer in the meantime.
    pub(super) fn clear(&mut self) {
        self.pending_probes.clear();
    }
}

impl Replica {
    /// Tracks a probe that a gossip round sends, if the receiver is an
    /// available agent.
    pub(super) fn track_probe(&mut self, control_address: SocketAddr, now: Instant) {
        let report = self
            .availability
            .table
            .report_at_address(control_address)
            .copied();
        let available = report.filter(|report| report.availability == Availability::Serving);
        if let Some(report) = available {
            let pending_probes = &mut self.availability.probing.pending_probes;
            pending_probes.track(report.target, control_address, now);
        }
    }

    /// Records that the sender of a digest message is alive. If the message
    /// answers a probe, this node is not cut off, and the nodes that requested
    /// a probe of the sender receive a confirmation.
    pub(super) fn record_digest(&mut self, digest: &DigestMessage, now: Instant) {
        let control_address = digest.sender.control_address;
        let probing = &mut self.availability.probing;
        probing.pending_probes.record_alive(control_address);
        let Exchange::Answer(_) = digest.exchange else {
            return;
        };
        probing.pending_probes.record_answer(now);
        let (answered, waiting): (Vec<RequestedProbe>, Vec<RequestedProbe>) = probing
            .requested_probes
            .iter()
            .partition(|requested| requested.control_address == control_address);
        probing.requested_probes = waiting;
        for requested in answered {
            let confirmed = ProbeConfirmed { control_address };
            self.send(
                requested.requester,
                ControlMessage::ProbeConfirmed(confirmed),
            );
        }
    }

    /// Probes a node on behalf of the node that sent the request.
    pub(super) fn handle_probe_request(
        &mut self,
        from: SocketAddr,
        request: ProbeRequest,
        now: Instant,
    ) {
        let requested = &mut self.availability.probing.requested_probes;
        requested.retain(|known| known.expires_at > now);
        if requested.len() >= MAXIMUM_REQUESTED_PROBES
            || request.control_address == self.settings.control_address
        {
            return;
        }
        requested.push(RequestedProbe {
            control_address: request.control_address,
            requester: from,
            expires_at: now + PROBE_REQUEST_TIMEOUT,
        });
        self.probe_now(request.control_address, now);
    }

    /// Handles the confirmation that an agent answered a probe which another
    /// node sent on this node's behalf: stops tracking this node's probe of the
    /// agent.
    pub(super) fn handle_probe_confirmed(&mut self, confirmed: ProbeConfirmed, now: Instant) {
        let pending_probes = &mut self.availability.probing.pending_probes;
        pending_probes.record_alive(confirmed.control_address);
        pending_probes.record_answer(now);
    }

    /// Probes a node outside the gossip rounds, if the rate limit allows it.
    pub(super) fn probe_now(&mut self, control_address: SocketAddr, now: Instant) {
        let probe = Exchange::Probe(self.gossip.next_probe());
        let message = self.digest_message(probe, now);
        if self
            .availability
            .report_bucket
            .take(message.datagram_length(), now)
        {
            self.send(control_address, message);
        }
    }

    /// Removes the targets that may be reported as unreachable again, and takes
    /// the next step for each agent that has not answered in time.
    pub(super) fn run_probing(&mut self, now: Instant) {
        let probing = &mut self.availability.probing;
        // Each call removes one target whose interval has ended.
        while probing.recently_reported.take_due(now).is_some() {}
        for step in probing.pending_probes.take_due(now) {
            match step {
                ProbeStep::Repeat(control_address) => self.probe_now(control_address, now),
                ProbeStep::RepeatIndirectly(control_address) => {
                    self.probe_now(control_address, now);
                    self.request_indirect_probes(control_address, now);
                }
                ProbeStep::Unreachable(target) => self.handle_unreachable(target, now),
            }
        }
    }

    /// Asks other nodes to probe a node that does not answer, and probes these
    /// helpers too. The silent node is reported as unreachable only if any other
    /// node answers this node in the meantime: without such an answer, this node
    /// itself may be cut off, and the silence proves nothing.
    fn request_indirect_probes(&mut self, control_address: SocketAddr, now: Instant) {
        let picked = self.members.pick(INDIRECT_PROBERS + 1, &mut self.random);
        let helpers = picked
            .into_iter()
            .filter(|picked| *picked != control_address);
        for helper in helpers.take(INDIRECT_PROBERS) {
            let request = ProbeRequest { control_address };
            self.send(helper, ControlMessage::ProbeRequest(request));
            self.probe_now(helper, now);
        }
    }

    fn handle_unreachable(&mut self, target: TargetId, now: Instant) {
        let recently_reported = &mut self.availability.probing.recently_reported;
        if recently_reported.contains(target) || self.pause_detector.is_suspect(now) {
            return;
        }
        recently_reported.set(target, now + REPEATED_REPORT_INTERVAL);
        self.report_unreachable(target, now);
    }
}
