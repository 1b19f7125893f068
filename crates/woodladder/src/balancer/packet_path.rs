//! The packet path of a balancer: its workers, their sockets and their
//! counters.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use arc_swap::ArcSwapOption;
use slog::Logger;
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::packets::router::Router;

use super::counters::{PacketCounts, WorkerCounters};
use super::socket;
use super::worker::Worker;
use crate::process::{StopSignal, StopSwitch};

/// Configuration of the packet path.
pub struct PacketPathConfig {
    /// Address that receives datagrams from the fabric.
    pub listen: SocketAddr,
    /// Number of workers, at least one.
    pub workers: usize,
    /// Size requested for each socket's receive buffer and send buffer, in
    /// bytes.
    pub socket_buffer_bytes: usize,
    /// Chooses the agent for each datagram. Replaced when a roll comes into
    /// force or targets become available or unavailable; `None` before the
    /// first roll.
    pub router: Arc<ArcSwapOption<Router>>,
    /// Key of the envelopes to agents.
    pub envelope_key: TagKey,
    /// Logger for failures of workers.
    pub logger: Logger,
}

/// Running workers. Dropping it stops them and waits for their threads to end.
pub struct PacketPath {
    address: SocketAddr,
    counters: Vec<Arc<WorkerCounters>>,
    threads: Vec<JoinHandle<()>>,
    stop: StopSwitch,
}

impl PacketPath {
    /// Binds the sockets and starts the workers.
    ///
    /// # Errors
    /// The system's error when a socket cannot be bound or a thread cannot be
    /// started.
    pub fn start(config: &PacketPathConfig) -> io::Result<Self> {
        let sockets = socket::bind(config.listen, config.workers, config.socket_buffer_bytes)?;
        let address = match sockets.first() {
            Some(socket) => socket.local_addr()?,
            None => config.listen,
        };
        let (stop, signal) = StopSignal::new();
        let mut path = Self {
            address,
            counters: Vec::new(),
            threads: Vec::new(),
            stop,
        };
        for socket in sockets {
            let counters = Arc::new(WorkerCounters::default());
            let worker = Worker {
                router: config.router.clone(),
                envelope_key: config.envelope_key,
                counters: counters.clone(),
                logger: config.logger.clone(),
            };
            let signal = signal.clone();
            let thread = std::thread::Builder::new()
                .name("forward".to_owned())
                .spawn(move || worker.run(socket, signal))?;
            path.counters.push(counters);
            path.threads.push(thread);
        }
        Ok(path)
    }

    /// Address that the workers receive datagrams on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the thread of a worker has ended, which before a stop happens
    /// only when the worker has failed.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.threads.iter().any(JoinHandle::is_finished)
    }

    /// Totals over all workers.
    #[must_use]
    pub fn counts(&self) -> PacketCounts {
        let mut counts = PacketCounts::default();
        for counters in &self.counters {
            counters.add_totals(&mut counts);
        }
        counts
    }
}

impl Drop for PacketPath {
    fn drop(&mut self) {
        self.stop.stop();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
