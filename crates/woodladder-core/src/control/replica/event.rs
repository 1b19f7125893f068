//! What a replica is told and what it asks for.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::control::control_message::{ControlMessage, FrameError};
use crate::control::membership::ListedMachine;
use crate::control::replica::InstalledRoll;
use crate::control::store_operation::{StoreAnswer, StoreOperation, StoreRequestId};
use crate::identifier::Sequence;
use crate::packets::routing_table::RoutingTable;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum ReplicaEvent {
    /// The wake-up time came, or the process woke for another reason.
    Tick,
    /// A control message came.
    Message {
        /// Address that it came from; answers go there.
        from: SocketAddr,
        /// The message.
        message: ControlMessage,
    },
    /// A datagram that is no control message came.
    BadFrame(FrameError),
    /// The key-value service answered, or a request to it failed. Answers may
    /// come late, in any order, several times or never.
    StoreAnswer {
        /// The request.
        request: StoreRequestId,
        /// What came of it.
        answer: StoreAnswer,
    },
    /// The machine list was read.
    MachineList(Vec<ListedMachine>),
    /// The data path saw a packet under this sequence.
    SequenceSeen(Sequence),
    /// The node begins a planned stop.
    Leaving,
    /// The agent's drain lets new flows in, or lets them in no longer.
    TakesNewFlows(bool),
}

/// Something to be done.
#[derive(Clone, Debug)]
pub enum ReplicaAction {
    /// Send a control message.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: ControlMessage,
    },
    /// Send a request to the key-value service.
    Store {
        /// Number to give with the answer.
        request: StoreRequestId,
        /// The request; a replica only reads.
        operation: StoreOperation,
    },
    /// Put a roll in force.
    Install(Arc<InstalledRoll>),
    /// Use this directory from now on: the one of the roll in force, with the
    /// targets that take no new flows at the moment left out.
    ReplaceDirectory(Arc<RoutingTable>),
}
