//! Scenarios about the key-value service.

use std::time::Duration;

use super::{Draft, FAULTS_START};
use crate::simulation::deployment::{
    Deployment, FIRST_AGENTS, SECOND_AGENTS, SPARE_BALANCER, target_of,
};
use crate::simulation::fault::Fault;
use crate::simulation::store::StoreFaults;
use crate::simulation::topology::Machine;

/// The store is down while nodes start, join and are replaced.
pub fn outage(draft: &mut Draft) {
    let down = StoreFaults {
        down: true,
        ..StoreFaults::default()
    };
    let at = FAULTS_START + draft.random.milliseconds(0, 3_000);
    // A roll accepted just before must reach everybody through peers.
    let before = at - draft.random.milliseconds(20, 1_500);
    roll_leaving(draft, before, 2);
    draft.at(at, Fault::Store(down));
    let joins = at + draft.random.milliseconds(500, 3_000);
    draft.at(joins, Fault::Start(Machine::Balancer(SPARE_BALANCER)));
    let agent = Machine::Agent(SECOND_AGENTS[0]);
    draft.at(joins, Fault::Kill(agent));
    draft.at(joins + Duration::from_secs(1), Fault::Start(agent));
    let replaced = joins + draft.random.milliseconds(1_000, 4_000);
    let balancer = super::balancers::any_balancer(draft);
    draft.at(replaced, Fault::Kill(balancer));
    draft.at(replaced + Duration::from_secs(1), Fault::Start(balancer));
    let attempted = joins + Duration::from_secs(2);
    roll_leaving(draft, attempted, 3);
    if draft.random.chance(500) {
        let back = joins + Duration::from_secs(14);
        draft.at(back, Fault::Store(StoreFaults::default()));
        roll_leaving(draft, back + Duration::from_secs(1), 4);
    }
}

/// The store is slow, limits rates and loses answers to writes.
pub fn slow(draft: &mut Draft) {
    let faults = StoreFaults {
        slow: draft.random.milliseconds(50, 900),
        rate_limit: 300,
        lost_write: 400,
        lost_request: 100,
        ..StoreFaults::default()
    };
    draft.at(FAULTS_START, Fault::Store(faults));
    rolls(draft);
}

/// The store answers blocking reads late, twice or never.
pub fn watches(draft: &mut Draft) {
    let faults = StoreFaults {
        watch_late: 400,
        watch_twice: 300,
        watch_never: 300,
        ..StoreFaults::default()
    };
    draft.at(FAULTS_START, Fault::Store(faults));
    rolls(draft);
}

/// Three rolls in turn, the last early enough for its limit to show.
pub(super) fn rolls(draft: &mut Draft) {
    let mut at = FAULTS_START + Duration::from_secs(1);
    for version in 2..5 {
        roll_leaving(draft, at, version);
        at += draft.random.milliseconds(300, 7_000);
    }
}

fn roll_leaving(draft: &mut Draft, at: Duration, version: u64) {
    let target = target_of(draft.random.pick(&FIRST_AGENTS).unwrap_or(1));
    let bundle = Deployment::initial(draft.plan.site)
        .leaving(target)
        .bundle(version);
    let operator = u8::from(draft.random.chance(500));
    draft.at(at, Fault::Roll { operator, bundle });
}
