//! The platform's machine list, which lags and misleads.

use std::collections::{BTreeSet, VecDeque};

use woodladder_core::clock::Instant;
use woodladder_core::control::membership::{ListedMachine, ListedState};

use super::fault::ListFaults;
use super::topology::Machine;

/// States of the world that the list may still show.
const MAXIMUM_HISTORY: usize = 256;

/// Machines that run, over time.
#[derive(Clone, Debug, Default)]
pub struct MachineList {
    history: VecDeque<(Instant, BTreeSet<Machine>)>,
}

impl MachineList {
    /// Takes note that a machine runs from now on, or does not.
    pub fn changed(&mut self, machine: Machine, runs: bool, now: Instant) {
        let mut machines = self.latest();
        if runs {
            machines.insert(machine);
        } else {
            machines.remove(&machine);
        }
        self.history.push_back((now, machines));
        if self.history.len() > MAXIMUM_HISTORY {
            self.history.pop_front();
        }
    }

    /// What the list shows now.
    #[must_use]
    pub fn read(&self, faults: &ListFaults, now: Instant) -> Vec<ListedMachine> {
        let shown = |at: Instant| now.since(at) >= faults.lag;
        let state = self.history.iter().rfind(|(at, _)| shown(*at));
        let mut machines = state.map_or_else(BTreeSet::new, |(_, machines)| machines.clone());
        machines.extend(faults.named_dead.iter().copied());
        machines
            .into_iter()
            .filter(|machine| !faults.omitted.contains(machine))
            .map(|machine| ListedMachine {
                control_address: machine.control_address(),
                state: ListedState::Live,
            })
            .collect()
    }

    fn latest(&self) -> BTreeSet<Machine> {
        let latest = self.history.back();
        latest.map_or_else(BTreeSet::new, |(_, machines)| machines.clone())
    }
}
