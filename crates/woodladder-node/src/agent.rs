//! The agent process.
//!
//! # Lifecycle
//! [`AgentNode::new`] opens the sockets. [`AgentNode::run`] starts the tasks and
//! returns after a planned stop. The stop is short, because the agent has no work of its
//! own to finish: the target has ended before, or runs on beside the agent's next process.
//! The agent tells the balancers which it is, as listen probes show.

mod leaving_record;
mod listen_probes;
mod metrics;
mod planned_stop;
mod target_statements;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use rand::random;
use slog::{Logger, info};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;
use woodladder_core::clock::Instant;
use woodladder_core::flow::agent::{
    Agent, AgentAction, AgentOptions, ForwardDecision, ReplyBody, TargetPacketDecision,
    TargetStatus, WarmUpBounds,
};
use woodladder_core::flow::identity::{FlowKey, NodeAddress, ServiceKey, ZoneKey};
use woodladder_core::flow::log_event::LogEvent;
use woodladder_core::flow::message::{ForwardHeader, PeerMessage, TargetState};
use woodladder_core::flow::store_session::BalancerDiscovery;

use crate::datagram_socket;
use crate::decision_log::DecisionLog;
use crate::metrics::DurationHistogram;
use crate::node_clock::NodeClock;
use crate::packet_codec::PacketCodec;
use crate::peer_transport::{COUNTERS_LOG_INTERVAL, PeerTransport};
use crate::snapshot_exchange;
use crate::store::{self, Store, StoreCallStats};
use crate::tick_timer::TickTimer;

/// Capacity of the flow table.
const FLOW_CAPACITY: usize = 100_000;
/// Settings of an agent process.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// Address at which other nodes reach the agent, over UDP and TCP.
    pub peer_address: SocketAddrV4,
    /// Local address of the sockets for traffic with other nodes.
    pub peer_bind_address: SocketAddrV4,
    /// Local address of the socket between the agent and the target: receives the packets
    /// that the target sends out, and sends packets to the target and to callers.
    pub outbound_address: SocketAddrV4,
    /// Address at which the target receives packets.
    pub target_address: SocketAddrV4,
    /// Port at which callers receive packets.
    pub caller_port: u16,
    /// Zone of the agent's machine.
    pub zone: ZoneKey,
    /// Service that the target provides.
    pub service: ServiceKey,
    /// Balancers that get the first reports, before other balancers are known.
    pub seeds: Vec<NodeAddress>,
    /// Minimum time for which an idle flow stays in the table, also under a configuration
    /// with a shorter idle timeout.
    pub flow_retention: Duration,
    /// Maximum lifetime of a flow.
    pub flow_lifetime: Duration,
    /// Limits on the requests per second delivered to a target that may still be warming up;
    /// `None` for no limit.
    pub warm_up: Option<WarmUpBounds>,
}

/// State that the tasks of an agent process share.
pub struct AgentNode<C> {
    core: RefCell<Agent>,
    codec: C,
    config: AgentConfig,
    clock: NodeClock,
    peers: PeerTransport,
    outbound_socket: UdpSocket,
    /// Notified when the target's heartbeat or deregistration has been handled.
    target_spoke: Notify,
    /// Notified when the leaving record may have to be read, written or removed.
    leaving_record_due: Rc<Notify>,
    /// Notified after each reply of the store about the leaving record.
    leaving_record_replied: Notify,
    decision_log: RefCell<DecisionLog>,
    tick_timer: TickTimer,
    logger: Logger,
    refused_packets: Cell<u64>,
    service_times: RefCell<DurationHistogram>,
    queue_waits: RefCell<DurationHistogram>,
    store_stats: Rc<StoreCallStats>,
}

impl<C: PacketCodec + 'static> AgentNode<C> {
    /// Opens the sockets.
    ///
    /// # Errors
    /// Returns the I/O error of a socket that cannot be opened.
    pub fn new(config: AgentConfig, codec: C, logger: Logger) -> io::Result<Rc<Self>> {
        let clock = NodeClock::start();
        let options = AgentOptions {
            address: config.peer_address,
            zone: config.zone,
            service: config.service,
            epoch: random(),
            flow_capacity: FLOW_CAPACITY,
            flow_retention: config.flow_retention,
            flow_lifetime: config.flow_lifetime,
            warm_up: config.warm_up,
            records_leavings: true,
        };
        Ok(Rc::new(Self {
            core: RefCell::new(Agent::new(options, clock.now())),
            codec,
            clock,
            peers: PeerTransport::open(config.peer_bind_address)?,
            outbound_socket: datagram_socket::open(config.outbound_address)?,
            target_spoke: Notify::new(),
            leaving_record_due: Rc::new(Notify::new()),
            leaving_record_replied: Notify::new(),
            decision_log: RefCell::new(DecisionLog::new(logger.clone())),
            tick_timer: TickTimer::default(),
            logger,
            refused_packets: Cell::new(0),
            service_times: RefCell::new(DurationHistogram::default()),
            queue_waits: RefCell::new(DurationHistogram::default()),
            store_stats: Rc::new(StoreCallStats::default()),
            config,
        }))
    }

    /// Runs the agent until a planned stop, requested through `stop`, has
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
            node.core.borrow().answer_snapshot(request, now)
        }));
        let now = self.clock.now();
        // The core treats seeds like balancers in a list from the store.
        self.core
            .borrow_mut()
            .add_listed_balancers(&self.config.seeds, now);
        self.start_receiving();
        spawn_local(Rc::clone(&self).run_ticks());
        spawn_local(Rc::clone(&self).log_counters());
        spawn_local(Rc::clone(&self).run_listen_probes());
        spawn_local(Rc::clone(&self).maintain_leaving_record(store()));
        let node = Rc::clone(&self);
        let discovering_node = Rc::clone(&self);
        spawn_local(store::discover_balancers(
            store(),
            BalancerDiscovery::with_initial_delay(random(), now),
            self.clock,
            Rc::clone(&self.store_stats),
            move || {
                discovering_node
                    .core
                    .borrow()
                    .list_need(discovering_node.clock.now())
            },
            move |balancers| {
                node.core
                    .borrow_mut()
                    .add_listed_balancers(balancers, node.clock.now())
            },
        ));
        stop.notified().await;
        info!(self.logger, "agent: planned stop started"; "event" => "stopping");
        self.core.borrow_mut().begin_shutdown(self.clock.now());
        self.run_core(|core, now, actions| core.tick(now, actions));
        self.drain().await;
        self.peers.log_totals("agent", &self.logger);
        info!(self.logger, "agent: stopped"; "event" => "stopped");
        Ok(())
    }

    /// The target's state with the evidence that it rests on.
    #[must_use]
    pub fn target_status(&self) -> TargetStatus {
        self.core.borrow().target_status(self.clock.now())
    }

    /// Whether the state of the target is known and a hello of a balancer has arrived.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let core = self.core.borrow();
        let is_target_state_known = core.target_state() != TargetState::Unknown;
        is_target_state_known && core.balancers().confirmed_by_hello().next().is_some()
    }

    /// Adds the seeds of the reloaded settings.
    pub fn reload_seeds(&self, seeds: &[NodeAddress]) {
        info!(self.logger, "agent: settings reloaded"; "event" => "reloaded",
            "seeds" => seeds.len());
        self.core
            .borrow_mut()
            .add_listed_balancers(seeds, self.clock.now());
    }

    /// Applies the lifetime of flows of the reloaded settings.
    pub fn reload_flow_lifetime(&self, flow_lifetime: Duration) {
        self.core.borrow_mut().set_flow_lifetime(flow_lifetime);
    }

    fn start_receiving(self: &Rc<Self>) {
        let node = Rc::clone(self);
        spawn_local(async move {
            let handle = |from, datagram: &mut [u8]| node.handle_peer_datagram(from, datagram);
            node.peers.receive(&node.logger, handle).await;
        });
        let node = Rc::clone(self);
        spawn_local(async move {
            let handle = |_, packet: &mut [u8]| node.handle_target_packet(packet);
            datagram_socket::receive(&node.outbound_socket, "outbound", &node.logger, handle).await;
        });
    }

    fn handle_peer_datagram(self: &Rc<Self>, from: NodeAddress, datagram: &[u8]) {
        match self.peers.decode(datagram) {
            Ok((PeerMessage::Forward(header), packet)) => {
                self.handle_forwarded_packet(from, &header, packet)
            }
            Ok((message, _)) => {
                self.run_core(|core, now, actions| {
                    core.handle_message(from, &message, now, actions)
                });
            }
            // `decode` has counted the datagram as unreadable.
            Err(_) => {}
        }
    }

    fn count_refused_packet(&self) {
        self.refused_packets.set(self.refused_packets.get() + 1);
    }

    fn handle_forwarded_packet(
        self: &Rc<Self>,
        from: NodeAddress,
        header: &ForwardHeader,
        bytes: &[u8],
    ) {
        let Ok(packet) = self.codec.decode_from_caller(bytes) else {
            return self.count_refused_packet();
        };
        let now = self.clock.now();
        let delivery = self
            .core
            .borrow_mut()
            .handle_forwarded_packet(from, header, &packet, bytes, now);
        match delivery {
            ForwardDecision::Deliver {
                reply,
                begins_request,
            } => {
                self.send_to_target(from, bytes.to_vec());
                if let Some(message) = reply {
                    self.peers.send(&message, &[], from);
                }
                if begins_request {
                    self.log_request(&packet.key, bytes);
                }
            }
            ForwardDecision::Queued(message) => {
                self.peers.send(&message, &[], from);
            }
            ForwardDecision::Reply(message, body) => {
                let body = match body {
                    ReplyBody::Packet => bytes,
                    ReplyBody::Empty => &[],
                };
                self.peers.send(&message, body, from);
            }
            ForwardDecision::NoReply => {}
        }
        self.run_core(|core, now, actions| core.dispatch_queued(now, actions));
    }

    /// Logs a request that was delivered to the target.
    fn log_request(&self, key: &FlowKey, bytes: &[u8]) {
        if let Some(id) = self.codec.request_id(bytes) {
            let busy = self.core.borrow().load().busy;
            let now = self.clock.now();
            let mut decision_log = self.decision_log.borrow_mut();
            decision_log.log_delivered_request(&key.to_string(), id, busy, now);
        }
    }

    /// Sends a packet to the target. The packet is marked with the address of `balancer`;
    /// a packet that the target returns still contains the mark.
    fn send_to_target(&self, balancer: NodeAddress, mut packet: Vec<u8>) {
        self.codec.mark_for_target(&mut packet, *balancer.ip());
        datagram_socket::send(&self.outbound_socket, &packet, self.config.target_address);
    }

    fn handle_target_packet(self: &Rc<Self>, bytes: &mut [u8]) {
        let Ok(decoded) = self.codec.decode_from_target(bytes) else {
            return self.count_refused_packet();
        };
        let now = self.clock.now();
        let peer_port = self.config.peer_address.port();
        let returned_to = decoded
            .returned_to
            .map(|machine| SocketAddrV4::new(machine, peer_port));
        if decoded.packet.payload_length > 0
            && returned_to.is_none()
            && let Some(kind) = self.codec.answer_kind(bytes)
        {
            let mut core = self.core.borrow_mut();
            core.record_answer_start(&decoded.packet.key, kind, now);
        }
        let departure =
            self.core
                .borrow_mut()
                .handle_target_packet(&decoded.packet, returned_to, now);
        self.codec.clear_marks(bytes);
        match departure {
            TargetPacketDecision::ToCaller(reply) => {
                let caller = decoded.packet.key.caller;
                let to = SocketAddrV4::new(*caller.ip(), self.config.caller_port);
                datagram_socket::send(&self.outbound_socket, bytes, to);
                if let Some((balancer, message)) = reply {
                    self.peers.send(&message, &[], balancer);
                }
            }
            TargetPacketDecision::Returned { to, message, body } => {
                let body: &[u8] = match body {
                    ReplyBody::Packet => bytes,
                    ReplyBody::Empty => &[],
                };
                self.peers.send(&message, body, to);
            }
        }
        self.run_core(|core, now, actions| core.dispatch_queued(now, actions));
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
            self.peers.log_totals("agent", &self.logger);
            self.store_stats.log_calls("agent", &self.logger);
        }
    }

    fn write_log_events(&self) {
        let (events, dropped) = self.core.borrow_mut().take_log_events();
        let now = self.clock.now();
        for event in &events {
            match event {
                LogEvent::RequestAnswered { service_time, .. } => {
                    self.service_times.borrow_mut().record(*service_time);
                }
                LogEvent::WorkDelivered { waited, .. } => {
                    self.queue_waits.borrow_mut().record(*waited);
                }
                _ => {}
            }
        }
        self.decision_log.borrow_mut().write(events, dropped, now);
    }

    /// Calls `decide` on the core and executes the actions that the core adds.
    fn run_core(self: &Rc<Self>, decide: impl FnOnce(&mut Agent, Instant, &mut Vec<AgentAction>)) {
        let mut actions = Vec::new();
        decide(&mut self.core.borrow_mut(), self.clock.now(), &mut actions);
        for action in actions {
            self.execute(action);
        }
        self.tick_timer
            .bring_forward(self.core.borrow().tick_interval());
    }

    fn execute(self: &Rc<Self>, action: AgentAction) {
        match action {
            AgentAction::Send { to, message } => {
                self.peers.send(&message, &[], to);
            }
            AgentAction::Deliver {
                balancer,
                packet,
                begins_request,
            } => {
                if let Some(key) = begins_request {
                    self.log_request(&key, &packet);
                }
                self.send_to_target(balancer, packet);
            }
            AgentAction::Return {
                to,
                message,
                packet,
            } => self.peers.send(&message, &packet, to),
            AgentAction::FetchSnapshot { from, request } => {
                let node = Rc::clone(self);
                spawn_local(async move {
                    let fetched = snapshot_exchange::fetch(from, request).await;
                    let now = node.clock.now();
                    let mut core = node.core.borrow_mut();
                    match fetched {
                        Ok(snapshot) => core.apply_snapshot(from, snapshot, now),
                        Err(_) => core.handle_snapshot_failure(from),
                    }
                });
            }
        }
    }
}
