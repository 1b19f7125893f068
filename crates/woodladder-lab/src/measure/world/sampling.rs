//! Timers: sampling of imbalance, load endpoints, polls, and agents' timers.

use std::time::Duration;

use rand::Rng as _;
use woodladder_core::clock::Instant;

use super::World;
use super::event::{BalancerIndex, Event};
use crate::measure::workload::SURGE_END;

/// Time between samples of imbalance.
const SAMPLE_PERIOD: Duration = Duration::from_millis(10);
/// Time between runs of the agents' timers.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_millis(100);
/// Age of what a load endpoint shows, at most.
const LOAD_ENDPOINT_LAG: Duration = Duration::from_millis(500);
/// Time between polls of one balancer.
const POLL_PERIOD: Duration = Duration::from_secs(1);

impl World<'_> {
    pub(super) fn sample(&mut self) {
        let version = &self.versions[self.current];
        for service in &mut self.outcome.services {
            let active = self
                .targets
                .iter()
                .filter(|target| target.service == service.service && version.is_active(target.id));
            let shares: Vec<f64> = active.map(|target| target.busy_share()).collect();
            service.sample(shares.iter().copied());
        }
        if self.queue.now() < Instant::from_origin(SURGE_END) {
            self.queue.after(SAMPLE_PERIOD, Event::Sample);
        }
    }

    pub(super) fn housekeeping(&mut self) {
        let now = self.queue.now();
        for target in 0..self.targets.len() {
            let actions = self.targets[target].tick(now);
            self.carry_out(target, actions);
        }
        self.queue.after(HOUSEKEEPING_PERIOD, Event::Housekeeping);
    }

    pub(super) fn publish_loads(&mut self) {
        let now = self.queue.now();
        for target in &mut self.targets {
            target.publish(now);
        }
        self.queue.after(LOAD_ENDPOINT_LAG, Event::PublishLoads);
    }

    /// Polls of different balancers fall at different times.
    pub(super) fn schedule_poll(&mut self, balancer: BalancerIndex) {
        let delay = POLL_PERIOD.mul_f64(self.random.random());
        self.queue.after(delay, Event::Poll(balancer));
    }

    pub(super) fn poll(&mut self, balancer: BalancerIndex) {
        let published = self.targets.iter().map(|target| target.published);
        let model = &mut self.balancers[balancer];
        model.polled = published.collect();
        model.sent_since_poll.fill(0);
        if model.alive {
            self.queue.after(POLL_PERIOD, Event::Poll(balancer));
        }
    }
}
