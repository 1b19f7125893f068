//! Messages that arrive, and packets at targets.

use super::*;

impl World {
    pub(super) fn message(
        &mut self,
        from: NodeAddress,
        to: NodeAddress,
        message: PeerMessage,
        packet: Option<FlowPacket>,
    ) {
        if let Some(index) = (0..BALANCERS).find(|index| balancer_address(*index) == to) {
            let Some(balancer) = self.balancers[index].as_mut() else {
                return;
            };
            let Some(message) = mutated(message, self.mutation) else {
                return;
            };
            let mut actions = Vec::new();
            let bytes = packet.as_ref().map(packet_bytes::write);
            let packet = packet.as_ref().zip(bytes.as_deref());
            balancer.handle_message(from, message, packet, self.now, &mut actions);
            return self.carry_out(to, actions);
        }
        let Some(index) = (0..AGENTS).find(|index| agent_address(*index) == to) else {
            return;
        };
        match (message, packet) {
            (PeerMessage::Forward(header), Some(packet)) => {
                self.forwarded(index, from, header, &packet);
            }
            (message, _) => {
                let Some(agent) = self.agents[index].as_mut() else {
                    return;
                };
                let mut actions = Vec::new();
                agent.handle_message(from, &message, self.now, &mut actions);
                self.carry_out_agent(to, actions);
            }
        }
    }

    pub(super) fn forwarded(
        &mut self,
        index: usize,
        from: NodeAddress,
        header: ForwardHeader,
        packet: &FlowPacket,
    ) {
        let Some(agent) = self.agents[index].as_mut() else {
            return;
        };
        let bytes = packet_bytes::write(packet);
        let mut delivery = agent.handle_forwarded_packet(from, &header, packet, &bytes, self.now);
        let is_search = header.purpose == ForwardPurpose::Search;
        if self.mutation == Mutation::AgentsDenyAll && is_search {
            let keys = vec![packet.key];
            delivery = ForwardDecision::Reply(PeerMessage::NotHeld { keys }, ReplyBody::Empty);
        }
        let is_open = packet.kind == PacketKind::Open;
        let ignores_drain = self.mutation == Mutation::AgentsIgnoreDrain && is_open;
        if ignores_drain || self.mutation == Mutation::AgentsDeliverAll {
            delivery = ForwardDecision::Deliver {
                reply: None,
                begins_request: false,
            };
        }
        let address = agent_address(index);
        match delivery {
            ForwardDecision::Deliver { reply, .. } => {
                if let Some(message) = reply {
                    self.send(address, from, message, None);
                }
                self.deliver(index, from, packet);
            }
            ForwardDecision::Reply(message, ReplyBody::Packet) => {
                self.send(address, from, message, Some(*packet));
            }
            ForwardDecision::Queued(message)
            | ForwardDecision::Reply(message, ReplyBody::Empty) => {
                self.send(address, from, message, None);
            }
            ForwardDecision::NoReply => {}
        }
        self.serve_queue(index);
    }

    fn serve_queue(&mut self, index: usize) {
        let Some(agent) = self.agents[index].as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        agent.dispatch_queued(self.now, &mut actions);
        self.carry_out_agent(agent_address(index), actions);
    }

    pub(super) fn deliver(&mut self, index: usize, from: NodeAddress, packet: &FlowPacket) {
        let target = &mut self.targets[index];
        if !target.runs {
            return;
        }
        let allowed = self.services.get(&packet.key.service);
        let is_allowed = allowed.is_some_and(|services| services.contains(&target.service));
        let was_leaving = target.leaving_acknowledged;
        let is_new = packet.kind == PacketKind::Open && !target.holds(&packet.key);
        let (opens, reaction) = target.receive(packet);
        if !is_allowed {
            self.breach(Breach::WrongService);
        }
        if is_new && was_leaving && !opens {
            self.breach(Breach::OpenedAfterDrain);
        }
        match reaction {
            Reaction::GiveBack => self.depart(index, packet, Some(from)),
            Reaction::Send(answer) => self.depart(index, &answer, None),
            Reaction::Begin => self.begin_work(index, &packet.key),
            Reaction::Nothing => {}
        }
    }

    pub(super) fn begin_work(&mut self, agent: usize, key: &FlowKey) {
        let caller = self.callers.iter().find(|caller| caller.key == *key);
        if let Some(caller) = caller {
            let may_repeat = caller.may_repeat;
            let name = (*key.caller.ip(), caller.request);
            let runs = self.runs.entry(name).or_default();
            *runs += 1;
            if *runs > 1 && !may_repeat {
                self.breach(Breach::RanTwice);
            }
        }
        let incarnation = self.targets[agent].incarnation.0;
        self.events.push(
            self.now + WORK,
            Event::Work {
                agent,
                incarnation,
                key: *key,
            },
        );
    }

    pub(super) fn work_done(&mut self, agent: usize, incarnation: u64, key: &FlowKey) {
        let target = &mut self.targets[agent];
        if target.incarnation.0 != incarnation {
            return;
        }
        if let Some(answer) = target.answer(key) {
            self.depart(agent, &answer, None);
        }
    }

    pub(super) fn depart(
        &mut self,
        index: usize,
        packet: &FlowPacket,
        returned_to: Option<NodeAddress>,
    ) {
        let address = agent_address(index);
        let Some(agent) = self.agents[index].as_mut() else {
            return;
        };
        match agent.handle_target_packet(packet, returned_to, self.now) {
            TargetPacketDecision::ToCaller(tell) => {
                if let Some((to, message)) = tell {
                    self.send(address, to, message, None);
                }
                self.events.push(
                    self.now + Duration::from_millis(1),
                    Event::ToCaller(*packet),
                );
            }
            TargetPacketDecision::Returned { to, message, body } => {
                let packet = (body == ReplyBody::Packet).then_some(*packet);
                self.send(address, to, message, packet);
            }
        }
        self.serve_queue(index);
    }
}

/// A message to a balancer as a faulty product would take it; `None` if it would ignore it.
fn mutated(message: PeerMessage, mutation: Mutation) -> Option<PeerMessage> {
    match (message, mutation) {
        (PeerMessage::AgentStops { .. }, Mutation::BalancersIgnoreStops) => None,
        (PeerMessage::MayBeHeld { keys }, Mutation::UndecidedCountsAsDenial) => {
            Some(PeerMessage::NotHeld { keys })
        }
        (message, _) => Some(message),
    }
}
