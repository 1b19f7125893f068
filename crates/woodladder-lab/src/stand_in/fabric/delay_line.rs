//! Queue which holds each datagram for a constant time before it is sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use super::counters::{Counters, count};

/// Datagrams held at most; later ones are dropped.
const QUEUE_LIMIT: usize = 65_536;

struct HeldDatagram {
    due: Instant,
    socket: Arc<UdpSocket>,
    destination: SocketAddr,
    datagram: Vec<u8>,
}

/// Sends datagrams at once, or after a constant delay.
#[derive(Clone)]
pub(super) struct DelayLine {
    delay: Duration,
    queue: Option<mpsc::Sender<HeldDatagram>>,
    counters: Arc<Counters>,
}

impl DelayLine {
    pub(super) fn start(
        delay: Duration,
        counters: &Arc<Counters>,
        tasks: &mut JoinSet<()>,
    ) -> Self {
        let queue = (!delay.is_zero()).then(|| {
            let (sender, receiver) = mpsc::channel(QUEUE_LIMIT);
            tasks.spawn(release(receiver, Arc::clone(counters)));
            sender
        });
        Self {
            delay,
            queue,
            counters: Arc::clone(counters),
        }
    }

    pub(super) async fn send(
        &self,
        socket: &Arc<UdpSocket>,
        destination: SocketAddr,
        datagram: &[u8],
    ) {
        let Some(queue) = &self.queue else {
            deliver(socket, destination, datagram, &self.counters).await;
            return;
        };
        let held = HeldDatagram {
            due: Instant::now() + self.delay,
            socket: Arc::clone(socket),
            destination,
            datagram: datagram.to_vec(),
        };
        if queue.try_send(held).is_err() {
            count(&self.counters.overflow);
        }
    }
}

async fn release(mut queue: mpsc::Receiver<HeldDatagram>, counters: Arc<Counters>) {
    while let Some(held) = queue.recv().await {
        if held.due > Instant::now() {
            sleep_until(held.due).await;
        }
        deliver(&held.socket, held.destination, &held.datagram, &counters).await;
    }
}

async fn deliver(
    socket: &UdpSocket,
    destination: SocketAddr,
    datagram: &[u8],
    counters: &Counters,
) {
    if socket.send_to(datagram, destination).await.is_err() {
        count(&counters.overflow);
    }
}
