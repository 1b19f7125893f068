//! Requests that a modelled agent serves: the core's request table, and the
//! back-end connections that its actions are carried out on.

use std::collections::BTreeMap;
use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_core::target::request::{
    Refusal, RefusalReason, RequestAction, RequestCounts, RequestEvent, RequestId, RequestOptions,
    RequestTable,
};

use super::agent_means::Means;
use super::agent_request_frames::{Served, send_refusal, write_request};
use super::back_end::{BackEndStep, ConnectionId};
use super::frame::{FirstIdentifier, Frame, RequestFrame};
use super::log::{AttemptId, Entry};
use super::mutation::Mutation;
use super::output::Output;
use super::random::Random;
use super::seen::Seen;

const HELD_BACK: Duration = Duration::from_millis(300);
const FALSE_RETRY: u32 = 1000;

/// A refusal that the mutation holds back.
#[derive(Clone, Copy, Debug)]
struct Held {
    until: Instant,
    decided: Instant,
    served: Served,
    retry_after: u32,
}

/// Requests of one agent.
#[derive(Debug)]
pub struct AgentRequests {
    table: RequestTable,
    served: BTreeMap<RequestId, Served>,
    by_attempt: BTreeMap<u64, RequestId>,
    exchanges: BTreeMap<ConnectionId, RequestId>,
    next_request: u64,
    /// Connections that the mutation goes on using.
    kept: Vec<ConnectionId>,
    held: Vec<Held>,
}

impl AgentRequests {
    /// No requests, and no slot in use.
    #[must_use]
    pub fn new(slots: u16, random: &mut Random) -> Self {
        let options = RequestOptions {
            queue_limit: 12,
            maximum_wait: Duration::from_secs(2),
            ..RequestOptions::default()
        };
        Self {
            table: RequestTable::new(options, slots, random.generator()),
            served: BTreeMap::new(),
            by_attempt: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            next_request: 0,
            kept: Vec::new(),
            held: Vec::new(),
        }
    }

    /// How many requests are where.
    #[must_use]
    pub fn counts(&self) -> RequestCounts {
        self.table.counts()
    }

    /// Requests without a final outcome.
    #[must_use]
    pub fn len(&self) -> usize {
        self.served.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.served.is_empty()
    }

    /// When the table wants to be called again.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let held = self.held.iter().map(|held| held.until);
        held.chain(self.table.next_wakeup()).min()
    }

    /// Takes a caller's request in.
    pub fn arrived(
        &mut self,
        flow: FirstIdentifier,
        frame: RequestFrame,
        means: &mut Means<'_, '_>,
    ) {
        if self.by_attempt.contains_key(&frame.attempt) {
            return;
        }
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let now = means.around.now;
        let served = Served {
            flow,
            frame,
            arrived: now,
            connection: None,
        };
        self.served.insert(id, served);
        self.by_attempt.insert(frame.attempt, id);
        let limit = frame.deadline;
        let event = RequestEvent::Arrived {
            id,
            deadline: limit.map(|limit| now + Duration::from_millis(u64::from(limit))),
            repeatable: frame.repeatable,
        };
        let actions = self.table.handle(event, now);
        self.log_admission(id, &actions, means);
        self.carry_out(actions, means);
    }

    /// Takes a caller's cancellation in.
    pub fn cancel(&mut self, attempt: u64, means: &mut Means<'_, '_>) {
        if let Some(id) = self.by_attempt.get(&attempt).copied() {
            self.handle(RequestEvent::Cancelled(id), means);
        }
    }

    /// Cancels all requests of a flow.
    pub fn flow_ended(&mut self, flow: &FirstIdentifier, means: &mut Means<'_, '_>) {
        let requests = self.served.iter();
        let requests = requests.filter(|(_, served)| served.flow == *flow);
        let requests: Vec<RequestId> = requests.map(|(id, _)| *id).collect();
        for id in requests {
            self.handle(RequestEvent::Cancelled(id), means);
        }
    }

    /// Takes a step of the back end in.
    pub fn step(&mut self, connection: ConnectionId, step: BackEndStep, means: &mut Means<'_, '_>) {
        let Some(id) = self.exchanges.get(&connection).copied() else {
            return;
        };
        let event = match step {
            BackEndStep::Connected => RequestEvent::BackEndConnected(id),
            BackEndStep::Broken => RequestEvent::BackEndFailed(id),
            BackEndStep::Head { feed } => RequestEvent::AnswerHead {
                id,
                streaming: feed,
            },
            BackEndStep::Part { made_for, length } => {
                self.part(id, made_for, length, means);
                return;
            }
            BackEndStep::End { complete } => RequestEvent::AnswerEnd { id, complete },
            BackEndStep::Refused { retry_after } => RequestEvent::BackEndRefused {
                id,
                retry_after: Some(retry_after),
            },
        };
        self.handle(event, means);
    }

    /// Takes any other event in.
    pub fn handle(&mut self, event: RequestEvent, means: &mut Means<'_, '_>) {
        let actions = self.table.handle(event, means.around.now);
        self.carry_out(actions, means);
    }

    /// Sees to everything that is due.
    pub fn tick(&mut self, means: &mut Means<'_, '_>) {
        self.handle(RequestEvent::Tick, means);
        let now = means.around.now;
        let (due, held) = self.held.iter().partition(|held| held.until <= now);
        self.held = held;
        let due: Vec<Held> = due;
        for refusal in due {
            send_refusal(&refusal.served, refusal.decided, refusal.retry_after, means);
        }
    }

    fn log_admission(&self, id: RequestId, actions: &[RequestAction], means: &mut Means<'_, '_>) {
        let refuses = |action: &RequestAction| matches!(action, RequestAction::Refuse { id: refused, .. } if *refused == id);
        let Some(served) = self.served.get(&id) else {
            return;
        };
        if !actions.iter().any(refuses) {
            let entry = Entry::RequestAdmitted {
                target: means.back_end.target(),
                attempt: AttemptId(served.frame.attempt),
            };
            means.around.log.add(means.around.now, entry);
        }
    }

    fn carry_out(&mut self, actions: Vec<RequestAction>, means: &mut Means<'_, '_>) {
        for action in actions {
            match action {
                RequestAction::Dispatch(id) => self.dispatch(id, means),
                RequestAction::Send(permit) => self.send(permit.id(), means),
                RequestAction::CloseBackEndConnection(id) => self.close_back_end(id, means),
                RequestAction::Refuse { id, refusal } => self.refuse(id, &refusal, means),
                RequestAction::Fail { id, reason, .. } => {
                    means.around.log.see(Seen::unknown(reason));
                    self.fail(id, means);
                }
                RequestAction::ResetCaller { id, .. } => {
                    means.around.log.see(Seen::ResetInAnswer);
                    self.reset(id, means);
                }
                RequestAction::Complete(id) => {
                    self.conclude(id, |attempt| Frame::End { attempt }, means);
                }
                RequestAction::Forget { id, may_have_run } => {
                    means.around.log.see(if may_have_run {
                        Seen::CancelledAfter
                    } else {
                        Seen::CancelledBefore
                    });
                    self.finish(id, means);
                }
            }
        }
    }

    fn dispatch(&mut self, id: RequestId, means: &mut Means<'_, '_>) {
        let (connection, schedule) = match self.kept.pop() {
            Some(kept) => (kept, vec![(Duration::ZERO, BackEndStep::Connected)]),
            None => means.back_end.connect(),
        };
        self.exchanges.insert(connection, id);
        if let Some(served) = self.served.get_mut(&id) {
            served.connection = Some(connection);
        }
        let outputs = &mut means.around.outputs;
        outputs.push(Output::BackEnd {
            connection,
            schedule,
        });
    }

    fn send(&mut self, id: RequestId, means: &mut Means<'_, '_>) {
        let Some(served) = self.served.get(&id) else {
            return;
        };
        if let Some(connection) = served.connection {
            write_request(connection, &served.frame, means);
        }
    }

    fn part(&self, id: RequestId, made_for: AttemptId, length: u32, means: &mut Means<'_, '_>) {
        if let Some(served) = self.served.get(&id) {
            let frame = Frame::Part {
                attempt: served.frame.attempt,
                made_for: made_for.0,
                length,
            };
            means.flows.send(&served.flow, frame, means.around);
        }
    }

    fn close_back_end(&mut self, id: RequestId, means: &mut Means<'_, '_>) {
        let connection = self.served.get_mut(&id);
        let Some(connection) = connection.and_then(|served| served.connection.take()) else {
            return;
        };
        self.exchanges.remove(&connection);
        let reuses = means.around.mutation == Some(Mutation::ReuseConnection);
        if reuses && means.back_end.is_open(connection) {
            self.kept.push(connection);
        } else {
            means.back_end.close(connection);
        }
    }

    fn refuse(&mut self, id: RequestId, refusal: &Refusal, means: &mut Means<'_, '_>) {
        let Some(served) = self.finish(id, means) else {
            return;
        };
        means.around.log.see(Seen::refusal(refusal.reason()));
        let now = means.around.now;
        let decided = if is_decided_on_arrival(refusal.reason()) {
            served.arrived
        } else {
            now
        };
        let retry_after = refusal.retry_after().as_millis();
        let retry_after = u32::try_from(retry_after).unwrap_or(u32::MAX);
        if means.around.mutation == Some(Mutation::HoldRefusals) {
            self.held.push(Held {
                until: now + HELD_BACK,
                decided,
                served,
                retry_after,
            });
        } else {
            send_refusal(&served, decided, retry_after, means);
        }
    }

    fn fail(&mut self, id: RequestId, means: &mut Means<'_, '_>) {
        let Some(served) = self.served.get(&id).copied() else {
            return;
        };
        match means.around.mutation {
            Some(Mutation::NotRunAfterSend) => {
                let retry_after = FALSE_RETRY;
                let frame = |attempt| Frame::NotRun {
                    attempt,
                    retry_after,
                };
                self.conclude(id, frame, means);
            }
            Some(Mutation::ResendAfterUnknown) => {
                let (connection, _) = means.back_end.connect();
                write_request(connection, &served.frame, means);
                self.conclude(id, |attempt| Frame::Unknown { attempt }, means);
            }
            _ => self.conclude(id, |attempt| Frame::Unknown { attempt }, means),
        }
    }

    fn reset(&mut self, id: RequestId, means: &mut Means<'_, '_>) {
        if means.around.mutation == Some(Mutation::EndTruncated) {
            self.conclude(id, |attempt| Frame::End { attempt }, means);
        } else {
            self.conclude(id, |attempt| Frame::Reset { attempt }, means);
        }
    }

    fn conclude(
        &mut self,
        id: RequestId,
        frame: impl FnOnce(u64) -> Frame,
        means: &mut Means<'_, '_>,
    ) {
        if let Some(served) = self.finish(id, means) {
            let frame = frame(served.frame.attempt);
            means.flows.send(&served.flow, frame, means.around);
        }
    }

    /// Forgets a request and closes its back-end connection, if it has one.
    fn finish(&mut self, id: RequestId, means: &mut Means<'_, '_>) -> Option<Served> {
        let served = self.served.remove(&id)?;
        if let Some(connection) = served.connection {
            self.exchanges.remove(&connection);
            means.back_end.close(connection);
        }
        Some(served)
    }
}

/// Whether a refusal for this reason is due in the instant of arrival.
fn is_decided_on_arrival(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Leaving
            | RefusalReason::QueueFull
            | RefusalReason::ConnectionLimit
            | RefusalReason::WouldWaitTooLong
    )
}
