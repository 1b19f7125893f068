//! What a caller makes of the frames that an agent sends.

use super::{ATTEMPT_LIMIT, Caller, FlowState, Surroundings, milliseconds, target_of};
use crate::simulation::frame::{FirstIdentifier, Frame, FrameDatagram};
use crate::simulation::log::{AttemptId, Entry, Outcome};
use crate::simulation::operation::Operation;
use woodladder_core::clock::Instant;
use woodladder_core::identifier::TargetId;

impl Caller {
    pub(super) fn frames(
        &mut self,
        identifier: FirstIdentifier,
        datagram: &FrameDatagram,
        around: &mut Surroundings<'_>,
    ) {
        let FlowState::Open(flow) = &mut self.flow else {
            return;
        };
        if flow.identifier != identifier {
            return;
        }
        flow.last_heard = around.now;
        let frames = flow.channel.receive(datagram);
        if datagram.frame.is_some() {
            let acknowledgement = flow.channel.acknowledgement();
            self.send_datagram(acknowledgement, around);
        }
        for frame in frames {
            self.frame(frame, around);
        }
    }

    fn frame(&mut self, frame: Frame, around: &mut Surroundings<'_>) {
        match frame {
            Frame::Part {
                attempt,
                made_for,
                length,
            } => self.part(attempt, made_for, length),
            Frame::End { attempt } => self.answered(AttemptId(attempt), around),
            Frame::NotRun {
                attempt,
                retry_after,
            } => self.not_run(AttemptId(attempt), retry_after, around),
            Frame::Unknown { attempt } => self.end(AttemptId(attempt), Outcome::Unknown, around),
            Frame::Reset { attempt } => self.end(AttemptId(attempt), Outcome::Cut, around),
            Frame::GoAway => self.noticed(),
            Frame::Close { last_taken } => self.closed(last_taken, around),
            Frame::Ping | Frame::Request(_) | Frame::Cancel { .. } => {}
        }
    }

    fn part(&mut self, attempt: u64, made_for: u64, length: u32) {
        if let Some(pending) = self.pending.get_mut(&AttemptId(attempt)) {
            pending.received += length;
            pending.own &= made_for == attempt;
        }
    }

    fn answered(&mut self, attempt: AttemptId, around: &mut Surroundings<'_>) {
        if let Some(pending) = self.pending.get(&attempt) {
            let outcome = Outcome::Answered {
                length: pending.received,
                own: pending.own,
            };
            self.end(attempt, outcome, around);
        }
    }

    fn not_run(&mut self, attempt: AttemptId, retry_after: u32, around: &mut Surroundings<'_>) {
        let Some(pending) = self.pending.get(&attempt) else {
            return;
        };
        let operation = pending.operation;
        if matches!(&self.flow, FlowState::Open(flow) if flow.noticed) {
            self.set_leaving();
        }
        self.end(attempt, Outcome::NotRun, around);
        self.ask_again(operation, around.now + milliseconds(retry_after));
    }

    fn ask_again(&mut self, mut operation: Operation, at: Instant) {
        operation.attempts += 1;
        if operation.attempts < ATTEMPT_LIMIT && !operation.feed {
            self.waiting.push((at, operation));
        }
    }

    /// Some callers heed the notice that a target is to leave only once a
    /// request was refused.
    fn noticed(&mut self) {
        if let FlowState::Open(flow) = &mut self.flow {
            flow.noticed = true;
        }
        if !self.habits.ignores_notice {
            self.set_leaving();
        }
    }

    fn set_leaving(&mut self) {
        if let FlowState::Open(flow) = &mut self.flow {
            flow.leaving = true;
        }
    }

    /// The agent has ended the flow: in order when nothing is pending.
    fn closed(&mut self, last_taken: u64, around: &mut Surroundings<'_>) {
        let untaken = self.pending.keys().copied();
        let untaken: Vec<AttemptId> = untaken.filter(|attempt| attempt.0 > last_taken).collect();
        for attempt in untaken {
            self.not_run(attempt, 0, around);
        }
        if self.pending.is_empty() {
            self.flow = FlowState::Idle { until: around.now };
        } else {
            self.break_flow(around);
        }
    }

    /// Ends an attempt; a repeatable operation is asked again after a result
    /// that is not known.
    pub(super) fn end(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        around: &mut Surroundings<'_>,
    ) {
        let Some(pending) = self.pending.remove(&attempt) else {
            return;
        };
        let target = self.target();
        let entry = Entry::Ended {
            attempt,
            outcome,
            target,
        };
        around.log.add(around.now, entry);
        let lost = matches!(outcome, Outcome::Unknown | Outcome::Cut);
        if lost && pending.operation.repeatable {
            self.ask_again(pending.operation, around.now);
        }
        if lost && pending.operation.feed {
            self.feed_lost(around);
        }
    }

    /// Target of the present flow.
    fn target(&self) -> TargetId {
        match &self.flow {
            FlowState::Open(flow) => target_of(&flow.token),
            FlowState::Idle { .. } | FlowState::Opening(_) => TargetId::default(),
        }
    }

    fn feed_lost(&mut self, around: &mut Surroundings<'_>) {
        let target = self.target();
        let FlowState::Open(flow) = &self.flow else {
            return;
        };
        let entry = Entry::FlowBroken {
            target,
            feed: true,
            last_heard: flow.last_heard,
        };
        around.log.add(around.now, entry);
    }
}
