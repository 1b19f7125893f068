//! Faults as they strike and end.

use super::*;

impl World {
    pub(super) fn strike(&mut self, fault: Fault) {
        self.report.faults += 1;
        match fault {
            Fault::KillBalancer(index) => {
                self.disturb(balancer_address(index));
                self.balancers[index] = None;
                self.events
                    .push(self.now + DOWN_LASTS, Event::RestoreBalancer(index));
            }
            Fault::KillAgent(index) => {
                self.disturb(agent_address(index));
                let mut agent = self.new_agent(index);
                agent.record_listen_state(self.listen_state(index));
                self.agents[index] = Some(agent);
            }
            Fault::PowerLoss(index) => {
                self.disturb(agent_address(index));
                self.agents[index] = None;
                self.targets[index].runs = false;
                self.events
                    .push(self.now + DOWN_LASTS, Event::RestorePower(index));
            }
            Fault::Reassign(index) => self.reassign(index),
            Fault::CutAgent(index) => self.cut(agent_address(index)),
            Fault::CutBalancer(index) => self.cut(balancer_address(index)),
            Fault::Replace(index) => self.replace(index),
            Fault::Configure => self.configure(),
            Fault::StoreDown => {
                self.store_is_up = false;
                self.events
                    .push(self.now + STORE_DOWN_LASTS, Event::StoreUp);
            }
            Fault::Shift => self.shift += 1,
            Fault::StopAgent(index, away) => self.stop_agent(index, away),
            Fault::StopBalancer(index, away) => self.stop_balancer(index, away),
        }
    }

    /// A machine loses power, and its address is used by the other service.
    pub(super) fn reassign(&mut self, index: usize) {
        let service = self.assigned[index];
        let same = self.assigned.iter().filter(|it| **it == service).count();
        let other = self.assigned.iter().find(|it| **it != service).copied();
        let (Some(other), true) = (other, same > 1 && self.agents[index].is_some()) else {
            return;
        };
        self.disturb(agent_address(index));
        self.agents[index] = None;
        self.targets[index].runs = false;
        self.assigned[index] = other;
        self.events
            .push(self.now + REUSED_AFTER, Event::RestorePower(index));
    }

    pub(super) fn cut(&mut self, machine: NodeAddress) {
        self.disturb(machine);
        self.links.cut(machine);
        self.events.push(self.now + CUT_LASTS, Event::Heal(machine));
    }

    /// A target says that it leaves; after a while another one runs there.
    pub(super) fn replace(&mut self, index: usize) {
        let target = &mut self.targets[index];
        if !target.runs || target.leaving {
            return;
        }
        target.leaving = true;
        let after = Duration::from_millis(self.random.random_range(3000..6000));
        self.events
            .push(self.now + after, Event::RestorePower(index));
    }

    pub(super) fn restore_power(&mut self, index: usize) {
        let target = self.new_target(index);
        self.targets[index] = target;
        if self.agents[index].is_none() {
            let mut agent = self.new_agent(index);
            agent.record_listen_state(ListenState::NotListening);
            self.agents[index] = Some(agent);
        }
    }
}
