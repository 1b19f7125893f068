//! State machine of the roll command.

use std::net::SocketAddr;

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;

use crate::clock::Instant;
use crate::configuration::bundle::encode;
use crate::configuration::roll_record::{RollNonce, StoredRoll};
use crate::control::control_message::ControlMessage;
use crate::control::replica::PAUSE_THRESHOLD;
use crate::control::roll_command::plan::PlannedRoll;
use crate::control::roll_command::rollout::{AddressedMessage, Rollout};
use crate::control::roll_command::{
    RollError, RollOutcome, RollProgress, RollRequest, RollSummary,
};
use crate::control::store_operation::{
    StoreAnswer, StoreIndex, StoreKey, StoreOperation, StoreRequestId,
};
use crate::digest::Digest;

/// Input of a roll command.
#[derive(Clone, Debug)]
pub enum RollEvent {
    /// The time that [`RollCommand::next_wakeup`] returned has come. This is
    /// also the first event of a command.
    Tick,
    /// The key-value service answered a request, or the request failed.
    StoreAnswer {
        /// Identifier of the request.
        request: StoreRequestId,
        /// Result of the request.
        answer: StoreAnswer,
    },
    /// A control message arrived.
    Message {
        /// Address of the sender.
        from: SocketAddr,
        /// The message.
        message: ControlMessage,
    },
    /// Further nodes whose progress is to be reported.
    Nodes(Vec<SocketAddr>),
}

/// Output of a roll command, for the caller to carry out.
#[derive(Clone, Debug)]
pub enum RollAction {
    /// Send a request to the key-value service.
    Store {
        /// Identifier to pass back with the answer.
        request: StoreRequestId,
        /// The request.
        operation: StoreOperation,
    },
    /// Send a control message.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        message: ControlMessage,
    },
    /// The key-value service accepted the roll, and the rollout to the nodes
    /// begins.
    Accepted(RollSummary),
    /// More nodes answered, or have the roll in force.
    Progress(RollProgress),
    /// The command has ended.
    Finished(Result<RollOutcome, RollError>),
}

/// Stage of the command. Each stage before [`Stage::Rollout`] is one request to
/// the key-value service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    ReadCurrent,
    ReadSnapshot(Digest),
    WriteSnapshot { expected: StoreIndex },
    CheckSnapshot,
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
    pub(super) next_request_id: u64,
    pub(super) outstanding: Option<(StoreRequestId, Instant)>,
    pub(super) swap_requests: Vec<StoreRequestId>,
    pub(super) expected_index: StoreIndex,
    pub(super) previous: Option<StoredRoll>,
    pub(super) planned: Option<PlannedRoll>,
    pub(super) swap_in_doubt: bool,
    pub(super) swap_refused: bool,
    pub(super) confirming_since: Option<Instant>,
    pub(super) last_call: Instant,
    pub(super) rollout: Option<Rollout>,
    pub(super) actions: Vec<RollAction>,
}

impl RollCommand {
    /// A command that starts with its first event.
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
            next_request_id: 1,
            outstanding: None,
            swap_requests: Vec::new(),
            expected_index: StoreIndex::default(),
            previous: None,
            planned: None,
            swap_in_doubt: false,
            swap_refused: false,
            confirming_since: None,
            last_call: now,
            rollout: None,
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, event: RollEvent, now: Instant) -> Vec<RollAction> {
        self.record_call(now);
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

    /// Latest time for the next [`RollEvent::Tick`]; `None` when the command
    /// has ended.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        match (self.stage, &self.rollout, self.outstanding) {
            (Stage::Finished, _, _) => None,
            (Stage::Rollout, Some(rollout), _) => Some(rollout.next_wakeup()),
            (_, _, Some((_, deadline))) => Some(deadline),
            _ => Some(self.retry_at.min(self.time_limit())),
        }
    }

    /// Whether the command has ended.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.stage == Stage::Finished
    }

    /// Nonce of the roll record.
    #[must_use]
    pub fn nonce(&self) -> RollNonce {
        self.nonce
    }

    /// Restarts the time limit for confirming a swap if the process was paused
    /// since the last call.
    fn record_call(&mut self, now: Instant) {
        let paused = now.since(self.last_call) > PAUSE_THRESHOLD;
        self.last_call = now;
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
        if let Some((_, deadline)) = self.outstanding {
            if now < deadline {
                return;
            }
            self.handle_failure(&StoreAnswer::Unknown, now);
        }
        if self.stage == Stage::ReadCurrent
            && let Err(error) = self.request.check()
        {
            self.fail(error);
        } else if now >= self.time_limit() {
            self.fail_for_timeout();
        } else if now >= self.retry_at {
            self.send_request(now);
        }
    }

    /// When the command stops sending requests to the key-value service and
    /// fails: `store_timeout` after its start or, once it confirms a swap,
    /// `confirm_timeout` after that began or after the process was last paused.
    fn time_limit(&self) -> Instant {
        let tuning = &self.request.tuning;
        match self.confirming_since {
            Some(since) => since + tuning.confirm_timeout,
            None => self.started + tuning.store_timeout,
        }
    }

    fn fail_for_timeout(&mut self) {
        let error = match &self.planned {
            Some(planned) if self.swap_in_doubt => RollError::OutcomeUnknown {
                sequence: planned.record().sequence(),
            },
            _ if self.swap_refused => RollError::LostRace {
                winner: None,
                in_doubt: false,
            },
            _ => RollError::StoreUnavailable,
        };
        self.fail(error);
    }

    fn send_request(&mut self, now: Instant) {
        let Some(operation) = self.request_operation() else {
            return;
        };
        let request = StoreRequestId(self.next_request_id);
        self.next_request_id += 1;
        self.outstanding = Some((request, now + self.request.tuning.answer_timeout));
        if self.stage == Stage::Swap {
            self.swap_requests.push(request);
        }
        self.actions.push(RollAction::Store { request, operation });
    }

    fn request_operation(&self) -> Option<StoreOperation> {
        let planned = self.planned.as_ref();
        Some(match self.stage {
            Stage::ReadCurrent | Stage::Confirm => read_entry(StoreKey::Current),
            Stage::ReadSnapshot(digest) => read_entry(StoreKey::Snapshot(digest)),
            Stage::CheckSnapshot => read_entry(StoreKey::Snapshot(planned?.digest())),
            Stage::WriteSnapshot { expected } => StoreOperation::CompareAndSwap {
                key: StoreKey::Snapshot(planned?.digest()),
                expected,
                value: planned?.encoded_snapshot.clone(),
            },
            Stage::Swap => StoreOperation::CompareAndSwap {
                key: StoreKey::Current,
                expected: self.expected_index,
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
        let timeout = self.request.tuning.rollout_timeout;
        let rollout = Rollout::new(planned, &self.request.nodes, timeout, now);
        let offers = rollout.initial_offers(&mut self.random);
        self.send_all(offers);
        self.rollout = Some(rollout);
        self.enter_stage(Stage::Rollout, now);
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
        let due = rollout.due_status_requests(now);
        self.send_all(due);
    }

    fn handle_message(&mut self, from: SocketAddr, message: ControlMessage, now: Instant) {
        let Some(rollout) = &mut self.rollout else {
            return;
        };
        let answers: Vec<ControlMessage> = match message {
            ControlMessage::StatusReply(reply) => {
                if rollout.handle_reply(&reply) {
                    let progress = rollout.progress();
                    self.actions.push(RollAction::Progress(progress));
                }
                rollout.offer_if_behind(&reply, now).into_iter().collect()
            }
            ControlMessage::RecordRequest(request) => {
                rollout.answer_record_request(request).into_iter().collect()
            }
            ControlMessage::CopyRequest(request) => {
                rollout.answer_copy_request(&request, now, &mut self.random)
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

    fn send_all(&mut self, messages: Vec<AddressedMessage>) {
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

fn read_entry(key: StoreKey) -> StoreOperation {
    StoreOperation::Read { key, wait: None }
}
