//! From callers to balancers: one task for each service address.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use super::counters::{Counters, count};
use super::delay_line::DelayLine;
use crate::stand_in::proxy_header::{self, ProxiedAddresses};
use crate::stand_in::socket::MAXIMUM_DATAGRAM;

pub(super) struct Ingress {
    pub(super) service_address: SocketAddr,
    pub(super) service_socket: Arc<UdpSocket>,
    pub(super) outlet: Arc<UdpSocket>,
    pub(super) line: DelayLine,
    pub(super) balancers: watch::Receiver<Arc<[SocketAddr]>>,
    pub(super) counters: Arc<Counters>,
    pub(super) generator: ChaCha8Rng,
}

pub(super) async fn run(mut ingress: Ingress) {
    let mut payload = vec![0; MAXIMUM_DATAGRAM];
    let mut datagram = Vec::with_capacity(MAXIMUM_DATAGRAM);
    loop {
        // An error here is one reported for an earlier datagram; the socket stays usable.
        let Ok((length, caller)) = ingress.service_socket.recv_from(&mut payload).await else {
            continue;
        };
        let Some(balancer) = ingress.choose_balancer() else {
            count(&ingress.counters.without_balancer);
            continue;
        };
        let addresses = ProxiedAddresses {
            source: caller,
            destination: ingress.service_address,
        };
        if !proxy_header::encode(addresses, &payload[..length], &mut datagram) {
            count(&ingress.counters.malformed);
            continue;
        }
        ingress.counters.sprayed(balancer);
        ingress
            .line
            .send(&ingress.outlet, balancer, &datagram)
            .await;
    }
}

impl Ingress {
    fn choose_balancer(&mut self) -> Option<SocketAddr> {
        let balancers = self.balancers.borrow();
        if balancers.is_empty() {
            return None;
        }
        let index = self.generator.random_range(0..balancers.len());
        Some(balancers[index])
    }
}
