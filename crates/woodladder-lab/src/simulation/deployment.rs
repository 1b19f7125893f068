//! What the operators of a world deploy: two services, their targets, and the
//! bundles over them.

use std::net::SocketAddr;

use woodladder_core::configuration::bundle::{Bundle, Service, Target, TargetState, Zone};
use woodladder_core::identifier::{ServiceId, TargetId};

use super::topology::{Machine, Site, service_address};

/// The first service.
pub const FIRST_SERVICE: ServiceId = ServiceId(1);
/// The second service.
pub const SECOND_SERVICE: ServiceId = ServiceId(2);
/// Balancers that run from the start.
pub const BALANCERS: u8 = 3;
/// Number of the balancer that may join.
pub const SPARE_BALANCER: u8 = 4;
/// Agents of the first service that run from the start.
pub const FIRST_AGENTS: [u8; 3] = [1, 2, 3];
/// Agents of the second service that run from the start.
pub const SECOND_AGENTS: [u8; 2] = [4, 5];
/// Number of the agent that may join the first service.
pub const SPARE_AGENT: u8 = 6;
/// Slots of each back end.
pub const SLOTS: u16 = 5;

const CONNECTIONS: u32 = 2000;

/// The targets of one bundle, to be edited before it is built.
#[derive(Clone, Debug)]
pub struct Deployment {
    site: Site,
    targets: Vec<Target>,
}

impl Deployment {
    /// The targets that run from the start.
    #[must_use]
    pub fn initial(site: Site) -> Self {
        let first = FIRST_AGENTS.map(|agent| (agent, FIRST_SERVICE));
        let second = SECOND_AGENTS.map(|agent| (agent, SECOND_SERVICE));
        let mut deployment = Self {
            site,
            targets: Vec::new(),
        };
        for (agent, service) in first.into_iter().chain(second) {
            deployment = deployment.with(agent, target_of(agent), service);
        }
        deployment
    }

    /// Adds a target on an agent's machine.
    #[must_use]
    pub fn with(mut self, agent: u8, target: TargetId, service: ServiceId) -> Self {
        let machine = Machine::Agent(agent);
        self.targets.push(Target {
            id: target,
            service,
            address: machine.data_address(),
            zone: machine.zone(self.site),
            slots: SLOTS,
            connections: CONNECTIONS,
            state: TargetState::Active,
        });
        self
    }

    /// Removes a target.
    #[must_use]
    pub fn without(mut self, target: TargetId) -> Self {
        self.targets.retain(|known| known.id != target);
        self
    }

    /// Lets a target leave.
    #[must_use]
    pub fn leaving(mut self, target: TargetId) -> Self {
        for known in &mut self.targets {
            if known.id == target {
                known.state = TargetState::Leaving;
            }
        }
        self
    }

    /// The bundle of this version.
    #[must_use]
    pub fn bundle(&self, version: u64) -> Bundle {
        let zones = (0..self.site.zones()).map(|zone| Zone {
            name: format!("zone-{zone}"),
            region: "region".to_owned(),
        });
        Bundle {
            version,
            deployment: "simulated".to_owned(),
            zones: zones.collect(),
            services: vec![service(FIRST_SERVICE), service(SECOND_SERVICE)],
            targets: self.targets.clone(),
        }
        .canonical()
    }
}

/// Target of an agent's machine at the start.
#[must_use]
pub fn target_of(agent: u8) -> TargetId {
    TargetId(u32::from(agent))
}

/// Service of an agent's machine at the start.
#[must_use]
pub fn service_of(agent: u8) -> ServiceId {
    if SECOND_AGENTS.contains(&agent) {
        SECOND_SERVICE
    } else {
        FIRST_SERVICE
    }
}

fn service(id: ServiceId) -> Service {
    let address: SocketAddr = service_address(id);
    Service {
        id,
        name: format!("service-{id}"),
        addresses: vec![address],
    }
}
