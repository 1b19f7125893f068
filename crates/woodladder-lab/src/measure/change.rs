//! Changes during a run: rolls and balancers that come and go.

use std::fmt;
use std::time::Duration;

use serde::Serialize;
use woodladder_core::clock::Instant;
use woodladder_core::configuration::bundle::{Target, TargetState};

use super::deployment::Deployment;

/// What changes during a run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// Nothing.
    Quiet,
    /// Rolls add cold targets.
    Expansion,
    /// A target of each service is drained, and later removed.
    Drain,
    /// A target of each service is drained while a cold one takes its place.
    Replacement,
    /// An added target goes when an older bundle is rolled forward again, and
    /// comes back.
    OlderBundle,
    /// Balancers are stopped and started as planned.
    BalancerRestarts,
    /// Balancers die without notice and others join; not planned.
    BalancerDeaths,
    /// All of the planned ones in one run.
    Together,
}

/// A bundle that comes into force.
#[derive(Clone, Debug)]
pub struct PlannedRoll {
    /// When it is rolled.
    pub at: Instant,
    /// Its targets.
    pub targets: Vec<Target>,
}

/// A balancer that comes or goes.
#[derive(Clone, Copy, Debug)]
pub struct BalancerChange {
    /// When.
    pub at: Instant,
    /// What happens.
    pub kind: BalancerChangeKind,
}

/// What happens to a balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BalancerChangeKind {
    /// A new one joins.
    Join,
    /// The oldest is stopped; the fabric stops sending to it first.
    Stop,
    /// The oldest dies; the fabric notices later.
    Die,
}

/// All changes of one run.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    /// Rolls in the order of time; the first is in force from the start.
    pub rolls: Vec<PlannedRoll>,
    /// Changes of balancers in the order of time.
    pub balancers: Vec<BalancerChange>,
}

/// Period of balancer changes, and the time between a join and a departure.
const BALANCER_PERIOD: Duration = Duration::from_secs(6);
const BALANCER_OVERLAP: Duration = Duration::from_secs(2);

impl ChangeKind {
    /// All kinds.
    pub const ALL: [Self; 8] = [
        Self::Quiet,
        Self::Expansion,
        Self::Drain,
        Self::Replacement,
        Self::OlderBundle,
        Self::BalancerRestarts,
        Self::BalancerDeaths,
        Self::Together,
    ];

    /// Whether operators plan such a change.
    #[must_use]
    pub fn is_planned(self) -> bool {
        self != Self::BalancerDeaths
    }

    /// The schedule over a deployment.
    #[must_use]
    pub fn schedule(self, deployment: &Deployment) -> Schedule {
        let mut builder = Builder::new(deployment);
        match self {
            Self::Quiet => {}
            Self::Expansion => {
                builder.add(40, 0);
                builder.add(60, 1);
            }
            Self::Drain => {
                builder.leave(45, 1);
                builder.remove(65, 1);
            }
            Self::Replacement => {
                builder.replace(45, 2, 0);
                builder.remove(65, 2);
            }
            Self::OlderBundle => {
                builder.add(40, 0);
                builder.roll_again(55, 0);
                builder.roll_again(70, 1);
            }
            Self::BalancerRestarts => builder.balancers(BalancerChangeKind::Stop),
            Self::BalancerDeaths => builder.balancers(BalancerChangeKind::Die),
            Self::Together => {
                builder.leave(42, 1);
                builder.add(48, 0);
                builder.roll_again(54, 1);
                builder.replace(60, 2, 1);
                builder.remove(68, 1);
                builder.remove(76, 2);
                builder.balancers(BalancerChangeKind::Stop);
            }
        }
        builder.schedule
    }
}

struct Builder<'a> {
    deployment: &'a Deployment,
    schedule: Schedule,
}

impl<'a> Builder<'a> {
    fn new(deployment: &'a Deployment) -> Self {
        let first = PlannedRoll {
            at: Instant::ORIGIN,
            targets: deployment.initial_targets(),
        };
        Self {
            deployment,
            schedule: Schedule {
                rolls: vec![first],
                balancers: Vec::new(),
            },
        }
    }

    fn current(&self) -> Vec<Target> {
        let last = self.schedule.rolls.last();
        last.map(|roll| roll.targets.clone()).unwrap_or_default()
    }

    fn roll(&mut self, second: u64, targets: Vec<Target>) {
        let at = seconds(second);
        self.schedule.rolls.push(PlannedRoll { at, targets });
    }

    /// Adds the `extra`th additional target of each service.
    fn add(&mut self, second: u64, extra: u16) {
        let mut targets = self.current();
        targets.extend(self.added(extra));
        self.roll(second, targets);
    }

    fn added(&self, extra: u16) -> Vec<Target> {
        let services = self.deployment.services.iter();
        services
            .map(|service| self.deployment.target(service, service.targets + extra))
            .collect()
    }

    fn leave(&mut self, second: u64, index: u16) {
        let targets = self.leaving(index);
        self.roll(second, targets);
    }

    fn leaving(&self, index: u16) -> Vec<Target> {
        let mut targets = self.current();
        let named = self.named(index);
        for target in &mut targets {
            if named.contains(&target.id) {
                target.state = TargetState::Leaving;
            }
        }
        targets
    }

    fn replace(&mut self, second: u64, index: u16, extra: u16) {
        let mut targets = self.leaving(index);
        targets.extend(self.added(extra));
        self.roll(second, targets);
    }

    fn remove(&mut self, second: u64, index: u16) {
        let named = self.named(index);
        let mut targets = self.current();
        targets.retain(|target| !named.contains(&target.id));
        self.roll(second, targets);
    }

    fn roll_again(&mut self, second: u64, position: usize) {
        let earlier = self.schedule.rolls.get(position);
        let targets = earlier.map(|roll| roll.targets.clone());
        self.roll(second, targets.unwrap_or_default());
    }

    fn named(&self, index: u16) -> Vec<woodladder_core::identifier::TargetId> {
        let services = self.deployment.services.iter();
        services
            .map(|service| self.deployment.target(service, index).id)
            .collect()
    }

    fn balancers(&mut self, departure: BalancerChangeKind) {
        let period = BALANCER_PERIOD;
        let mut at = seconds(32);
        while at < seconds(95) {
            let join = BalancerChange {
                at,
                kind: BalancerChangeKind::Join,
            };
            let depart = BalancerChange {
                at: at + BALANCER_OVERLAP,
                kind: departure,
            };
            self.schedule.balancers.extend([join, depart]);
            at = at + period;
        }
    }
}

fn seconds(count: u64) -> Instant {
    Instant::from_origin(Duration::from_secs(count))
}

impl fmt::Display for ChangeKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Quiet => "quiet",
            Self::Expansion => "expansion",
            Self::Drain => "drain",
            Self::Replacement => "replacement",
            Self::OlderBundle => "older-bundle",
            Self::BalancerRestarts => "balancer-restarts",
            Self::BalancerDeaths => "balancer-deaths",
            Self::Together => "together",
        })
    }
}
