//! One seeded world: machines, network, platform and callers on the virtual
//! clock.

mod build;
mod event;
mod fabric;
mod faults;
mod forging;
mod handling;
mod host;
mod measure;
mod outputs;

use std::collections::BTreeMap;

use woodladder_core::clock::Instant;

use super::agent::Agent;
use super::back_end::BackEnd;
use super::balancer::Balancer;
use super::caller::Caller;
use super::event_queue::EventQueue;
use super::fault::ListFaults;
use super::log::{Log, ProcessRun};
use super::machine_list::MachineList;
use super::mutation::Mutation;
use super::network::Network;
use super::operation::Numbers;
use super::operator::Operator;
use super::oracle;
use super::random::Random;
use super::report::RunReport;
use super::scenario::Plan;
use super::secrets::Secrets;
use super::store::Store;
use super::topology::Site;

use event::Event;
use fabric::Fabric;
use host::Host;
use measure::Measures;

/// A machine with a back end and the agent beside it.
#[derive(Debug)]
struct AgentMachine {
    host: Host<Agent>,
    back_end: BackEnd,
    identity: woodladder_core::target::admission::TargetIdentity,
    reported_health: Option<bool>,
}

/// One seeded world.
#[derive(Debug)]
pub struct World {
    site: Site,
    queue: EventQueue<Event>,
    random: Random,
    log: Log,
    numbers: Numbers,
    secrets: Secrets,
    mutation: Option<Mutation>,
    network: Network,
    fabric: Fabric,
    store: Store,
    list: MachineList,
    list_faults: ListFaults,
    operators: Vec<Operator>,
    balancers: BTreeMap<u8, Host<Balancer>>,
    agents: BTreeMap<u8, AgentMachine>,
    callers: BTreeMap<u8, Caller>,
    measures: Measures,
    end: Instant,
    trace: Option<Vec<String>>,
}

/// How a world is run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunOptions {
    /// Fault put into the models.
    pub mutation: Option<Mutation>,
    /// Whether events are traced.
    pub trace: bool,
}

/// Runs a plan to its end and judges it.
#[must_use]
pub fn run(scenario: &'static str, seed: u64, plan: Plan, options: RunOptions) -> RunReport {
    let mut world = World::build(seed, plan, options);
    world.run();
    let violations = oracle::judge(world.log.records());
    world.report(scenario, seed, violations)
}

impl World {
    fn run(&mut self) {
        while let Some(event) = self.queue.pop() {
            if self.queue.now() > self.end {
                return;
            }
            self.trace(&event);
            self.handle(event);
        }
    }

    fn now(&self) -> Instant {
        self.queue.now()
    }

    fn trace(&mut self, event: &Event) {
        let Some(trace) = &mut self.trace else {
            return;
        };
        if event.is_traced() {
            let at = self.queue.now().since_origin().as_secs_f64();
            trace.push(format!("{at:.6} s: {event}"));
        }
    }

    fn is_current(&self, process: ProcessRun) -> bool {
        use super::topology::Machine;
        match process.machine {
            Machine::Balancer(number) => {
                let host = self.balancers.get(&number);
                host.is_some_and(|host| host.process.is_some() && host.run() == process)
            }
            Machine::Agent(number) => {
                let host = self.agents.get(&number).map(|machine| &machine.host);
                host.is_some_and(|host| host.process.is_some() && host.run() == process)
            }
            _ => false,
        }
    }
}
