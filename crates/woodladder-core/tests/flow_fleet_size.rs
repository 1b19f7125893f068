//! What one node sends, remembers and believes beside scripted crowds of other
//! nodes of growing size: rates stay bounded, and nobody that lives is forgotten.

mod flow_support;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use flow_support::*;
use woodladder_core::flow::agent::{Agent, AgentAction};
use woodladder_core::flow::balancer::{Balancer, BalancerAction, BalancerOptions, WATCHERS};
use woodladder_core::flow::identity::{NodeAddress, ZoneKey};
use woodladder_core::flow::message::{BalancerHello, PeerMessage, Snapshot, TargetReport};

const LARGE: u32 = 500;
const SMALL: u32 = 120;
/// Zones that the balancers of a crowd are spread over.
const ZONES: usize = 5;
/// One balancer of so many is large.
const LARGE_SHARE: usize = 6;
/// Agents for each balancer, in tenths.
const AGENTS_PER_TEN_BALANCERS: usize = 22;
/// Time between two ticks: below the pause that counts as a stall.
const TICK: u64 = 390;

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
    if (index / ZONES).is_multiple_of(LARGE_SHARE) {
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
    };
    let mut balancer = Balancer::new(options, at(0));
    balancer.adopt_store_configuration(configuration(1));
    balancer
}

/// A node of the crowd.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Other {
    Balancer(usize),
    Agent(usize),
}

impl Other {
    fn address(self) -> NodeAddress {
        match self {
            Self::Balancer(index) => balancer_node(index),
            Self::Agent(index) => agent_node(index),
        }
    }
}

/// One balancer beside a crowd that answers its greetings, and greets and reports
/// as often as it is told.
struct Scene {
    balancer: Balancer,
    others: BTreeMap<NodeAddress, Other>,
    /// When each of the crowd sends next, in milliseconds.
    due: BinaryHeap<Reverse<(u64, Other)>>,
    /// What the balancer last told each: the report interval, and when it greets
    /// again.
    told: BTreeMap<Other, (u64, u64)>,
    greeted_at: BTreeMap<Other, u64>,
    asked_for_report: BTreeSet<Other>,
    sequences: BTreeMap<usize, u64>,
    /// Messages of the balancer since the count began.
    sent: BTreeMap<&'static str, u64>,
    /// Most messages of the balancer between two ticks.
    most_a_tick: usize,
}

impl Scene {
    /// The balancer with number `own` of a crowd of `balancers`, which has just
    /// started and is named all others by the first.
    fn new(own: usize, balancers: usize) -> Self {
        let agents = balancers * AGENTS_PER_TEN_BALANCERS / 10;
        let crowd = (0..balancers)
            .filter(|index| *index != own)
            .map(Other::Balancer)
            .chain((0..agents).map(Other::Agent));
        let others: BTreeMap<NodeAddress, Other> =
            crowd.map(|other| (other.address(), other)).collect();
        let mut scene = Self {
            balancer: balancer_at(own),
            others,
            due: BinaryHeap::new(),
            told: BTreeMap::new(),
            greeted_at: BTreeMap::new(),
            asked_for_report: BTreeSet::new(),
            sequences: BTreeMap::new(),
            sent: BTreeMap::new(),
            most_a_tick: 0,
        };
        let snapshot = Snapshot {
            balancers: (0..balancers).map(balancer_node).collect(),
            agents: (0..agents).map(agent_node).collect(),
            knows_all_agents: true,
            ..Snapshot::default()
        };
        let mut actions = Vec::new();
        let first = balancer_node(usize::from(own == 0));
        scene
            .balancer
            .handle_snapshot(first, snapshot, at(1), &mut actions);
        scene.carry_out(actions, 1);
        scene
    }

    fn run(&mut self, from: u64, to: u64) {
        let mut now = from;
        while now < to {
            now += TICK;
            while let Some(Reverse((due, other))) = self.due.peek().copied() {
                if due > now {
                    break;
                }
                self.due.pop();
                self.send(other, due);
            }
            let mut actions = Vec::new();
            self.balancer.tick(at(now), &mut actions);
            self.most_a_tick = self.most_a_tick.max(actions.len());
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
                (PeerMessage::Hello(_), Other::Agent(_)) => "greeting to agent",
                (PeerMessage::Hello(_), Other::Balancer(_)) => "greeting to balancer",
                _ => "other",
            };
            *self.sent.entry(kind).or_default() += 1;
            if let PeerMessage::Hello(greeting) = message {
                self.judge_promise(other, now);
                if greeting.requests_report {
                    self.asked_for_report.insert(other);
                }
                let report = u64::from(greeting.report_interval_ms);
                let told = (report, u64::from(greeting.next_hello_within_ms));
                if self.told.insert(other, told).is_none() {
                    self.due.push(Reverse((now + 1, other)));
                }
            }
        }
    }

    /// An agent forgets a balancer that greets it later than it has promised.
    fn judge_promise(&mut self, other: Other, now: u64) {
        let last = self.greeted_at.insert(other, now);
        if let (Other::Agent(_), Some(last)) = (other, last) {
            let (_, promised) = self.told[&other];
            let gap = now - last;
            assert!(
                gap <= promised + 4 * TICK,
                "{other:?}: {gap} for {promised}"
            );
        }
    }

    /// The other's next message, at the pace that the balancer asks of it or keeps
    /// itself towards it.
    fn send(&mut self, other: Other, now: u64) {
        let (report_interval, greeted_within) = self.told[&other];
        let (message, next) = match other {
            Other::Agent(index) => {
                let sequence = self.sequences.entry(index).or_default();
                *sequence += 1;
                let report = TargetReport {
                    zone: zone_of(index),
                    interval_ms: u32::try_from(report_interval).expect("interval"),
                    ..report(1, *sequence)
                };
                (PeerMessage::Report(report), report_interval)
            }
            Other::Balancer(index) => {
                let greeting = BalancerHello {
                    zone: zone_of(index),
                    cpu_millicores: capacity_of(index),
                    link_rate_kbps: None,
                    next_hello_within_ms: u32::try_from(greeted_within).expect("time"),
                    ..peer_greeting()
                };
                (PeerMessage::Hello(greeting), greeted_within)
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

/// Large and small balancers beside crowds of each size, long after the start.
fn settled(balancers: usize) -> impl Iterator<Item = (u32, Scene, u64)> {
    // The first is large; the one numbered like the zones is small.
    [0, ZONES].into_iter().map(move |own| {
        let mut scene = Scene::new(own, balancers);
        let settled_at = 30_000 + u64::try_from(balancers).expect("count") * 25;
        scene.run(0, settled_at);
        (capacity_of(own), scene, settled_at)
    })
}

#[test]
fn what_a_balancer_sends_is_bounded_at_any_size() {
    for balancers in [100, 1000, 4000] {
        for (capacity, mut scene, settled_at) in settled(balancers) {
            scene.sent.clear();
            scene.run(settled_at, settled_at + 20_000);
            let to_agents = scene.rate("greeting to agent", 20);
            let to_balancers = scene.rate("greeting to balancer", 20);
            let other = scene.rate("other", 20);
            let rates = format!("{balancers}, {capacity}: {to_agents} {to_balancers} {other}");
            assert!(to_agents <= 100, "{rates}");
            let to_relaying = if capacity == LARGE { 400 } else { 0 };
            assert!(to_balancers <= 70 + to_relaying, "{rates}");
            assert_eq!(other, 0, "{rates}");
        }
    }
}

#[test]
fn nobody_that_lives_is_forgotten_at_any_size() {
    for balancers in [100, 1000] {
        for (capacity, mut scene, settled_at) in settled(balancers) {
            let agents = balancers * AGENTS_PER_TEN_BALANCERS / 10;
            for minute in 0..3 {
                let from = settled_at + minute * 60_000;
                scene.run(from, from + 60_000);
                let known = scene.balancer.peers().len();
                assert_eq!(known, balancers - 1, "{capacity}, minute {minute}");
                let counted = scene
                    .balancer
                    .peers()
                    .heard_recently(at(from + 60_000))
                    .count();
                assert_eq!(counted, balancers - 1, "{capacity}, minute {minute}");
                let known = scene.balancer.directory().len();
                assert_eq!(known, agents, "{capacity}, minute {minute}");
            }
        }
    }
}

#[test]
fn a_start_does_not_greet_a_whole_fleet_of_agents_at_once() {
    for (own, most) in [(0, 70), (ZONES, 25)] {
        let mut scene = Scene::new(own, 1000);
        let first = scene.sent.get("greeting to agent").copied();
        assert!(first.is_some_and(|sent| sent <= most), "{first:?}");
        scene.run(0, 60_000);
        assert_eq!(scene.balancer.directory().len(), 2200);
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
                        let message = PeerMessage::Hello(peer_greeting());
                        let from = balancer_node(other);
                        let mut actions = Vec::new();
                        balancer.handle_message(from, message, None, at(10_000), &mut actions);
                    }
                    balancer.record_store_confirmation(at(10_000));
                    balancer.store_watch_wait(at(now)).is_some()
                })
                .count()
        };
        assert!(watching(10_100) <= WATCHERS, "{balancers}");
        assert_eq!(watching(10_000 + most), 20, "{balancers}");
    }
}

/// Agents that knew an earlier life of the balancer would report in their turn, up to
/// a minute later, and a flow at one of them would count as held nowhere.
#[test]
fn a_balancer_that_has_started_again_gets_reports_at_once() {
    let mut scene = Scene::new(0, 1000);
    let asks = |message: &PeerMessage| match message {
        PeerMessage::Hello(greeting) => greeting.requests_report,
        _ => false,
    };
    scene.run(0, 20_000);
    let asked = &scene.asked_for_report;
    assert_eq!(asked.len(), 2200, "each agent is asked");
    let mut actions = Vec::new();
    let again = agent_node(5);
    scene.balancer.handle_message(
        again,
        PeerMessage::Report(report(1, 1_000_000)),
        None,
        at(20_001),
        &mut actions,
    );
    let greets = actions
        .iter()
        .any(|action| matches!(action, BalancerAction::Send { message, .. } if asks(message)));
    assert!(!greets, "one that is known is not asked");

    let mut agent = agent();
    let mut reports = |requests_report, now| {
        let greeting = BalancerHello {
            report_interval_ms: 30_000,
            requests_report,
            ..peer_greeting()
        };
        let mut actions = Vec::new();
        agent.handle_message(
            node(1),
            &PeerMessage::Hello(greeting),
            at(now),
            &mut actions,
        );
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

/// The balancers that the settings name may start a moment after the agent.
#[test]
fn an_agent_reports_often_to_the_few_that_it_begins_with() {
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

/// An agent that each of many balancers has greeted once and asked for the reports
/// that they ask for at that size.
#[test]
fn what_an_agent_sends_is_bounded_at_any_size() {
    for balancers in [100_u32, 1000, 4000] {
        let mut agent: Agent = agent();
        let interval = balancers * 22 / 10 * 24;
        for index in 0..balancers {
            let greeting = BalancerHello {
                report_interval_ms: interval,
                next_hello_within_ms: interval * 4,
                ..peer_greeting()
            };
            let from = balancer_node(usize::try_from(index).expect("index"));
            agent.handle_message(from, &PeerMessage::Hello(greeting), at(10), &mut Vec::new());
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
