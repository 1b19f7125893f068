//! Planned stops of nodes: no promise is excused by them.

use super::*;

/// Time for which a stopping agent still forwards packets.
const AGENT_DRAIN: Duration = Duration::from_millis(300);
/// Time for which a stopping balancer still forwards packets.
const BALANCER_DRAIN: Duration = Duration::from_millis(800);

impl World {
    /// An agent whose target runs is told to stop.
    pub(super) fn stop_agent(&mut self, index: usize, away: Duration) {
        if !self.targets[index].runs {
            return;
        }
        let Some(agent) = self.agents[index].as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        agent.begin_shutdown(self.now);
        agent.tick(self.now, &mut actions);
        agent.announce_stop(&mut actions);
        self.carry_out_agent(agent_address(index), actions);
        self.events
            .push(self.now + AGENT_DRAIN, Event::EndAgent(index, away));
    }

    /// The process of a stopping agent ends, unless the machine has started another one
    /// meanwhile.
    pub(super) fn end_agent(&mut self, index: usize, away: Duration) {
        let target_runs = self.targets[index].runs;
        let Some(agent) = self.agents[index].as_mut() else {
            return;
        };
        if !agent.is_stopping() {
            return;
        }
        let mut actions = Vec::new();
        if target_runs {
            agent.announce_stop(&mut actions);
        } else {
            agent.announce_target_end(&mut actions);
        }
        self.carry_out_agent(agent_address(index), actions);
        self.agents[index] = None;
        self.events
            .push(self.now + away, Event::RestoreAgent(index));
    }

    /// The next process of a stopped agent starts.
    pub(super) fn restore_agent(&mut self, index: usize) {
        if self.agents[index].is_some() {
            return;
        }
        let mut agent = self.new_agent(index);
        agent.record_listen_state(self.listen_state(index));
        self.agents[index] = Some(agent);
    }

    /// A balancer is told to stop.
    pub(super) fn stop_balancer(&mut self, index: usize, away: Duration) {
        let now = self.now;
        let Some(balancer) = self.balancers[index].as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        balancer.leave(now, &mut actions);
        self.carry_out(balancer_address(index), actions);
        self.events
            .push(now + BALANCER_DRAIN, Event::EndBalancer(index, away));
    }

    /// The process of a stopping balancer ends, unless the machine has started another one
    /// meanwhile.
    pub(super) fn end_balancer(&mut self, index: usize, away: Duration) {
        let stops =
            |balancer: &Balancer| balancer.check_ready(self.now) == Err(NotReadyReason::Leaving);
        if self.balancers[index].as_ref().is_some_and(stops) {
            self.balancers[index] = None;
            self.events
                .push(self.now + away, Event::RestoreBalancer(index));
        }
    }

    /// What a listen probe of an agent shows.
    pub(super) fn listen_state(&self, index: usize) -> ListenState {
        if self.targets[index].runs {
            ListenState::Listening
        } else {
            ListenState::NotListening
        }
    }
}
