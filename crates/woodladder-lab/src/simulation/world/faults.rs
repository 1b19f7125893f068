//! The schedule's changes are done to the world.

use std::net::SocketAddr;
use std::time::Duration;

use woodladder_core::configuration::bundle::Bundle;
use woodladder_core::identifier::TargetId;
use woodladder_core::target::admission::TargetIdentity;

use super::World;
use super::event::Event;
use crate::simulation::agent::Agent;
use crate::simulation::back_end::BackEnd;
use crate::simulation::balancer::Balancer;
use crate::simulation::deployment::{BALANCERS, SLOTS};
use crate::simulation::fault::Fault;
use crate::simulation::log::{Entry, ProcessRun};
use crate::simulation::mutation::Mutation;
use crate::simulation::node::Start;
use crate::simulation::seen::Seen;
use crate::simulation::store::StoreFaults;
use crate::simulation::topology::Machine;

/// Time that a stopping balancer goes on forwarding.
const STOP_LINGER: Duration = Duration::from_secs(2);
/// Time for which a back end that came back is slow.
const COLD_TIME: Duration = Duration::from_secs(5);
/// Slowness above which the key-value service counts as out of reach.
const SLOW_LIMIT: Duration = Duration::from_secs(1);

impl World {
    pub(super) fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Start(Machine::Balancer(number)) => self.start_balancer(number),
            Fault::Start(Machine::Agent(number)) => self.start_agent(number),
            Fault::Stop(Machine::Balancer(number)) => self.stop_balancer(number),
            Fault::Stop(Machine::Agent(number)) => self.stop_agent(number),
            Fault::Kill(Machine::Balancer(number)) => self.end_balancer(number),
            Fault::Kill(Machine::Agent(number)) => self.kill_agent(number),
            Fault::Freeze(machine, time) => self.freeze(machine, time),
            Fault::Replace {
                agent,
                target,
                service,
            } => self.replace(agent, TargetIdentity { target, service }),
            Fault::BackEndCrash(agent) => self.crash_back_end(agent),
            Fault::BackEndStart(agent) => self.start_back_end(agent),
            Fault::BackEnd(agent, faults) => {
                if let Some(machine) = self.agents.get_mut(&agent) {
                    machine.back_end.faults = faults;
                }
            }
            Fault::ReportHealth(agent, healthy) => {
                if let Some(machine) = self.agents.get_mut(&agent) {
                    machine.reported_health = healthy;
                }
            }
            Fault::Roll { operator, bundle } => self.roll(operator, bundle),
            Fault::Store(faults) => self.set_store_faults(faults),
            Fault::DataLinks(faults) => self.network.data = faults,
            Fault::ControlLinks(faults) => self.network.control = faults,
            Fault::Cut(from, to) => self.cut(from, to),
            Fault::Isolate { machine, except } => self.isolate(machine, except),
            Fault::Mend(machine) => self.mend(machine),
            Fault::List(faults) => self.list_faults = faults,
            Fault::Pace(pace) => {
                let callers = self.callers.values_mut();
                callers.for_each(|caller| caller.set_pace(pace));
            }
            Fault::Forge => self.forge(),
            Fault::Start(_) | Fault::Stop(_) | Fault::Kill(_) => {}
        }
    }

    fn seeds() -> Vec<SocketAddr> {
        let balancers = (1..=BALANCERS).map(Machine::Balancer);
        let seeds = balancers.chain([Machine::Agent(1), Machine::Agent(4)]);
        seeds.map(Machine::control_address).collect()
    }

    fn start_balancer(&mut self, number: u8) {
        let now = self.queue.now();
        let random = self.random.fork();
        let Some(host) = self.balancers.get_mut(&number) else {
            return;
        };
        if host.process.is_some() {
            return;
        }
        let process = host.begin_run();
        let mut start = Start {
            process,
            site: self.site,
            secrets: &self.secrets,
            seeds: Self::seeds(),
            random,
            now,
        };
        host.process = Some(Balancer::new(&mut start));
        self.started(process);
    }

    fn start_agent(&mut self, number: u8) {
        let now = self.queue.now();
        let random = self.random.fork();
        let Some(machine) = self.agents.get_mut(&number) else {
            return;
        };
        if machine.host.process.is_some() {
            return;
        }
        let process = machine.host.begin_run();
        let mut start = Start {
            process,
            site: self.site,
            secrets: &self.secrets,
            seeds: Self::seeds(),
            random,
            now,
        };
        let agent = Agent::new(machine.identity, SLOTS, &mut start);
        machine.host.process = Some(agent);
        // What the process before was told does not hold for this one.
        let target = machine.identity.target;
        self.log.add(now, Entry::ToldToStay { target });
        self.started(process);
        self.read_health_later(number);
    }

    fn started(&mut self, process: ProcessRun) {
        let now = self.queue.now();
        self.list.changed(process.machine, true, now);
        let sound = !self.network.is_cut_anywhere(process.machine);
        self.set_sound(process, sound);
        if self.store.faults.down {
            self.log.see(Seen::JoinedInOutage);
        }
        self.queue.after(Duration::ZERO, Event::ReadList(process));
        self.wake_later(process, now);
    }

    fn set_sound(&mut self, node: ProcessRun, sound: bool) {
        let entry = Entry::NodeHealth { node, sound };
        self.log.add(self.queue.now(), entry);
    }

    fn stop_balancer(&mut self, number: u8) {
        let now = self.queue.now();
        let Some(host) = self.balancers.get_mut(&number) else {
            return;
        };
        if !host.is_awake(now) {
            return;
        }
        host.stopping = true;
        let run = host.run();
        self.set_sound(run, false);
        self.with_balancer(number, Balancer::leave);
        if self.mutation == Some(Mutation::StopCutsFlows) {
            self.cut_flows_of(Machine::Balancer(number));
        }
        let end = Event::Fault(Fault::Kill(Machine::Balancer(number)));
        self.queue.after(STOP_LINGER, end);
    }

    fn cut_flows_of(&mut self, balancer: Machine) {
        let address = balancer.control_address();
        let agents: Vec<u8> = self.agents.keys().copied().collect();
        for agent in agents {
            self.with_agent(agent, |process, back_end, around| {
                process.balancer_stopped(address, back_end, around);
            });
        }
    }

    fn end_balancer(&mut self, number: u8) {
        let now = self.queue.now();
        let Some(host) = self.balancers.get_mut(&number) else {
            return;
        };
        if host.process.is_none() {
            return;
        }
        let run = host.run();
        host.failed = !host.stopping;
        host.end();
        self.list.changed(run.machine, false, now);
        self.set_sound(run, false);
    }

    fn stop_agent(&mut self, number: u8) {
        let now = self.queue.now();
        let Some(machine) = self.agents.get_mut(&number) else {
            return;
        };
        if machine.host.stopping || !machine.host.is_awake(now) {
            return;
        }
        machine.host.stopping = true;
        let run = machine.host.run();
        self.set_sound(run, false);
        self.with_agent(number, Agent::stop);
    }

    /// The process is gone: its sockets close, and nobody is told.
    pub(super) fn end_agent(&mut self, number: u8) {
        let now = self.queue.now();
        let Some(machine) = self.agents.get_mut(&number) else {
            return;
        };
        if machine.host.process.is_none() {
            return;
        }
        machine.host.end();
        machine.back_end.close_all();
        let run = machine.host.run();
        self.list.changed(run.machine, false, now);
        self.set_sound(run, false);
    }

    fn kill_agent(&mut self, number: u8) {
        self.target_failed(number);
        self.end_agent(number);
    }

    fn target_failed(&mut self, number: u8) {
        if let Some(machine) = self.agents.get(&number) {
            let target: TargetId = machine.identity.target;
            self.log
                .add(self.queue.now(), Entry::TargetFailed { target });
        }
    }

    fn freeze(&mut self, machine: Machine, time: Duration) {
        let until = self.queue.now() + time;
        match machine {
            Machine::Balancer(number) => {
                if let Some(host) = self.balancers.get_mut(&number) {
                    host.failed = host.process.is_some();
                    host.frozen_until = Some(until);
                    let run = host.run();
                    self.frozen(run, until);
                }
            }
            Machine::Agent(number) => {
                self.target_failed(number);
                if let Some(machine) = self.agents.get_mut(&number) {
                    machine.host.frozen_until = Some(until);
                    let run = machine.host.run();
                    self.frozen(run, until);
                }
            }
            Machine::Operator(number) => {
                if let Some(operator) = self.operators.get_mut(usize::from(number)) {
                    operator.frozen_until = Some(until);
                }
            }
            _ => {}
        }
    }

    fn frozen(&mut self, process: ProcessRun, until: woodladder_core::clock::Instant) {
        if self.is_current(process) {
            self.set_sound(process, false);
            // Mending reports the process as sound again if it still runs.
            let mend = Event::Fault(Fault::Mend(process.machine));
            self.queue.at(until, mend);
        }
    }

    fn replace(&mut self, agent: u8, identity: TargetIdentity) {
        self.end_agent(agent);
        let random = self.random.fork();
        if let Some(machine) = self.agents.get_mut(&agent) {
            machine.identity = identity;
            machine.back_end = BackEnd::new(identity.target, SLOTS, random);
            machine.reported_health = None;
        }
        self.start_agent(agent);
    }

    fn crash_back_end(&mut self, agent: u8) {
        self.target_failed(agent);
        let Some(machine) = self.agents.get_mut(&agent) else {
            return;
        };
        let process = machine.host.run();
        let broken = machine.back_end.crash();
        for connection in broken {
            machine.back_end.reopen_to_break(connection);
            let step = crate::simulation::back_end::BackEndStep::Broken;
            let event = Event::BackEnd {
                agent,
                process,
                connection,
                step,
            };
            self.queue.after(Duration::ZERO, event);
        }
    }

    fn start_back_end(&mut self, agent: u8) {
        let now = self.queue.now();
        if let Some(machine) = self.agents.get_mut(&agent) {
            machine.back_end.start(now, COLD_TIME);
        }
    }

    fn roll(&mut self, operator: u8, bundle: Bundle) {
        self.with_operator(operator, |command, around| command.roll(bundle, around));
    }

    fn set_store_faults(&mut self, faults: StoreFaults) {
        let reachable = !faults.down && faults.slow <= SLOW_LIMIT;
        self.store.faults = faults;
        self.log
            .add(self.queue.now(), Entry::StoreHealth { reachable });
    }

    fn cut(&mut self, from: Machine, to: Machine) {
        self.network.cut(from, to);
        for machine in [from, to] {
            if let Some(process) = self.process_on(machine) {
                self.set_sound(process, false);
            }
        }
    }

    fn isolate(&mut self, machine: Machine, except: Machine) {
        self.network.isolate(machine, except);
        if let Some(process) = self.process_on(machine) {
            self.set_sound(process, false);
        }
    }

    fn mend(&mut self, machine: Machine) {
        let peers = self.network.mend(machine);
        let now = self.queue.now();
        for mended in peers.into_iter().chain([machine]) {
            let Some(process) = self.process_on(mended) else {
                continue;
            };
            if !self.network.is_cut_anywhere(mended) && !self.is_frozen_or_stopping(mended, now) {
                self.set_sound(process, true);
            }
        }
    }

    fn is_frozen_or_stopping(
        &self,
        machine: Machine,
        now: woodladder_core::clock::Instant,
    ) -> bool {
        match machine {
            Machine::Balancer(number) => self
                .balancers
                .get(&number)
                .is_none_or(|host| host.stopping || host.frozen(now).is_some()),
            Machine::Agent(number) => self
                .agents
                .get(&number)
                .is_none_or(|machine| machine.host.stopping || machine.host.frozen(now).is_some()),
            _ => true,
        }
    }

    fn process_on(&self, machine: Machine) -> Option<ProcessRun> {
        let process = match machine {
            Machine::Balancer(number) => self.balancers.get(&number)?.run(),
            Machine::Agent(number) => self.agents.get(&number)?.host.run(),
            _ => return None,
        };
        self.is_current(process).then_some(process)
    }
}
