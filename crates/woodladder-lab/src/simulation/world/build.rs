//! Sets a world up from a plan.

use std::net::SocketAddr;
use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_core::target::admission::TargetIdentity;

use super::event::Event;
use super::fabric::{CHECK_INTERVAL, Fabric};
use super::host::Host;
use super::measure::{Measures, SAMPLE_INTERVAL};
use super::{AgentMachine, RunOptions, World};
use crate::simulation::back_end::BackEnd;
use crate::simulation::caller::{CALLER_TICK, Caller};
use crate::simulation::deployment::{
    BALANCERS, Deployment, FIRST_AGENTS, SECOND_AGENTS, SLOTS, SPARE_AGENT, SPARE_BALANCER,
    service_of, target_of,
};
use crate::simulation::event_queue::EventQueue;
use crate::simulation::fault::{Fault, ListFaults};
use crate::simulation::log::{Entry, Log};
use crate::simulation::machine_list::MachineList;
use crate::simulation::network::Network;
use crate::simulation::operation::Numbers;
use crate::simulation::operator::Operator;
use crate::simulation::random::Random;
use crate::simulation::scenario::Plan;
use crate::simulation::secrets::{OPERATORS, Secrets};
use crate::simulation::store::Store;
use crate::simulation::topology::Machine;

const LIST_INTERVAL: Duration = Duration::from_secs(2);
const HEALTH_INTERVAL: Duration = Duration::from_secs(1);
const STORE_TICK: Duration = Duration::from_millis(500);

impl World {
    pub(super) fn build(seed: u64, plan: Plan, options: RunOptions) -> Self {
        let mut random = Random::new(seed);
        let mut world = Self {
            site: plan.site,
            queue: EventQueue::default(),
            log: Log::default(),
            numbers: Numbers::default(),
            secrets: Secrets::new(options.mutation),
            mutation: options.mutation,
            network: Network::new(plan.site, random.fork()),
            fabric: Fabric::new(1..=SPARE_BALANCER, random.fork()),
            store: Store::new(random.fork()),
            list: MachineList::default(),
            list_faults: ListFaults::default(),
            operators: Vec::new(),
            balancers: Self::balancer_hosts(),
            agents: std::collections::BTreeMap::new(),
            callers: std::collections::BTreeMap::new(),
            measures: Measures::default(),
            end: plan.end,
            trace: options.trace.then(Vec::new),
            random,
        };
        world.add_operators();
        world.add_agents();
        world.add_callers(&plan);
        world.schedule(plan);
        world
    }

    fn balancer_hosts()
    -> std::collections::BTreeMap<u8, Host<crate::simulation::balancer::Balancer>> {
        (1..=SPARE_BALANCER)
            .map(|number| (number, Host::new(Machine::Balancer(number))))
            .collect()
    }

    fn add_operators(&mut self) {
        let balancers = (1..=BALANCERS).map(Machine::Balancer);
        let agents = FIRST_AGENTS.into_iter().chain(SECOND_AGENTS);
        let nodes = balancers.chain(agents.map(Machine::Agent));
        let nodes: Vec<SocketAddr> = nodes.map(Machine::control_address).collect();
        for number in 0..OPERATORS {
            let random = self.random.fork();
            let operator = Operator::new(number, &self.secrets, nodes.clone(), random);
            self.operators.push(operator);
        }
    }

    fn add_agents(&mut self) {
        for number in FIRST_AGENTS
            .into_iter()
            .chain(SECOND_AGENTS)
            .chain([SPARE_AGENT])
        {
            let identity = TargetIdentity {
                target: target_of(number),
                service: service_of(number),
            };
            let machine = AgentMachine {
                host: Host::new(Machine::Agent(number)),
                back_end: BackEnd::new(identity.target, SLOTS, self.random.fork()),
                identity,
                reported_health: None,
            };
            self.agents.insert(number, machine);
        }
    }

    fn add_callers(&mut self, plan: &Plan) {
        for (index, habits) in plan.callers.iter().enumerate() {
            let number = u8::try_from(index + 1).unwrap_or(u8::MAX);
            let start = plan.callers_start + self.random.milliseconds(0, 1500);
            let machine = Machine::Caller(number);
            let caller = Caller::new(machine, *habits, start, self.random.fork());
            self.callers.insert(number, caller);
            self.queue.at(start, Event::CallerTick(number));
        }
    }

    fn schedule(&mut self, plan: Plan) {
        self.log
            .add(Instant::ORIGIN, Entry::StoreHealth { reachable: true });
        let bundle = Deployment::initial(plan.site).bundle(1);
        self.fault_at(
            Instant::ORIGIN,
            Fault::Roll {
                operator: 0,
                bundle,
            },
        );
        for number in 1..=BALANCERS {
            self.fault_at(Instant::ORIGIN, Fault::Start(Machine::Balancer(number)));
        }
        for number in FIRST_AGENTS.into_iter().chain(SECOND_AGENTS) {
            self.fault_at(Instant::ORIGIN, Fault::Start(Machine::Agent(number)));
        }
        for (at, fault) in plan.schedule {
            self.fault_at(at, fault);
        }
        self.queue.after(CHECK_INTERVAL, Event::FabricCheck);
        self.queue.after(SAMPLE_INTERVAL, Event::Sample);
        self.queue.after(STORE_TICK, Event::StoreExpire);
    }

    fn fault_at(&mut self, at: Instant, fault: Fault) {
        self.queue.at(at, Event::Fault(fault));
    }

    pub(super) fn tick_store(&mut self) {
        let now = self.now();
        for reply in self.store.expire(now) {
            self.send_store_reply(reply);
        }
        self.queue.after(STORE_TICK, Event::StoreExpire);
    }

    pub(super) fn tick_caller_later(&mut self, number: u8) {
        self.queue.after(CALLER_TICK, Event::CallerTick(number));
    }

    pub(super) fn read_list_later(&mut self, process: crate::simulation::log::ProcessRun) {
        self.queue.after(LIST_INTERVAL, Event::ReadList(process));
    }

    pub(super) fn read_health_later(&mut self, agent: u8) {
        self.queue.after(HEALTH_INTERVAL, Event::ReadHealth(agent));
    }
}
