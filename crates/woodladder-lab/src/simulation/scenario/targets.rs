//! Scenarios about targets: draining, cold starts, deaths and moved addresses.

use std::time::Duration;

use woodladder_core::identifier::TargetId;

use super::{Draft, FAULTS_START};
use crate::simulation::back_end::BackEndFaults;
use crate::simulation::deployment::{
    Deployment, FIRST_AGENTS, FIRST_SERVICE, SECOND_AGENTS, SECOND_SERVICE, SPARE_AGENT, target_of,
};
use crate::simulation::fault::Fault;
use crate::simulation::topology::Machine;

const SURGE_PACE: Duration = Duration::from_millis(120);
/// Target that takes over a machine's address.
const MOVED_TARGET: TargetId = TargetId(20);

/// Targets leave, by a roll or a stop, while callers ask at a high pace.
pub fn drain_in_surge(draft: &mut Draft) {
    let site = draft.plan.site;
    draft.set_pace(SURGE_PACE);
    let leaving = draft.random.pick(&FIRST_AGENTS).unwrap_or(1);
    let target = target_of(leaving);
    let at = FAULTS_START + draft.random.milliseconds(0, 4_000);
    draft.at(at, Fault::Start(Machine::Agent(SPARE_AGENT)));
    let base = Deployment::initial(site).with(SPARE_AGENT, target_of(SPARE_AGENT), FIRST_SERVICE);
    let by_removal = draft.random.chance(300);
    let first = if by_removal {
        base.clone().without(target)
    } else {
        base.clone().leaving(target)
    };
    let bundle = first.bundle(2);
    draft.at(
        at,
        Fault::Roll {
            operator: 0,
            bundle,
        },
    );
    let stopped = SECOND_AGENTS[draft.random.below(SECOND_AGENTS.len())];
    let stop_at = at + draft.random.milliseconds(500, 6_000);
    draft.at(stop_at, Fault::Stop(Machine::Agent(stopped)));
    let stop_at = at + draft.random.milliseconds(2_000, 12_000);
    draft.at(stop_at, Fault::Stop(Machine::Agent(leaving)));
}

/// Back ends crash and come back cold.
pub fn cold_start(draft: &mut Draft) {
    for _ in 0..2 {
        let agent = any_agent(draft);
        let at = draft.moment();
        let back = at + draft.random.milliseconds(300, 4_000);
        draft.at(at, Fault::BackEndCrash(agent));
        draft.at(back, Fault::BackEndStart(agent));
    }
}

/// Agents are killed or frozen and come back with nothing.
pub fn agent_death(draft: &mut Draft) {
    for _ in 0..2 {
        let agent = Machine::Agent(any_agent(draft));
        let at = draft.moment();
        if draft.random.chance(300) {
            let time = draft.random.milliseconds(500, 9_000);
            draft.at(at, Fault::Freeze(agent, time));
        } else {
            let back = at + draft.random.milliseconds(100, 4_000);
            draft.at(at, Fault::Kill(agent));
            draft.at(back, Fault::Start(agent));
        }
    }
}

/// Back ends report false health and load.
pub fn false_health(draft: &mut Draft) {
    for _ in 0..3 {
        let agent = any_agent(draft);
        let at = draft.moment();
        let until = at + draft.random.milliseconds(1_000, 8_000);
        let healthy = draft.random.chance(500);
        draft.at(at, Fault::ReportHealth(agent, Some(healthy)));
        draft.at(until, Fault::ReportHealth(agent, None));
        if draft.random.chance(400) {
            draft.at(at, Fault::BackEndCrash(agent));
            draft.at(until, Fault::BackEndStart(agent));
        }
    }
    let faults = BackEndFaults {
        shed: 200,
        ..BackEndFaults::default()
    };
    let agent = any_agent(draft);
    let at = draft.moment();
    draft.at(at, Fault::BackEnd(agent, faults));
}

/// An address moves to another service, or to another target of its own,
/// while a balancer is frozen or hears of no roll.
pub fn address_moves(draft: &mut Draft) {
    let site = draft.plan.site;
    let moved = draft.random.pick(&FIRST_AGENTS).unwrap_or(1);
    let at = FAULTS_START + draft.random.milliseconds(0, 2_000);
    let frozen_for = draft.random.milliseconds(9_000, 16_000);
    let balancer = Machine::Balancer(1);
    if draft.random.chance(500) {
        draft.at(at, Fault::Freeze(balancer, frozen_for));
    } else {
        let except = Machine::MachineList;
        let machine = balancer;
        draft.at(at, Fault::Isolate { machine, except });
        draft.at(at + frozen_for, Fault::Mend(balancer));
    }
    let service = if draft.random.chance(300) {
        FIRST_SERVICE
    } else {
        SECOND_SERVICE
    };
    let stop_at = at + Duration::from_millis(300);
    draft.at(stop_at, Fault::Stop(Machine::Agent(moved)));
    let replaced_at = at + draft.random.milliseconds(2_000, 5_000);
    let kill = Fault::Kill(Machine::Agent(moved));
    draft.at(replaced_at, kill);
    draft.at(
        replaced_at,
        Fault::Replace {
            agent: moved,
            target: MOVED_TARGET,
            service,
        },
    );
    let bundle = Deployment::initial(site)
        .without(target_of(moved))
        .with(moved, MOVED_TARGET, service)
        .bundle(2);
    let early = draft.random.milliseconds(0, 3_000);
    let rolled_at = replaced_at + early - Duration::from_secs(1);
    draft.at(
        rolled_at,
        Fault::Roll {
            operator: 0,
            bundle,
        },
    );
}

pub(super) fn any_agent(draft: &mut Draft) -> u8 {
    let agents: Vec<u8> = FIRST_AGENTS.into_iter().chain(SECOND_AGENTS).collect();
    draft.random.pick(&agents).unwrap_or(1)
}
