//! What admission decides.

use std::fmt;

use crate::identifier::Sequence;
use crate::packets::router::Forward;

/// The verdict on one datagram, and whether the balancer or the agent has an
/// outdated configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// What happens to the datagram.
    pub verdict: Verdict,
    /// Which side has an outdated configuration, if one has.
    pub hint: Option<SequenceHint>,
}

/// What happens to a datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The datagram belongs to an established flow: pass it to the transport.
    Deliver,
    /// The datagram opens a flow that this target accepts: pass it to the
    /// transport.
    Accept,
    /// The datagram opens a flow that is accepted only so that its requests can
    /// be answered at once as not run, with the time after which to retry: pass
    /// it to the transport.
    AcceptToDecline,
    /// Send the datagram to the next target that may accept the flow.
    HandOn(Forward),
    /// Send the datagram to the target of its established flow.
    Relay(Forward),
    /// Tell the caller at once that the flow is refused.
    Refuse(FlowRefusalReason),
    /// Drop the datagram.
    Drop(AdmissionDropReason),
}

/// Why a new flow is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FlowRefusalReason {
    /// The target is leaving.
    Leaving,
    /// All of the target's connections are in use.
    ConnectionLimit,
    /// The target's load is above its limit.
    Overloaded,
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AdmissionDropReason {
    /// The envelope names another service than the agent's, or the routing table
    /// assigns the service address or the relay target to another service.
    WrongService,
    /// The envelope is meant for another target.
    WrongTarget,
    /// The token names another target than the agent's own or, in a relayed
    /// datagram, another one than the envelope.
    ForeignToken,
    /// The datagram carries no valid token, and it cannot open a flow or its envelope
    /// is not for a new flow.
    InvalidToken,
    /// The datagram opens a flow, and its balancer used a configuration that was
    /// replaced too long ago.
    StaleSequence,
    /// The datagram is to be relayed to a target that this agent does not know.
    UnknownRelayTarget,
}

/// Which side has an outdated configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SequenceHint {
    /// The balancer uses a configuration that was replaced too long ago. Holds
    /// the sequence of that configuration.
    BalancerIsBehind(Sequence),
    /// The balancer uses a later configuration than this agent. Holds the
    /// sequence of that configuration.
    AgentIsBehind(Sequence),
}

impl fmt::Display for FlowRefusalReason {
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
