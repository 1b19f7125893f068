//! Operations of callers, and attempts at them.

use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_core::identifier::ServiceId;

use super::log::{Asked, AttemptId, OperationId};
use super::random::Random;

/// Patience of a caller beyond an operation's deadline, or without one.
const PATIENCE_AFTER_DEADLINE: Duration = Duration::from_millis(500);
const PATIENCE_WITHOUT_DEADLINE: Duration = Duration::from_secs(15);
const REPEATABLE: u32 = 400;
const WITH_DEADLINE: u32 = 300;
const LONGEST_ANSWER: usize = 4000;

/// Hands out numbers that no other operation or attempt has.
#[derive(Clone, Debug, Default)]
pub struct Numbers {
    operations: u64,
    attempts: u64,
}

/// One operation of a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Operation {
    /// Its number.
    pub id: OperationId,
    /// Whether it may be executed more than once.
    pub repeatable: bool,
    /// Length of the whole answer in bytes.
    pub answer_length: u32,
    /// Whether it is a feed.
    pub feed: bool,
    /// Time that it is given, in milliseconds.
    pub deadline: Option<u32>,
    /// Attempts made before.
    pub attempts: u32,
}

/// An attempt without an outcome.
#[derive(Clone, Copy, Debug)]
pub struct Pending {
    /// The operation.
    pub operation: Operation,
    /// When the caller gives up.
    pub gives_up_at: Option<Instant>,
    /// Bytes of the answer so far.
    pub received: u32,
    /// Whether all of them were made for this attempt.
    pub own: bool,
}

impl Numbers {
    /// Number of a new operation.
    pub fn operation(&mut self) -> OperationId {
        self.operations += 1;
        OperationId(self.operations)
    }

    /// Number of a new attempt.
    pub fn attempt(&mut self) -> AttemptId {
        self.attempts += 1;
        AttemptId(self.attempts)
    }
}

impl Operation {
    /// A feed.
    #[must_use]
    pub fn feed(id: OperationId) -> Self {
        Self {
            id,
            repeatable: true,
            answer_length: 0,
            feed: true,
            deadline: None,
            attempts: 0,
        }
    }

    /// The line of the log that a new attempt makes.
    #[must_use]
    pub fn asked(&self, attempt: AttemptId, service: ServiceId) -> Asked {
        Asked {
            attempt,
            operation: self.id,
            service,
            repeatable: self.repeatable,
            answer_length: self.answer_length,
            deadline: self
                .deadline
                .map(|limit| Duration::from_millis(u64::from(limit))),
        }
    }
}

impl Pending {
    /// An attempt that begins now.
    #[must_use]
    pub fn new(operation: Operation, now: Instant) -> Self {
        let patience = match operation.deadline {
            Some(limit) => Duration::from_millis(u64::from(limit)) + PATIENCE_AFTER_DEADLINE,
            None => PATIENCE_WITHOUT_DEADLINE,
        };
        Self {
            operation,
            gives_up_at: (!operation.feed).then(|| now + patience),
            received: 0,
            own: true,
        }
    }

    /// Whether the caller has lost its patience.
    #[must_use]
    pub fn is_given_up(&self, now: Instant) -> bool {
        self.gives_up_at.is_some_and(|at| at <= now)
    }
}

/// Draws a new operation.
pub fn draw_operation(random: &mut Random, numbers: &mut Numbers) -> Operation {
    let deadline = random.milliseconds(20, 3000);
    let answer_length = 1 + random.below(LONGEST_ANSWER);
    Operation {
        id: numbers.operation(),
        repeatable: random.chance(REPEATABLE),
        answer_length: u32::try_from(answer_length).unwrap_or(1),
        feed: false,
        deadline: random
            .chance(WITH_DEADLINE)
            .then(|| u32::try_from(deadline.as_millis()).unwrap_or(u32::MAX)),
        attempts: 0,
    }
}
