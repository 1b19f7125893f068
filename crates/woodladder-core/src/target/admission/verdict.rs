//! What admission decides.

use std::fmt;

use crate::identifier::Sequence;
use crate::packets::router::Forward;

/// A verdict on one datagram, and what its envelope tells of sequences.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// What happens to the datagram.
    pub verdict: Verdict,
    /// Who must catch up, if one of the two must.
    pub hint: Option<SequenceHint>,
}

/// What happens to a datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It belongs to an established flow: pass it to the transport.
    Deliver,
    /// It opens a flow that this target takes: pass it to the transport.
    Accept,
    /// It opens a flow that is taken only so that its requests can be answered
    /// at once as not run, with the time to come back: pass it to the
    /// transport.
    AcceptToDecline,
    /// Send it to the next target that may take the flow.
    HandOn(Forward),
    /// Send it to the target of its established flow.
    Relay(Forward),
    /// Refuse the flow to the caller at once.
    Refuse(RefuseReason),
    /// Drop it.
    Drop(AdmissionDropReason),
}

/// Why a new flow is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefuseReason {
    /// The target is leaving.
    Leaving,
    /// All of its connections are in use.
    ConnectionLimit,
    /// Its load is above the limit.
    Overloaded,
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AdmissionDropReason {
    /// It is meant for another service.
    WrongService,
    /// Its envelope is meant for another target.
    WrongTarget,
    /// Its token names another target.
    ForeignToken,
    /// It carries no valid token and cannot open a flow.
    InvalidToken,
    /// It opens a flow by a configuration that was replaced too long ago.
    StaleSequence,
    /// It is to be relayed to a target that is not known here.
    UnknownRelayTarget,
}

/// Which side must catch up with the other's sequence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SequenceHint {
    /// The balancer holds a configuration that was replaced too long ago; this
    /// is its sequence.
    SenderIsBehind(Sequence),
    /// The balancer holds a later configuration; this is its sequence.
    AgentIsBehind(Sequence),
}

impl fmt::Display for RefuseReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Leaving => "the target is leaving",
            Self::ConnectionLimit => "all connections of the target are in use",
            Self::Overloaded => "the target's load is above its limit",
        })
    }
}

impl fmt::Display for AdmissionDropReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::WrongService => "the packet is meant for another service",
            Self::WrongTarget => "the envelope is meant for another target",
            Self::ForeignToken => "the token names another target",
            Self::InvalidToken => "the packet has no valid token and cannot open a flow",
            Self::StaleSequence => "the balancer's configuration was replaced too long ago",
            Self::UnknownRelayTarget => "the target to relay to is not known",
        })
    }
}
