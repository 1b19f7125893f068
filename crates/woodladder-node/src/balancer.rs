//! A balancer as a process.
//!
//! # Lifecycle
//! [`BalancerNode::new`] opens its sockets; [`BalancerNode::run`] starts the tasks and
//! returns when a planned stop has ended. During the stop it forwards on until
//! no caller's packet has come for a while and no opening waits for the link.

mod figures;
mod outgoing;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use rand::random;
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;
use woodladder_core::clock::Instant;
use woodladder_core::flow::balancer::{
    Balancer, BalancerAction, BalancerOptions, NotReadyReason, Routing,
};
use woodladder_core::flow::identity::{NodeAddress, ZoneKey};
use woodladder_core::flow::message::PeerMessage;
use woodladder_core::flow::packet::FlowPacket;
use woodladder_core::flow::store_session::{BalancerDiscovery, BalancerRegistration};

use self::outgoing::OutgoingQueue;
use crate::carrier::Carrier;
use crate::decision_log::DecisionLog;
use crate::node_clock::NodeClock;
use crate::peer_link::{MESSAGES_LOGGED_EVERY, PeerLink};
use crate::peer_socket;
use crate::snapshot_exchange;
use crate::store::{self, Store, StoreContact};
use crate::tick_timer::TickTimer;

/// Time between two looks whether a stopping balancer may end.
const TICK: Duration = Duration::from_millis(25);
/// Most flows in the table.
const FLOW_CAPACITY: usize = 400_000;
/// Least time that a stopping balancer forwards on, so that routers notice.
const LEAST_DRAIN: Duration = Duration::from_millis(1300);
/// Silence of callers after which a stopping balancer ends.
const QUIET: Duration = Duration::from_millis(700);

/// Settings of a balancer's process.
#[derive(Clone, Debug)]
pub struct BalancerConfig {
    /// Address that other nodes reach it at, by datagrams and streams.
    pub peer_address: SocketAddrV4,
    /// Address that the sockets for other nodes are bound to.
    pub peer_bind: SocketAddrV4,
    /// Address that callers' packets come to.
    pub caller_address: SocketAddrV4,
    /// Port that callers take packets at.
    pub caller_port: u16,
    /// Zone of the machine.
    pub zone: ZoneKey,
    /// Processor that it may use, in thousandths of a core.
    pub capacity: u32,
    /// Rate of its machine's link, in kilobits a second; `None` when it is not known.
    pub link_rate: Option<u32>,
    /// Nodes to greet before any is known.
    pub seeds: Vec<NodeAddress>,
    /// Least time that a flow at rest is remembered.
    pub flow_retention: Duration,
    /// Longest time of a planned stop.
    pub stop_timeout: Duration,
}

/// What the tasks of a balancer share.
pub struct BalancerNode<C> {
    core: RefCell<Balancer>,
    carrier: C,
    config: BalancerConfig,
    clock: NodeClock,
    peers: PeerLink,
    callers: UdpSocket,
    outgoing: Option<OutgoingQueue>,
    decisions: RefCell<DecisionLog>,
    timer: TickTimer,
    logger: Logger,
    contact: Rc<StoreContact>,
    refused_packets: Cell<u64>,
    packet_at: Cell<Instant>,
}

impl<C: Carrier + 'static> BalancerNode<C> {
    /// Opens the sockets.
    ///
    /// # Errors
    /// The system's error.
    pub fn new(config: BalancerConfig, carrier: C, logger: Logger) -> io::Result<Rc<Self>> {
        let clock = NodeClock::start();
        let options = BalancerOptions {
            address: config.peer_address,
            zone: config.zone,
            cpu_millicores: config.capacity,
            link_rate_kbps: config.link_rate,
            flow_capacity: FLOW_CAPACITY,
            flow_retention: config.flow_retention,
        };
        Ok(Rc::new(Self {
            core: RefCell::new(Balancer::new(options, clock.now())),
            carrier,
            clock,
            peers: PeerLink::open(config.peer_bind)?,
            callers: peer_socket::open(config.caller_address)?,
            outgoing: config.link_rate.map(OutgoingQueue::new),
            decisions: RefCell::new(DecisionLog::new(logger.clone())),
            timer: TickTimer::default(),
            logger,
            contact: Rc::new(StoreContact::default()),
            refused_packets: Cell::new(0),
            packet_at: Cell::new(Instant::ORIGIN),
            config,
        }))
    }

    /// Runs until a planned stop has ended. `store` opens a session with the
    /// store.
    ///
    /// # Errors
    /// The system's error when the stream for other nodes cannot be opened.
    pub async fn run<S: Store + 'static>(
        self: Rc<Self>,
        store: impl Fn() -> S,
        stop: Rc<Notify>,
    ) -> io::Result<()> {
        let listener = TcpListener::bind(self.config.peer_bind).await?;
        let node = Rc::clone(&self);
        spawn_local(snapshot_exchange::serve(listener, move |request| {
            node.core.borrow().answer_snapshot_request(request)
        }));
        self.start_receiving();
        self.act(|core, now, actions| core.add_seed_balancers(&self.config.seeds, now, actions));
        spawn_local(Rc::clone(&self).tick());
        spawn_local(Rc::clone(&self).log_messages());
        spawn_local(Rc::clone(&self).send_queued());
        let record_due = self.start_flow_record(store());
        let registration = self.start_store_sessions(store);
        let leaving = Rc::clone(&registration.1);
        stop.notified().await;
        info!(self.logger, "balancer: stopping as planned"; "event" => "stopping");
        registration.0.borrow_mut().leave(self.clock.now());
        leaving.notify_one();
        self.act(|core, now, actions| core.leave(now, actions));
        record_due.notify_one();
        self.drain().await;
        self.peers.log("balancer", &self.logger);
        info!(self.logger, "balancer: stopped"; "event" => "stopped");
        Ok(())
    }

    /// Keeps the record of flows; a notification makes it look at once.
    fn start_flow_record<S: Store + 'static>(self: &Rc<Self>, store: S) -> Rc<Notify> {
        let record_due = Rc::new(Notify::new());
        let deciding = Rc::clone(self);
        let answered = Rc::clone(self);
        spawn_local(store::keep_flow_record(
            store,
            self.clock,
            Rc::clone(&self.contact),
            Rc::clone(&record_due),
            move || {
                let clock = deciding.clock;
                let mut core = deciding.core.borrow_mut();
                core.next_record_call(clock.time_of_day(), clock.now())
            },
            move |reply| {
                let time_of_day = answered.clock.time_of_day();
                answered.act(|core, now, actions| {
                    core.handle_record_reply(reply, time_of_day, now, actions);
                });
            },
        ));
        record_due
    }

    fn start_store_sessions<S: Store + 'static>(
        self: &Rc<Self>,
        store: impl Fn() -> S,
    ) -> (Rc<RefCell<BalancerRegistration>>, Rc<Notify>) {
        let node = Rc::clone(self);
        let watching = Rc::clone(self);
        spawn_local(store::watch_configuration(
            store(),
            random(),
            self.clock,
            Rc::clone(&self.contact),
            move || {
                watching
                    .core
                    .borrow()
                    .store_watch_wait(watching.clock.now())
            },
            move |state| {
                node.act(|core, now, _| {
                    if let Some(configuration) = state.configuration {
                        core.adopt_store_configuration(configuration.into());
                    }
                    core.adopt_store_exclusions(&state.excluded_zones);
                    core.record_store_confirmation(now);
                });
            },
        ));
        let now = self.clock.now();
        let registration = Rc::new(RefCell::new(BalancerRegistration::new(random(), now)));
        let leaving = Rc::new(Notify::new());
        let entered = Rc::clone(self);
        spawn_local(store::keep_registered(
            store(),
            self.clock,
            Rc::clone(&self.contact),
            Rc::clone(&registration),
            Rc::clone(&leaving),
            move || entered.core.borrow().should_register(entered.clock.now()),
        ));
        let node = Rc::clone(self);
        let hearing = Rc::clone(self);
        spawn_local(store::list_balancers(
            store(),
            BalancerDiscovery::new(random(), true, now),
            self.clock,
            Rc::clone(&self.contact),
            move || hearing.core.borrow().list_need(hearing.clock.now()),
            move |balancers| {
                node.act(|core, now, actions| core.add_listed_balancers(balancers, now, actions))
            },
        ));
        (registration, leaving)
    }

    async fn drain(&self) {
        let started = self.clock.now();
        loop {
            sleep(TICK).await;
            let now = self.clock.now();
            let elapsed = now.since(started);
            let holds_openings = self.core.borrow().has_openings_waiting_for_link();
            let is_quiet = now.since(self.packet_at.get()) >= QUIET && !holds_openings;
            if elapsed >= self.config.stop_timeout || (elapsed >= LEAST_DRAIN && is_quiet) {
                return;
            }
        }
    }

    /// Whether the balancer should be given packets of callers.
    ///
    /// # Errors
    /// [`NotReadyReason`] when it should not.
    pub fn ready(&self) -> Result<(), NotReadyReason> {
        self.core.borrow().check_ready(self.clock.now())
    }

    /// Takes changed settings in; addresses stay as they are.
    pub fn reload(self: &Rc<Self>, seeds: &[NodeAddress]) {
        info!(self.logger, "balancer: settings read again"; "event" => "reloaded",
            "seeds" => seeds.len());
        self.act(|core, now, actions| core.add_seed_balancers(seeds, now, actions));
    }

    fn start_receiving(self: &Rc<Self>) {
        let node = Rc::clone(self);
        spawn_local(async move {
            let handle = |_, packet: &mut [u8]| node.caller_packet(packet);
            peer_socket::receive(&node.callers, "callers", &node.logger, handle).await;
        });
        let node = Rc::clone(self);
        spawn_local(async move {
            let handle = |from, datagram: &mut [u8]| node.peer_datagram(from, datagram);
            node.peers.receive(&node.logger, handle).await;
        });
    }

    fn caller_packet(self: &Rc<Self>, bytes: &mut [u8]) {
        let now = self.clock.now();
        self.packet_at.set(now);
        self.core
            .borrow_mut()
            .count_received_datagram(bytes.len(), now);
        let Ok(packet) = self.carrier.read_from_caller(bytes) else {
            self.refused_packets.set(self.refused_packets.get() + 1);
            return;
        };
        let routing = self
            .core
            .borrow_mut()
            .route_caller_packet(&packet, bytes, now);
        self.timer.shorten(self.core.borrow().tick_interval());
        self.send_routed(routing, &packet, bytes);
        if self.core.borrow().can_release_openings() {
            self.act(Balancer::release_openings);
        }
    }

    fn send_routed(&self, routing: Routing, packet: &FlowPacket, bytes: &[u8]) {
        match routing {
            Routing::One { to, header } => {
                self.send_packet(&PeerMessage::Forward(header), packet, bytes, to);
            }
            Routing::Several(receivers) => {
                for (to, header) in receivers {
                    self.send_packet(&PeerMessage::Forward(header), packet, bytes, to);
                }
            }
            Routing::Relay(to) => self.send_packet(&PeerMessage::Relay, packet, bytes, to),
            Routing::Reset(reset) => self.reset(&reset),
            Routing::Drop(_) => {}
        }
    }

    fn peer_datagram(self: &Rc<Self>, from: NodeAddress, datagram: &[u8]) {
        let now = self.clock.now();
        self.core
            .borrow_mut()
            .count_received_datagram(datagram.len(), now);
        let Ok((message, rest)) = self.peers.read(datagram) else {
            return;
        };
        let packet = self.carrier.read_from_caller(rest).ok();
        let packet = packet.as_ref().map(|packet| (packet, rest));
        self.act(|core, now, actions| core.handle_message(from, message, packet, now, actions));
    }

    async fn tick(self: Rc<Self>) {
        loop {
            self.act(|core, now, actions| core.tick(now, actions));
            self.write_notes();
            self.timer
                .until_due(|| self.core.borrow().tick_interval())
                .await;
        }
    }

    async fn log_messages(self: Rc<Self>) {
        loop {
            sleep(MESSAGES_LOGGED_EVERY).await;
            self.peers.log("balancer", &self.logger);
            self.contact.log("balancer", &self.logger);
        }
    }

    fn write_notes(&self) {
        let (notes, dropped) = self.core.borrow_mut().take_notes();
        let now = self.clock.now();
        self.decisions.borrow_mut().write(notes, dropped, now);
        match self.contact.take_change() {
            Some(true) => info!(self.logger, "store: reached"; "event" => "store_reached"),
            Some(false) => warn!(self.logger, "store: lost"; "event" => "store_lost"),
            None => {}
        }
    }

    /// Lets the core decide and carries its actions out.
    fn act(self: &Rc<Self>, decide: impl FnOnce(&mut Balancer, Instant, &mut Vec<BalancerAction>)) {
        let mut actions = Vec::new();
        decide(&mut self.core.borrow_mut(), self.clock.now(), &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        self.timer.shorten(self.core.borrow().tick_interval());
    }

    fn carry_out(self: &Rc<Self>, action: BalancerAction) {
        match action {
            BalancerAction::Send { to, message } => self.send_message(&message, to),
            BalancerAction::Forward {
                to,
                header,
                mut packet,
            } => {
                self.carrier.clear_marks(&mut packet);
                self.send_own_packet(&PeerMessage::Forward(header), &packet, to);
            }
            BalancerAction::Relay { to, packet } => {
                self.send_own_packet(&PeerMessage::Relay, &packet, to);
            }
            BalancerAction::Reset(reset) => self.reset(&reset),
            BalancerAction::FetchSnapshot { from, request } => {
                let node = Rc::clone(self);
                spawn_local(async move {
                    match snapshot_exchange::fetch(from, request).await {
                        Ok(snapshot) => node.act(|core, now, actions| {
                            core.handle_snapshot(from, snapshot, now, actions);
                        }),
                        Err(_) => node.core.borrow_mut().handle_snapshot_failure(from),
                    }
                });
            }
        }
    }

    /// Sends a message with a packet that was read before.
    fn send_own_packet(&self, message: &PeerMessage, bytes: &[u8], to: NodeAddress) {
        match self.carrier.read_from_caller(bytes) {
            Ok(packet) => self.send_packet(message, &packet, bytes, to),
            Err(_) => self.refused_packets.set(self.refused_packets.get() + 1),
        }
    }

    /// Address of the machine.
    #[must_use]
    pub fn machine(&self) -> Ipv4Addr {
        *self.config.peer_address.ip()
    }
}
