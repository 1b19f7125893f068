//! What is due with time, and packets between callers and balancers.

use super::*;

impl World {
    pub(super) fn tick(&mut self) {
        self.events.push(self.now + TICK, Event::Tick);
        for index in 0..BALANCERS {
            let address = balancer_address(index);
            let Some(balancer) = self.balancers[index].as_mut() else {
                continue;
            };
            if self.store_is_up {
                balancer.adopt_store_configuration(Arc::clone(&self.configuration));
            }
            let mut actions = Vec::new();
            balancer.tick(self.now, &mut actions);
            balancer.take_log_events();
            let version = balancer.routes().version();
            self.carry_out(address, actions);
            self.check_version(address, version);
        }
        for index in 0..AGENTS {
            let address = agent_address(index);
            let Some(agent) = self.agents[index].as_mut() else {
                continue;
            };
            let mut actions = Vec::new();
            agent.tick(self.now, &mut actions);
            agent.take_log_events();
            let version = agent.configuration_version();
            self.carry_out_agent(address, actions);
            self.check_version(address, version);
        }
        for index in 0..self.callers.len() {
            let step = self.callers[index].tick(self.now);
            self.caller_step(&step);
        }
    }

    pub(super) fn caller_step(&mut self, step: &Step) {
        self.report.answered += u64::from(step.answered);
        self.report.failed += u64::from(step.failed);
        if let Some(packet) = step.packet {
            let delay = Duration::from_millis(1);
            self.events
                .push(self.now + delay, Event::CallerPacket(packet));
        }
    }

    /// Routers choose among the balancers that are ready, or among all while
    /// fewer than half are.
    pub(super) fn caller_packet(&mut self, packet: &FlowPacket) {
        let mut ready: Vec<usize> = (0..BALANCERS)
            .filter(|index| {
                self.balancers[*index]
                    .as_ref()
                    .is_some_and(|balancer| balancer.check_ready(self.now).is_ok())
            })
            .collect();
        if ready.len() * 2 < BALANCERS {
            ready = (0..BALANCERS).collect();
        }
        let hash = packet.key.hash().wrapping_add(self.shift);
        let count = u64::try_from(ready.len()).unwrap_or(1);
        let index = ready[usize::try_from(hash % count).unwrap_or(0)];
        let address = balancer_address(index);
        let Some(balancer) = self.balancers[index].as_mut() else {
            return;
        };
        match balancer.route_caller_packet(packet, &packet_bytes::write(packet), self.now) {
            Routing::One { to, header } => self.forward(address, to, header, packet),
            Routing::Several(receivers) => {
                for (to, header) in receivers {
                    self.forward(address, to, header, packet);
                }
            }
            Routing::Relay(to) => self.send(address, to, PeerMessage::Relay, Some(*packet)),
            Routing::Reset(reset) => self.reset(address, &reset),
            Routing::Drop(_) => {}
        }
    }

    pub(super) fn forward(
        &mut self,
        from: NodeAddress,
        to: NodeAddress,
        header: ForwardHeader,
        packet: &FlowPacket,
    ) {
        self.send(from, to, PeerMessage::Forward(header), Some(*packet));
    }

    pub(super) fn send(
        &mut self,
        from: NodeAddress,
        to: NodeAddress,
        message: PeerMessage,
        packet: Option<FlowPacket>,
    ) {
        let arrival = self.links.arrival(from, to, self.now, &mut self.random);
        if let Some(at) = arrival {
            self.events.push(
                at,
                Event::Message {
                    from,
                    to,
                    message,
                    packet,
                },
            );
        }
    }

    /// A reset is a breach while the flow's target holds it, unless the target's
    /// machine or the sender was disturbed lately.
    pub(super) fn reset(&mut self, from: NodeAddress, reset: &CallerReset) {
        let holder = self.targets.iter().position(|it| it.holds(&reset.key));
        if let Some(holder) = holder {
            let excused = self.is_disturbed(agent_address(holder)) || self.is_disturbed(from);
            if !excused {
                self.breach(Breach::LivingFlowReset);
            }
        }
        let packet = FlowPacket {
            key: reset.key,
            kind: PacketKind::Reset,
            sequence: reset.sequence,
            acknowledgement: 0,
            payload_length: 0,
        };
        self.events
            .push(self.now + Duration::from_millis(1), Event::ToCaller(packet));
    }

    pub(super) fn reach_caller(&mut self, packet: &FlowPacket) {
        for index in 0..self.callers.len() {
            let step = self.callers[index].receive(packet, self.now);
            self.caller_step(&step);
        }
    }
}
