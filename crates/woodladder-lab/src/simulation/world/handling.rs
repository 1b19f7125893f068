//! Events go to the machines that handle them.

use std::net::SocketAddr;

use woodladder_core::clock::Instant;
use woodladder_core::control::replica;
use woodladder_core::control::store_operation::StoreAnswer;

use super::World;
use super::event::Event;
use super::fabric::CHECK_INTERVAL;
use crate::simulation::agent::Agent;
use crate::simulation::back_end::{BackEnd, BackEndStep, ConnectionId};
use crate::simulation::balancer::Balancer;
use crate::simulation::caller::{self, Caller};
use crate::simulation::log::{Entry, ProcessRun};
use crate::simulation::network::Traffic;
use crate::simulation::node::Surroundings;
use crate::simulation::output::Output;
use crate::simulation::store::Client;
use crate::simulation::topology::{Machine, service_address};

impl World {
    pub(super) fn handle(&mut self, event: Event) {
        if let Some(until) = self.deferred_until(&event) {
            self.queue.at(until, event);
            return;
        }
        match event {
            Event::ToBalancer {
                balancer,
                caller,
                service_address,
                datagram,
            } => self.with_balancer(balancer, |process, around| {
                process.route(caller, service_address, &datagram, around);
            }),
            Event::ToAgent { agent, from, bytes } => {
                self.with_agent(agent, |process, back_end, around| {
                    process.datagram(from, &bytes, back_end, around);
                });
            }
            Event::ToCaller { caller, payload } => {
                self.with_caller(caller, |process, around| process.receive(&payload, around));
            }
            Event::Control { to, from, bytes } => self.control(to, from, &bytes),
            Event::StoreRequest { client, operation } => {
                let handled = self.store.handle(client, operation, self.queue.now());
                self.store_handled(handled);
            }
            Event::StoreReply { client, answer } => self.store_reply(client, answer),
            Event::StoreExpire => self.tick_store(),
            Event::BackEnd {
                agent,
                process,
                connection,
                step,
            } => self.back_end_step(agent, process, connection, step),
            Event::Wake { process, due } => self.wake(process, due),
            Event::OperatorWake(operator) => self.with_operator(operator, |command, around| {
                command.tick(around);
            }),
            Event::ReadList(process) => self.read_list(process),
            Event::ReadHealth(agent) => self.read_health(agent),
            Event::CallerTick(number) => {
                self.with_caller(number, Caller::tick);
                self.tick_caller_later(number);
            }
            Event::FabricCheck => self.check_balancers(),
            Event::Sample => self.sample(),
            Event::Fault(fault) => self.apply(fault),
        }
    }

    /// Until when an event waits because its process is frozen.
    fn deferred_until(&self, event: &Event) -> Option<Instant> {
        let now = self.now();
        match event.handled_by()? {
            Machine::Balancer(number) => self.balancers.get(&number)?.frozen(now),
            Machine::Agent(number) => self.agents.get(&number)?.host.frozen(now),
            Machine::Operator(number) => {
                let operator = self.operators.get(usize::from(number))?;
                operator.frozen_until.filter(|until| *until > now)
            }
            _ => None,
        }
    }

    pub(super) fn with_balancer(
        &mut self,
        number: u8,
        act: impl FnOnce(&mut Balancer, &mut Surroundings<'_>),
    ) {
        let now = self.queue.now();
        let Some(host) = self.balancers.get_mut(&number) else {
            return;
        };
        let run = host.run();
        let Some(process) = &mut host.process else {
            return;
        };
        let mut outputs = Vec::new();
        let mut around = Surroundings {
            now,
            log: &mut self.log,
            outputs: &mut outputs,
            mutation: self.mutation,
        };
        act(process, &mut around);
        let next = process.next_wake();
        self.wake_later(run, next);
        self.carry_out(run, outputs);
    }

    pub(super) fn with_agent(
        &mut self,
        number: u8,
        act: impl FnOnce(&mut Agent, &mut BackEnd, &mut Surroundings<'_>),
    ) {
        let now = self.queue.now();
        let Some(machine) = self.agents.get_mut(&number) else {
            return;
        };
        let run = machine.host.run();
        let Some(process) = &mut machine.host.process else {
            return;
        };
        let mut outputs = Vec::new();
        let mut around = Surroundings {
            now,
            log: &mut self.log,
            outputs: &mut outputs,
            mutation: self.mutation,
        };
        act(process, &mut machine.back_end, &mut around);
        let next = process.next_wake(now);
        self.wake_later(run, next);
        self.carry_out(run, outputs);
    }

    fn with_caller(
        &mut self,
        number: u8,
        act: impl FnOnce(&mut Caller, &mut caller::Surroundings<'_>),
    ) {
        let now = self.queue.now();
        let Some(process) = self.callers.get_mut(&number) else {
            return;
        };
        let mut outgoing = Vec::new();
        let mut around = caller::Surroundings {
            now,
            log: &mut self.log,
            numbers: &mut self.numbers,
            outgoing: &mut outgoing,
        };
        act(process, &mut around);
        let address = process.address();
        let service = process.service();
        for datagram in outgoing {
            self.spray(number, address, service_address(service), datagram);
        }
    }

    /// A caller's datagram goes to one of the balancers.
    fn spray(
        &mut self,
        number: u8,
        caller: SocketAddr,
        service_address: SocketAddr,
        datagram: Vec<u8>,
    ) {
        let Some(balancer) = self.fabric.spray() else {
            return;
        };
        let to = Machine::Balancer(balancer);
        let deliveries = self
            .network
            .deliveries(Machine::Caller(number), to, Traffic::Data);
        for delay in deliveries {
            let event = Event::ToBalancer {
                balancer,
                caller,
                service_address,
                datagram: datagram.clone(),
            };
            self.queue.after(delay, event);
        }
    }

    fn control(&mut self, to: Machine, from: SocketAddr, bytes: &[u8]) {
        match to {
            Machine::Balancer(number) => self.with_balancer(number, |process, around| {
                process.receive_control(from, bytes, around);
            }),
            Machine::Agent(number) => self.with_agent(number, |process, back_end, around| {
                process.receive_control(from, bytes, back_end, around);
            }),
            Machine::Operator(number) => self.with_operator(number, |command, around| {
                command.receive(from, bytes, around);
            }),
            _ => {}
        }
    }

    fn store_reply(&mut self, client: Client, answer: StoreAnswer) {
        let process = ProcessRun {
            machine: client.machine,
            run: client.run,
        };
        let request = client.request;
        if let Machine::Operator(number) = client.machine {
            self.with_operator(number, |command, around| {
                command.answered(client.run, request, answer, around);
            });
        } else if self.is_current(process) {
            let event = replica::ReplicaEvent::StoreAnswer { request, answer };
            self.replica_event(process.machine, event);
        }
    }

    pub(super) fn replica_event(&mut self, machine: Machine, event: replica::ReplicaEvent) {
        match machine {
            Machine::Balancer(number) => {
                self.with_balancer(number, |process, around| process.handle(event, around));
            }
            Machine::Agent(number) => self.with_agent(number, |process, back_end, around| {
                process.handle(event, back_end, around);
            }),
            _ => {}
        }
    }

    fn wake(&mut self, process: ProcessRun, due: Instant) {
        if !self.is_current(process) || !self.take_wake(process.machine, due) {
            return;
        }
        match process.machine {
            Machine::Balancer(number) => self.with_balancer(number, |process, around| {
                process.handle(replica::ReplicaEvent::Tick, around);
            }),
            Machine::Agent(number) => self.with_agent(number, Agent::tick),
            _ => {}
        }
    }

    fn back_end_step(
        &mut self,
        agent: u8,
        process: ProcessRun,
        connection: ConnectionId,
        step: BackEndStep,
    ) {
        let Some(machine) = self.agents.get_mut(&agent) else {
            return;
        };
        if machine.host.run() != process || !machine.back_end.is_open(connection) {
            return;
        }
        machine.back_end.delivered(connection, &step);
        self.with_agent(agent, |process, back_end, around| {
            process.step(connection, step, back_end, around);
        });
    }

    fn read_list(&mut self, process: ProcessRun) {
        if !self.is_current(process) {
            return;
        }
        let machines = self.list.read(&self.list_faults, self.queue.now());
        self.replica_event(
            process.machine,
            replica::ReplicaEvent::MachineList(machines),
        );
        self.read_list_later(process);
    }

    fn read_health(&mut self, agent: u8) {
        let Some(machine) = self.agents.get(&agent) else {
            return;
        };
        if machine.host.process.is_none() {
            return;
        }
        let truth = machine.back_end.is_up();
        let healthy = machine.reported_health.unwrap_or(truth);
        self.with_agent(agent, |process, back_end, around| {
            process.health(healthy, back_end, around);
        });
        self.read_health_later(agent);
    }

    fn check_balancers(&mut self) {
        let now = self.now();
        let mut any_healthy = false;
        for (number, host) in &mut self.balancers {
            let serves = host.process.as_ref().is_some_and(Balancer::serves);
            let healthy = serves && host.is_awake(now);
            self.fabric.checked(*number, healthy);
            host.failed &= !healthy;
            any_healthy |= healthy;
        }
        let any_failed = self.balancers.values().any(|host| host.failed);
        if any_failed && !any_healthy {
            self.log.add(now, Entry::NoBalancer);
        }
        self.queue.after(CHECK_INTERVAL, Event::FabricCheck);
    }

    pub(super) fn carry_out(&mut self, process: ProcessRun, outputs: Vec<Output>) {
        for output in outputs {
            self.output(process, output);
        }
    }
}
