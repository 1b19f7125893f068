//! Places of the simulated world: sites, zones, addresses and delays.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use woodladder_core::identifier::{ServiceId, ZoneIndex};

/// Port of every service.
pub const SERVICE_PORT: u16 = 443;
/// Port on which agents take enveloped datagrams.
pub const DATA_PORT: u16 = 7000;
/// Port on which nodes talk to each other.
pub const CONTROL_PORT: u16 = 7001;

/// The two deployments that worlds are laid out as.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Site {
    /// Three zones, far from each other and close to callers.
    Taiwan,
    /// Four zones, close to each other and far from callers.
    Almaty,
}

impl Site {
    /// Zones of the site.
    #[must_use]
    pub fn zones(self) -> u16 {
        match self {
            Self::Taiwan => 3,
            Self::Almaty => 4,
        }
    }

    /// One-way delay between two zones.
    #[must_use]
    pub fn between_zones(self) -> Duration {
        match self {
            Self::Taiwan => Duration::from_micros(1400),
            Self::Almaty => Duration::from_micros(500),
        }
    }

    /// One-way delay between a caller and any zone.
    #[must_use]
    pub fn from_callers(self) -> Duration {
        match self {
            Self::Taiwan => Duration::from_millis(1),
            Self::Almaty => Duration::from_millis(3),
        }
    }

    /// One-way delay inside a zone.
    #[must_use]
    pub fn inside_zone(self) -> Duration {
        Duration::from_micros(100)
    }
}

/// A machine of the world, by its kind and number.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Machine {
    /// Runs a balancer.
    Balancer(u8),
    /// Runs a back end with the agent beside it.
    Agent(u8),
    /// A caller's device.
    Caller(u8),
    /// An operator's work place.
    Operator(u8),
    /// The key-value service.
    Store,
    /// The machine list.
    MachineList,
}

impl Machine {
    /// The machine's address.
    #[must_use]
    pub fn ip(self) -> IpAddr {
        let (network, host) = match self {
            Self::Balancer(number) => (1, number),
            Self::Agent(number) => (2, number),
            Self::Caller(number) => (9, number),
            Self::Operator(number) => (8, number),
            Self::Store => (7, 0),
            Self::MachineList => (7, 1),
        };
        IpAddr::V4(Ipv4Addr::new(10, network, 0, host))
    }

    /// The machine with this address.
    #[must_use]
    pub fn at(address: IpAddr) -> Option<Self> {
        let IpAddr::V4(address) = address else {
            return None;
        };
        match address.octets() {
            [10, 1, 0, number] => Some(Self::Balancer(number)),
            [10, 2, 0, number] => Some(Self::Agent(number)),
            [10, 9, 0, number] => Some(Self::Caller(number)),
            [10, 8, 0, number] => Some(Self::Operator(number)),
            [10, 7, 0, 0] => Some(Self::Store),
            [10, 7, 0, 1] => Some(Self::MachineList),
            _ => None,
        }
    }

    /// Address for enveloped datagrams.
    #[must_use]
    pub fn data_address(self) -> SocketAddr {
        SocketAddr::new(self.ip(), DATA_PORT)
    }

    /// Address for control messages.
    #[must_use]
    pub fn control_address(self) -> SocketAddr {
        SocketAddr::new(self.ip(), CONTROL_PORT)
    }

    /// Zone of the machine; machines are dealt over the zones in turn.
    #[must_use]
    pub fn zone(self, site: Site) -> ZoneIndex {
        let number = match self {
            Self::Balancer(number) | Self::Agent(number) => u16::from(number),
            Self::Caller(_) | Self::Operator(_) | Self::Store | Self::MachineList => 0,
        };
        ZoneIndex(number % site.zones())
    }

    /// One-way delay to another machine, before any fault.
    #[must_use]
    pub fn delay_to(self, other: Self, site: Site) -> Duration {
        if self.is_outside() || other.is_outside() {
            return site.from_callers();
        }
        if self.zone(site) == other.zone(site) {
            return site.inside_zone();
        }
        site.between_zones()
    }

    fn is_outside(self) -> bool {
        matches!(self, Self::Caller(_) | Self::Operator(_))
    }
}

/// Address of a service.
#[must_use]
pub fn service_address(service: ServiceId) -> SocketAddr {
    let host = u8::try_from(service.0).unwrap_or(u8::MAX);
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, host)), SERVICE_PORT)
}
