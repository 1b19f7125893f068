//! The roll command's state machine.

use std::net::SocketAddr;

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;

use crate::clock::Instant;
use crate::configuration::bundle::encode;
use crate::configuration::roll_record::{RollNonce, StoredRoll};
use crate::control::control_message::ControlMessage;
use crate::control::replica::LEASE_LENGTH;
use crate::control::roll_command::plan::PlannedRoll;
use crate::control::roll_command::rollout::{Addressed, Rollout};
use crate::control::roll_command::{
    RollError, RollOutcome, RollProgress, RollRequest, RollSummary,
};
use crate::control::store_operation::{
    StoreAnswer, StoreIndex, StoreKey, StoreOperation, StoreRequestId,
};
use crate::digest::Digest;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum RollEvent {
    /// The wake-up time came; also the first event.
    Tick,
    /// The key-value service answered, or a request to it failed.
    StoreAnswer {
        /// The request.
        request: StoreRequestId,
        /// What came of it.
        answer: StoreAnswer,
    },
    /// A control message came.
    Message {
        /// Address that it came from.
        from: SocketAddr,
        /// The message.
        message: ControlMessage,
    },
    /// Further nodes to report on.
    Nodes(Vec<SocketAddr>),
}

/// Something to be done.
#[derive(Clone, Debug)]
pub enum RollAction {
    /// Send a request to the key-value service.
    Store {
        /// Number to give with the answer.
        request: StoreRequestId,
        /// The request.
        operation: StoreOperation,
    },
    /// Send a control message.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: ControlMessage,
    },
    /// The roll was accepted and is being spread.
    Accepted(RollSummary),
    /// The roll came into force at more nodes.
    Progress(RollProgress),
    /// The command has ended.
    Finished(Result<RollOutcome, RollError>),
}

/// What the command does next; each stage but the last two is one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    ReadCurrent,
    ReadSnapshot(Digest),
    WriteCopy { expected: StoreIndex },
    CheckCopy,
    Swap,
    Confirm,
    Rollout,
    Finished,
}

/// Puts one bundle in force.
pub struct RollCommand {
    pub(super) request: RollRequest,
    pub(super) random: ChaCha8Rng,
    pub(super) nonce: RollNonce,
    pub(super) stage: Stage,
    pub(super) started: Instant,
    pub(super) retry_at: Instant,
    pub(super) failures: u32,
    pub(super) next_number: u64,
    pub(super) outstanding: Option<(StoreRequestId, Instant)>,
    pub(super) swaps: Vec<StoreRequestId>,
    pub(super) expected: StoreIndex,
    pub(super) previous: Option<StoredRoll>,
    pub(super) planned: Option<PlannedRoll>,
    pub(super) in_doubt: bool,
    pub(super) refused: bool,
    pub(super) confirming_since: Option<Instant>,
    pub(super) called: Instant,
    pub(super) rollout: Option<Rollout>,
    pub(super) actions: Vec<RollAction>,
}

impl RollCommand {
    /// A command that begins with its first event.
    #[must_use]
    pub fn new(request: RollRequest, mut random: ChaCha8Rng, now: Instant) -> Self {
        Self {
            nonce: RollNonce(random.random()),
            request,
            random,
            stage: Stage::ReadCurrent,
            started: now,
            retry_at: now,
            failures: 0,
            next_number: 1,
            outstanding: None,
            swaps: Vec::new(),
            expected: StoreIndex::default(),
            previous: None,
            planned: None,
            in_doubt: false,
            refused: false,
            confirming_since: None,
            called: now,
            rollout: None,
            actions: Vec::new(),
        }
    }

    /// Takes an event and returns what is to be done.
    pub fn handle(&mut self, event: RollEvent, now: Instant) -> Vec<RollAction> {
        self.note_call(now);
        match event {
            RollEvent::Tick => {}
            RollEvent::StoreAnswer { request, answer } => {
                self.handle_answer(request, &answer, now);
            }
            RollEvent::Message { from, message } => self.handle_message(from, message, now),
            RollEvent::Nodes(nodes) => self.add_nodes(&nodes),
        }
        self.run_due(now);
        std::mem::take(&mut self.actions)
    }

    /// When [`RollEvent::Tick`] is to be handled at the latest; `None` when
    /// the command has ended.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        match (self.stage, &self.rollout, self.outstanding) {
            (Stage::Finished, _, _) => None,
            (Stage::Rollout, Some(rollout), _) => Some(rollout.next_wakeup()),
            (_, _, Some((_, limit))) => Some(limit),
            _ => Some(self.retry_at.min(self.time_limit())),
        }
    }

    /// Whether the command has ended.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.stage == Stage::Finished
    }

    /// Nonce of the roll.
    #[must_use]
    pub fn nonce(&self) -> RollNonce {
        self.nonce
    }

    /// After a pause, the time to find out what came of a swap begins anew.
    fn note_call(&mut self, now: Instant) {
        let paused = now.since(self.called) > LEASE_LENGTH;
        self.called = now;
        if paused && self.confirming_since.is_some() {
            self.confirming_since = Some(now);
        }
    }

    fn run_due(&mut self, now: Instant) {
        match self.stage {
            Stage::Finished => {}
            Stage::Rollout => self.run_rollout(now),
            _ => self.run_store(now),
        }
    }

    fn run_store(&mut self, now: Instant) {
        if let Some((_, limit)) = self.outstanding {
            if now < limit {
                return;
            }
            self.handle_failure(&StoreAnswer::Unknown, now);
        }
        if self.stage == Stage::ReadCurrent
            && let Err(error) = self.request.check()
        {
            self.fail(error);
        } else if now >= self.time_limit() {
            self.run_out_of_time();
        } else if now >= self.retry_at {
            self.ask(now);
        }
    }

    fn time_limit(&self) -> Instant {
        let tuning = &self.request.tuning;
        match self.confirming_since {
            Some(since) => since + tuning.confirm_time,
            None => self.started + tuning.store_time,
        }
    }

    fn run_out_of_time(&mut self) {
        let error = match &self.planned {
            Some(planned) if self.in_doubt => RollError::OutcomeUnknown {
                sequence: planned.record().sequence(),
            },
            _ if self.refused => RollError::LostRace {
                winner: None,
                in_doubt: false,
            },
            _ => RollError::StoreUnavailable,
        };
        self.fail(error);
    }

    fn ask(&mut self, now: Instant) {
        let Some(operation) = self.operation() else {
            return;
        };
        let request = StoreRequestId(self.next_number);
        self.next_number += 1;
        self.outstanding = Some((request, now + self.request.tuning.answer_time));
        if self.stage == Stage::Swap {
            self.swaps.push(request);
        }
        self.actions.push(RollAction::Store { request, operation });
    }

    fn operation(&self) -> Option<StoreOperation> {
        let planned = self.planned.as_ref();
        Some(match self.stage {
            Stage::ReadCurrent | Stage::Confirm => read(StoreKey::Current),
            Stage::ReadSnapshot(digest) => read(StoreKey::Snapshot(digest)),
            Stage::CheckCopy => read(StoreKey::Snapshot(planned?.digest())),
            Stage::WriteCopy { expected } => StoreOperation::CompareAndSwap {
                key: StoreKey::Snapshot(planned?.digest()),
                expected,
                value: planned?.copy.clone(),
            },
            Stage::Swap => StoreOperation::CompareAndSwap {
                key: StoreKey::Current,
                expected: self.expected,
                value: encode(&planned?.stored),
            },
            Stage::Rollout | Stage::Finished => return None,
        })
    }

    pub(super) fn accept(&mut self, now: Instant) {
        let Some(planned) = self.planned.take() else {
            return;
        };
        let summary = RollSummary::of(planned.record());
        self.actions.push(RollAction::Accepted(summary));
        let time = self.request.tuning.rollout_timeout;
        let rollout = Rollout::new(planned, &self.request.nodes, time, now);
        let offers = rollout.offers(&mut self.random);
        self.send_all(offers);
        self.rollout = Some(rollout);
        self.go_on(Stage::Rollout, now);
    }

    fn run_rollout(&mut self, now: Instant) {
        let Some(rollout) = &mut self.rollout else {
            return;
        };
        if rollout.is_over(now) {
            let outcome = RollOutcome {
                roll: RollSummary::of(rollout.planned().record()),
                snapshot: rollout.planned().digest(),
                progress: rollout.progress(),
            };
            self.finish(Ok(outcome));
            return;
        }
        let due = rollout.due(now);
        self.send_all(due);
    }

    fn handle_message(&mut self, from: SocketAddr, message: ControlMessage, now: Instant) {
        let Some(rollout) = &mut self.rollout else {
            return;
        };
        let answers: Vec<ControlMessage> = match message {
            ControlMessage::StatusReply(reply) => {
                if rollout.reply(&reply) {
                    let progress = rollout.progress();
                    self.actions.push(RollAction::Progress(progress));
                }
                rollout.offer_to_late(&reply, now).into_iter().collect()
            }
            ControlMessage::RecordRequest(request) => {
                rollout.answer_record(request).into_iter().collect()
            }
            ControlMessage::CopyRequest(request) => {
                rollout.answer_copy(&request, now, &mut self.random)
            }
            _ => return,
        };
        let answers = answers.into_iter().map(|answer| (from, answer)).collect();
        self.send_all(answers);
    }

    fn add_nodes(&mut self, nodes: &[SocketAddr]) {
        match &mut self.rollout {
            Some(rollout) => rollout.add_nodes(nodes),
            None => self.request.nodes.extend_from_slice(nodes),
        }
    }

    fn send_all(&mut self, messages: Vec<Addressed>) {
        let send = |(to, message)| RollAction::Send { to, message };
        self.actions.extend(messages.into_iter().map(send));
    }

    pub(super) fn fail(&mut self, error: RollError) {
        self.finish(Err(error));
    }

    fn finish(&mut self, result: Result<RollOutcome, RollError>) {
        self.outstanding = None;
        self.stage = Stage::Finished;
        self.actions.push(RollAction::Finished(result));
    }
}

fn read(key: StoreKey) -> StoreOperation {
    StoreOperation::Read { key, wait: None }
}
