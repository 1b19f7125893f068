//! Scenarios about rolls and how nodes hear of them.

use std::time::Duration;

use super::{Draft, FAULTS_START};
use crate::simulation::deployment::{
    Deployment, FIRST_AGENTS, SECOND_AGENTS, SPARE_AGENT, SPARE_BALANCER, target_of,
};
use crate::simulation::fault::{Fault, ListFaults};
use crate::simulation::network::LinkFaults;
use crate::simulation::store::StoreFaults;
use crate::simulation::topology::Machine;

/// Two operators roll at one moment; answers are lost, one freezes.
pub fn operators_race(draft: &mut Draft) {
    let site = draft.plan.site;
    let faults = StoreFaults {
        lost_write: 500,
        ..StoreFaults::default()
    };
    draft.at(FAULTS_START, Fault::Store(faults));
    let mut at = FAULTS_START + Duration::from_secs(1);
    for round in 0..3 {
        for operator in 0..2 {
            let target = target_of(FIRST_AGENTS[usize::from(operator)]);
            let version = 2 + 2 * round + u64::from(operator);
            let bundle = Deployment::initial(site).leaving(target).bundle(version);
            let late = draft.random.milliseconds(0, 8);
            draft.at(at + late, Fault::Roll { operator, bundle });
        }
        let frozen_at = at + draft.random.milliseconds(1, 20);
        let time = draft.random.milliseconds(500, 6_000);
        if draft.random.chance(500) {
            draft.at(frozen_at, Fault::Freeze(Machine::Operator(1), time));
        }
        if round == 0 && draft.random.chance(300) {
            // The service stays away for longer than a command tries to find
            // out what came of its write.
            let gone = StoreFaults {
                down_at_swap: Some(draft.random.chance(500)),
                ..StoreFaults::default()
            };
            draft.at(at, Fault::Store(gone));
            return;
        }
        at += draft.random.milliseconds(1_000, 8_000);
    }
}

/// An older bundle is rolled forward while a node joins.
pub fn older_bundle(draft: &mut Draft) {
    let site = draft.plan.site;
    let target = target_of(draft.random.pick(&FIRST_AGENTS).unwrap_or(1));
    let at = FAULTS_START + draft.random.milliseconds(0, 2_000);
    let newer = Deployment::initial(site).leaving(target).bundle(2);
    let older = Deployment::initial(site).bundle(1);
    draft.at(
        at,
        Fault::Roll {
            operator: 0,
            bundle: newer,
        },
    );
    let again = at + draft.random.milliseconds(50, 9_000);
    draft.at(
        again,
        Fault::Roll {
            operator: 1,
            bundle: older,
        },
    );
    let joins = again - Duration::from_millis(50) + draft.random.milliseconds(0, 300);
    draft.at(joins, Fault::Start(Machine::Balancer(SPARE_BALANCER)));
    // One node lags behind, because only the joiner's traffic reaches it, and
    // another, because it is frozen until the joiner is there.
    let lagging = Machine::Agent(FIRST_AGENTS[0]);
    let isolated = at - Duration::from_millis(500);
    let joiner = Machine::Balancer(SPARE_BALANCER);
    draft.at(
        isolated,
        Fault::Isolate {
            machine: lagging,
            except: joiner,
        },
    );
    let mended = joins + draft.random.milliseconds(500, 4_000);
    draft.at(mended, Fault::Mend(lagging));
    let time = draft.random.milliseconds(2_000, 9_000);
    draft.at(isolated, Fault::Freeze(Machine::Balancer(1), time));
    if draft.random.chance(500) {
        let down = StoreFaults {
            down: true,
            ..StoreFaults::default()
        };
        let late = Duration::from_millis(40);
        draft.at(joins.max(again + late), Fault::Store(down));
        draft.at(mended, Fault::Store(StoreFaults::default()));
    }
}

/// The machine list lags, names dead machines and omits live ones.
pub fn machine_list(draft: &mut Draft) {
    let faults = ListFaults {
        lag: draft.random.milliseconds(1_000, 20_000),
        named_dead: vec![
            Machine::Balancer(200),
            Machine::Agent(201),
            Machine::Agent(202),
        ],
        omitted: vec![Machine::Agent(SECOND_AGENTS[1]), Machine::Balancer(3)],
    };
    draft.at(Duration::from_secs(1), Fault::List(faults));
    let joins = draft.moment();
    draft.at(joins, Fault::Start(Machine::Balancer(SPARE_BALANCER)));
    draft.at(joins, Fault::Start(Machine::Agent(SPARE_AGENT)));
    let gone = draft.moment();
    draft.at(gone, Fault::Kill(Machine::Balancer(2)));
    super::store::rolls(draft);
}

/// Control traffic is lost, duplicated, reordered and forged.
pub fn control_traffic(draft: &mut Draft) {
    let faults = LinkFaults {
        loss: 300,
        duplicate: 200,
        reorder: 300,
        reorder_delay: Duration::from_secs(2),
    };
    draft.at(FAULTS_START, Fault::ControlLinks(faults));
    for _ in 0..6 {
        let at = draft.moment();
        draft.at(at, Fault::Forge);
    }
    super::store::rolls(draft);
}
