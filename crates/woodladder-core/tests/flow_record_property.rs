//! In no course of events does a record lead to the reset of a flow whose target
//! lives: targets, agents and balancer restart alone or together, messages are
//! late, lost and overtake each other, also those of earlier starts, writes of the
//! record come late, and targets take flows before their first heartbeat.

mod flow_support;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use flow_support::*;
use proptest::prelude::*;
use woodladder_core::flow::agent::{
    Agent, AgentAction, AgentOptions, ForwardDecision, ListenState, TargetPacketDecision,
};
use woodladder_core::flow::balancer::{Balancer, BalancerAction, Routing};
use woodladder_core::flow::configuration::{Configuration, RouteTerms};
use woodladder_core::flow::flow_record::FlowRecord;
use woodladder_core::flow::identity::{FlowKey, ZoneKey};
use woodladder_core::flow::message::PeerMessage;
use woodladder_core::flow::packet::{FlowPacket, PacketKind};
use woodladder_core::flow::store_session::{NextCall, StoreCall, StoreReply};

/// Machine of the only agent, as [`empty_agent`] has it.
const AGENT: u8 = 9;
/// Farthest that the number of a reset may lie from the caller's last acknowledgement.
const RESET_WINDOW: u32 = 76_800;

#[derive(Clone, Debug)]
enum Event {
    Pass(u64),
    Open(u16),
    Use(u16),
    Beat,
    LateBeat,
    Report,
    Tick,
    Write,
    LateWrite,
    Deliver(usize),
    Lose(usize),
    TargetRestarts,
    AgentRestarts(bool),
    BalancerRestarts,
    PowerFails,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1_u64..900).prop_map(Event::Pass),
        4 => (1_u16..6).prop_map(Event::Open),
        2 => (1_u16..6).prop_map(Event::Use),
        4 => Just(Event::Beat),
        1 => Just(Event::LateBeat),
        4 => Just(Event::Report),
        2 => Just(Event::Tick),
        4 => Just(Event::Write),
        1 => Just(Event::LateWrite),
        8 => (0_usize..4).prop_map(Event::Deliver),
        1 => (0_usize..4).prop_map(Event::Lose),
        1 => Just(Event::TargetRestarts),
        1 => any::<bool>().prop_map(Event::AgentRestarts),
        2 => Just(Event::BalancerRestarts),
        1 => Just(Event::PowerFails),
    ]
}

/// The target: what it holds, and what it has said of itself.
#[derive(Default)]
struct Target {
    incarnation: u64,
    sequence: u64,
    /// Whether the agent's process has had a heartbeat of it.
    is_heard: bool,
    /// The incarnation before, when the agent's process knows it, and its last number.
    former: Option<(u64, u64)>,
    /// The flows that it holds, with the latest packet of each.
    held: HashMap<FlowKey, FlowPacket>,
}

struct World {
    now: u64,
    balancer: Balancer,
    agent: Agent,
    epoch: u64,
    target: Target,
    to_balancer: Vec<PeerMessage>,
    to_agent: Vec<PeerMessage>,
    /// What the store holds, with its revision.
    stored: (Option<Vec<u8>>, u64),
    /// A write that has not arrived: the revision it expects, and the record.
    late_write: Option<(u64, Vec<u8>)>,
    opened: u32,
    /// Flows reset so far because of the record, by this life of the balancer.
    denied: u64,
    resets: u64,
}

fn impatient() -> Arc<Configuration> {
    let mut configuration = (*configuration(1)).clone();
    for route in &mut configuration.routes {
        route.terms = RouteTerms {
            timeout_ms: 1500,
            ..RouteTerms::default()
        };
    }
    Arc::new(configuration)
}

fn new_agent(epoch: u64, now: u64) -> Agent {
    let options = AgentOptions {
        address: node(AGENT),
        zone: ZoneKey::named("a"),
        service: main_service(),
        epoch,
        flow_capacity: 1000,
        flow_retention: Duration::from_secs(30),
        flow_lifetime: Duration::from_secs(60),
        warm_up: None,
    };
    let mut agent = Agent::new(options, at(now));
    agent.record_listen_state(ListenState::Listening);
    agent.add_listed_balancers(&[node(1)], at(now));
    agent
}

/// Whether the caller of a flow with this latest packet takes a reset with a number. A
/// later flow from the same port has numbers of its own, and takes none of the former's.
fn accepts(last: &FlowPacket, sequence: u32) -> bool {
    let ahead = sequence.wrapping_sub(last.acknowledgement);
    let behind = last.acknowledgement.wrapping_sub(sequence);
    ahead.min(behind) <= RESET_WINDOW
}

impl World {
    fn new() -> Self {
        let now = 1000;
        let mut balancer = empty_balancer();
        balancer.adopt_store_configuration(impatient());
        Self {
            now,
            balancer,
            agent: new_agent(1, now),
            epoch: 1,
            target: Target {
                incarnation: 1,
                ..Target::default()
            },
            to_balancer: Vec::new(),
            to_agent: Vec::new(),
            stored: (None, 0),
            late_write: None,
            opened: 0,
            denied: 0,
            resets: 0,
        }
    }

    fn happen(&mut self, event: &Event) {
        match event {
            Event::Pass(time) => self.now += time,
            Event::Open(port) => self.open(flow(*port)),
            Event::Use(port) => self.use_flow(flow(*port)),
            Event::Beat => {
                self.target.sequence += 1;
                self.target.is_heard = true;
                self.beat(self.target.incarnation, self.target.sequence);
            }
            Event::LateBeat => self.late_beat(),
            Event::Report => {
                let mut actions = Vec::new();
                self.agent
                    .handle_message(node(1), &PeerMessage::Probe, at(self.now), &mut actions);
                self.sent_by_agent(actions);
            }
            Event::Tick => {
                let mut actions = Vec::new();
                self.balancer.tick(at(self.now), &mut actions);
                self.sent_by_balancer(actions);
            }
            Event::Write => self.write(),
            Event::LateWrite => {
                if let Some((revision, bytes)) = self.late_write.take() {
                    self.store(revision, bytes);
                }
            }
            Event::Deliver(index) => self.deliver(*index),
            Event::Lose(index) => {
                if *index < self.to_balancer.len() {
                    self.to_balancer.remove(*index);
                }
            }
            Event::TargetRestarts => self.restart_target(),
            Event::AgentRestarts(was_absent) => self.restart_agent(*was_absent),
            Event::BalancerRestarts => self.restart_balancer(),
            Event::PowerFails => {
                self.restart_target();
                self.restart_agent(false);
                self.restart_balancer();
            }
        }
    }

    /// The whole handshake of a flow, without losses, when the balancer knows the agent.
    fn open(&mut self, key: FlowKey) {
        if self.target.held.contains_key(&key) {
            return;
        }
        self.opened += 1;
        let first = self.opened.wrapping_mul(0x9E37_79B9);
        let opening = packet(key, PacketKind::Open, first, 0, 0);
        let Routing::One { header, .. } =
            deliver_caller_packet(&mut self.balancer, &opening, at(self.now))
        else {
            return;
        };
        if !is_delivered(&forward_to(
            &mut self.agent,
            &header,
            &opening,
            at(self.now),
        )) {
            return;
        }
        self.now += 1;
        let answer = first.wrapping_mul(31);
        let accept = packet(key, PacketKind::Accept, answer, first.wrapping_add(1), 0);
        let departure = self.agent.handle_target_packet(&accept, None, at(self.now));
        let TargetPacketDecision::ToCaller(Some((_, accepted))) = departure else {
            return;
        };
        self.tell_balancer(accepted);
        self.now += 1;
        let data = data(key, first.wrapping_add(1), answer.wrapping_add(1));
        self.caller_sends(&data);
    }

    fn use_flow(&mut self, key: FlowKey) {
        if let Some(last) = self.target.held.get(&key) {
            let next = last.sequence.wrapping_add(last.payload_length.into());
            let packet = data(key, next, last.acknowledgement.wrapping_add(600));
            self.caller_sends(&packet);
        }
    }

    /// A packet goes through balancer and agent, and the target takes or returns it.
    fn caller_sends(&mut self, packet: &FlowPacket) {
        let routing = deliver_caller_packet(&mut self.balancer, packet, at(self.now));
        let receivers = match routing {
            Routing::One { header, .. } => vec![header],
            Routing::Several(list) => list.into_iter().map(|(_, header)| header).collect(),
            _ => Vec::new(),
        };
        for header in receivers {
            let delivery = forward_to(&mut self.agent, &header, packet, at(self.now));
            match delivery {
                ForwardDecision::Deliver { reply, .. } => {
                    // A target that answered an opening holds the flow from now on.
                    self.target.held.insert(packet.key, *packet);
                    self.to_balancer.extend(reply);
                }
                ForwardDecision::Reply(message, _) => self.to_balancer.push(message),
                ForwardDecision::Queued(_) | ForwardDecision::Drop => {}
            }
        }
    }

    fn beat(&mut self, incarnation: u64, sequence: u64) {
        let beat = heartbeat(incarnation, sequence);
        // A late one of an earlier incarnation is refused, which is its end.
        let _taken = self.agent.handle_heartbeat(&beat, at(self.now));
    }

    /// The last call of the incarnation before, to the agent that ran then, is taken now.
    fn late_beat(&mut self) {
        if let Some((incarnation, sequence)) = self.target.former.take() {
            self.beat(incarnation, sequence + 1);
        }
    }

    fn restart_target(&mut self) {
        let former = (self.target.incarnation, self.target.sequence);
        self.target = Target {
            incarnation: former.0 + 1,
            sequence: 1,
            is_heard: false,
            former: self.target.is_heard.then_some(former),
            held: HashMap::new(),
        };
    }

    fn restart_agent(&mut self, was_absent: bool) {
        self.epoch += 1;
        // A call to the process before has ended with its connection.
        self.target.former = None;
        self.target.is_heard = false;
        self.agent = new_agent(self.epoch, self.now);
        if was_absent && self.target.held.is_empty() {
            self.agent.record_listen_state(ListenState::NotListening);
        }
    }

    fn restart_balancer(&mut self) {
        self.now += 30;
        self.denied = 0;
        self.balancer = empty_balancer();
        self.balancer.adopt_store_configuration(impatient());
        let call = self.balancer.next_record_call(self.now, at(self.now));
        assert_eq!(call, NextCall::Now(StoreCall::ReadFlowRecord));
        let (value, revision) = self.stored.clone();
        let mut actions = Vec::new();
        let reply = StoreReply::FlowRecord { value, revision };
        self.balancer
            .handle_record_reply(reply, self.now, at(self.now), &mut actions);
        self.sent_by_balancer(actions);
        let mut actions = Vec::new();
        self.balancer.tick(at(self.now), &mut actions);
        self.sent_by_balancer(actions);
    }

    /// The balancer writes what it knows; one write in flight may come late.
    fn write(&mut self) {
        let record: FlowRecord = self.balancer.flow_record(self.now);
        let bytes = record.encode();
        if self.late_write.is_none() {
            self.late_write = Some((self.stored.1, bytes.clone()));
        }
        self.store(self.stored.1, bytes);
    }

    fn store(&mut self, expected: u64, bytes: Vec<u8>) {
        if self.stored.1 == expected {
            self.stored = (Some(bytes), expected + 1);
        }
    }

    fn deliver(&mut self, index: usize) {
        if index < self.to_agent.len() {
            let message = self.to_agent.remove(index);
            let mut actions = Vec::new();
            self.agent
                .handle_message(node(1), &message, at(self.now), &mut actions);
            self.sent_by_agent(actions);
        }
        if index < self.to_balancer.len() {
            let message = self.to_balancer.remove(index);
            self.tell_balancer(message);
        }
    }

    fn tell_balancer(&mut self, message: PeerMessage) {
        let actions = deliver_message(&mut self.balancer, AGENT, message, at(self.now));
        self.sent_by_balancer(actions);
    }

    fn sent_by_agent(&mut self, actions: Vec<AgentAction>) {
        for action in actions {
            if let AgentAction::Send { message, .. } = action {
                self.to_balancer.push(message);
            }
        }
    }

    fn sent_by_balancer(&mut self, actions: Vec<BalancerAction>) {
        let denied = self.balancer.counters().reset_holder_denied;
        let has_denied = denied > std::mem::replace(&mut self.denied, denied);
        for action in actions {
            match action {
                BalancerAction::Send { message, .. } => self.to_agent.push(message),
                BalancerAction::Reset(reset) if has_denied => {
                    self.resets += 1;
                    let held = self.target.held.get(&reset.key);
                    let is_reset = held.is_some_and(|last| accepts(last, reset.sequence));
                    assert!(!is_reset, "{} is held and was reset", reset.key);
                }
                _ => {}
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(10_000))]
    #[test]
    fn no_course_of_events_resets_a_recorded_flow_whose_target_lives(
        events in prop::collection::vec(event(), 1..120)
    ) {
        let mut world = World::new();
        for event in &events {
            world.happen(event);
        }
    }
}

/// The world does reset flows that are gone: the property is not empty.
#[test]
fn after_a_loss_of_everything_the_recorded_flow_is_reset() {
    let mut world = World::new();
    let before = [
        Event::Beat,
        Event::Report,
        Event::Deliver(0),
        Event::Deliver(0),
        Event::Open(1),
        Event::Beat,
        Event::Beat,
        Event::Report,
    ];
    let after = [Event::Write, Event::PowerFails, Event::Beat, Event::Report];
    let settle = || std::iter::repeat_n(Event::Deliver(0), 20);
    let course: Vec<Event> = before
        .into_iter()
        .chain(settle())
        .chain(after)
        .chain(settle())
        .collect();
    for event in &course {
        world.happen(event);
    }
    assert!(world.target.held.is_empty());
    assert_eq!(world.resets, 1);
}
