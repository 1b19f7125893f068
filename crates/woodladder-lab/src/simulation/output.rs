//! What a modelled process asks the world to do.

use std::net::SocketAddr;

use woodladder_core::control::store_operation::{StoreOperation, StoreRequestId};

use super::back_end::{ConnectionId, Schedule};
use super::frame::Payload;

/// What a modelled process asks the world to do.
#[derive(Debug)]
pub enum Output {
    /// Send an enveloped datagram to an agent.
    ToAgent {
        /// Data address of the agent.
        to: SocketAddr,
        /// The envelope with the datagram in it.
        bytes: Vec<u8>,
    },
    /// Send a datagram to a caller.
    ToCaller {
        /// Address of the caller.
        to: SocketAddr,
        /// Its content.
        payload: Payload,
    },
    /// Send a control message.
    Control {
        /// Control address of the node.
        to: SocketAddr,
        /// The frame.
        bytes: Vec<u8>,
    },
    /// Ask the key-value service.
    Store {
        /// Number of the request.
        request: StoreRequestId,
        /// The request.
        operation: StoreOperation,
    },
    /// Let the back end act.
    BackEnd {
        /// Connection on which it acts.
        connection: ConnectionId,
        /// What it does, and when.
        schedule: Schedule,
    },
    /// The process has ended as planned.
    Ended,
}
