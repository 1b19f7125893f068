//! Contents of the machine list, without I/O.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use woodladder_core::clock::Instant;

/// What runs on a machine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineRole {
    /// A balancer.
    Balancer,
    /// An agent beside a back end.
    Agent,
}

/// Whether a machine stays.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineState {
    /// In service.
    Live,
    /// About to be taken away.
    Leaving,
}

/// One entry of the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Address of the process's control socket.
    pub address: SocketAddr,
    /// What runs there.
    pub role: MachineRole,
    /// Whether it stays.
    pub state: MachineState,
}

/// Untruths which the list tells, at once.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MachineListOverride {
    /// Dead machines named as if they lived.
    pub add: Vec<Machine>,
    /// Live machines left out.
    pub omit: Vec<SocketAddr>,
}

#[derive(Clone, Debug)]
struct PendingList {
    visible_at: Instant,
    machines: Vec<Machine>,
}

/// The list as reported, with changes that are not visible yet.
#[derive(Clone, Debug)]
pub struct MachineListState {
    lag: Duration,
    visible: Vec<Machine>,
    pending: VecDeque<PendingList>,
    untruth: MachineListOverride,
}

impl MachineListState {
    /// A list which shows `machines` now and each change after `lag`.
    #[must_use]
    pub fn new(machines: Vec<Machine>, lag: Duration) -> Self {
        Self {
            lag,
            visible: machines,
            pending: VecDeque::new(),
            untruth: MachineListOverride::default(),
        }
    }

    /// Replaces the true list; visible after the lag.
    pub fn set_machines(&mut self, machines: Vec<Machine>, now: Instant) {
        self.pending.push_back(PendingList {
            visible_at: now + self.lag,
            machines,
        });
    }

    /// Changes the lag of later changes.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Replaces the untruths, at once.
    pub fn set_override(&mut self, untruth: MachineListOverride) {
        self.untruth = untruth;
    }

    /// The list as reported at this time, ordered by address.
    pub fn report(&mut self, now: Instant) -> Vec<Machine> {
        while let Some(due) = self.pending.front()
            && due.visible_at <= now
        {
            if let Some(due) = self.pending.pop_front() {
                self.visible = due.machines;
            }
        }
        let omit = &self.untruth.omit;
        let mut reported: Vec<Machine> = self
            .visible
            .iter()
            .filter(|machine| !omit.contains(&machine.address))
            .chain(&self.untruth.add)
            .copied()
            .collect();
        reported.sort_unstable();
        reported.dedup();
        reported
    }
}
