//! The links between machines: what they lose, delay, repeat or cut.
//!
//! Between nodes, a proxy stands on each machine's public address and hands
//! datagrams on to the node's own address, from the public address of their
//! sender, so that every node sees the others at their public addresses.
//! Streams for snapshots pass the same proxy. Callers consult the links before
//! they send.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::address::{Network, PEER_PORT};

/// Largest datagram.
const MAXIMUM_DATAGRAM: usize = 4096;
/// Time after which a stream between nodes is cut in any case.
const STREAM_LIMIT: Duration = Duration::from_secs(5);
/// The sender of callers' packets.
pub const CALLERS: u8 = 0;

/// What a link does to datagrams in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkRule {
    /// Nothing passes.
    pub is_cut: bool,
    /// Chance that a datagram is lost.
    pub loss: f64,
    /// Chance that a datagram comes twice.
    pub repeat: f64,
    /// Longest delay; each datagram's is drawn evenly up to it, which changes
    /// their order.
    pub delay: Duration,
}

/// Rules by direction.
#[derive(Debug)]
pub struct Links {
    rules: RefCell<BTreeMap<(u8, u8), LinkRule>>,
    random: RefCell<ChaCha8Rng>,
    is_between_nodes: bool,
}

impl Links {
    /// Nodes reach each other directly, and callers' packets all pass.
    #[must_use]
    pub fn direct() -> Self {
        Self::new(0, false)
    }

    /// Links between nodes, with a seed for what they lose.
    #[must_use]
    pub fn between_nodes(seed: u64) -> Self {
        Self::new(seed, true)
    }

    fn new(seed: u64, is_between_nodes: bool) -> Self {
        Self {
            rules: RefCell::default(),
            random: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            is_between_nodes,
        }
    }

    /// Whether proxies stand between the nodes.
    #[must_use]
    pub fn are_between_nodes(&self) -> bool {
        self.is_between_nodes
    }

    /// Sets the rule of one direction.
    pub fn set(&self, from: u8, to: u8, rule: LinkRule) {
        self.rules.borrow_mut().insert((from, to), rule);
    }

    /// Takes the rule of one direction away.
    pub fn heal(&self, from: u8, to: u8) {
        self.rules.borrow_mut().remove(&(from, to));
    }

    /// Takes all rules away.
    pub fn heal_all(&self) {
        self.rules.borrow_mut().clear();
    }

    /// Delays of the copies of a datagram that arrive; none when it is lost.
    #[must_use]
    pub fn arrivals(&self, from: u8, to: u8) -> Vec<Duration> {
        let rule = self.rule(from, to);
        let mut random = self.random.borrow_mut();
        if rule.is_cut || random.random_bool(rule.loss) {
            return Vec::new();
        }
        let copies = if random.random_bool(rule.repeat) {
            2
        } else {
            1
        };
        let mut delay = || rule.delay.mul_f64(random.random_range(0.0..=1.0));
        (0..copies).map(|_| delay()).collect()
    }

    fn rule(&self, from: u8, to: u8) -> LinkRule {
        let rules = self.rules.borrow();
        rules.get(&(from, to)).copied().unwrap_or_default()
    }

    /// Whether any machine's datagrams to this one are cut.
    fn is_cut_off(&self, to: u8) -> bool {
        let rules = self.rules.borrow();
        rules
            .iter()
            .any(|((_, receiver), rule)| *receiver == to && rule.is_cut)
    }
}

/// Opens the proxies of these machines, which run until the site ends.
///
/// # Errors
/// The system's error.
pub async fn open_proxies(network: Network, machines: &[u8], links: &Rc<Links>) -> io::Result<()> {
    let mut sockets: BTreeMap<u8, Rc<UdpSocket>> = BTreeMap::new();
    for machine in machines {
        let socket = UdpSocket::bind(network.at(*machine, PEER_PORT)).await?;
        sockets.insert(*machine, Rc::new(socket));
        let listener = TcpListener::bind(network.at(*machine, PEER_PORT)).await?;
        spawn_local(relay_streams(listener, network, *machine, Rc::clone(links)));
    }
    let sockets = Rc::new(sockets);
    for machine in machines {
        spawn_local(relay_datagrams(
            *machine,
            network,
            Rc::clone(&sockets),
            Rc::clone(links),
        ));
    }
    Ok(())
}

async fn relay_datagrams(
    to: u8,
    network: Network,
    sockets: Rc<BTreeMap<u8, Rc<UdpSocket>>>,
    links: Rc<Links>,
) {
    let mut buffer = [0; MAXIMUM_DATAGRAM];
    loop {
        let Ok((length, SocketAddr::V4(source))) = sockets[&to].recv_from(&mut buffer).await else {
            continue;
        };
        let Some(from) = network.machine_of_node(*source.ip()) else {
            continue;
        };
        let Some(sender) = sockets.get(&from).cloned() else {
            continue;
        };
        let receiver = SocketAddr::V4(network.node_at(to, PEER_PORT));
        for delay in links.arrivals(from, to) {
            let sender = Rc::clone(&sender);
            let datagram = buffer[..length].to_vec();
            spawn_local(async move {
                if !delay.is_zero() {
                    sleep(delay).await;
                }
                // A node that is down takes nothing.
                let _lost = sender.try_send_to(&datagram, receiver);
            });
        }
    }
}

async fn relay_streams(listener: TcpListener, network: Network, to: u8, links: Rc<Links>) {
    loop {
        let Ok((mut incoming, _)) = listener.accept().await else {
            continue;
        };
        let links = Rc::clone(&links);
        spawn_local(async move {
            if links.is_cut_off(to) {
                // Silence: the asking node gives up by its own time.
                return sleep(STREAM_LIMIT).await;
            }
            let receiver = SocketAddr::V4(network.node_at(to, PEER_PORT));
            if let Ok(mut outgoing) = TcpStream::connect(receiver).await {
                let relay = copy_bidirectional(&mut incoming, &mut outgoing);
                // Either end may close or the time may be over.
                let _ended = timeout(STREAM_LIMIT, relay).await;
            }
        });
    }
}
