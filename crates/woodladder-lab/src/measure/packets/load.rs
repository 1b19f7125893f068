//! Threads that send callers' datagrams as the fabric does, as fast as they
//! are taken.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use woodladder_core::identifier::TargetId;
use woodladder_core::packets::token::TOKEN_NONCE_LENGTH;

use super::balancer::{SERVICE_ADDRESS, target_id};
use crate::measure::datagram::DatagramWriter;
use crate::measure::world::model_keys;
use crate::stand_in::proxy_header::{ProxiedAddresses, encode};

/// Threads that send.
const SENDERS: usize = 3;
/// Flows that the datagrams belong to.
const FLOWS: usize = 4096;
const CALLER_PORT: u16 = 50_000;

/// Datagrams of established flows, each with its PROXY header.
pub(super) struct Load {
    datagrams: Arc<Vec<Vec<u8>>>,
}

/// Senders at work.
pub(super) struct Traffic {
    stop: Arc<AtomicBool>,
    senders: Vec<JoinHandle<()>>,
}

impl Load {
    pub(super) fn new(seed: u64, targets: usize, length: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut writer = DatagramWriter::new(length);
        let datagrams = (0..FLOWS).map(|flow| {
            let target = target_id(random.random_range(0..targets));
            datagram(flow, target, random.random(), &mut writer)
        });
        Self {
            datagrams: Arc::new(datagrams.collect()),
        }
    }

    pub(super) fn send_to(&self, address: SocketAddr) -> io::Result<Traffic> {
        let stop = Arc::new(AtomicBool::new(false));
        let mut senders = Vec::new();
        for _ in 0..SENDERS {
            let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
            socket.connect(address)?;
            let datagrams = self.datagrams.clone();
            let stop = stop.clone();
            let sender = std::thread::Builder::new()
                .name("sender".to_owned())
                .spawn(move || send(&socket, &datagrams, &stop))?;
            senders.push(sender);
        }
        Ok(Traffic { stop, senders })
    }
}

impl Traffic {
    pub(super) fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for sender in self.senders {
            let _ = sender.join();
        }
    }
}

fn send(socket: &UdpSocket, datagrams: &[Vec<u8>], stop: &AtomicBool) {
    for datagram in datagrams.iter().cycle() {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        // What cannot be sent is offered load that was not taken.
        let _ = socket.send(datagram);
    }
}

fn datagram(
    flow: usize,
    target: TargetId,
    nonce: [u8; TOKEN_NONCE_LENGTH],
    writer: &mut DatagramWriter,
) -> Vec<u8> {
    let token = model_keys().issue(target, nonce);
    let [.., high, low] = flow.to_be_bytes();
    let addresses = ProxiedAddresses {
        source: SocketAddr::from((Ipv4Addr::new(100, 64, high, low), CALLER_PORT)),
        destination: SERVICE_ADDRESS,
    };
    let mut datagram = Vec::new();
    encode(addresses, writer.established(&token), &mut datagram);
    datagram
}
