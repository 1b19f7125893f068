//! A modelled operator, who rolls bundles with the core's roll command.

use std::net::SocketAddr;

use woodladder_core::clock::Instant;
use woodladder_core::configuration::bundle::{Bundle, SignedBundle};
use woodladder_core::configuration::roll_record::RollNonce;
use woodladder_core::control::control_message::ControlMessage;
use woodladder_core::control::roll_command::{
    RollAction, RollCommand, RollError, RollEvent, RollRequest,
};
use woodladder_core::control::store_operation::{StoreAnswer, StoreOperation, StoreRequestId};
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::signature::TrustedKeys;

use super::log::{Entry, Log, RollVerdict};
use super::mutation::Mutation;
use super::random::Random;
use super::secrets::{Secrets, operator_key};
use super::seen::Seen;

/// Seconds since the Unix epoch at the origin of the virtual clock.
const ORIGIN_UNIX_TIME: u64 = 1_800_000_000;

/// An operator.
pub struct Operator {
    number: u8,
    run: u32,
    random: Random,
    control_key: TagKey,
    trusted: TrustedKeys,
    nodes: Vec<SocketAddr>,
    command: Option<RollCommand>,
    /// Until when the operator's machine does not run.
    pub frozen_until: Option<Instant>,
}

/// What an operator's command may use while it handles an event.
pub struct Surroundings<'a> {
    /// The present instant.
    pub now: Instant,
    /// The log.
    pub log: &'a mut Log,
    /// Requests to the key-value service.
    pub requests: &'a mut Vec<(StoreRequestId, StoreOperation)>,
    /// Control datagrams to send.
    pub datagrams: &'a mut Vec<(SocketAddr, Vec<u8>)>,
    /// Fault put into the models.
    pub mutation: Option<Mutation>,
}

impl Operator {
    /// An operator with nothing to do, who reports on these nodes.
    #[must_use]
    pub fn new(number: u8, secrets: &Secrets, nodes: Vec<SocketAddr>, random: Random) -> Self {
        Self {
            number,
            run: 0,
            random,
            control_key: secrets.control,
            trusted: secrets.trusted.clone(),
            nodes,
            command: None,
            frozen_until: None,
        }
    }

    /// Number of the present command.
    #[must_use]
    pub fn run(&self) -> u32 {
        self.run
    }

    /// When the command wants to be called again.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        self.command.as_ref().and_then(RollCommand::next_wakeup)
    }

    /// Begins to roll a bundle; an unfinished command is killed.
    pub fn roll(&mut self, bundle: Bundle, around: &mut Surroundings<'_>) {
        self.run += 1;
        let key = operator_key(self.number);
        let signed = SignedBundle::sign(bundle, &key);
        let rolled_at = ORIGIN_UNIX_TIME + around.now.since_origin().as_secs();
        let name = format!("operator-{}", self.number);
        let mut request = RollRequest::new(signed, name, key, self.trusted.clone(), rolled_at);
        request.nodes.clone_from(&self.nodes);
        let random = self.random.generator();
        self.command = Some(RollCommand::new(request, random, around.now));
        self.handle(RollEvent::Tick, around);
    }

    /// Sees to what is due.
    pub fn tick(&mut self, around: &mut Surroundings<'_>) {
        if self.next_wake().is_some_and(|due| due <= around.now) {
            self.handle(RollEvent::Tick, around);
        }
    }

    /// Takes an answer of the key-value service in.
    pub fn answered(
        &mut self,
        run: u32,
        request: StoreRequestId,
        answer: StoreAnswer,
        around: &mut Surroundings<'_>,
    ) {
        if run != self.run {
            return;
        }
        if around.mutation == Some(Mutation::DenyRoll) && answer == StoreAnswer::Unknown {
            self.deny(around);
        } else {
            self.handle(RollEvent::StoreAnswer { request, answer }, around);
        }
    }

    /// Takes a control datagram in.
    pub fn receive(&mut self, from: SocketAddr, bytes: &[u8], around: &mut Surroundings<'_>) {
        if let Ok(message) = ControlMessage::decode(&self.control_key, bytes) {
            self.handle(RollEvent::Message { from, message }, around);
        }
    }

    /// The mutation that takes a lost answer for a refusal.
    fn deny(&mut self, around: &mut Surroundings<'_>) {
        if let Some(command) = self.command.take() {
            log_verdict(command.nonce(), RollVerdict::NotAccepted, around);
        }
    }

    fn handle(&mut self, event: RollEvent, around: &mut Surroundings<'_>) {
        let Some(command) = &mut self.command else {
            return;
        };
        let nonce = command.nonce();
        for action in command.handle(event, around.now) {
            match action {
                RollAction::Store { request, operation } => {
                    around.requests.push((request, operation));
                }
                RollAction::Send { to, message } => {
                    if let Ok(bytes) = message.encode(&self.control_key) {
                        around.datagrams.push((to, bytes));
                    }
                }
                RollAction::Accepted(_) => log_verdict(nonce, RollVerdict::Accepted, around),
                RollAction::Finished(Err(error)) => {
                    let verdict = verdict_of(&error);
                    around.log.see(situation(&error));
                    log_verdict(nonce, verdict, around);
                }
                RollAction::Progress(_) | RollAction::Finished(Ok(_)) => {}
            }
        }
    }
}

impl std::fmt::Debug for Operator {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Operator")
            .field("number", &self.number)
            .field("run", &self.run)
            .finish_non_exhaustive()
    }
}

fn situation(error: &RollError) -> Seen {
    match error {
        RollError::LostRace { .. } => Seen::RollLost,
        RollError::OutcomeUnknown { .. } => Seen::RollInDoubt,
        _ => Seen::RollNotTaken,
    }
}

fn verdict_of(error: &RollError) -> RollVerdict {
    if error.may_have_taken_effect() {
        RollVerdict::MayBeAccepted
    } else {
        RollVerdict::NotAccepted
    }
}

fn log_verdict(nonce: RollNonce, verdict: RollVerdict, around: &mut Surroundings<'_>) {
    let entry = Entry::RollJudged { nonce, verdict };
    around.log.add(around.now, entry);
}
