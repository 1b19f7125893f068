//! Situations that a run came into, counted so that a scenario which never
//! brings its fault about is found out.

use woodladder_core::packets::router::DropReason;
use woodladder_core::target::admission::AdmissionDropReason;
use woodladder_core::target::request::{RefusalReason, UnknownReason};

macro_rules! situations {
    ($($(#[$documentation:meta])* $variant:ident = $name:literal,)*) => {
        /// A situation that a run came into.
        #[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
        pub enum Seen {
            $($(#[$documentation])* $variant,)*
        }

        /// Every situation.
        pub const SITUATIONS: &[Seen] = &[$(Seen::$variant,)*];

        impl Seen {
            /// Name in reports.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }
        }
    };
}

situations! {
    /// An agent handed a first packet on.
    HandedOn = "flow handed on",
    /// An agent passed an established packet on to its target.
    Relayed = "packet relayed",
    /// An agent refused or declined a new flow.
    FlowRefused = "flow refused",
    /// An agent dropped a packet for another service.
    WrongService = "agent drop: wrong service",
    /// An agent dropped an envelope for another target.
    WrongTarget = "agent drop: wrong target",
    /// An agent dropped a first packet by a roll replaced too long ago.
    StaleSequence = "agent drop: stale sequence",
    /// An agent dropped bytes that are no envelope under the key.
    BadEnvelope = "agent drop: bad envelope",
    /// A balancer dropped a token of another service's target.
    BalancerWrongService = "balancer drop: wrong service",
    /// A balancer dropped a packet without a valid token.
    BalancerInvalidToken = "balancer drop: invalid token",
    /// A balancer dropped a first packet because it woke from a pause.
    SuspectBalancer = "balancer drop: just woken",
    /// A node dropped bytes that are no control message.
    BadFrame = "bad control frame",
    /// Three different rolls were in force at balancers at one time.
    ThreeRolls = "three rolls in force",
    /// A request was refused because the target leaves.
    RefusedLeaving = "refused: leaving",
    /// A request was refused because too many wait.
    RefusedQueueFull = "refused: queue full",
    /// A request was refused because it would wait too long.
    RefusedWouldWait = "refused: would wait too long",
    /// A request was refused after it had waited too long.
    RefusedWaited = "refused: waited too long",
    /// A request was refused because the back end took no connection.
    RefusedConnect = "refused: connect failed",
    /// The back end itself refused a request.
    RefusedByBackEnd = "refused: by the back end",
    /// A result is unknown because the connection broke.
    UnknownBroken = "unknown: connection broken",
    /// A result is unknown because the answer was cut short.
    UnknownTruncated = "unknown: answer truncated",
    /// A result is unknown because the deadline passed.
    UnknownDeadline = "unknown: deadline passed",
    /// A caller's stream was reset in the middle of an answer.
    ResetInAnswer = "reset in the middle of an answer",
    /// A request was cancelled before it was given to the back end.
    CancelledBefore = "cancelled before it ran",
    /// A request was cancelled after it was given to the back end.
    CancelledAfter = "cancelled after it was sent",
    /// An operator's roll lost to another operator's.
    RollLost = "roll lost to another",
    /// An operator does not know what came of a roll.
    RollInDoubt = "roll in doubt",
    /// A roll was not accepted because the store could not be used.
    RollNotTaken = "roll not taken",
    /// A write took effect and its answer was lost.
    LostWrite = "answer to a write lost",
    /// A node joined while the store was down.
    JoinedInOutage = "node joined while the store was down",
    /// A node's first roll was older than the one in force elsewhere.
    OlderFirst = "joiner heard an older roll first",
}

impl Seen {
    /// The situation of an agent's drop, when it is counted.
    #[must_use]
    pub fn agent_drop(reason: AdmissionDropReason) -> Option<Self> {
        match reason {
            AdmissionDropReason::WrongService => Some(Self::WrongService),
            AdmissionDropReason::WrongTarget => Some(Self::WrongTarget),
            AdmissionDropReason::StaleSequence => Some(Self::StaleSequence),
            _ => None,
        }
    }

    /// The situation of a balancer's drop, when it is counted.
    #[must_use]
    pub fn balancer_drop(reason: DropReason) -> Option<Self> {
        match reason {
            DropReason::WrongService => Some(Self::BalancerWrongService),
            DropReason::InvalidToken => Some(Self::BalancerInvalidToken),
            _ => None,
        }
    }

    /// The situation of a refusal, when it is counted.
    #[must_use]
    pub fn refusal(reason: RefusalReason) -> Option<Self> {
        match reason {
            RefusalReason::Leaving => Some(Self::RefusedLeaving),
            RefusalReason::QueueFull => Some(Self::RefusedQueueFull),
            RefusalReason::WouldWaitTooLong => Some(Self::RefusedWouldWait),
            RefusalReason::WaitedTooLong => Some(Self::RefusedWaited),
            RefusalReason::ConnectFailed => Some(Self::RefusedConnect),
            RefusalReason::BackEndRefused => Some(Self::RefusedByBackEnd),
            _ => None,
        }
    }

    /// The situation of an unknown result.
    #[must_use]
    pub fn unknown(reason: UnknownReason) -> Self {
        match reason {
            UnknownReason::ConnectionBroken => Self::UnknownBroken,
            UnknownReason::AnswerTruncated => Self::UnknownTruncated,
            UnknownReason::DeadlinePassed => Self::UnknownDeadline,
        }
    }
}
