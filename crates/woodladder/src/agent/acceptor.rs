//! Accepts QUIC connections, refuses those that admission has rejected, and
//! serves the others.

use std::sync::Arc;

use quinn::{Endpoint, Incoming};
use slog::debug;
use woodladder_core::packets::hop_list::flow_hash;

use super::agent_context::AgentContext;
use super::connection::{self, Flow};
use super::ingress::Ingress;
use super::open_work::ConnectionStage;
use super::rejected_flows::Rejection;

/// Accepts connections until the endpoint is closed.
pub(super) async fn run(endpoint: Endpoint, ingress: Arc<Ingress>, context: Arc<AgentContext>) {
    while let Some(incoming) = endpoint.accept().await {
        let flow = incoming.orig_dst_cid();
        let rejection = ingress.rejected_flows().remove(&flow);
        if rejection == Some(Rejection::Refuse) {
            incoming.refuse();
            continue;
        }
        let flow = Flow {
            hash: flow_hash(&flow),
            declined: rejection == Some(Rejection::Decline),
        };
        tokio::spawn(serve(incoming, flow, Arc::clone(&context)));
    }
}

async fn serve(incoming: Incoming, flow: Flow, context: Arc<AgentContext>) {
    let open = context
        .counters
        .open_connections
        .open(ConnectionStage::Handshake);
    context.admission_control.connection_opened(flow.hash);
    match incoming.await {
        Ok(connection) => connection::serve(connection, flow, &open, Arc::clone(&context)).await,
        Err(error) => debug!(context.logger, "agent: handshake failed"; "error" => %error),
    }
    drop(open);
    context.admission_control.connection_closed(flow.hash);
}
