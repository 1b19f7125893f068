//! From agents to callers: the header is taken off and the payload leaves from its service address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;

use super::counters::{Counters, count};
use super::delay_line::DelayLine;
use crate::stand_in::proxy_header;
use crate::stand_in::socket::MAXIMUM_DATAGRAM;

pub(super) struct Egress {
    pub(super) socket: UdpSocket,
    pub(super) service_sockets: HashMap<SocketAddr, Arc<UdpSocket>>,
    pub(super) line: DelayLine,
    pub(super) counters: Arc<Counters>,
}

pub(super) async fn run(egress: Egress) {
    let mut datagram = vec![0; MAXIMUM_DATAGRAM];
    loop {
        let Ok(length) = egress.socket.recv(&mut datagram).await else {
            continue;
        };
        let Some((addresses, payload)) = proxy_header::decode(&datagram[..length]) else {
            count(&egress.counters.malformed);
            continue;
        };
        let Some(socket) = egress.service_sockets.get(&addresses.source) else {
            count(&egress.counters.unknown_service);
            continue;
        };
        count(&egress.counters.answers);
        egress
            .line
            .send(socket, addresses.destination, payload)
            .await;
    }
}
