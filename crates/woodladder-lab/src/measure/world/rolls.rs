//! Rolls that reach nodes unevenly, and balancers that come and go.

use std::time::Duration;

use rand::Rng as _;

use super::World;
use super::balancer::BalancerModel;
use super::event::{BalancerIndex, Event, TargetIndex, VersionIndex};
use crate::measure::change::BalancerChangeKind;

/// Least and most time until a roll is in force at a node.
const ADOPTION_LEAST: f64 = 0.1;
const ADOPTION_MOST: f64 = 6.0;
/// Time until the fabric stops sending to a dead balancer.
const DEATH_NOTICE: Duration = Duration::from_secs(1);
/// Most rolls that a joining balancer is behind at first.
const JOIN_LAG: usize = 1;

impl World<'_> {
    pub(super) fn roll(&mut self, version: VersionIndex) {
        self.current = version;
        let first = version == 0;
        for balancer in 0..self.balancers.len() {
            let delay = self.adoption_delay(first);
            self.queue
                .after(delay, Event::BalancerAdopts(balancer, version));
        }
        for target in 0..self.targets.len() {
            let delay = self.adoption_delay(first);
            self.queue.after(delay, Event::AgentAdopts(target, version));
        }
    }

    fn adoption_delay(&mut self, first: bool) -> Duration {
        if first {
            return Duration::ZERO;
        }
        let seconds = self.random.random_range(ADOPTION_LEAST..ADOPTION_MOST);
        Duration::from_secs_f64(seconds)
    }

    pub(super) fn balancer_adopts(&mut self, balancer: BalancerIndex, version: VersionIndex) {
        let model = &mut self.balancers[balancer];
        model.version = model.version.max(version);
    }

    pub(super) fn agent_adopts(&mut self, target: TargetIndex, version: VersionIndex) {
        if !self.has_started(target, version) {
            return;
        }
        let now = self.queue.now();
        let directory = self.versions[version].directory.clone();
        let actions = self.targets[target].adopt(version, &directory, now);
        self.carry_out(target, actions);
    }

    /// Whether a target is in this or an earlier bundle.
    fn has_started(&self, target: TargetIndex, version: VersionIndex) -> bool {
        let id = self.targets[target].id;
        let directory = &self.versions[version].directory;
        directory.target(id).is_some()
    }

    pub(super) fn balancer_change(&mut self, index: usize) {
        match self.schedule.balancers[index].kind {
            BalancerChangeKind::Join => self.join_behind(),
            BalancerChangeKind::Stop => self.stop_oldest(),
            BalancerChangeKind::Die => self.kill_oldest(),
        }
    }

    /// A joining balancer may hear of an earlier roll first.
    fn join_behind(&mut self) {
        let version = self.current.saturating_sub(JOIN_LAG);
        let balancer = self.join_balancer(version);
        let delay = self.adoption_delay(false);
        self.queue
            .after(delay, Event::BalancerAdopts(balancer, self.current));
    }

    pub(super) fn join_balancer(&mut self, version: VersionIndex) -> BalancerIndex {
        let balancer = self.balancers.len();
        let zone = u16::try_from(balancer).unwrap_or_default() % self.deployment.zones;
        let model = BalancerModel::new(zone, version, self.targets.len());
        self.balancers.push(model);
        self.fabric.push(balancer);
        if self.run.way.polls() {
            self.schedule_poll(balancer);
        }
        balancer
    }

    fn stop_oldest(&mut self) {
        if self.fabric.len() > 1 {
            self.fabric.remove(0);
        }
    }

    fn kill_oldest(&mut self) {
        if let Some(balancer) = self.fabric.first().copied() {
            self.balancers[balancer].alive = false;
            self.queue
                .after(DEATH_NOTICE, Event::FabricNotices(balancer));
        }
    }

    pub(super) fn fabric_notices(&mut self, balancer: BalancerIndex) {
        self.fabric.retain(|known| *known != balancer);
    }
}
