//! Requests on established flows.

use std::time::Duration;

use woodladder_core::packets::token::TOKEN_LENGTH;
use woodladder_core::target::request::{RequestAction, RequestEvent, RequestId};

use super::event::{Event, FlowIndex, RequestIndex, TargetIndex};
use super::flow::{Flow, Request, Stage};
use super::placement::Arrival;
use super::{World, retransmission};
use crate::measure::workload::FlowKind;

/// Attempts after which a caller stops coming back.
const MAXIMUM_ATTEMPTS: u32 = 20;

impl World<'_> {
    pub(super) fn send_request(
        &mut self,
        flow: FlowIndex,
        target: TargetIndex,
        work: Duration,
        first: bool,
    ) {
        let now = self.queue.now();
        let caller = self.flows[flow];
        self.requests.push(Request {
            flow,
            target,
            work,
            first,
            streaming: first && caller.kind == FlowKind::Feed,
            first_tried_at: if first { caller.first_tried_at } else { now },
            dispatched_at: now,
            losses: 0,
        });
        let request = self.requests.len() - 1;
        if first {
            self.flows[flow].first_request = Some(request);
        }
        let delay = self.deployment.client_delay;
        self.queue.after(delay, Event::RequestAtBalancer(request));
    }

    /// A caller that was told of its target's leaving uses a new connection.
    pub(super) fn later_request(&mut self, flow: FlowIndex, work: Duration) {
        let Stage::Established(target) = self.flows[flow].stage else {
            return;
        };
        if self.targets[target].drain.takes_new_flows() {
            self.send_request(flow, target, work, false);
        } else {
            self.request_on_new_flow(flow, work, Duration::ZERO);
        }
    }

    fn request_on_new_flow(&mut self, flow: FlowIndex, work: Duration, delay: Duration) {
        let separate = Flow {
            plan: None,
            service: self.flows[flow].service,
            kind: FlowKind::Request,
            work,
            first_tried_at: self.queue.now(),
            attempts: 0,
            stage: Stage::Opening,
            token: [0; TOKEN_LENGTH],
            assigned: None,
            first_request: None,
            losses: 0,
        };
        self.add_flow(separate, delay);
    }

    pub(super) fn request_at_balancer(&mut self, request: RequestIndex) {
        let Request { flow, target, .. } = self.requests[request];
        if !self.flows[flow].is_established() {
            self.arrived_somewhere(request);
            return;
        }
        let balancer = self.any_balancer();
        match self.follow_packet(flow, target, balancer) {
            Arrival::Lost => self.request_lost(request),
            Arrival::Owner { relay } => {
                let detour = relay.map_or(Duration::ZERO, |relay| {
                    self.delay_among_agents(relay, target)
                });
                let delay = self.delay_to_agent(balancer, target) + detour;
                self.queue.after(delay, Event::RequestAtAgent(request));
            }
        }
    }

    fn request_lost(&mut self, request: RequestIndex) {
        let losses = self.requests[request].losses;
        self.requests[request].losses = losses + 1;
        self.outcome.retransmitted += 1;
        match retransmission(losses) {
            Some(delay) => self.queue.after(delay, Event::RequestAtBalancer(request)),
            None => {
                self.arrived_somewhere(request);
                self.break_flow(self.requests[request].flow);
            }
        }
    }

    /// The request is no longer on its way.
    fn arrived_somewhere(&mut self, request: RequestIndex) {
        let Request { flow, first, .. } = self.requests[request];
        if first && let Some(assigned) = self.flows[flow].assigned.take() {
            let target = &mut self.targets[assigned];
            target.on_the_way = target.on_the_way.saturating_sub(1);
        }
    }

    pub(super) fn request_at_agent(&mut self, request: RequestIndex) {
        self.arrived_somewhere(request);
        let Request { flow, target, .. } = self.requests[request];
        if !self.flows[flow].is_established() {
            return;
        }
        let now = self.queue.now();
        let hash = self.client_hash(flow);
        let event = RequestEvent::Arrived {
            id: identifier(request),
            deadline: None,
            repeatable: false,
        };
        let model = &mut self.targets[target];
        model.admission.request_arrived(hash);
        let actions = model.requests.handle(event, now);
        self.carry_out(target, actions);
    }

    /// Carries out what an agent's request table asks for.
    pub(super) fn carry_out(&mut self, target: TargetIndex, actions: Vec<RequestAction>) {
        for action in actions {
            let request = index(action.id());
            match action {
                RequestAction::Dispatch(id) => self.dispatch(target, id),
                RequestAction::Send(_) => self.run_request(target, request),
                RequestAction::Complete(_) => self.answer_travels(request),
                RequestAction::Refuse { refusal, .. } => {
                    self.refusal_travels(request, refusal.retry_after());
                }
                RequestAction::CloseBackEndConnection(_)
                | RequestAction::Fail { .. }
                | RequestAction::ResetCaller { .. }
                | RequestAction::Forget { .. } => {}
            }
        }
    }

    fn dispatch(&mut self, target: TargetIndex, id: RequestId) {
        let now = self.queue.now();
        let connected = RequestEvent::BackEndConnected(id);
        let actions = self.targets[target].requests.handle(connected, now);
        self.carry_out(target, actions);
    }

    fn run_request(&mut self, target: TargetIndex, request: RequestIndex) {
        let now = self.queue.now();
        self.requests[request].dispatched_at = now;
        let work = self.requests[request].work;
        let time = self.targets[target].service_time(work, now);
        self.queue.after(time, Event::Served(request));
    }

    pub(super) fn served(&mut self, request: RequestIndex) {
        let Request {
            target,
            streaming,
            dispatched_at,
            ..
        } = self.requests[request];
        let now = self.queue.now();
        let model = &mut self.targets[target];
        model.served(now.since(dispatched_at), now);
        let actions = model.answer(identifier(request), streaming, now);
        self.carry_out(target, actions);
        if streaming {
            self.answer_travels(request);
        }
    }

    fn answer_travels(&mut self, request: RequestIndex) {
        let delay = self.deployment.client_delay;
        self.queue.after(delay, Event::Answered(request));
    }

    fn refusal_travels(&mut self, request: RequestIndex, retry_after: Duration) {
        let event = Event::Refused {
            flow: self.requests[request].flow,
            request: Some(request),
            retry_after,
        };
        self.queue.after(self.deployment.client_delay, event);
    }

    pub(super) fn answered(&mut self, request: RequestIndex) {
        let Request {
            flow,
            first_tried_at,
            ..
        } = self.requests[request];
        if !self.flows[flow].is_established() {
            return;
        }
        self.outcome.answers += 1;
        let elapsed = self.queue.now().since(first_tried_at);
        self.outcome.record_first_answer(elapsed);
        if self.flows[flow].kind == FlowKind::Request {
            self.close(flow);
        }
    }

    pub(super) fn refused(
        &mut self,
        flow: FlowIndex,
        request: Option<RequestIndex>,
        retry_after: Duration,
    ) {
        self.outcome.refusals += 1;
        let first = request.is_none_or(|request| self.requests[request].first);
        if !first {
            let work = request.map_or(Duration::ZERO, |request| self.requests[request].work);
            self.request_on_new_flow(flow, work, retry_after);
            return;
        }
        self.close(flow);
        let caller = self.flows[flow];
        if caller.attempts + 1 >= MAXIMUM_ATTEMPTS {
            self.outcome.abandoned += 1;
            return;
        }
        let again = Flow {
            attempts: caller.attempts + 1,
            stage: Stage::Opening,
            assigned: None,
            first_request: None,
            losses: 0,
            ..caller
        };
        self.add_flow(again, retry_after);
    }
}

fn identifier(request: RequestIndex) -> RequestId {
    RequestId(u64::try_from(request).unwrap_or(u64::MAX))
}

fn index(id: RequestId) -> RequestIndex {
    usize::try_from(id.0).unwrap_or(usize::MAX)
}
