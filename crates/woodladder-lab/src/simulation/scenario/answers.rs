//! Scenarios about requests and their answers.

use std::time::Duration;

use super::{Draft, FAULTS_START};
use crate::simulation::back_end::BackEndFaults;
use crate::simulation::deployment::{FIRST_AGENTS, SECOND_AGENTS};
use crate::simulation::fault::Fault;

/// Back ends shed load under a surge.
pub fn shedding(draft: &mut Draft) {
    let faults = BackEndFaults {
        shed: 200,
        ..BackEndFaults::default()
    };
    set_all(draft, FAULTS_START, faults);
    draft.set_pace(Duration::from_millis(100));
    let at = draft.moment();
    draft.at(at, Fault::Pace(Duration::from_millis(40)));
}

/// Back ends answer late, answer half or close at random.
pub fn bad_answers(draft: &mut Draft) {
    let faults = BackEndFaults {
        shed: 30,
        late: 60,
        half: 60,
        closes: 60,
    };
    let at = FAULTS_START + draft.random.milliseconds(0, 3_000);
    set_all(draft, at, faults);
    draft.set_pace(Duration::from_millis(300));
}

/// Callers give up and deadlines pass while back ends are late.
pub fn cancel_and_deadline(draft: &mut Draft) {
    let faults = BackEndFaults {
        late: 200,
        ..BackEndFaults::default()
    };
    set_all(draft, FAULTS_START, faults);
    draft.set_pace(Duration::from_millis(150));
    draft.set_gives_up(250);
}

fn set_all(draft: &mut Draft, at: Duration, faults: BackEndFaults) {
    for agent in FIRST_AGENTS.into_iter().chain(SECOND_AGENTS) {
        draft.at(at, Fault::BackEnd(agent, faults));
    }
}
