//! A caller that sends openings straight to each balancer, if wished with copies while there
//! is no answer, to see which version of the configuration it uses.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::address::{DATAGRAM_PORT, Ends, Network};
use super::head::{Flags, Packet};
use super::oracle::Oracle;

/// First number of the caller's side of a flow.
const FIRST_SEQUENCE: u32 = 5000;
/// First port of its flows.
const FIRST_PORT: u16 = 1025;
/// Times from an opening to its copies, if there is no answer before.
const COPIES_AFTER: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
/// Largest datagram.
const MAXIMUM_DATAGRAM: usize = 2048;

/// The machine of a probing caller.
pub struct ProbeMachine {
    address: Ipv4Addr,
    network: Network,
    socket: UdpSocket,
    oracle: Rc<RefCell<Oracle>>,
    next_port: Cell<u16>,
    /// The balancer that each flow's opening was sent to, by the flow's port, until there is an
    /// answer.
    balancers: RefCell<BTreeMap<u16, u8>>,
}

impl ProbeMachine {
    /// Opens the socket of this machine.
    ///
    /// # Errors
    /// The system's error.
    pub async fn open(
        network: Network,
        machine: u8,
        oracle: Rc<RefCell<Oracle>>,
    ) -> io::Result<Rc<Self>> {
        let address = network.machine(machine);
        Ok(Rc::new(Self {
            address,
            network,
            socket: UdpSocket::bind(SocketAddrV4::new(address, DATAGRAM_PORT)).await?,
            oracle,
            next_port: Cell::new(FIRST_PORT),
            balancers: RefCell::default(),
        }))
    }

    /// Sends an opening to each balancer for each route at this interval until `until`, and
    /// copies of it if `sends_copies` holds.
    pub async fn probe(
        self: Rc<Self>,
        balancers: Vec<u8>,
        routes: Vec<SocketAddrV4>,
        interval: Duration,
        sends_copies: bool,
        until: Instant,
    ) {
        while Instant::now() < until {
            let mut sent = Vec::with_capacity(balancers.len() * routes.len());
            for balancer in &balancers {
                for route in &routes {
                    sent.push(self.send_opening(*balancer, *route));
                }
            }
            if sends_copies {
                spawn_local(Rc::clone(&self).send_copies(sent));
            }
            sleep(interval).await;
        }
    }

    /// Takes answers until the day ends.
    pub async fn receive(self: Rc<Self>) {
        let mut buffer = [0; MAXIMUM_DATAGRAM];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Some(packet) = Packet::read(&buffer[..length]) else {
                continue;
            };
            let ends: Ends = (packet.to, packet.from);
            if packet.flags.has(Flags::RESET) {
                self.balancers.borrow_mut().remove(&ends.0.port());
                if packet.sum == [0; 4] {
                    self.oracle.borrow_mut().probe_refused(ends);
                }
            } else if packet.flags.has(Flags::OPEN.with(Flags::ACKNOWLEDGE)) {
                self.close(ends, &packet);
            }
        }
    }

    fn send_opening(&self, balancer: u8, route: SocketAddrV4) -> Ends {
        let port = self.next_port.get();
        self.next_port
            .set(port.checked_add(1).unwrap_or(FIRST_PORT));
        self.balancers.borrow_mut().insert(port, balancer);
        let ends = (SocketAddrV4::new(self.address, port), route);
        let mut oracle = self.oracle.borrow_mut();
        oracle.configurations.probe_sent(ends, balancer);
        self.send_copy(ends, 0, balancer);
        ends
    }

    /// Sends copies of those of these openings that are not answered.
    async fn send_copies(self: Rc<Self>, openings: Vec<Ends>) {
        let mut waited = Duration::ZERO;
        for (copy, after) in (1..).zip(COPIES_AFTER) {
            sleep(after - waited).await;
            waited = after;
            for ends in &openings {
                let balancer = self.balancers.borrow().get(&ends.0.port()).copied();
                if let Some(balancer) = balancer {
                    self.oracle.borrow_mut().configurations.copy_sent(*ends);
                    self.send_copy(*ends, copy, balancer);
                }
            }
        }
    }

    fn send_copy(&self, ends: Ends, copy: u32, balancer: u8) {
        let open = Packet::new(Flags::OPEN, ends.0, ends.1, FIRST_SEQUENCE, copy, &[]);
        let to = self.network.at(balancer, DATAGRAM_PORT);
        // A lost opening is not judged.
        let _lost = self.socket.try_send_to(&open.write(), to.into());
    }

    /// Closes a flow that a target has accepted.
    fn close(&self, ends: Ends, answer: &Packet) {
        let Some(balancer) = self.balancers.borrow_mut().remove(&ends.0.port()) else {
            return;
        };
        let flags = Flags::CLOSE.with(Flags::ACKNOWLEDGE);
        let acknowledged = answer.sequence.wrapping_add(1);
        let close = Packet::new(flags, ends.0, ends.1, FIRST_SEQUENCE + 1, acknowledged, &[]);
        let to = self.network.at(balancer, DATAGRAM_PORT);
        let _lost = self.socket.try_send_to(&close.write(), to.into());
    }
}
