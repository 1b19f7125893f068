//! What processes ask for is carried out.

use std::net::SocketAddr;
use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_core::control::store_operation::StoreAnswer;

use super::World;
use super::event::Event;
use crate::simulation::back_end::{ConnectionId, Schedule};
use crate::simulation::frame::Payload;
use crate::simulation::log::{Entry, ProcessRun};
use crate::simulation::network::Traffic;
use crate::simulation::operator::{self, Operator};
use crate::simulation::output::Output;
use crate::simulation::seen::Seen;
use crate::simulation::store::{Client, Handled, Reply};
use crate::simulation::topology::Machine;

/// Shortest time between two calls of a process by its timers.
const SHORTEST_WAKE: Duration = Duration::from_micros(100);
/// Time after which a request over a cut link counts as lost.
const CUT_TIMEOUT: Duration = Duration::from_secs(2);

impl World {
    pub(super) fn output(&mut self, process: ProcessRun, output: Output) {
        let from = process.machine;
        match output {
            Output::ToAgent { to, bytes } => self.send_to_agent(from, to, &bytes),
            Output::ToCaller { to, payload } => self.send_to_caller(from, to, &payload),
            Output::Control { to, bytes } => self.send_control(from, to, &bytes),
            Output::Store { request, operation } => {
                let client = Client {
                    machine: from,
                    run: process.run,
                    request,
                };
                self.ask_store(client, operation);
            }
            Output::BackEnd {
                connection,
                schedule,
            } => self.schedule_back_end(process, connection, schedule),
            Output::Ended => self.ended(from),
        }
    }

    fn send_to_agent(&mut self, from: Machine, to: SocketAddr, bytes: &[u8]) {
        let Some(machine @ Machine::Agent(agent)) = Machine::at(to.ip()) else {
            return;
        };
        for delay in self.network.deliveries(from, machine, Traffic::Data) {
            let event = Event::ToAgent {
                agent,
                from: from.control_address(),
                bytes: bytes.to_vec(),
            };
            self.queue.after(delay, event);
        }
    }

    fn send_to_caller(&mut self, from: Machine, to: SocketAddr, payload: &Payload) {
        let Some(machine @ Machine::Caller(caller)) = Machine::at(to.ip()) else {
            return;
        };
        for delay in self.network.deliveries(from, machine, Traffic::Data) {
            let payload = payload.clone();
            self.queue.after(delay, Event::ToCaller { caller, payload });
        }
    }

    pub(super) fn send_control(&mut self, from: Machine, to: SocketAddr, bytes: &[u8]) {
        let Some(machine) = Machine::at(to.ip()) else {
            return;
        };
        for delay in self.network.deliveries(from, machine, Traffic::Control) {
            let event = Event::Control {
                to: machine,
                from: from.control_address(),
                bytes: bytes.to_vec(),
            };
            self.queue.after(delay, event);
        }
    }

    fn ask_store(
        &mut self,
        client: Client,
        operation: woodladder_core::control::store_operation::StoreOperation,
    ) {
        let from = client.machine;
        if self.is_cut_off_from_store(from) {
            let answer = StoreAnswer::Unknown;
            self.queue
                .after(CUT_TIMEOUT, Event::StoreReply { client, answer });
            return;
        }
        let delay = self.network.stream_delay(from, Machine::Store);
        self.queue
            .after(delay, Event::StoreRequest { client, operation });
    }

    fn is_cut_off_from_store(&self, machine: Machine) -> bool {
        self.network.is_cut(machine, Machine::Store)
            || self.network.is_cut(Machine::Store, machine)
            || self.network.is_isolated(machine, Machine::Store)
    }

    pub(super) fn store_handled(&mut self, handled: Handled) {
        if handled.lost {
            self.log.see(Seen::LostWrite);
        }
        if self.store.faults.down {
            let entry = Entry::StoreHealth { reachable: false };
            self.log.add(self.queue.now(), entry);
        }
        if let Some(roll) = handled.accepted {
            let entry = Entry::RollAccepted {
                sequence: roll.sequence,
                nonce: roll.nonce,
                snapshot: roll.snapshot_digest,
            };
            self.log.add(self.queue.now(), entry);
        }
        for reply in handled.replies {
            self.send_store_reply(reply);
        }
    }

    pub(super) fn send_store_reply(&mut self, reply: Reply) {
        let to = reply.client.machine;
        if self.is_cut_off_from_store(to) {
            return;
        }
        let delay = reply.after + self.network.stream_delay(Machine::Store, to);
        let event = Event::StoreReply {
            client: reply.client,
            answer: reply.answer,
        };
        self.queue.after(delay, event);
    }

    fn schedule_back_end(
        &mut self,
        process: ProcessRun,
        connection: ConnectionId,
        schedule: Schedule,
    ) {
        let Machine::Agent(agent) = process.machine else {
            return;
        };
        for (after, step) in schedule {
            let event = Event::BackEnd {
                agent,
                process,
                connection,
                step,
            };
            self.queue.after(after, event);
        }
    }

    /// A process has come to the end of its planned stop.
    fn ended(&mut self, machine: Machine) {
        if let Machine::Agent(number) = machine {
            self.end_agent(number);
        }
    }

    /// Lets a process be called at an instant, unless it is called before.
    pub(super) fn wake_later(&mut self, process: ProcessRun, at: Instant) {
        let due = at.max(self.queue.now() + SHORTEST_WAKE);
        let Some(wake_at) = self.wake_at(process.machine) else {
            return;
        };
        if wake_at.is_some_and(|known| known <= due) {
            return;
        }
        *wake_at = Some(due);
        self.queue.at(due, Event::Wake { process, due });
    }

    /// Whether a call by timers is the one that the process waits for.
    pub(super) fn take_wake(&mut self, machine: Machine, due: Instant) -> bool {
        let Some(wake_at) = self.wake_at(machine) else {
            return false;
        };
        if *wake_at != Some(due) {
            return false;
        }
        *wake_at = None;
        true
    }

    fn wake_at(&mut self, machine: Machine) -> Option<&mut Option<Instant>> {
        match machine {
            Machine::Balancer(number) => {
                let host = self.balancers.get_mut(&number)?;
                Some(&mut host.wake_at)
            }
            Machine::Agent(number) => {
                let machine = self.agents.get_mut(&number)?;
                Some(&mut machine.host.wake_at)
            }
            _ => None,
        }
    }

    pub(super) fn with_operator(
        &mut self,
        number: u8,
        act: impl FnOnce(&mut Operator, &mut operator::Surroundings<'_>),
    ) {
        let now = self.queue.now();
        let Some(operator) = self.operators.get_mut(usize::from(number)) else {
            return;
        };
        let mut requests = Vec::new();
        let mut datagrams = Vec::new();
        let mut around = operator::Surroundings {
            now,
            log: &mut self.log,
            requests: &mut requests,
            datagrams: &mut datagrams,
            mutation: self.mutation,
        };
        act(operator, &mut around);
        let run = operator.run();
        let next = operator.next_wake();
        let machine = Machine::Operator(number);
        for (request, operation) in requests {
            let client = Client {
                machine,
                run,
                request,
            };
            self.ask_store(client, operation);
        }
        for (to, bytes) in datagrams {
            self.send_control(machine, to, &bytes);
        }
        if let Some(at) = next {
            let at = at.max(now + SHORTEST_WAKE);
            self.queue.at(at, Event::OperatorWake(number));
        }
    }
}
