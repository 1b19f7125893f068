//! Events of the world.

use std::fmt;
use std::net::SocketAddr;

use woodladder_core::clock::Instant;
use woodladder_core::control::store_operation::{StoreAnswer, StoreOperation};

use crate::simulation::back_end::{BackEndStep, ConnectionId};
use crate::simulation::fault::Fault;
use crate::simulation::frame::Payload;
use crate::simulation::log::ProcessRun;
use crate::simulation::store::Client;
use crate::simulation::topology::Machine;

/// Something that happens in the world.
#[derive(Clone, Debug)]
pub enum Event {
    /// The fabric delivers a caller's datagram to a balancer.
    ToBalancer {
        /// Number of the balancer.
        balancer: u8,
        /// Address of the caller.
        caller: SocketAddr,
        /// Address that the caller sent to.
        service_address: SocketAddr,
        /// The datagram.
        datagram: Vec<u8>,
    },
    /// An enveloped datagram reaches an agent's machine.
    ToAgent {
        /// Number of the agent.
        agent: u8,
        /// Control address of the machine that sent it.
        from: SocketAddr,
        /// The envelope with the datagram.
        bytes: Vec<u8>,
    },
    /// A datagram reaches a caller.
    ToCaller {
        /// Number of the caller.
        caller: u8,
        /// Its content.
        payload: Payload,
    },
    /// A control datagram reaches a machine.
    Control {
        /// The machine.
        to: Machine,
        /// Address that it came from.
        from: SocketAddr,
        /// The frame.
        bytes: Vec<u8>,
    },
    /// A request reaches the key-value service.
    StoreRequest {
        /// Who asks.
        client: Client,
        /// The request.
        operation: StoreOperation,
    },
    /// An answer of the key-value service reaches its client.
    StoreReply {
        /// Who asked.
        client: Client,
        /// The answer.
        answer: StoreAnswer,
    },
    /// The key-value service looks at its blocking reads.
    StoreExpire,
    /// A back end acts on a connection.
    BackEnd {
        /// Number of the agent.
        agent: u8,
        /// The agent's process when the connection was opened.
        process: ProcessRun,
        /// The connection.
        connection: ConnectionId,
        /// What it does.
        step: BackEndStep,
    },
    /// A process looks at its timers.
    Wake {
        /// The process.
        process: ProcessRun,
        /// When this was due.
        due: Instant,
    },
    /// An operator's command looks at its timers.
    OperatorWake(u8),
    /// A node reads the machine list.
    ReadList(ProcessRun),
    /// An agent reads its back end's health.
    ReadHealth(u8),
    /// A caller looks at its timers.
    CallerTick(u8),
    /// The fabric looks which balancers serve.
    FabricCheck,
    /// The load of targets is measured.
    Sample,
    /// A change that the schedule asks for.
    Fault(Fault),
}

impl Event {
    /// The machine whose process handles the event, when a frozen process
    /// would handle it later.
    #[must_use]
    pub fn handled_by(&self) -> Option<Machine> {
        match self {
            Self::ToBalancer { balancer, .. } => Some(Machine::Balancer(*balancer)),
            Self::ToAgent { agent, .. } | Self::BackEnd { agent, .. } | Self::ReadHealth(agent) => {
                Some(Machine::Agent(*agent))
            }
            Self::Control { to, .. } => Some(*to),
            Self::StoreReply { client, .. } => Some(client.machine),
            Self::Wake { process, .. } | Self::ReadList(process) => Some(process.machine),
            Self::OperatorWake(operator) => Some(Machine::Operator(*operator)),
            _ => None,
        }
    }

    /// Whether the event belongs in a trace.
    #[must_use]
    pub fn is_traced(&self) -> bool {
        !matches!(
            self,
            Self::Wake { .. }
                | Self::CallerTick(_)
                | Self::OperatorWake(_)
                | Self::StoreExpire
                | Self::FabricCheck
                | Self::Sample
                | Self::ReadHealth(_)
                | Self::ReadList(_)
        )
    }
}

impl fmt::Display for Event {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ToBalancer {
                balancer, caller, ..
            } => write!(formatter, "balancer {balancer} gets a datagram of {caller}"),
            Self::ToAgent { agent, from, bytes } => {
                let length = bytes.len();
                write!(formatter, "agent {agent} gets {length} bytes from {from}")
            }
            Self::ToCaller { caller, payload } => {
                write!(formatter, "caller {caller} gets {:?}", payload.content)
            }
            Self::Control { to, from, bytes } => {
                let length = bytes.len();
                write!(formatter, "{to:?} gets {length} control bytes from {from}")
            }
            Self::StoreRequest { client, operation } => {
                write!(formatter, "store gets {} of {:?}", name(operation), client)
            }
            Self::StoreReply { client, answer } => {
                write!(
                    formatter,
                    "{:?} gets {}",
                    client.machine,
                    answer_name(answer)
                )
            }
            Self::BackEnd {
                agent,
                connection,
                step,
                ..
            } => write!(formatter, "back end {agent}: {connection:?} {step:?}"),
            other => write!(formatter, "{other:?}"),
        }
    }
}

fn name(operation: &StoreOperation) -> &'static str {
    match operation {
        StoreOperation::Read { wait: None, .. } => "a read",
        StoreOperation::Read { .. } => "a blocking read",
        StoreOperation::CompareAndSwap { .. } => "a write",
    }
}

fn answer_name(answer: &StoreAnswer) -> &'static str {
    match answer {
        StoreAnswer::Value { .. } => "a value",
        StoreAnswer::NotFound => "not found",
        StoreAnswer::Written => "written",
        StoreAnswer::Conflict => "conflict",
        StoreAnswer::RateLimited { .. } => "rate limited",
        StoreAnswer::Unreachable => "unreachable",
        StoreAnswer::Unknown => "no answer",
    }
}
