//! New flows that admission has rejected: their connections are refused, or
//! opened only to answer all requests as not run.
//!
//! Only the QUIC transport can write a refusal that the caller understands, so
//! the first datagram of a rejected flow still goes to the transport. The
//! acceptor looks the flow up here when the transport passes on its connection.

use std::collections::VecDeque;
use std::sync::Mutex;

/// Most rejected flows that are kept; beyond that the oldest is removed.
const MAXIMUM_REJECTED_FLOWS: usize = 1024;

/// What the acceptor does with a rejected flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Rejection {
    /// Refuse the connection.
    Refuse,
    /// Open the connection and answer its requests as not run.
    Decline,
}

/// Rejected flows whose connection the acceptor has not received from the
/// transport yet. The key is the connection identifier that the caller chose.
#[derive(Debug, Default)]
pub(super) struct RejectedFlows {
    flows: Mutex<VecDeque<RejectedFlow>>,
}

#[derive(Debug)]
struct RejectedFlow {
    connection_id: Vec<u8>,
    rejection: Rejection,
}

impl RejectedFlows {
    /// Adds a flow, or replaces its entry.
    pub(super) fn insert(&self, connection_id: &[u8], rejection: Rejection) {
        let Ok(mut flows) = self.flows.lock() else {
            return;
        };
        if let Some(known) = flows
            .iter_mut()
            .find(|known| known.connection_id == connection_id)
        {
            known.rejection = rejection;
            return;
        }
        if flows.len() >= MAXIMUM_REJECTED_FLOWS {
            flows.pop_front();
        }
        flows.push_back(RejectedFlow {
            connection_id: connection_id.to_vec(),
            rejection,
        });
    }

    /// Removes a flow and returns its entry.
    pub(super) fn remove(&self, connection_id: &[u8]) -> Option<Rejection> {
        let mut flows = self.flows.lock().ok()?;
        let position = flows
            .iter()
            .position(|known| known.connection_id == connection_id)?;
        flows.remove(position).map(|rejected| rejected.rejection)
    }
}
