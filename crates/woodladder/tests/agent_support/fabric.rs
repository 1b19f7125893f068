//! A fabric with one balancer, simulated in a task: puts datagrams of callers
//! into envelopes, and takes the PROXY header off datagrams of agents.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use ppp::v2::{Addresses, Header};
use tokio::net::UdpSocket;
use woodladder::agent::AgentKeys;
use woodladder_core::packets::envelope::Envelope;
use woodladder_core::packets::router::{InboundDatagram, Router};
use woodladder_core::packets::routing_table::RoutingTable;

use super::ANY_PORT;

const MAXIMUM_DATAGRAM_LENGTH: usize = 4096;

type SharedRoutingTable = Arc<ArcSwap<RoutingTable>>;

/// Modifies an envelope before it is sent to an agent.
pub type Tamper = Box<dyn Fn(&mut Envelope) + Send>;

pub struct Fabric {
    pub service_address: SocketAddr,
    pub egress_address: SocketAddr,
    /// Time in milliseconds that each datagram takes, in either direction.
    delay_ms: Arc<AtomicU64>,
    routing_table: Arc<Mutex<Option<SharedRoutingTable>>>,
    tamper: Arc<Mutex<Option<Tamper>>>,
}

impl Fabric {
    pub async fn start(keys: AgentKeys) -> Self {
        let front = Arc::new(UdpSocket::bind(ANY_PORT).await.unwrap());
        let egress = UdpSocket::bind(ANY_PORT).await.unwrap();
        let delay_ms = Arc::new(AtomicU64::new(0));
        let fabric = Self {
            service_address: front.local_addr().unwrap(),
            egress_address: egress.local_addr().unwrap(),
            delay_ms: Arc::clone(&delay_ms),
            routing_table: Arc::default(),
            tamper: Arc::default(),
        };
        let balancer = Balancer {
            service_address: fabric.service_address,
            keys,
            routing_table: Arc::clone(&fabric.routing_table),
            tamper: Arc::clone(&fabric.tamper),
            delay_ms: Arc::clone(&delay_ms),
        };
        tokio::spawn(balancer.run(Arc::clone(&front)));
        tokio::spawn(deliver(egress, front, delay_ms));
        fabric
    }

    /// Makes each datagram take this time, in either direction.
    pub fn set_delay(&self, delay: Duration) {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap();
        self.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    pub fn set_routing_table(&self, routing_table: &SharedRoutingTable) {
        *self.routing_table.lock().unwrap() = Some(Arc::clone(routing_table));
    }

    pub fn tamper(&self, tamper: Option<Tamper>) {
        *self.tamper.lock().unwrap() = tamper;
    }
}

struct Balancer {
    service_address: SocketAddr,
    keys: AgentKeys,
    routing_table: Arc<Mutex<Option<SharedRoutingTable>>>,
    tamper: Arc<Mutex<Option<Tamper>>>,
    delay_ms: Arc<AtomicU64>,
}

impl Balancer {
    async fn run(self, front: Arc<UdpSocket>) {
        let back = Arc::new(UdpSocket::bind(ANY_PORT).await.unwrap());
        let mut received = [0; MAXIMUM_DATAGRAM_LENGTH];
        let mut enveloped = Vec::new();
        loop {
            let (length, caller) = front.recv_from(&mut received).await.unwrap();
            let datagram = &received[..length];
            if let Some(to) = self.envelop(caller, datagram, &mut enveloped) {
                send_after(&self.delay_ms, &back, &enveloped, to).await;
            }
        }
    }

    fn envelop(
        &self,
        caller: SocketAddr,
        datagram: &[u8],
        enveloped: &mut Vec<u8>,
    ) -> Option<SocketAddr> {
        let routing_table = self.routing_table.lock().unwrap().clone()?;
        let router = Router::new(routing_table.load_full(), self.keys.token, 2);
        let inbound = InboundDatagram {
            caller,
            service_address: self.service_address,
            datagram,
        };
        let mut forward = router.route(&inbound).ok()?;
        if let Some(tamper) = &*self.tamper.lock().unwrap() {
            tamper(&mut forward.envelope);
        }
        forward
            .envelope
            .encode_into(&self.keys.envelope, datagram, enveloped);
        Some(forward.to)
    }
}

async fn deliver(egress: UdpSocket, front: Arc<UdpSocket>, delay_ms: Arc<AtomicU64>) {
    let mut received = [0; MAXIMUM_DATAGRAM_LENGTH];
    loop {
        let (length, _) = egress.recv_from(&mut received).await.unwrap();
        let header = Header::try_from(&received[..length]).unwrap();
        let Addresses::IPv4(addresses) = header.addresses else {
            panic!("not between IPv4 addresses");
        };
        let source = SocketAddr::from((addresses.source_address, addresses.source_port));
        assert_eq!(source, front.local_addr().unwrap());
        let caller = (addresses.destination_address, addresses.destination_port);
        let start = header.len();
        let datagram = &received[start..length];
        send_after(&delay_ms, &front, datagram, SocketAddr::from(caller)).await;
    }
}

/// Sends a datagram, at once or after the delay that is set.
async fn send_after(
    delay_ms: &AtomicU64,
    socket: &Arc<UdpSocket>,
    datagram: &[u8],
    to: SocketAddr,
) {
    let delay = Duration::from_millis(delay_ms.load(Ordering::Relaxed));
    if delay.is_zero() {
        socket.send_to(datagram, to).await.unwrap();
        return;
    }
    let (socket, datagram) = (Arc::clone(socket), datagram.to_vec());
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        socket.send_to(&datagram, to).await.unwrap();
    });
}
