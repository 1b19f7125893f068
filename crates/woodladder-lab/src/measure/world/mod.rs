//! A flow-level model of one deployment on a virtual clock.
//!
//! Agents run the product's own admission, request table, drain and slow
//! start; balancers run its router. The network, the callers and the back
//! ends' slots are modelled. All randomness comes from the seed.

mod balancer;
mod event;
mod flow;
mod opening;
mod placement;
mod requests;
mod rolls;
mod sampling;
mod target;
mod versions;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use woodladder_core::clock::Instant;
use woodladder_core::identifier::ServiceId;
use woodladder_core::packets::keyed_tag::{TAG_KEY_LENGTH, TagKey};
use woodladder_core::packets::token::{TokenKey, TokenKeys};

use super::change::{ChangeKind, Schedule};
use super::datagram::DatagramWriter;
use super::deployment::Deployment;

use super::options::Policy;
use super::outcome::Outcome;
use super::way::Way;
use super::workload::{FlowPlan, RUN_END, SURGE_START, Workload};
use crate::simulation::event_queue::EventQueue;
use balancer::BalancerModel;
use event::{BalancerIndex, Event, FlowIndex, TargetIndex};
use flow::{Flow, Request};
use target::TargetModel;
use versions::Version;

/// Keys of the model's tokens.
pub(crate) fn model_keys() -> TokenKeys {
    let current = TokenKey {
        number: 1,
        key: TagKey::new([3; TAG_KEY_LENGTH]),
    };
    TokenKeys {
        current,
        previous: None,
    }
}

/// Delay between processes of one zone.
const LOCAL_DELAY: Duration = Duration::from_micros(50);
/// Time after which a caller repeats an unanswered packet; doubled each time.
const RETRANSMISSION: Duration = Duration::from_millis(250);
/// Repetitions after which a caller takes its flow for broken: with the
/// doubling, 16 seconds after the first packet.
const MAXIMUM_LOSSES: u32 = 6;

/// What one run is about; the flows are the same for every way.
#[derive(Clone, Copy, Debug)]
pub struct Run<'a> {
    /// Callers' doing.
    pub workload: Workload,
    /// What changes.
    pub change: ChangeKind,
    /// How flows are placed.
    pub way: Way,
    /// Parameters of the chosen way.
    pub policy: Policy,
    /// Seed of everything random that is not in the flows.
    pub seed: u64,
    /// The callers' flows.
    pub flows: &'a [FlowPlan],
}

/// The model of one run.
pub(super) struct World<'a> {
    run: Run<'a>,
    deployment: &'static Deployment,
    schedule: Schedule,
    queue: EventQueue<Event>,
    random: ChaCha8Rng,
    salt: u64,
    keys: TokenKeys,
    writer: DatagramWriter,
    versions: Vec<Version>,
    /// The last roll made.
    current: usize,
    balancers: Vec<BalancerModel>,
    /// Balancers that the fabric sends to.
    fabric: Vec<BalancerIndex>,
    targets: Vec<TargetModel>,
    by_address: HashMap<SocketAddr, TargetIndex>,
    flows: Vec<Flow>,
    requests: Vec<Request>,
    outcome: Outcome,
}

/// Time until a packet lost for so many times before is repeated; `None` when
/// its flow is broken.
fn retransmission(losses: u32) -> Option<Duration> {
    (losses < MAXIMUM_LOSSES).then(|| RETRANSMISSION * 2_u32.pow(losses))
}

/// Runs the model to its end.
#[must_use]
pub fn measure(run: Run<'_>) -> Outcome {
    World::new(run).run()
}

impl<'a> World<'a> {
    fn new(run: Run<'a>) -> Self {
        let deployment = run.workload.deployment();
        let schedule = run.change.schedule(deployment);
        let mut random = ChaCha8Rng::seed_from_u64(run.seed);
        let salt = random.random();
        let versions = versions::build(deployment, &schedule, run.policy.hops);
        let targets = versions::all_targets(&schedule, run.policy.admission);
        let by_address = targets
            .iter()
            .enumerate()
            .map(|(index, target)| (target.address, index));
        let services: Vec<ServiceId> = deployment.services.iter().map(|plan| plan.id).collect();
        let mut world = Self {
            run,
            deployment,
            queue: EventQueue::default(),
            random,
            salt,
            keys: model_keys(),
            writer: DatagramWriter::new(0),
            versions,
            current: 0,
            balancers: Vec::new(),
            fabric: Vec::new(),
            by_address: by_address.collect(),
            targets,
            flows: Vec::new(),
            requests: Vec::new(),
            outcome: Outcome::new(&services),
            schedule,
        };
        world.schedule_all();
        world
    }

    fn run(mut self) -> Outcome {
        let end = Instant::from_origin(RUN_END);
        while let Some(event) = self.queue.pop() {
            if self.queue.now() > end {
                break;
            }
            self.handle(event);
        }
        self.outcome
    }

    fn schedule_all(&mut self) {
        for _ in 0..self.deployment.balancers {
            self.join_balancer(0);
        }
        for (index, plan) in self.run.flows.iter().enumerate() {
            self.queue.at(plan.opens_at, Event::Open(index));
        }
        for (index, roll) in self.schedule.rolls.iter().enumerate() {
            self.queue.at(roll.at, Event::Roll(index));
        }
        for (index, change) in self.schedule.balancers.iter().enumerate() {
            self.queue.at(change.at, Event::BalancerChange(index));
        }
        self.queue
            .at(Instant::from_origin(SURGE_START), Event::Sample);
        self.queue.at(Instant::ORIGIN, Event::Housekeeping);
        if self.run.way.polls() {
            self.queue.at(Instant::ORIGIN, Event::PublishLoads);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Open(plan) => self.open(plan),
            Event::Start(flow) => self.start(flow),
            Event::FirstAtBalancer(flow, balancer) => self.first_at_balancer(flow, balancer),
            Event::FirstAtAgent {
                flow,
                target,
                envelope,
            } => self.first_at_agent(flow, target, envelope),
            Event::Established(flow) => self.established(flow),
            Event::LaterRequest(flow, work) => self.later_request(flow, work),
            Event::RequestAtBalancer(request) => self.request_at_balancer(request),
            Event::RequestAtAgent(request) => self.request_at_agent(request),
            Event::Served(request) => self.served(request),
            Event::Answered(request) => self.answered(request),
            Event::Refused {
                flow,
                request,
                retry_after,
            } => self.refused(flow, request, retry_after),
            Event::KeepAlive(flow) => self.keep_alive(flow),
            Event::Roll(version) => self.roll(version),
            Event::BalancerAdopts(balancer, version) => self.balancer_adopts(balancer, version),
            Event::AgentAdopts(target, version) => self.agent_adopts(target, version),
            Event::BalancerChange(index) => self.balancer_change(index),
            Event::FabricNotices(balancer) => self.fabric_notices(balancer),
            Event::PublishLoads => self.publish_loads(),
            Event::Poll(balancer) => self.poll(balancer),
            Event::Sample => self.sample(),
            Event::Housekeeping => self.housekeeping(),
        }
    }

    /// A balancer as the fabric draws one for each packet.
    fn any_balancer(&mut self) -> BalancerIndex {
        let position = self.random.random_range(0..self.fabric.len().max(1));
        self.fabric.get(position).copied().unwrap_or_default()
    }

    fn delay_between(&self, left: u16, right: u16) -> Duration {
        if left == right {
            LOCAL_DELAY
        } else {
            self.deployment.zone_delay
        }
    }

    fn delay_to_agent(&self, balancer: BalancerIndex, target: TargetIndex) -> Duration {
        self.delay_between(self.balancers[balancer].zone, self.targets[target].zone)
    }

    fn delay_among_agents(&self, from: TargetIndex, to: TargetIndex) -> Duration {
        self.delay_between(self.targets[from].zone, self.targets[to].zone)
    }

    fn close(&mut self, flow: FlowIndex) {
        let owner = self.flows[flow].owner();
        self.flows[flow].stage = flow::Stage::Closed;
        if let Some(owner) = owner {
            let hash = self.client_hash(flow);
            let target = &mut self.targets[owner];
            target.open_connections = target.open_connections.saturating_sub(1);
            target.admission.connection_closed(hash);
        }
    }

    /// Hash by which the agents know a flow.
    fn client_hash(&self, flow: FlowIndex) -> u64 {
        woodladder_core::packets::hop_list::flow_hash(&flow::client_id(flow, self.salt))
    }
}
