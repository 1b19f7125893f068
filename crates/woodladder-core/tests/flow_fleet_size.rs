//! What one node sends and keeps track of beside scripted crowds of other nodes of
//! growing size: its send rates stay bounded, and it forgets no live node.

mod flow_support;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use flow_support::*;
use woodladder_core::flow::agent::{Agent, AgentAction};
use woodladder_core::flow::balancer::{Balancer, BalancerAction, BalancerOptions, STORE_WATCHERS};
use woodladder_core::flow::identity::{NodeAddress, ZoneKey};
use woodladder_core::flow::message::{BalancerHello, PeerMessage, Snapshot, TargetReport};

const LARGE: u32 = 500;
const SMALL: u32 = 120;
/// Number of zones that the balancers of a crowd are spread over.
const ZONES: usize = 5;
/// One in this many balancers of a zone is large.
const BALANCERS_PER_LARGE: usize = 6;
/// Number of agents for every ten balancers.
const AGENTS_PER_TEN_BALANCERS: usize = 22;
/// Time between two ticks, in milliseconds: below the pause that counts as a stall.
const TICK_MS: u64 = 390;

fn balancer_node(index: usize) -> NodeAddress {
    numbered(10, index)
}

fn agent_node(index: usize) -> NodeAddress {
    numbered(11, index)
}

fn numbered(network: u8, index: usize) -> NodeAddress {
    let [_, _, high, low] = u32::try_from(index).expect("index").to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(network, 0, high, low), 7000)
}

fn zone_of(index: usize) -> ZoneKey {
    ZoneKey::named(&format!("zone-{}", index % ZONES))
}

fn capacity_of(index: usize) -> u32 {
    if (index / ZONES).is_multiple_of(BALANCERS_PER_LARGE) {
        LARGE
    } else {
        SMALL
    }
}

fn balancer_at(index: usize) -> Balancer {
    let options = BalancerOptions {
        address: balancer_node(index),
        zone: zone_of(index),
        cpu_millicores: capacity_of(index),
        link_rate_kbps: None,
        flow_capacity: 1000,
        flow_retention: Duration::from_secs(30),
        flow_lifetime: Duration::from_secs(60),
        change_bound: Duration::from_secs(5),
    };
    let mut balancer = Balancer::new(options, at(0));
    balancer.adopt_store_configuration(configuration(1));
    balancer
}

/// A node of the crowd.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum CrowdNode {
    Balancer(usize),
    Agent(usize),
}

impl CrowdNode {
    fn address(self) -> NodeAddress {
        match self {
            Self::Balancer(index) => balancer_node(index),
            Self::Agent(index) => agent_node(index),
        }
    }
}

/// One balancer beside a crowd of nodes that answer its hellos, and send hellos and
/// reports as often as its hellos ask.
struct CrowdWorld {
    balancer: Balancer,
    others: BTreeMap<NodeAddress, CrowdNode>,
    /// When each node of the crowd sends next, in milliseconds.
    due: BinaryHeap<Reverse<(u64, CrowdNode)>>,
    /// The report interval and the time until the next hello that the balancer last
    /// stated to each node, in milliseconds.
    last_stated: BTreeMap<CrowdNode, (u64, u64)>,
    hello_sent_at: BTreeMap<CrowdNode, u64>,
    asked_for_report: BTreeSet<CrowdNode>,
    sequences: BTreeMap<usize, u64>,
    /// Number of messages that the balancer has sent, by kind.
    sent: BTreeMap<&'static str, u64>,
    /// Maximum number of messages that the balancer sent in one tick.
    most_messages_per_tick: usize,
}

impl CrowdWorld {
    /// The balancer with number `own` in a crowd of `balancers`. It has just started,
    /// and the first of the others sends it a snapshot with all nodes.
    fn new(own: usize, balancers: usize) -> Self {
        let agents = balancers * AGENTS_PER_TEN_BALANCERS / 10;
        let crowd = (0..balancers)
            .filter(|index| *index != own)
            .map(CrowdNode::Balancer)
            .chain((0..agents).map(CrowdNode::Agent));
        let others: BTreeMap<NodeAddress, CrowdNode> =
            crowd.map(|other| (other.address(), other)).collect();
        let mut world = Self {
            balancer: balancer_at(own),
            others,
            due: BinaryHeap::new(),
            last_stated: BTreeMap::new(),
            hello_sent_at: BTreeMap::new(),
            asked_for_report: BTreeSet::new(),
            sequences: BTreeMap::new(),
            sent: BTreeMap::new(),
            most_messages_per_tick: 0,
        };
        let snapshot = Snapshot {
            balancers: (0..balancers).map(balancer_node).collect(),
            agents: (0..agents).map(agent_node).collect(),
            knows_all_agents: true,
            ..Snapshot::default()
        };
        let mut actions = Vec::new();
        let first = balancer_node(usize::from(own == 0));
        world
            .balancer
            .handle_snapshot(first, snapshot, at(1), &mut actions);
        world.carry_out(actions, 1);
        world
    }

    fn run(&mut self, from: u64, to: u64) {
        let mut now = from;
        while now < to {
            now += TICK_MS;
            while let Some(Reverse((due, other))) = self.due.peek().copied() {
                if due > now {
                    break;
                }
                self.due.pop();
                self.send(other, due);
            }
            let mut actions = Vec::new();
            self.balancer.tick(at(now), &mut actions);
            self.most_messages_per_tick = self.most_messages_per_tick.max(actions.len());
            self.carry_out(actions, now);
        }
    }

    fn carry_out(&mut self, actions: Vec<BalancerAction>, now: u64) {
        for action in actions {
            let BalancerAction::Send { to, message } = action else {
                continue;
            };
            let other = self.others[&to];
            let kind = match (&message, other) {
                (PeerMessage::Hello(_), CrowdNode::Agent(_)) => "hello to agent",
                (PeerMessage::Hello(_), CrowdNode::Balancer(_)) => "hello to balancer",
                _ => "other",
            };
            *self.sent.entry(kind).or_default() += 1;
            if let PeerMessage::Hello(hello) = message {
                self.check_hello_time(other, now);
                if hello.requests_report {
                    self.asked_for_report.insert(other);
                }
                let report = u64::from(hello.report_interval_ms);
                let last_stated = (report, u64::from(hello.next_hello_within_ms));
                if self.last_stated.insert(other, last_stated).is_none() {
                    self.due.push(Reverse((now + 1, other)));
                }
            }
        }
    }

    /// Checks that the balancer sends an agent the next hello in the time that the last
    /// one stated, because the agent drops a balancer whose hello is late.
    fn check_hello_time(&mut self, other: CrowdNode, now: u64) {
        let last = self.hello_sent_at.insert(other, now);
        if let (CrowdNode::Agent(_), Some(last)) = (other, last) {
            let (_, promised) = self.last_stated[&other];
            let gap = now - last;
            assert!(
                gap <= promised + 4 * TICK_MS,
                "{other:?}: {gap} for {promised}"
            );
        }
    }

    /// Sends a node's next message: an agent reports as often as it was asked to, and a
    /// balancer sends a hello as often as it is sent one.
    fn send(&mut self, other: CrowdNode, now: u64) {
        let (report_interval, next_hello_within) = self.last_stated[&other];
        let (message, next) = match other {
            CrowdNode::Agent(index) => {
                let sequence = self.sequences.entry(index).or_default();
                *sequence += 1;
                let report = TargetReport {
                    zone: zone_of(index),
                    interval_ms: u32::try_from(report_interval).expect("interval"),
                    ..report(1, *sequence)
                };
                (PeerMessage::Report(report), report_interval)
            }
            CrowdNode::Balancer(index) => {
                let hello = BalancerHello {
                    zone: zone_of(index),
                    cpu_millicores: capacity_of(index),
                    link_rate_kbps: None,
                    next_hello_within_ms: u32::try_from(next_hello_within).expect("time"),
                    ..peer_hello()
                };
                (PeerMessage::Hello(hello), next_hello_within)
            }
        };
        self.due.push(Reverse((now + next, other)));
        let mut actions = Vec::new();
        let from = other.address();
        self.balancer
            .handle_message(from, message, None, at(now), &mut actions);
        self.carry_out(actions, now);
    }

    fn rate(&self, kind: &str, seconds: u64) -> u64 {
        self.sent.get(kind).copied().unwrap_or(0) / seconds
    }
}

/// A large and a small balancer beside a crowd, long after the start, with their CPU
/// and the time reached.
fn settled(balancers: usize) -> impl Iterator<Item = (u32, CrowdWorld, u64)> {
    // The balancer with number 0 is large; the one whose number equals the count of
    // zones is small.
    [0, ZONES].into_iter().map(move |own| {
        let mut world = CrowdWorld::new(own, balancers);
        let settled_at = 30_000 + u64::try_from(balancers).expect("count") * 25;
        world.run(0, settled_at);
        (capacity_of(own), world, settled_at)
    })
}

#[test]
fn the_send_rate_of_a_balancer_is_bounded_at_any_size() {
    for balancers in [100, 1000, 4000] {
        for (capacity, mut world, settled_at) in settled(balancers) {
            world.sent.clear();
            world.run(settled_at, settled_at + 20_000);
            let to_agents = world.rate("hello to agent", 20);
            let to_balancers = world.rate("hello to balancer", 20);
            let other = world.rate("other", 20);
            let rates = format!("{balancers}, {capacity}: {to_agents} {to_balancers} {other}");
            assert!(to_agents <= 100, "{rates}");
            let to_relaying = if capacity == LARGE { 400 } else { 0 };
            assert!(to_balancers <= 70 + to_relaying, "{rates}");
            assert_eq!(other, 0, "{rates}");
        }
    }
}

#[test]
fn no_live_node_is_forgotten_at_any_size() {
    for balancers in [100, 1000] {
        for (capacity, mut world, settled_at) in settled(balancers) {
            let agents = balancers * AGENTS_PER_TEN_BALANCERS / 10;
            for minute in 0..3 {
                let from = settled_at + minute * 60_000;
                world.run(from, from + 60_000);
                let known = world.balancer.peers().len();
                assert_eq!(known, balancers - 1, "{capacity}, minute {minute}");
                let counted = world
                    .balancer
                    .peers()
                    .heard_recently(at(from + 60_000))
                    .count();
                assert_eq!(counted, balancers - 1, "{capacity}, minute {minute}");
                let known = world.balancer.directory().len();
                assert_eq!(known, agents, "{capacity}, minute {minute}");
            }
        }
    }
}

#[test]
fn a_start_does_not_send_a_hello_to_a_whole_fleet_of_agents_at_once() {
    for (own, most) in [(0, 70), (ZONES, 25)] {
        let mut world = CrowdWorld::new(own, 1000);
        let first = world.sent.get("hello to agent").copied();
        assert!(first.is_some_and(|sent| sent <= most), "{first:?}");
        world.run(0, 60_000);
        assert_eq!(world.balancer.directory().len(), 2200);
    }
}

#[test]
fn the_last_balancer_takes_over_from_silent_watchers_in_a_time_that_grows_slowly() {
    for (balancers, most) in [(100, 7_000), (1000, 9_000), (4000, 11_000)] {
        let watching = |now: u64| {
            (0..balancers)
                .step_by(balancers / 20)
                .filter(|own| {
                    let mut balancer = balancer_at(*own);
                    for other in (0..balancers).filter(|other| other != own) {
                        let message = PeerMessage::Hello(peer_hello());
                        let from = balancer_node(other);
                        let mut actions = Vec::new();
                        balancer.handle_message(from, message, None, at(10_000), &mut actions);
                    }
                    balancer.record_store_confirmation(at(10_000));
                    balancer.watches_store(at(now))
                })
                .count()
        };
        assert!(watching(10_100) <= STORE_WATCHERS, "{balancers}");
        assert_eq!(watching(10_000 + most), 20, "{balancers}");
    }
}

/// Agents that already knew the balancer before its restart would send their next
/// report only when due, up to a minute later. Until then, a flow at one of them would
/// count as held nowhere.
#[test]
fn a_restarted_balancer_gets_reports_at_once() {
    let mut world = CrowdWorld::new(0, 1000);
    let asks = |message: &PeerMessage| match message {
        PeerMessage::Hello(hello) => hello.requests_report,
        _ => false,
    };
    world.run(0, 20_000);
    let asked = &world.asked_for_report;
    assert_eq!(asked.len(), 2200, "each agent is asked");
    let mut actions = Vec::new();
    let again = agent_node(5);
    world.balancer.handle_message(
        again,
        PeerMessage::Report(report(1, 1_000_000)),
        None,
        at(20_001),
        &mut actions,
    );
    let sends_request = actions
        .iter()
        .any(|action| matches!(action, BalancerAction::Send { message, .. } if asks(message)));
    assert!(!sends_request, "one that is known is not asked");

    let mut agent = agent();
    let mut reports = |requests_report, now| {
        let hello = BalancerHello {
            report_interval_ms: 30_000,
            requests_report,
            ..peer_hello()
        };
        let mut actions = Vec::new();
        agent.handle_message(node(1), &PeerMessage::Hello(hello), at(now), &mut actions);
        let is_report = |action: &&AgentAction| {
            matches!(
                action,
                AgentAction::Send {
                    message: PeerMessage::Report(_),
                    ..
                }
            )
        };
        actions.iter().filter(is_report).count()
    };
    assert_eq!(reports(false, 10), 1, "a balancer that is new to it");
    assert_eq!(reports(false, 500), 0);
    assert_eq!(reports(true, 600), 1);
}

/// The balancers that the settings name may start shortly after the agent.
#[test]
fn an_agent_reports_often_to_the_balancers_of_its_settings() {
    let mut agent = agent();
    agent.add_listed_balancers(&[node(1), node(2), node(3)], at(0));
    let mut reports = 0;
    for now in (0..400).step_by(25) {
        let mut actions = Vec::new();
        agent.tick(at(now), &mut actions);
        reports += actions.len();
    }
    assert_eq!(reports, 3 * 4);
}

/// An agent that many balancers have sent one hello, asking for the report interval of
/// a fleet of their size.
#[test]
fn the_report_rate_of_an_agent_is_bounded_at_any_size() {
    for balancers in [100_u32, 1000, 4000] {
        let mut agent: Agent = agent();
        let interval = balancers * 22 / 10 * 24;
        for index in 0..balancers {
            let hello = BalancerHello {
                report_interval_ms: interval,
                next_hello_within_ms: interval * 4,
                ..peer_hello()
            };
            let from = balancer_node(usize::try_from(index).expect("index"));
            agent.handle_message(from, &PeerMessage::Hello(hello), at(10), &mut Vec::new());
        }
        let mut reports = 0;
        let seconds = 2 * u64::from(interval) / 1000 + 60;
        for now in (0..seconds * 1000).step_by(100) {
            let mut actions = Vec::new();
            agent.tick(at(1000 + now), &mut actions);
            let sent = |action: &&AgentAction| matches!(action, AgentAction::Send { .. });
            reports += actions.iter().filter(sent).count();
        }
        let rate = reports / usize::try_from(seconds).expect("time");
        assert!(rate <= 84, "{balancers}: {rate} a second");
        assert_eq!(
            agent.balancers().len(),
            usize::try_from(balancers).expect("count")
        );
    }
}
