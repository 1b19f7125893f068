//! The logs of a run: what back ends executed, what callers were told, and
//! what the world did to machines. The oracle reads nothing else.

use std::collections::BTreeMap;
use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_core::configuration::roll_record::RollNonce;
use woodladder_core::digest::Digest;
use woodladder_core::identifier::{Sequence, ServiceId, TargetId};

use super::seen::Seen;
use super::topology::Machine;

/// Identifies one operation of a caller, over all its attempts.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct OperationId(pub u64);

/// Identifies one attempt at an operation.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct AttemptId(pub u64);

/// One run of a process on a machine.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ProcessRun {
    /// The machine.
    pub machine: Machine,
    /// Number of the run on this machine.
    pub run: u32,
}

/// What a caller asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Asked {
    /// The attempt.
    pub attempt: AttemptId,
    /// The operation.
    pub operation: OperationId,
    /// Service that was asked.
    pub service: ServiceId,
    /// Whether the operation may be executed more than once.
    pub repeatable: bool,
    /// Length of the whole answer in bytes; a feed has none.
    pub answer_length: u32,
    /// Time that the caller gave it, if it gave a limit.
    pub deadline: Option<Duration>,
}

/// How an attempt ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// An answer that the caller takes as whole.
    Answered {
        /// Length of its content in bytes.
        length: u32,
        /// Whether all of it was made for this attempt.
        own: bool,
    },
    /// Stated not to have run.
    NotRun,
    /// Stated to have failed without a known result.
    Unknown,
    /// The answer was broken off, or the flow ended.
    Cut,
    /// The caller gave it up, or its deadline passed.
    GivenUp,
}

/// What an operator is told of a roll.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RollVerdict {
    /// It was accepted.
    Accepted,
    /// It was not accepted and never will be.
    NotAccepted,
    /// Neither is known.
    MayBeAccepted,
}

/// One line of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Record {
    /// When it happened.
    pub at: Instant,
    /// What happened.
    pub entry: Entry,
}

/// What happened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Entry {
    /// A caller asked.
    Asked(Asked),
    /// A back end began to execute an attempt.
    Executed {
        /// The attempt.
        attempt: AttemptId,
        /// Its operation.
        operation: OperationId,
        /// Target that executed it.
        target: TargetId,
    },
    /// A caller learned how an attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: Outcome,
        /// Target of the flow that it was made on.
        target: TargetId,
    },
    /// A fault was done to one attempt at the back end.
    Spoiled {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An agent took a packet as its own.
    PacketTaken {
        /// The agent's target.
        target: TargetId,
        /// The agent's service.
        service: ServiceId,
        /// The service that the caller meant.
        meant: ServiceId,
    },
    /// An agent accepted a new flow.
    FlowAccepted {
        /// The agent's target.
        target: TargetId,
    },
    /// An agent admitted a request, to run now or to wait for a slot.
    RequestAdmitted {
        /// The agent's target.
        target: TargetId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// An agent decided on a refusal and sent it.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// When it decided.
        decided: Instant,
        /// When the caller may ask again, in milliseconds.
        retry_after: u32,
    },
    /// A target's process learned that it is to leave.
    ToldToLeave {
        /// The target.
        target: TargetId,
    },
    /// A target's process learned that it is to stay after all.
    ToldToStay {
        /// The target.
        target: TargetId,
    },
    /// A target's process, back end or network failed without a plan.
    TargetFailed {
        /// The target.
        target: TargetId,
    },
    /// No balancer serves, and at least one has failed without a plan.
    NoBalancer,
    /// An established flow ended against its caller's will.
    FlowBroken {
        /// Target that held it.
        target: TargetId,
        /// Whether it carried a feed.
        feed: bool,
        /// When its caller had last heard from the target.
        last_heard: Instant,
    },
    /// The key-value service accepted a roll.
    RollAccepted {
        /// Its sequence.
        sequence: Sequence,
        /// Its nonce.
        nonce: RollNonce,
        /// Digest of its snapshot.
        snapshot: Digest,
    },
    /// An operator was told what came of a roll.
    RollJudged {
        /// The roll's nonce.
        nonce: RollNonce,
        /// What the operator was told.
        verdict: RollVerdict,
    },
    /// A node put a roll in force.
    InForce {
        /// The node.
        node: ProcessRun,
        /// The roll's sequence.
        sequence: Sequence,
        /// Digest of its snapshot.
        snapshot: Digest,
    },
    /// A node is up, neither frozen nor cut off, from here on; or it is not.
    NodeHealth {
        /// The node.
        node: ProcessRun,
        /// Whether it can be expected to follow rolls.
        sound: bool,
    },
    /// The key-value service can be reached from here on; or it cannot.
    StoreHealth {
        /// Whether it can be reached.
        reachable: bool,
    },
}

/// Records entries in the order in which they happen.
#[derive(Clone, Debug, Default)]
pub struct Log {
    records: Vec<Record>,
    seen: BTreeMap<Seen, u64>,
}

impl Log {
    /// Adds an entry.
    pub fn add(&mut self, at: Instant, entry: Entry) {
        self.records.push(Record { at, entry });
    }

    /// All entries so far.
    #[must_use]
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Counts a situation.
    pub fn see(&mut self, seen: impl Into<Option<Seen>>) {
        if let Some(seen) = seen.into() {
            *self.seen.entry(seen).or_default() += 1;
        }
    }

    /// How often each situation was seen.
    #[must_use]
    pub fn seen(&self) -> &BTreeMap<Seen, u64> {
        &self.seen
    }
}
