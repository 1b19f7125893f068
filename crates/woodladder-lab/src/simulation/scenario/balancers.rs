//! Scenarios about balancers and the network before them.

use std::time::Duration;

use woodladder_core::configuration::bundle::Bundle;

use super::{CALLERS_START, Draft, FAULTS_START};
use crate::simulation::deployment::{
    BALANCERS, Deployment, FIRST_AGENTS, FIRST_SERVICE, SPARE_AGENT, SPARE_BALANCER, target_of,
};
use crate::simulation::fault::Fault;
use crate::simulation::network::LinkFaults;
use crate::simulation::topology::Machine;

/// Longer than the lease after which a node does not trust its state.
const LEAST_FREEZE: u64 = 6_000;
const MOST_FREEZE: u64 = 14_000;

/// Callers' datagrams are lost, duplicated and reordered.
pub fn network(draft: &mut Draft) {
    let faults = LinkFaults {
        loss: 20 + u32::try_from(draft.random.below(100)).unwrap_or_default(),
        duplicate: 50,
        reorder: 100,
        reorder_delay: draft.random.milliseconds(5, 200),
    };
    let at = draft.moment();
    draft.at(at, Fault::DataLinks(faults));
}

/// Balancers are killed and started again.
pub fn kill(draft: &mut Draft) {
    for _ in 0..2 {
        let balancer = any_balancer(draft);
        let at = draft.moment();
        let back = at + draft.random.milliseconds(200, 6_000);
        draft.at(at, Fault::Kill(balancer));
        draft.at(back, Fault::Start(balancer));
    }
}

/// Balancers are stopped as planned, and others join.
pub fn stop(draft: &mut Draft) {
    let join = FAULTS_START + draft.random.milliseconds(0, 2_000);
    draft.at(join, Fault::Start(Machine::Balancer(SPARE_BALANCER)));
    let mut at = join + Duration::from_secs(4);
    for number in 1..BALANCERS {
        draft.at(at, Fault::Stop(Machine::Balancer(number)));
        let back = at + draft.random.milliseconds(2_500, 4_000);
        draft.at(back, Fault::Start(Machine::Balancer(number)));
        at = back + Duration::from_secs(4);
    }
}

/// A balancer is frozen for longer than a lease and wakes during a roll.
/// Another is frozen while flows are opened, and wakes with their first packets
/// before it.
pub fn freeze(draft: &mut Draft) {
    let at = CALLERS_START + draft.random.milliseconds(0, 1_000);
    let time = draft.random.milliseconds(LEAST_FREEZE, MOST_FREEZE);
    let sleeper = any_balancer(draft);
    draft.at(at, Fault::Freeze(sleeper, time));
    let balancer = any_balancer(draft);
    let at = draft.moment().min(Duration::from_secs(15));
    let time = draft.random.milliseconds(LEAST_FREEZE, MOST_FREEZE);
    draft.at(at, Fault::Freeze(balancer, time));
    let roll_at = at + draft.random.between(Duration::ZERO, time);
    let target = target_of(draft.random.pick(&FIRST_AGENTS).unwrap_or(1));
    let bundle = Deployment::initial(draft.plan.site)
        .leaving(target)
        .bundle(2);
    draft.at(
        roll_at,
        Fault::Roll {
            operator: 0,
            bundle,
        },
    );
}

/// Balancers hold three different bundles at one time: one hears of neither
/// roll, one of the first only. Callers' packets go through all of them.
pub fn three_bundles(draft: &mut Draft) {
    let site = draft.plan.site;
    let at = FAULTS_START + draft.random.milliseconds(0, 2_000);
    let unaware = Machine::Balancer(1);
    let behind = Machine::Balancer(2);
    isolate(draft, at, unaware);
    draft.at(at, Fault::Start(Machine::Agent(SPARE_AGENT)));
    let second = Deployment::initial(site).with(SPARE_AGENT, target_of(SPARE_AGENT), FIRST_SERVICE);
    let rolled = at + Duration::from_secs(1);
    roll(draft, rolled, 0, second.bundle(2));
    let isolated = rolled + Duration::from_secs(2);
    isolate(draft, isolated, behind);
    let leaving = target_of(draft.random.pick(&FIRST_AGENTS).unwrap_or(1));
    let third = second.without(leaving);
    let rolled = isolated + draft.random.milliseconds(500, 2_000);
    roll(draft, rolled, 1, third.bundle(3));
    // Long enough for agents to fence off what the first two still route by.
    let mended = rolled + draft.random.milliseconds(2_000, 16_000);
    draft.at(mended, Fault::Mend(unaware));
    draft.at(mended, Fault::Mend(behind));
}

fn isolate(draft: &mut Draft, at: Duration, machine: Machine) {
    let except = Machine::MachineList;
    draft.at(at, Fault::Isolate { machine, except });
}

fn roll(draft: &mut Draft, at: Duration, operator: u8, bundle: Bundle) {
    draft.at(at, Fault::Roll { operator, bundle });
}

/// Links from balancers to agents are cut in one direction.
pub fn link_cut(draft: &mut Draft) {
    for _ in 0..2 {
        let balancer = any_balancer(draft);
        let agent = Machine::Agent(draft.random.pick(&FIRST_AGENTS).unwrap_or(1));
        let at = draft.moment();
        let mended = at + draft.random.milliseconds(500, 4_000);
        if draft.random.chance(500) {
            draft.at(at, Fault::Cut(balancer, agent));
        } else {
            draft.at(at, Fault::Cut(agent, balancer));
        }
        draft.at(mended, Fault::Mend(balancer));
    }
}

pub(super) fn any_balancer(draft: &mut Draft) -> Machine {
    let number = 1 + draft.random.below(usize::from(BALANCERS));
    Machine::Balancer(u8::try_from(number).unwrap_or(1))
}
