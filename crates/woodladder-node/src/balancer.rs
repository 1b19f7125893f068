//! The balancer process.
//!
//! # Lifecycle
//! [`BalancerNode::new`] opens the sockets. [`BalancerNode::run`] starts the tasks and
//! returns after a planned stop. During the stop the balancer keeps forwarding
//! until callers have sent nothing for a while and no opening waits for the link.

mod metrics;
mod outgoing;
mod watching;

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
use crate::datagram_socket;
use crate::decision_log::DecisionLog;
use crate::node_clock::NodeClock;
use crate::packet_codec::PacketCodec;
use crate::peer_transport::{COUNTERS_LOG_INTERVAL, PeerTransport};
use crate::snapshot_exchange;
use crate::store::{self, Store, StoreCallStats};
use crate::tick_timer::TickTimer;

/// Pause between two checks of whether a balancer that shuts down may exit.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Capacity of the flow table.
const FLOW_CAPACITY: usize = 400_000;
/// Minimum time for which a balancer that shuts down keeps forwarding. In this time the
/// platform's routers, which distribute callers' packets among the ready balancers, notice
/// that the balancer is no longer ready.
const MINIMUM_DRAIN: Duration = Duration::from_millis(1300);
/// Time without packets from callers after which a balancer that shuts down may exit.
const DRAIN_QUIET_PERIOD: Duration = Duration::from_millis(700);

/// Settings of a balancer process.
#[derive(Clone, Debug)]
pub struct BalancerConfig {
    /// Address at which other nodes reach the balancer, over UDP and TCP.
    pub peer_address: SocketAddrV4,
    /// Local address of the sockets for traffic with other nodes.
    pub peer_bind_address: SocketAddrV4,
    /// Local address at which the balancer receives callers' packets.
    pub caller_address: SocketAddrV4,
    /// Port at which callers receive packets.
    pub caller_port: u16,
    /// Zone of the balancer's machine.
    pub zone: ZoneKey,
    /// CPU time available to the balancer, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Rate of the machine's network link, in kilobits per second; `None` when it is not
    /// known.
    pub link_rate_kbps: Option<u32>,
    /// Nodes that get the first hellos, before other nodes are known.
    pub seeds: Vec<NodeAddress>,
    /// Minimum time for which an idle flow stays in the table, also under a configuration
    /// with a shorter idle timeout.
    pub flow_retention: Duration,
    /// Longest life of a flow.
    pub flow_lifetime: Duration,
    /// Maximum duration of a planned stop.
    pub stop_timeout: Duration,
    /// Time within which a change of the configuration must be in force at this balancer.
    pub change_bound: Duration,
}

/// State that the tasks of a balancer process share.
pub struct BalancerNode<C> {
    core: RefCell<Balancer>,
    codec: C,
    config: BalancerConfig,
    clock: NodeClock,
    peers: PeerTransport,
    caller_socket: UdpSocket,
    outgoing_queue: Option<OutgoingQueue>,
    decision_log: RefCell<DecisionLog>,
    tick_timer: TickTimer,
    logger: Logger,
    store_stats: Rc<StoreCallStats>,
    refused_packets: Cell<u64>,
    last_caller_packet_at: Cell<Instant>,
}

impl<C: PacketCodec + 'static> BalancerNode<C> {
    /// Opens the sockets.
    ///
    /// # Errors
    /// Returns the I/O error of a socket that cannot be opened.
    pub fn new(config: BalancerConfig, codec: C, logger: Logger) -> io::Result<Rc<Self>> {
        let clock = NodeClock::start();
        let options = BalancerOptions {
            address: config.peer_address,
            zone: config.zone,
            cpu_millicores: config.cpu_millicores,
            link_rate_kbps: config.link_rate_kbps,
            flow_capacity: FLOW_CAPACITY,
            flow_retention: config.flow_retention,
            flow_lifetime: config.flow_lifetime,
            change_bound: config.change_bound,
        };
        Ok(Rc::new(Self {
            core: RefCell::new(Balancer::new(options, clock.now())),
            codec,
            clock,
            peers: PeerTransport::open(config.peer_bind_address)?,
            caller_socket: datagram_socket::open(config.caller_address)?,
            outgoing_queue: config.link_rate_kbps.map(OutgoingQueue::new),
            decision_log: RefCell::new(DecisionLog::new(logger.clone())),
            tick_timer: TickTimer::default(),
            logger,
            store_stats: Rc::new(StoreCallStats::default()),
            refused_packets: Cell::new(0),
            last_caller_packet_at: Cell::new(Instant::ORIGIN),
            config,
        }))
    }

    /// Runs the balancer until a planned stop, requested through `stop`, has
    /// finished. `store` opens a session with the store.
    ///
    /// # Errors
    /// Returns the I/O error when the TCP listener for other nodes cannot be opened.
    pub async fn run<S: Store + 'static>(
        self: Rc<Self>,
        store: impl Fn() -> S,
        stop: Rc<Notify>,
    ) -> io::Result<()> {
        let listener = TcpListener::bind(self.config.peer_bind_address).await?;
        let node = Rc::clone(&self);
        spawn_local(snapshot_exchange::serve(listener, move |request| {
            let now = node.clock.now();
            node.core.borrow().answer_snapshot_request(request, now)
        }));
        self.start_receiving();
        self.run_core(|core, now, actions| {
            core.add_seed_balancers(&self.config.seeds, now, actions)
        });
        spawn_local(Rc::clone(&self).run_ticks());
        spawn_local(Rc::clone(&self).log_counters());
        spawn_local(Rc::clone(&self).send_queued());
        let record_wakeup = self.start_flow_record(store());
        let (registration, registration_shutdown) = self.start_store_sessions(store);
        stop.notified().await;
        info!(self.logger, "balancer: planned stop started"; "event" => "stopping");
        registration.borrow_mut().leave(self.clock.now());
        registration_shutdown.notify_one();
        self.run_core(|core, now, actions| core.leave(now, actions));
        record_wakeup.notify_one();
        self.drain().await;
        self.peers.log_totals("balancer", &self.logger);
        info!(self.logger, "balancer: stopped"; "event" => "stopped");
        Ok(())
    }

    /// Starts the task that maintains the flow record. A notification on the returned
    /// handle makes the task determine its next call at once.
    fn start_flow_record<S: Store + 'static>(self: &Rc<Self>, store: S) -> Rc<Notify> {
        let record_wakeup = Rc::new(Notify::new());
        let call_node = Rc::clone(self);
        let reply_node = Rc::clone(self);
        spawn_local(store::maintain_record(
            store,
            self.clock,
            Rc::clone(&self.store_stats),
            Rc::clone(&record_wakeup),
            move || {
                let clock = call_node.clock;
                let mut core = call_node.core.borrow_mut();
                core.next_record_call(clock.unix_time_ms(), clock.now())
            },
            move |reply| {
                let unix_time_ms = reply_node.clock.unix_time_ms();
                reply_node.run_core(|core, now, actions| {
                    core.handle_record_reply(reply, unix_time_ms, now, actions);
                });
            },
        ));
        record_wakeup
    }

    /// Starts the tasks that watch the configuration, maintain the balancer's entry and look
    /// for other balancers. Returns the registration, and the handle whose notification ends
    /// the current pause of the task that maintains the entry.
    fn start_store_sessions<S: Store + 'static>(
        self: &Rc<Self>,
        store: impl Fn() -> S,
    ) -> (Rc<RefCell<BalancerRegistration>>, Rc<Notify>) {
        spawn_local(store::watch_configuration(
            store(),
            random(),
            self.clock,
            Rc::clone(&self.store_stats),
            Rc::clone(self),
        ));
        let now = self.clock.now();
        let registration = Rc::new(RefCell::new(BalancerRegistration::new(random(), now)));
        let registration_shutdown = Rc::new(Notify::new());
        let registering_node = Rc::clone(self);
        spawn_local(store::maintain_registration(
            store(),
            self.clock,
            Rc::clone(&self.store_stats),
            Rc::clone(&registration),
            Rc::clone(&registration_shutdown),
            move || {
                registering_node
                    .core
                    .borrow()
                    .should_register(registering_node.clock.now())
            },
        ));
        let node = Rc::clone(self);
        let discovering_node = Rc::clone(self);
        let may_be_stale = true;
        spawn_local(store::discover_balancers(
            store(),
            BalancerDiscovery::new(random(), may_be_stale, now),
            self.clock,
            Rc::clone(&self.store_stats),
            move || {
                discovering_node
                    .core
                    .borrow()
                    .list_need(discovering_node.clock.now())
            },
            move |balancers| {
                node.run_core(|core, now, actions| {
                    core.add_listed_balancers(balancers, now, actions)
                })
            },
        ));
        (registration, registration_shutdown)
    }

    async fn drain(&self) {
        let started_at = self.clock.now();
        loop {
            sleep(DRAIN_CHECK_INTERVAL).await;
            let now = self.clock.now();
            let elapsed = now.since(started_at);
            let has_waiting_openings = self.core.borrow().has_openings_waiting_for_link();
            let is_quiet = now.since(self.last_caller_packet_at.get()) >= DRAIN_QUIET_PERIOD
                && !has_waiting_openings;
            if elapsed >= self.config.stop_timeout || (elapsed >= MINIMUM_DRAIN && is_quiet) {
                return;
            }
        }
    }

    /// Checks whether the platform's routers should send callers' packets to this balancer.
    ///
    /// # Errors
    /// Returns [`NotReadyReason`] when they should not.
    pub fn check_ready(&self) -> Result<(), NotReadyReason> {
        self.core.borrow().check_ready(self.clock.now())
    }

    /// Adds the seeds of the reloaded settings.
    pub fn reload_seeds(self: &Rc<Self>, seeds: &[NodeAddress]) {
        info!(self.logger, "balancer: settings reloaded"; "event" => "reloaded",
            "seeds" => seeds.len());
        self.run_core(|core, now, actions| core.add_seed_balancers(seeds, now, actions));
    }

    /// Applies the lifetime of flows of the reloaded settings.
    pub fn reload_flow_lifetime(&self, flow_lifetime: Duration) {
        self.core.borrow_mut().set_flow_lifetime(flow_lifetime);
    }

    fn start_receiving(self: &Rc<Self>) {
        let node = Rc::clone(self);
        spawn_local(async move {
            let handle = |_, packet: &mut [u8]| node.handle_caller_packet(packet);
            datagram_socket::receive(&node.caller_socket, "callers", &node.logger, handle).await;
        });
        let node = Rc::clone(self);
        spawn_local(async move {
            let handle = |from, datagram: &mut [u8]| node.handle_peer_datagram(from, datagram);
            node.peers.receive(&node.logger, handle).await;
        });
    }

    fn handle_caller_packet(self: &Rc<Self>, bytes: &mut [u8]) {
        let now = self.clock.now();
        self.last_caller_packet_at.set(now);
        self.core
            .borrow_mut()
            .count_received_datagram(bytes.len(), now);
        let Ok(packet) = self.codec.decode_from_caller(bytes) else {
            self.refused_packets.set(self.refused_packets.get() + 1);
            return;
        };
        let routing = self
            .core
            .borrow_mut()
            .route_caller_packet(&packet, bytes, now);
        self.tick_timer
            .bring_forward(self.core.borrow().tick_interval());
        self.send_routed(routing, &packet, bytes);
        if self.core.borrow().can_release_openings() {
            self.run_core(Balancer::release_openings);
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
            Routing::Reset(reset) => self.send_reset(&reset),
            Routing::Drop(_) => {}
        }
    }

    fn handle_peer_datagram(self: &Rc<Self>, from: NodeAddress, datagram: &[u8]) {
        let now = self.clock.now();
        self.core
            .borrow_mut()
            .count_received_datagram(datagram.len(), now);
        let Ok((message, packet_bytes)) = self.peers.decode(datagram) else {
            return;
        };
        let packet = self.codec.decode_from_caller(packet_bytes).ok();
        let packet = packet.as_ref().map(|packet| (packet, packet_bytes));
        self.run_core(|core, now, actions| {
            core.handle_message(from, message, packet, now, actions)
        });
    }

    async fn run_ticks(self: Rc<Self>) {
        loop {
            self.run_core(|core, now, actions| core.tick(now, actions));
            self.write_log_events();
            self.tick_timer
                .wait_until_due(|| self.core.borrow().tick_interval())
                .await;
        }
    }

    async fn log_counters(self: Rc<Self>) {
        loop {
            sleep(COUNTERS_LOG_INTERVAL).await;
            self.peers.log_totals("balancer", &self.logger);
            self.store_stats.log_calls("balancer", &self.logger);
        }
    }

    /// Logs the core's events, and whether the store became reachable or unreachable.
    fn write_log_events(&self) {
        let (events, dropped) = self.core.borrow_mut().take_log_events();
        let now = self.clock.now();
        self.decision_log.borrow_mut().write(events, dropped, now);
        match self.store_stats.take_reachability_change() {
            Some(true) => info!(self.logger, "store: reachable"; "event" => "store_reached"),
            Some(false) => {
                warn!(self.logger, "store: unreachable or refusing calls"; "event" => "store_lost")
            }
            None => {}
        }
    }

    /// Calls `decide` on the core and executes the actions that the core adds.
    fn run_core(
        self: &Rc<Self>,
        decide: impl FnOnce(&mut Balancer, Instant, &mut Vec<BalancerAction>),
    ) {
        let mut actions = Vec::new();
        decide(&mut self.core.borrow_mut(), self.clock.now(), &mut actions);
        for action in actions {
            self.execute(action);
        }
        self.tick_timer
            .bring_forward(self.core.borrow().tick_interval());
    }

    fn execute(self: &Rc<Self>, action: BalancerAction) {
        match action {
            BalancerAction::Send { to, message } => self.send_message(&message, to),
            BalancerAction::Forward {
                to,
                header,
                mut packet,
            } => {
                self.codec.clear_marks(&mut packet);
                self.send_stored_packet(&PeerMessage::Forward(header), &packet, to);
            }
            BalancerAction::Relay { to, packet } => {
                self.send_stored_packet(&PeerMessage::Relay, &packet, to);
            }
            BalancerAction::Reset(reset) => self.send_reset(&reset),
            BalancerAction::FetchSnapshot { from, request } => {
                let node = Rc::clone(self);
                spawn_local(async move {
                    match snapshot_exchange::fetch(from, request).await {
                        Ok(snapshot) => node.run_core(|core, now, actions| {
                            core.handle_snapshot(from, snapshot, now, actions);
                        }),
                        Err(_) => node.core.borrow_mut().handle_snapshot_failure(from),
                    }
                });
            }
        }
    }

    /// Sends a message with a packet that the core had stored.
    fn send_stored_packet(&self, message: &PeerMessage, bytes: &[u8], to: NodeAddress) {
        match self.codec.decode_from_caller(bytes) {
            Ok(packet) => self.send_packet(message, &packet, bytes, to),
            Err(_) => self.refused_packets.set(self.refused_packets.get() + 1),
        }
    }

    /// Returns the IP address of the balancer's machine.
    #[must_use]
    pub fn machine_address(&self) -> Ipv4Addr {
        *self.config.peer_address.ip()
    }
}
