//! Inputs and outputs of a replica.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::control::control_message::{ControlMessage, FrameError};
use crate::control::membership::ListedMachine;
use crate::control::replica::InstalledRoll;
use crate::control::store_operation::{StoreAnswer, StoreOperation, StoreRequestId};
use crate::identifier::Sequence;
use crate::packets::routing_table::RoutingTable;

/// Input of a replica.
#[derive(Clone, Debug)]
pub enum ReplicaEvent {
    /// The time of [`Replica::next_wakeup`](super::Replica::next_wakeup) came,
    /// or the process woke for another reason.
    Tick,
    /// A control message arrived.
    Message {
        /// Address of the sender, to which answers are sent.
        from: SocketAddr,
        /// The message.
        message: ControlMessage,
    },
    /// A datagram arrived that is not a valid control message.
    BadFrame(FrameError),
    /// The key-value service answered a request, or the request failed. Answers
    /// may arrive late, in any order, several times or never.
    StoreAnswer {
        /// Identifier of the request.
        request: StoreRequestId,
        /// Result of the request.
        answer: StoreAnswer,
    },
    /// The machine list was read again; these are all its entries.
    MachineList(Vec<ListedMachine>),
    /// The data path received a packet that carries this sequence.
    SequenceSeen(Sequence),
    /// The node begins a planned stop.
    Leaving,
    /// Whether the agent accepts new flows, after its drain was started or
    /// withdrawn.
    TakesNewFlows(bool),
}

/// Output of a replica, for the caller to carry out.
#[derive(Clone, Debug)]
pub enum ReplicaAction {
    /// Send a control message.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        message: ControlMessage,
    },
    /// Send a request to the key-value service.
    Store {
        /// Identifier to pass back with the answer.
        request: StoreRequestId,
        /// The request; a replica only reads.
        operation: StoreOperation,
    },
    /// Put a roll in force.
    Install(Arc<InstalledRoll>),
    /// Use this routing table from now on: the one of the roll in force without
    /// the targets that are unavailable at the moment.
    ReplaceDirectory(Arc<RoutingTable>),
}
