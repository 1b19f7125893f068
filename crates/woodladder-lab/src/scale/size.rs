//! How many nodes, targets and services a run has, and where they are.

use std::net::{Ipv4Addr, SocketAddr};

use woodladder_core::configuration::bundle::Zone;
use woodladder_core::control::membership::{Locality, Role};
use woodladder_core::identifier::TargetId;

/// Zones of the deployment, by region.
const ZONES: [(&str, &str); 7] = [
    ("north", "n1"),
    ("north", "n2"),
    ("north", "n3"),
    ("east", "e1"),
    ("east", "e2"),
    ("south", "s1"),
    ("south", "s2"),
];
/// Control port of every node.
const CONTROL_PORT: u16 = 7000;

/// Size of a deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
pub struct DeploymentSize {
    /// Balancers.
    pub balancers: usize,
    /// Agents; each takes part in the control traffic like a balancer.
    pub agents: usize,
    /// Targets in the bundle, whether or not their agents take part.
    pub targets: u32,
    /// Services in the bundle, one address each.
    pub services: u32,
    /// Targets that earlier rolls removed and that linger.
    pub retired: u32,
    /// Whether all nodes hold one copy of the roll in force, so that more of
    /// them fit; each still makes and checks its own.
    pub shared: bool,
}

/// Position of a node among all nodes ever started.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct NodeIndex(pub usize);

impl DeploymentSize {
    /// Nodes that take part in the control traffic.
    #[must_use]
    pub fn nodes(&self) -> usize {
        self.balancers + self.agents
    }

    /// Target that a node stands beside: agents one each, in the order of both.
    pub(super) fn target(&self, node: NodeIndex) -> Option<TargetId> {
        let position = node.0.checked_sub(self.balancers)?;
        let target = u32::try_from(position).ok()?;
        (target < self.targets).then_some(TargetId(target))
    }

    pub(super) fn role(&self, node: NodeIndex) -> Role {
        if node.0 < self.balancers {
            Role::Balancer
        } else {
            Role::Agent
        }
    }
}

impl NodeIndex {
    pub(super) fn control(self) -> SocketAddr {
        let number = u32::try_from(self.0).unwrap_or(u32::MAX);
        let [_, high, middle, low] = number.to_be_bytes();
        SocketAddr::from((Ipv4Addr::new(10, high, middle, low), CONTROL_PORT))
    }

    pub(super) fn from_control(control: SocketAddr) -> Option<Self> {
        let SocketAddr::V4(control) = control else {
            return None;
        };
        let [_, high, middle, low] = control.ip().octets();
        usize::try_from(u32::from_be_bytes([0, high, middle, low]))
            .ok()
            .map(Self)
    }

    /// Name of the region that the node is in.
    pub(super) fn region(self) -> &'static str {
        ZONES[self.0 % ZONES.len()].0
    }

    /// Name of the zone that the node is in.
    pub(super) fn zone(self) -> &'static str {
        ZONES[self.0 % ZONES.len()].1
    }

    pub(super) fn locality(self) -> Locality {
        Locality::new(self.region(), self.zone())
    }
}

/// The zones as a bundle lists them.
pub(super) fn bundle_zones() -> Vec<Zone> {
    ZONES
        .iter()
        .map(|(region, name)| Zone {
            name: (*name).to_owned(),
            region: (*region).to_owned(),
        })
        .collect()
}
