//! Several scenarios at one time.

use super::Draft;
use super::{answers, balancers, rolls, store, targets};

const LEAST_PARTS: usize = 2;
const MOST_PARTS: usize = 6;

const PARTS: &[fn(&mut Draft)] = &[
    balancers::network,
    balancers::kill,
    balancers::stop,
    balancers::freeze,
    balancers::three_bundles,
    balancers::link_cut,
    targets::drain_in_surge,
    targets::cold_start,
    targets::agent_death,
    targets::false_health,
    targets::address_moves,
    answers::shedding,
    answers::bad_answers,
    answers::cancel_and_deadline,
    store::outage,
    store::slow,
    store::watches,
    rolls::operators_race,
    rolls::older_bundle,
    rolls::machine_list,
    rolls::control_traffic,
];

/// Several scenarios at one time, some of them twice.
pub fn mixed(draft: &mut Draft) {
    let parts = LEAST_PARTS + draft.random.below(MOST_PARTS - LEAST_PARTS + 1);
    for _ in 0..parts {
        if let Some(part) = draft.random.pick(PARTS) {
            part(draft);
        }
    }
}
