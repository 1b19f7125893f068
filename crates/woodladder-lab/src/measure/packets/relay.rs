//! The physical reference: a single thread that receives batches as a balancer
//! does and sends every datagram on unchanged.

use std::io;
use std::net::{SocketAddr, UdpSocket as StandardSocket};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;

use tokio::net::UdpSocket;

use super::cpu_time::CpuTime;
use super::sink::{BatchReceiver, bind};
use super::{PacketError, Reading};

/// A running relay; it runs until the program ends.
pub(super) struct Relay {
    address: SocketAddr,
    forwarded: Arc<AtomicU64>,
    statistics: PathBuf,
}

impl Relay {
    pub(super) fn start(targets: Vec<SocketAddr>) -> Result<Self, PacketError> {
        let socket = bind()?;
        let address = socket.local_addr()?;
        let forwarded = Arc::new(AtomicU64::new(0));
        let counter = forwarded.clone();
        let (sender, receiver) = mpsc::channel();
        std::thread::Builder::new()
            .name("relay".to_owned())
            .spawn(move || {
                let _ = sender.send(std::fs::read_link("/proc/thread-self"));
                run(socket, &targets, &counter)
            })?;
        let link = receiver
            .recv()
            .map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))??;
        Ok(Self {
            address,
            forwarded,
            statistics: PathBuf::from("/proc").join(link).join("stat"),
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn reading(&self) -> Result<Reading, PacketError> {
        Ok(Reading {
            packets: self.forwarded.load(Ordering::Relaxed),
            processor: CpuTime::read(&self.statistics)?,
        })
    }
}

fn run(socket: StandardSocket, targets: &[SocketAddr], forwarded: &AtomicU64) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()?;
    runtime.block_on(relay(socket, targets, forwarded))
}

async fn relay(
    socket: StandardSocket,
    targets: &[SocketAddr],
    forwarded: &AtomicU64,
) -> io::Result<()> {
    let socket = UdpSocket::from_std(socket)?;
    let mut receiver = BatchReceiver::new(&socket)?;
    let mut next_targets = targets.iter().cycle();
    loop {
        socket.readable().await?;
        // An error of one batch, such as none to be had, does not end it.
        let filled = receiver.receive(&socket).unwrap_or(0);
        for datagram in receiver.datagrams(filled) {
            if let Some(target) = next_targets.next()
                && socket.try_send_to(datagram, *target).is_ok()
            {
                forwarded.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}
