//! The small world whose states `flow_gone_exploration` explores.
#![allow(dead_code)]

use super::flow_support::*;
use woodladder_core::flow::agent::{
    Agent, AgentAction, AgentOptions, ForwardDecision, ReplyBody, TargetPacketDecision,
};
use woodladder_core::flow::balancer::{Balancer, BalancerAction, Routing};
use woodladder_core::flow::configuration::Configuration;
use woodladder_core::flow::held_flows::{AnnouncementCoverage, FlowAnnouncement, FlowFingerprint};
use woodladder_core::flow::identity::ZoneKey;
use woodladder_core::flow::message::{ForwardHeader, PeerMessage, Snapshot};
use woodladder_core::flow::packet::{FlowPacket, PacketKind};

/// Machines of the two agents.
const AGENTS: [u8; 2] = [2, 3];
/// Machine of the agent whose target may hold the flow.
pub const HOLDER: u8 = 2;
/// Machine of the other agent.
pub const OTHER: u8 = 3;
/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 130;
/// Ticks in one explored sequence.
pub const TICKS: u32 = 2;

/// A message in transit.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A packet of the flow from the balancer to an agent.
    Packet(u8, ForwardHeader),
    /// Any other message from the balancer to an agent.
    ToAgent(u8, PeerMessage),
    /// A message from an agent to the balancer, and whether the packet follows.
    ToBalancer(u8, PeerMessage, bool),
}

/// The nodes and the messages in transit between them.
#[derive(Clone, Debug)]
pub struct World {
    pub balancer: Balancer,
    pub agents: [Agent; 2],
    pub under_way: Vec<Message>,
    pub now: u64,
    pub ticks_left: u32,
    pub repetitions_left: u32,
    pub losses_left: u32,
    pub restarts_left: u32,
    /// Whether the holder's target holds the flow.
    pub is_held: bool,
    /// Whether the balancer has reset the flow.
    pub was_reset: bool,
    pub reports: u64,
    /// What agents announce about their flows; `None` if they announce nothing.
    pub announcements: Option<FlowAnnouncements>,
}

/// What agents announce about their flows, and whether they claim to know all of them.
#[derive(Clone, Copy, Debug)]
pub struct FlowAnnouncements {
    /// The agent that announces the flow, whether or not its target holds it.
    pub announcer: Option<u8>,
    /// Whether the agents report that they know all flows.
    pub know_all: bool,
}

/// An agent on a machine, in the given epoch.
pub fn agent_on(number: u8, epoch: u64, now: u64) -> Agent {
    let options = AgentOptions {
        address: node(number),
        zone: ZoneKey::named("a"),
        service: main_service(),
        epoch,
        flow_capacity: 10,
        flow_retention: std::time::Duration::from_secs(30),
        flow_lifetime: std::time::Duration::from_secs(60),
        warm_up: None,
        records_leavings: false,
    };
    Agent::new(options, at(now))
}

/// The caller's packet: a request on the open flow.
fn request() -> FlowPacket {
    data(flow(1), 1101, 5001)
}

impl World {
    /// A world in which the holder's target has the flow, or no target has it.
    pub fn new(is_held: bool) -> Self {
        Self::with_announcements(is_held, None)
    }

    /// Like [`Self::new`], with agents that announce their flows.
    pub fn with_announcements(is_held: bool, announcements: Option<FlowAnnouncements>) -> Self {
        let agents = AGENTS.map(|number| {
            let mut agent = agent_on(number, u64::from(number), 0);
            agent
                .handle_heartbeat(&heartbeat(number.into(), 1), at(0))
                .expect("heartbeat");
            agent
        });
        let mut balancer = empty_balancer();
        let mut routes = Configuration::clone(&configuration(1));
        if announcements.is_some() {
            for route in &mut routes.routes {
                route.terms.timeout_ms = 1400;
            }
        }
        balancer.adopt_store_configuration(routes.into());
        let snapshot = Snapshot {
            agents: AGENTS.map(node).to_vec(),
            knows_all_agents: true,
            ..Snapshot::default()
        };
        balancer.handle_snapshot(node(20), snapshot, at(5), &mut Vec::new());
        let mut world = Self {
            balancer,
            agents,
            under_way: Vec::new(),
            now: 10,
            ticks_left: TICKS,
            repetitions_left: 1,
            losses_left: 1,
            restarts_left: 1,
            is_held,
            was_reset: false,
            reports: 0,
            announcements,
        };
        if is_held {
            open_flow_at(&mut world.agents[0], flow(1), at(10));
        }
        world.report_all();
        world.now = 250;
        world.report_all();
        world.caller_sends();
        world
    }

    pub fn index(number: u8) -> usize {
        usize::from(number - AGENTS[0])
    }

    /// Delivers a report of each agent, so that neither ever counts as silent.
    fn report_all(&mut self) {
        self.reports += 1;
        for number in AGENTS {
            let mut target_report = report(number, self.reports);
            target_report.epoch = 100;
            let message = match self.announcements {
                None => PeerMessage::Report(target_report),
                Some(announcements) => {
                    target_report.knows_all_flows = announcements.know_all;
                    let announces = announcements.announcer == Some(number);
                    let open = announces.then(|| FlowFingerprint::of(&flow(1)));
                    let flows = FlowAnnouncement {
                        coverage: AnnouncementCoverage::Complete,
                        base_change: 0,
                        last_change: 0,
                        open: open.into_iter().collect(),
                        closed: Vec::new(),
                    };
                    PeerMessage::ReportWithFlows {
                        report: target_report,
                        flows,
                    }
                }
            };
            let actions = deliver_message(&mut self.balancer, number, message, at(self.now));
            self.apply_actions(actions);
        }
    }

    fn caller_sends(&mut self) {
        match deliver_caller_packet(&mut self.balancer, &request(), at(self.now)) {
            Routing::One { to, header } => self.send_packet(to.ip().octets()[3], header),
            Routing::Several(list) => {
                for (to, header) in list {
                    self.send_packet(to.ip().octets()[3], header);
                }
            }
            Routing::Reset(_) => self.was_reset = true,
            Routing::Relay(_) | Routing::Drop(_) => {}
        }
    }

    fn send_packet(&mut self, agent: u8, header: ForwardHeader) {
        self.send(Message::Packet(agent, header));
    }

    /// Adds a message unless an equal one is in transit already: a duplicate leads to no
    /// other state than a repetition of the first.
    fn send(&mut self, message: Message) {
        if !self.under_way.contains(&message) {
            self.under_way.push(message);
        }
    }

    fn apply_actions(&mut self, actions: Vec<BalancerAction>) {
        for action in actions {
            match action {
                BalancerAction::Send { to, message } => {
                    let number = to.ip().octets()[3];
                    // Hellos and probes do not affect what is checked.
                    if AGENTS.contains(&number) && matches!(message, PeerMessage::Locate { .. }) {
                        self.send(Message::ToAgent(number, message));
                    }
                }
                BalancerAction::Forward { to, header, .. } => {
                    self.send_packet(to.ip().octets()[3], header);
                }
                BalancerAction::Reset(_) => self.was_reset = true,
                BalancerAction::FetchSnapshot { .. } => {}
                BalancerAction::Relay { .. } => panic!("no larger balancer is known"),
            }
        }
    }

    /// Delivers the caller's packet to an agent's target, which answers it or returns it.
    fn deliver_to_target(&mut self, number: u8) {
        let holds = self.is_held && number == HOLDER;
        let now = at(self.now);
        let agent = &mut self.agents[Self::index(number)];
        let departure = if holds {
            let answer = packet(flow(1), PacketKind::Data, 5001, 1201, 50);
            agent.handle_target_packet(&answer, None, now)
        } else {
            agent.handle_target_packet(&request(), Some(node(1)), now)
        };
        match departure {
            TargetPacketDecision::ToCaller(Some((_, message))) => {
                self.send(Message::ToBalancer(number, message, false));
            }
            TargetPacketDecision::ToCaller(None) => {}
            TargetPacketDecision::Returned { message, body, .. } => {
                let follows = body == ReplyBody::Packet;
                self.send(Message::ToBalancer(number, message, follows));
            }
        }
    }

    pub fn deliver(&mut self, message: Message) {
        let now = at(self.now);
        match message {
            Message::Packet(number, header) => {
                let agent = &mut self.agents[Self::index(number)];
                match forward_to(agent, &header, &request(), now) {
                    ForwardDecision::Deliver { reply, .. } => {
                        if let Some(message) = reply {
                            self.send(Message::ToBalancer(number, message, false));
                        }
                        self.deliver_to_target(number);
                    }
                    ForwardDecision::Reply(message, body) => {
                        let follows = body == ReplyBody::Packet;
                        self.send(Message::ToBalancer(number, message, follows));
                    }
                    ForwardDecision::Queued(_) | ForwardDecision::NoReply => {}
                }
            }
            Message::ToAgent(number, message) => {
                let mut actions = Vec::new();
                self.agents[Self::index(number)].handle_message(
                    node(1),
                    &message,
                    now,
                    &mut actions,
                );
                for action in actions {
                    if let AgentAction::Send { message, .. } = action {
                        self.send(Message::ToBalancer(number, message, false));
                    }
                }
            }
            Message::ToBalancer(number, message, follows) => {
                let actions = if follows {
                    deliver_message_with_packet(
                        &mut self.balancer,
                        number,
                        message,
                        &request(),
                        now,
                    )
                } else {
                    deliver_message(&mut self.balancer, number, message, now)
                };
                self.apply_actions(actions);
            }
        }
    }

    pub fn tick(&mut self) {
        self.ticks_left -= 1;
        self.now += TICK_MS;
        self.report_all();
        let mut actions = Vec::new();
        self.balancer.tick(at(self.now), &mut actions);
        self.apply_actions(actions);
    }

    /// Restarts the holder's agent. Its target continues to run and sends a heartbeat.
    pub fn restart_agent(&mut self) {
        self.restarts_left -= 1;
        let mut agent = agent_on(HOLDER, 50, self.now);
        agent
            .handle_heartbeat(&heartbeat(HOLDER.into(), 20), at(self.now))
            .expect("heartbeat");
        self.agents[Self::index(HOLDER)] = agent;
    }

    /// All worlds that can follow this one in one step.
    pub fn next(&self) -> Vec<Self> {
        let mut worlds = Vec::new();
        for index in 0..self.under_way.len() {
            let mut next = self.clone();
            let message = next.under_way.remove(index);
            if next.losses_left > 0 {
                let mut lost = next.clone();
                lost.losses_left -= 1;
                worlds.push(lost);
            }
            next.deliver(message);
            worlds.push(next);
        }
        let mut add = |is_possible: bool, step: fn(&mut Self)| {
            if is_possible {
                let mut next = self.clone();
                step(&mut next);
                worlds.push(next);
            }
        };
        add(self.ticks_left > 0, Self::tick);
        add(self.restarts_left > 0, Self::restart_agent);
        add(self.repetitions_left > 0, |world| {
            world.repetitions_left -= 1;
            world.caller_sends();
        });
        worlds
    }

    /// A hash that identifies the state: the nodes, and the messages in any order.
    pub fn fingerprint(&self) -> u64 {
        let mut under_way: Vec<String> = self
            .under_way
            .iter()
            .map(|message| format!("{message:?}"))
            .collect();
        under_way.sort_unstable();
        let mut machines = (self.balancer.clone(), self.agents.clone());
        machines.0.take_log_events();
        for agent in &mut machines.1 {
            agent.take_log_events();
        }
        let machines = without_counters(&format!("{machines:?}"));
        let text = format!(
            "{machines}{under_way:?}{}{}{}{}{}{}",
            self.now,
            self.ticks_left,
            self.repetitions_left,
            self.losses_left,
            self.restarts_left,
            self.was_reset,
        );
        xxhash_rust::xxh3::xxh3_64(text.as_bytes())
    }
}

/// The debug text of a node without its counters, which influence no decision.
fn without_counters(text: &str) -> String {
    let mut parts = text.split("Counters {");
    let mut kept = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let end = part.find('}').unwrap_or(0);
        kept.push_str(&part[end..]);
    }
    kept
}
