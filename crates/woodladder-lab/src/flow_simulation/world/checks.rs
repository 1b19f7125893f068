//! Promises, as they are checked.

use super::*;

impl World {
    pub(super) fn disturb(&mut self, machine: NodeAddress) {
        self.disturbed.insert(machine, self.now);
    }

    pub(super) fn is_disturbed(&self, machine: NodeAddress) -> bool {
        self.disturbed
            .get(&machine)
            .is_some_and(|at| self.now.since(*at) < CUT_LASTS + CONTACT)
    }

    pub(super) fn breach(&mut self, breach: Breach) {
        let at = u64::try_from(self.now.since_origin().as_millis()).unwrap_or(u64::MAX);
        self.report.breaches.push((at, breach));
    }

    pub(super) fn check_version(&mut self, node: NodeAddress, version: u64) {
        let version = match self.mutation {
            Mutation::NodesForgetVersions if version > 1 => version % 2,
            _ => version,
        };
        let former = self.versions.insert(node, version).unwrap_or(0);
        if version < former {
            self.breach(Breach::VersionWentBack);
        }
    }

    pub(super) fn check_convergence(&mut self) {
        let latest = self.configuration.version;
        let behind = self
            .balancers
            .iter()
            .flatten()
            .any(|balancer| balancer.routes().version() < latest);
        let agents_behind = self
            .agents
            .iter()
            .flatten()
            .any(|agent| agent.configuration_version() < latest);
        if behind || agents_behind {
            self.breach(Breach::NotConverged);
        }
    }
}
