//! An agent as a process.
//!
//! # Lifecycle
//! [`AgentNode::new`] opens its sockets; [`AgentNode::run`] starts the tasks
//! and returns when a planned stop has ended, which is short because the
//! target has ended before.

mod figures;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use rand::random;
use slog::{Logger, info};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use woodladder_core::clock::Instant;
use woodladder_core::flow::agent::{
    Agent, AgentAction, AgentOptions, ForwardDecision, Heartbeat, HeartbeatError, ListenState,
    ReplyBody, TargetPacketDecision, WarmUpBounds,
};
use woodladder_core::flow::identity::{FlowKey, Incarnation, NodeAddress, ServiceKey, ZoneKey};
use woodladder_core::flow::log_event::LogEvent;
use woodladder_core::flow::message::{ForwardHeader, PeerMessage, TargetState};
use woodladder_core::flow::store_session::BalancerDiscovery;

use crate::carrier::Carrier;
use crate::decision_log::DecisionLog;
use crate::metrics::LatencyHistogram;
use crate::node_clock::NodeClock;
use crate::peer_link::{MESSAGES_LOGGED_EVERY, PeerLink};
use crate::peer_socket;
use crate::snapshot_exchange;
use crate::store::{self, Store, StoreContact};
use crate::tick_timer::TickTimer;

/// Most flows in the table.
const FLOW_CAPACITY: usize = 100_000;
/// Time between two looks whether the target listens.
const PRESENCE_INTERVAL: Duration = Duration::from_millis(300);
/// Longest time of one such look.
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that a stopping agent still forwards.
const STOP_DRAIN: Duration = Duration::from_millis(300);

/// Settings of an agent's process.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// Address that other nodes reach it at, by datagrams and streams.
    pub peer_address: SocketAddrV4,
    /// Address that the sockets for other nodes are bound to.
    pub peer_bind: SocketAddrV4,
    /// Address that the target sends its packets to.
    pub outbound_address: SocketAddrV4,
    /// Address that the target takes packets at.
    pub target_address: SocketAddrV4,
    /// Port that callers take packets at.
    pub caller_port: u16,
    /// Zone of the machine.
    pub zone: ZoneKey,
    /// Service of the target.
    pub service: ServiceKey,
    /// Balancers to report to before any is known.
    pub seeds: Vec<NodeAddress>,
    /// Least time that a flow at rest is remembered.
    pub flow_retention: Duration,
    /// Longest life of a flow.
    pub flow_lifetime: Duration,
    /// What cold targets may be handed; `None` for no limit.
    pub warm_up: Option<WarmUpBounds>,
}

/// What the tasks of an agent share.
pub struct AgentNode<C> {
    core: RefCell<Agent>,
    carrier: C,
    config: AgentConfig,
    clock: NodeClock,
    peers: PeerLink,
    outbound: UdpSocket,
    decisions: RefCell<DecisionLog>,
    timer: TickTimer,
    logger: Logger,
    refused_packets: Cell<u64>,
    service_times: RefCell<LatencyHistogram>,
    queue_waits: RefCell<LatencyHistogram>,
    contact: Rc<StoreContact>,
}

impl<C: Carrier + 'static> AgentNode<C> {
    /// Opens the sockets.
    ///
    /// # Errors
    /// The system's error.
    pub fn new(config: AgentConfig, carrier: C, logger: Logger) -> io::Result<Rc<Self>> {
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
        };
        Ok(Rc::new(Self {
            core: RefCell::new(Agent::new(options, clock.now())),
            carrier,
            clock,
            peers: PeerLink::open(config.peer_bind)?,
            outbound: peer_socket::open(config.outbound_address)?,
            decisions: RefCell::new(DecisionLog::new(logger.clone())),
            timer: TickTimer::default(),
            logger,
            refused_packets: Cell::new(0),
            service_times: RefCell::new(LatencyHistogram::default()),
            queue_waits: RefCell::new(LatencyHistogram::default()),
            contact: Rc::new(StoreContact::default()),
            config,
        }))
    }

    /// Runs until a planned stop has ended.
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
            node.core.borrow().answer_snapshot(request)
        }));
        let now = self.clock.now();
        self.core
            .borrow_mut()
            .add_listed_balancers(&self.config.seeds, now);
        self.start_receiving();
        spawn_local(Rc::clone(&self).tick());
        spawn_local(Rc::clone(&self).log_messages());
        spawn_local(Rc::clone(&self).ask_for_presence());
        let node = Rc::clone(&self);
        let hearing = Rc::clone(&self);
        spawn_local(store::list_balancers(
            store(),
            BalancerDiscovery::with_initial_delay(random(), now),
            self.clock,
            Rc::clone(&self.contact),
            move || hearing.core.borrow().list_need(hearing.clock.now()),
            move |balancers| {
                node.core
                    .borrow_mut()
                    .add_listed_balancers(balancers, node.clock.now())
            },
        ));
        stop.notified().await;
        info!(self.logger, "agent: stopping as planned"; "event" => "stopping");
        self.core.borrow_mut().begin_shutdown();
        self.act(|core, now, actions| core.tick(now, actions));
        sleep(STOP_DRAIN).await;
        if self.look_for_target().await == ListenState::NotListening {
            self.act(|core, _, actions| core.announce_target_end(actions));
        }
        self.peers.log("agent", &self.logger);
        info!(self.logger, "agent: stopped"; "event" => "stopped");
        Ok(())
    }

    /// Takes a heartbeat of the target in and tells the balancers of a change
    /// before it returns.
    ///
    /// # Errors
    /// [`HeartbeatError`] when it is not taken; nothing has changed.
    pub fn heartbeat(self: &Rc<Self>, beat: &Heartbeat) -> Result<(), HeartbeatError> {
        let now = self.clock.now();
        self.core.borrow_mut().handle_heartbeat(beat, now)?;
        self.act(|core, now, actions| core.tick(now, actions));
        Ok(())
    }

    /// The target says that it is gone.
    pub fn deregister(self: &Rc<Self>, incarnation: Incarnation) {
        self.core.borrow_mut().handle_deregistration(incarnation);
        self.act(|core, now, actions| core.tick(now, actions));
    }

    /// Whether the agent knows its target and a balancer.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let core = self.core.borrow();
        let knows_target = core.target_state() != TargetState::Unknown;
        knows_target && core.balancers().confirmed_by_hello().next().is_some()
    }

    /// Takes changed settings in; addresses stay as they are.
    pub fn reload(&self, seeds: &[NodeAddress]) {
        info!(self.logger, "agent: settings read again"; "event" => "reloaded",
            "seeds" => seeds.len());
        self.core
            .borrow_mut()
            .add_listed_balancers(seeds, self.clock.now());
    }

    fn start_receiving(self: &Rc<Self>) {
        let node = Rc::clone(self);
        spawn_local(async move {
            let handle = |from, datagram: &mut [u8]| node.peer_datagram(from, datagram);
            node.peers.receive(&node.logger, handle).await;
        });
        let node = Rc::clone(self);
        spawn_local(async move {
            let handle = |_, packet: &mut [u8]| node.target_packet(packet);
            peer_socket::receive(&node.outbound, "outbound", &node.logger, handle).await;
        });
    }

    fn peer_datagram(self: &Rc<Self>, from: NodeAddress, datagram: &[u8]) {
        match self.peers.read(datagram) {
            Ok((PeerMessage::Forward(header), packet)) => self.forwarded(from, &header, packet),
            Ok((message, _)) => {
                self.act(|core, now, actions| core.handle_message(from, &message, now, actions));
            }
            // Counted by the link.
            Err(_) => {}
        }
    }

    fn refuse_packet(&self) {
        self.refused_packets.set(self.refused_packets.get() + 1);
    }

    fn forwarded(self: &Rc<Self>, from: NodeAddress, header: &ForwardHeader, bytes: &[u8]) {
        let Ok(packet) = self.carrier.read_from_caller(bytes) else {
            return self.refuse_packet();
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
                self.hand_over(from, bytes.to_vec());
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
            ForwardDecision::Drop => {}
        }
        self.act(|core, now, actions| core.dispatch_queued(now, actions));
    }

    /// Logs that a request has reached the target.
    fn log_request(&self, key: &FlowKey, bytes: &[u8]) {
        if let Some(id) = self.carrier.request_id(bytes) {
            let busy = self.core.borrow().load().busy;
            let now = self.clock.now();
            let mut decisions = self.decisions.borrow_mut();
            decisions.request(&key.to_string(), id, busy, now);
        }
    }

    /// Sends a packet to the target, marked so that its return names `balancer`.
    fn hand_over(&self, balancer: NodeAddress, mut packet: Vec<u8>) {
        self.carrier.mark(&mut packet, *balancer.ip());
        peer_socket::send(&self.outbound, &packet, self.config.target_address);
    }

    fn target_packet(self: &Rc<Self>, bytes: &mut [u8]) {
        let Ok(read) = self.carrier.read_from_target(bytes) else {
            return self.refuse_packet();
        };
        let now = self.clock.now();
        let peer_port = self.config.peer_address.port();
        let returned_to = read
            .returned_to
            .map(|machine| SocketAddrV4::new(machine, peer_port));
        if read.packet.payload_length > 0
            && returned_to.is_none()
            && let Some(kind) = self.carrier.answer_kind(bytes)
        {
            let mut core = self.core.borrow_mut();
            core.record_answer_start(&read.packet.key, kind, now);
        }
        let departure = self
            .core
            .borrow_mut()
            .handle_target_packet(&read.packet, returned_to, now);
        self.carrier.clear_marks(bytes);
        match departure {
            TargetPacketDecision::ToCaller(tell) => {
                let caller = read.packet.key.caller;
                let to = SocketAddrV4::new(*caller.ip(), self.config.caller_port);
                peer_socket::send(&self.outbound, bytes, to);
                if let Some((balancer, message)) = tell {
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
        self.act(|core, now, actions| core.dispatch_queued(now, actions));
    }

    async fn look_for_target(&self) -> ListenState {
        let connect = TcpStream::connect(self.config.target_address);
        match timeout(PRESENCE_TIMEOUT, connect).await {
            Ok(Ok(_)) => ListenState::Listening,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                ListenState::NotListening
            }
            _ => ListenState::Unknown,
        }
    }

    /// Looks whether the target listens, until there is a sign of it.
    async fn ask_for_presence(self: Rc<Self>) {
        while self.core.borrow().needs_listen_probe() {
            let presence = self.look_for_target().await;
            self.core.borrow_mut().record_listen_state(presence);
            sleep(PRESENCE_INTERVAL).await;
        }
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
            self.peers.log("agent", &self.logger);
            self.contact.log("agent", &self.logger);
        }
    }

    fn write_notes(&self) {
        let (notes, dropped) = self.core.borrow_mut().take_notes();
        let now = self.clock.now();
        for note in &notes {
            match note {
                LogEvent::RequestAnswered { service_time, .. } => {
                    self.service_times.borrow_mut().record(*service_time);
                }
                LogEvent::WorkReleased { waited, .. } => {
                    self.queue_waits.borrow_mut().record(*waited);
                }
                _ => {}
            }
        }
        self.decisions.borrow_mut().write(notes, dropped, now);
    }

    /// Lets the core decide and carries its actions out.
    fn act(self: &Rc<Self>, decide: impl FnOnce(&mut Agent, Instant, &mut Vec<AgentAction>)) {
        let mut actions = Vec::new();
        decide(&mut self.core.borrow_mut(), self.clock.now(), &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        self.timer.shorten(self.core.borrow().tick_interval());
    }

    fn carry_out(self: &Rc<Self>, action: AgentAction) {
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
                self.hand_over(balancer, packet);
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
