//! Actions of the nodes, carried out.

use super::*;

impl World {
    pub(super) fn carry_out(&mut self, from: NodeAddress, actions: Vec<BalancerAction>) {
        for action in actions {
            match action {
                BalancerAction::Send { to, message } => self.send(from, to, message, None),
                BalancerAction::Forward { to, header, packet } => {
                    self.forward(from, to, header, &packet_bytes::read(&packet));
                }
                BalancerAction::Relay { to, packet } => {
                    let packet = packet_bytes::read(&packet);
                    self.send(from, to, PeerMessage::Relay, Some(packet));
                }
                BalancerAction::Reset(reset) => self.reset(from, &reset),
                BalancerAction::FetchSnapshot {
                    from: node,
                    request,
                } => {
                    self.fetch(from, node, request);
                }
            }
        }
    }

    pub(super) fn carry_out_agent(&mut self, from: NodeAddress, actions: Vec<AgentAction>) {
        for action in actions {
            match action {
                AgentAction::Send { to, message } => self.send(from, to, message, None),
                AgentAction::Deliver {
                    balancer, packet, ..
                } => {
                    let index = (0..AGENTS).find(|index| agent_address(*index) == from);
                    if let Some(index) = index {
                        self.deliver(index, balancer, &packet_bytes::read(&packet));
                    }
                }
                AgentAction::Return {
                    to,
                    message,
                    packet,
                } => self.send(from, to, message, Some(packet_bytes::read(&packet))),
                AgentAction::FetchSnapshot {
                    from: node,
                    request,
                } => {
                    self.fetch(from, node, request);
                }
            }
        }
    }

    /// Fetches a snapshot at once, or fails when the link is cut.
    pub(super) fn fetch(&mut self, to: NodeAddress, from: NodeAddress, request: SnapshotRequest) {
        let passes = self
            .links
            .arrival(from, to, self.now, &mut self.random)
            .is_some();
        let balancer = (0..BALANCERS).find(|index| balancer_address(*index) == from);
        let agent = (0..AGENTS).find(|index| agent_address(*index) == from);
        let snapshot = match (balancer, agent) {
            _ if !passes => None,
            (Some(index), _) => self.balancers[index]
                .as_ref()
                .map(|node| node.answer_snapshot_request(&request, self.now)),
            (_, Some(index)) => self.agents[index]
                .as_ref()
                .map(|node| node.answer_snapshot(&request, self.now)),
            _ => None,
        };
        let mut actions = Vec::new();
        if let Some(index) = (0..BALANCERS).find(|index| balancer_address(*index) == to)
            && let Some(node) = self.balancers[index].as_mut()
        {
            match snapshot {
                Some(snapshot) => node.handle_snapshot(from, snapshot, self.now, &mut actions),
                None => node.handle_snapshot_failure(from),
            }
            return self.carry_out(to, actions);
        }
        if let Some(index) = (0..AGENTS).find(|index| agent_address(*index) == to)
            && let Some(node) = self.agents[index].as_mut()
        {
            match snapshot {
                Some(snapshot) => node.apply_snapshot(from, snapshot, self.now),
                None => node.handle_snapshot_failure(from),
            }
        }
    }
}
