//! New connections: from the transport's offer to a served connection.

use std::sync::Arc;

use quinn::{Endpoint, Incoming};
use slog::debug;
use woodladder_core::packets::hop_list::flow_hash;

use super::connection::{self, Flow};
use super::counters::GaugeGuard;
use super::gate::Gate;
use super::marked_flows::Mark;
use super::shared::Shared;

/// Takes connections until the endpoint is closed.
pub(super) async fn run(endpoint: Endpoint, gate: Arc<Gate>, shared: Arc<Shared>) {
    while let Some(incoming) = endpoint.accept().await {
        let flow = incoming.orig_dst_cid();
        let mark = gate.marks().take(&flow);
        if mark == Some(Mark::Refuse) {
            incoming.refuse();
            continue;
        }
        let flow = Flow {
            hash: flow_hash(&flow),
            declined: mark == Some(Mark::Decline),
        };
        tokio::spawn(serve(incoming, flow, Arc::clone(&shared)));
    }
}

async fn serve(incoming: Incoming, flow: Flow, shared: Arc<Shared>) {
    let open = GaugeGuard::new(&shared.counters.connections);
    shared.control.connection_opened(flow.hash);
    match incoming.await {
        Ok(connection) => connection::serve(connection, flow, Arc::clone(&shared)).await,
        Err(error) => debug!(shared.logger, "agent: handshake failed"; "error" => %error),
    }
    drop(open);
    shared.control.connection_closed(flow.hash);
}
