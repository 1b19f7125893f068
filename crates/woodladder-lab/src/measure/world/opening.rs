//! Flows from their first packet until they are established, and their breaks.

use std::time::Duration;

use rand::Rng as _;
use woodladder_core::packets::envelope::Envelope;
use woodladder_core::packets::quic_header;
use woodladder_core::packets::token::{TOKEN_LENGTH, TOKEN_NONCE_LENGTH};
use woodladder_core::target::admission::Verdict;
use woodladder_core::target::request::{RequestEvent, RequestId};

use super::event::{BalancerIndex, Event, FlowIndex, TargetIndex};
use super::flow::{Flow, Stage, client_id};
use super::placement::Arrival;
use super::{RETRANSMISSION, World, retransmission};
use crate::measure::way::Way;
use crate::measure::workload::{FlowKind, RUN_END};

/// Time between packets of a caller on an open feed.
const KEEP_ALIVE: Duration = Duration::from_secs(3);
/// Time after which the caller of a broken feed connects again.
const RECONNECT: Duration = Duration::from_secs(1);
/// Time after which a caller comes back when nothing told it when.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

impl World<'_> {
    pub(super) fn open(&mut self, plan: usize) {
        let planned = &self.run.flows[plan];
        let flow = Flow {
            plan: Some(plan),
            service: planned.service,
            kind: planned.kind,
            work: planned.work,
            first_tried_at: self.queue.now(),
            attempts: 0,
            stage: Stage::Opening,
            token: [0; TOKEN_LENGTH],
            assigned: None,
            first_request: None,
            losses: 0,
        };
        self.add_flow(flow, Duration::ZERO);
    }

    pub(super) fn add_flow(&mut self, flow: Flow, delay: Duration) {
        self.flows.push(flow);
        let index = self.flows.len() - 1;
        self.queue.after(delay, Event::Start(index));
    }

    pub(super) fn start(&mut self, flow: FlowIndex) {
        if self.run.way == Way::Omniscient && self.flows[flow].assigned.is_none() {
            self.assign(flow);
        }
        let balancer = self.any_balancer();
        let delay = self.deployment.client_delay;
        self.queue
            .after(delay, Event::FirstAtBalancer(flow, balancer));
    }

    fn assign(&mut self, flow: FlowIndex) {
        let assigned = self.least_loaded(self.flows[flow].service);
        self.flows[flow].assigned = assigned;
        if let Some(target) = assigned {
            self.targets[target].on_the_way += 1;
        }
    }

    pub(super) fn first_at_balancer(&mut self, flow: FlowIndex, balancer: BalancerIndex) {
        if !self.balancers[balancer].alive {
            self.outcome.retransmitted += 1;
            self.queue.after(RETRANSMISSION, Event::Start(flow));
            return;
        }
        let (target, envelope) = if self.run.way == Way::Chosen {
            let forward = self.route_first(flow, balancer);
            let target = forward
                .as_ref()
                .and_then(|forward| self.by_address.get(&forward.to).copied());
            (target, forward.map(|forward| Box::new(forward.envelope)))
        } else {
            (self.place_first(flow, balancer), None)
        };
        let Some(target) = target else {
            self.queue.after(RETRANSMISSION, Event::Start(flow));
            return;
        };
        let delay = self.delay_to_agent(balancer, target);
        let event = Event::FirstAtAgent {
            flow,
            target,
            envelope,
        };
        self.queue.after(delay, event);
    }

    pub(super) fn first_at_agent(
        &mut self,
        flow: FlowIndex,
        target: TargetIndex,
        envelope: Option<Box<Envelope>>,
    ) {
        match envelope {
            Some(envelope) => self.admit(flow, target, *envelope),
            None => self.accept(flow, target),
        }
    }

    /// Lets the product's admission decide.
    fn admit(&mut self, flow: FlowIndex, target: TargetIndex, envelope: Envelope) {
        let now = self.queue.now();
        let datagram = self.writer.initial(client_id(flow, self.salt));
        let Ok(packet) = quic_header::parse_header(datagram, TOKEN_LENGTH) else {
            return;
        };
        let model = &mut self.targets[target];
        let conditions = model.conditions(now);
        let decision = model.admission.handle(envelope, &packet, &conditions, now);
        match decision.verdict {
            Verdict::Accept => self.accept(flow, target),
            Verdict::AcceptToDecline => self.decline(flow),
            Verdict::Refuse(_) => self.refuse_flow(flow),
            Verdict::HandOn(forward) => self.hand_on(flow, target, forward),
            Verdict::Deliver | Verdict::Relay(_) | Verdict::Drop(_) => {
                self.queue.after(RETRANSMISSION, Event::Start(flow));
            }
        }
    }

    fn hand_on(
        &mut self,
        flow: FlowIndex,
        from: TargetIndex,
        forward: woodladder_core::packets::router::Forward,
    ) {
        let Some(target) = self.by_address.get(&forward.to).copied() else {
            self.queue.after(RETRANSMISSION, Event::Start(flow));
            return;
        };
        self.outcome.handed_on += 1;
        let delay = self.delay_among_agents(from, target);
        let event = Event::FirstAtAgent {
            flow,
            target,
            envelope: Some(Box::new(forward.envelope)),
        };
        self.queue.after(delay, event);
    }

    fn accept(&mut self, flow: FlowIndex, target: TargetIndex) {
        if self.flows[flow].stage != Stage::Opening {
            return;
        }
        let hash = self.client_hash(flow);
        let nonce: [u8; TOKEN_NONCE_LENGTH] = self.random.random();
        let model = &mut self.targets[target];
        model.open_connections += 1;
        model.admission.connection_opened(hash);
        let id = model.id;
        self.flows[flow].token = self.keys.issue(id, nonce);
        self.flows[flow].stage = Stage::Accepted(target);
        let delay = self.deployment.client_delay;
        self.queue.after(delay, Event::Established(flow));
    }

    /// The handshake is done so that the caller's request can be refused.
    fn decline(&mut self, flow: FlowIndex) {
        self.flows[flow].stage = Stage::Declined;
        let event = Event::Refused {
            flow,
            request: None,
            retry_after: DEFAULT_RETRY,
        };
        self.queue.after(self.deployment.client_delay * 3, event);
    }

    fn refuse_flow(&mut self, flow: FlowIndex) {
        let event = Event::Refused {
            flow,
            request: None,
            retry_after: DEFAULT_RETRY,
        };
        self.queue.after(self.deployment.client_delay, event);
    }

    pub(super) fn established(&mut self, flow: FlowIndex) {
        let Stage::Accepted(target) = self.flows[flow].stage else {
            return;
        };
        self.flows[flow].stage = Stage::Established(target);
        let Flow { kind, work, .. } = self.flows[flow];
        match kind {
            FlowKind::Feed => self.outcome.feeds.established += 1,
            FlowKind::Request => self.outcome.requests.established += 1,
        }
        self.send_request(flow, target, work, true);
        if kind == FlowKind::Feed {
            self.schedule_later_requests(flow);
            let delay = KEEP_ALIVE.mul_f64(self.random.random());
            self.queue.after(delay, Event::KeepAlive(flow));
        }
    }

    fn schedule_later_requests(&mut self, flow: FlowIndex) {
        let Some(plan) = self.flows[flow].plan else {
            return;
        };
        let now = self.queue.now();
        for later in self.run.flows[plan].later.iter().filter(|it| it.at > now) {
            self.queue
                .at(later.at, Event::LaterRequest(flow, later.work));
        }
    }

    pub(super) fn keep_alive(&mut self, flow: FlowIndex) {
        let Stage::Established(owner) = self.flows[flow].stage else {
            return;
        };
        let balancer = self.any_balancer();
        if let Arrival::Owner { .. } = self.follow_packet(flow, owner, balancer) {
            self.flows[flow].losses = 0;
            self.queue.after(KEEP_ALIVE, Event::KeepAlive(flow));
            return;
        }
        let losses = self.flows[flow].losses;
        self.flows[flow].losses = losses + 1;
        self.outcome.retransmitted += 1;
        match retransmission(losses) {
            Some(delay) => self.queue.after(delay, Event::KeepAlive(flow)),
            None => self.break_flow(flow),
        }
    }

    /// An established flow is lost; the caller of a feed connects again.
    pub(super) fn break_flow(&mut self, flow: FlowIndex) {
        if !self.flows[flow].is_established() {
            return;
        }
        let owner = self.flows[flow].owner();
        let first_request = self.flows[flow].first_request;
        self.close(flow);
        if let (Some(owner), Some(request)) = (owner, first_request) {
            self.cancel(owner, request);
        }
        let lost = self.flows[flow];
        match lost.kind {
            FlowKind::Request => self.outcome.requests.broken += 1,
            FlowKind::Feed => {
                self.outcome.feeds.broken += 1;
                self.reconnect(lost);
            }
        }
    }

    fn cancel(&mut self, owner: TargetIndex, request: usize) {
        let now = self.queue.now();
        let id = RequestId(u64::try_from(request).unwrap_or(u64::MAX));
        let actions = self.targets[owner]
            .requests
            .handle(RequestEvent::Cancelled(id), now);
        self.carry_out(owner, actions);
    }

    fn reconnect(&mut self, lost: Flow) {
        if self.queue.now().since_origin() + RECONNECT >= RUN_END {
            return;
        }
        let again = Flow {
            first_tried_at: self.queue.now() + RECONNECT,
            attempts: 0,
            stage: Stage::Opening,
            assigned: None,
            first_request: None,
            losses: 0,
            ..lost
        };
        self.add_flow(again, RECONNECT);
    }
}
