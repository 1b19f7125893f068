//! What the demo starts and does for each example deployment.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use woodladder_core::configuration::bundle::{Bundle, Service, Target};
use woodladder_core::configuration::bundle_source;
use woodladder_core::finding::Findings;

use super::loopback::{LoopbackNetwork, NetworkReservation};

/// Port of the data socket of balancers and agents in the examples.
pub const DATA_PORT: u16 = 7001;
/// Port of the control socket of balancers and agents in the examples.
pub const CONTROL_PORT: u16 = 7002;
/// Port of the status endpoints of balancers and agents in the examples.
pub const HTTP_PORT: u16 = 7003;
/// Port of back ends in the examples.
pub const BACK_END_PORT: u16 = 8080;
/// Port of a back end stand-in's administrative interface.
pub const BACK_END_ADMIN_PORT: u16 = 8081;
/// Port of the store in the examples.
pub const STORE_PORT: u16 = 8500;
/// Port of the machine list in the examples.
pub const MACHINE_LIST_PORT: u16 = 8501;
/// Port of the fabric that takes agents' datagrams in the examples.
pub const EGRESS_PORT: u16 = 9000;
/// Port of the administrative interfaces of the platform's stand-ins.
pub const ADMIN_PORT_OFFSET: u16 = 100;

/// Files and sizes of one example deployment.
#[derive(Debug)]
pub struct Example {
    /// Name of the deployment.
    pub name: &'static str,
    /// First bundle.
    pub first_bundle: &'static str,
    /// Second bundle, rolled in the middle of the surge.
    pub second_bundle: &'static str,
    /// Settings of a balancer.
    pub balancer_settings: &'static str,
    /// Settings of an agent.
    pub agent_settings: &'static str,
    /// Settings of the operator's commands.
    pub operator_settings: &'static str,
    /// Secret key of the operator.
    pub operator_key: &'static str,
    /// Addresses of the balancers.
    pub balancers: &'static [[u8; 4]],
    /// Address of the store, the machine list and the fabric.
    pub platform: [u8; 4],
    /// Delay between callers and the deployment, one way.
    pub caller_delay: Duration,
    /// Region of its zones.
    pub region: &'static str,
    /// What callers do.
    pub loads: &'static [Load],
    /// Target that the second bundle marks as leaving.
    pub leaving_target: u32,
    /// Target whose agent and back end are stopped as planned.
    pub stopped_target: u32,
}

/// Load of one service.
#[derive(Debug)]
pub struct Load {
    /// Name of the service.
    pub service: &'static str,
    /// Event streams held open.
    pub feeds: usize,
    /// Whether these move to another connection when their server is going
    /// away; otherwise they stay to their end.
    pub feeds_move: bool,
    /// Whether requests are operations that may run at most once.
    pub changes: bool,
    /// Requests a second during the surge, each on a connection of its own.
    pub rate: u32,
    /// Time that the back end takes for one request.
    pub service_time: Duration,
}

/// Both example deployments.
pub const EXAMPLES: [Example; 2] = [
    Example {
        name: "ankang",
        first_bundle: include_str!("../../../../examples/ankang/bundle-1.toml"),
        second_bundle: include_str!("../../../../examples/ankang/bundle-2.toml"),
        balancer_settings: include_str!("../../../../examples/ankang/balancer.toml"),
        agent_settings: include_str!("../../../../examples/ankang/agent.toml"),
        operator_settings: include_str!("../../../../examples/ankang/operator.toml"),
        operator_key: include_str!("../../../../examples/ankang/operator.key"),
        balancers: &[[10, 0, 21, 1], [10, 0, 21, 2], [10, 0, 21, 3]],
        platform: [10, 0, 51, 1],
        caller_delay: Duration::from_millis(1),
        region: "tw-north",
        loads: &[
            Load {
                service: "kitchen",
                feeds: 140,
                feeds_move: false,
                changes: true,
                rate: 60,
                service_time: Duration::from_millis(100),
            },
            Load {
                service: "print",
                feeds: 0,
                feeds_move: false,
                changes: false,
                rate: 80,
                service_time: Duration::from_millis(150),
            },
        ],
        leaving_target: 107,
        stopped_target: 101,
    },
    Example {
        name: "almaty",
        first_bundle: include_str!("../../../../examples/almaty/bundle-1.toml"),
        second_bundle: include_str!("../../../../examples/almaty/bundle-2.toml"),
        balancer_settings: include_str!("../../../../examples/almaty/balancer.toml"),
        agent_settings: include_str!("../../../../examples/almaty/agent.toml"),
        operator_settings: include_str!("../../../../examples/almaty/operator.toml"),
        operator_key: include_str!("../../../../examples/almaty/operator.key"),
        balancers: &[
            [10, 0, 41, 1],
            [10, 0, 41, 2],
            [10, 0, 41, 3],
            [10, 0, 41, 4],
        ],
        platform: [10, 0, 52, 1],
        caller_delay: Duration::from_millis(3),
        region: "almaty",
        loads: &[
            Load {
                service: "donation-desk",
                feeds: 120,
                feeds_move: true,
                changes: true,
                rate: 160,
                service_time: Duration::from_millis(100),
            },
            Load {
                service: "receipt-archive",
                feeds: 0,
                feeds_move: false,
                changes: false,
                rate: 50,
                service_time: Duration::from_millis(150),
            },
        ],
        leaving_target: 1107,
        stopped_target: 1101,
    },
];

/// An example deployment on the demo's loopback network.
#[derive(Debug)]
pub struct Deployment {
    /// The example.
    pub example: &'static Example,
    /// The network it is on.
    pub network: LoopbackNetwork,
    /// Its first bundle.
    pub bundle: Bundle,
    /// Its second bundle.
    pub second_bundle: Bundle,
    /// Keeps other deployments off the network.
    _reservation: NetworkReservation,
}

/// Addresses of one machine, by their port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Machine {
    ip: IpAddr,
}

impl Deployment {
    /// Puts an example on a network.
    ///
    /// # Errors
    /// The findings of its bundles.
    pub fn new(
        example: &'static Example,
        reservation: NetworkReservation,
    ) -> Result<Self, Findings> {
        let network = reservation.network();
        let parse = |text: &str| bundle_source::parse(example.name, &network.text(text));
        Ok(Self {
            example,
            network,
            bundle: parse(example.first_bundle)?,
            second_bundle: parse(example.second_bundle)?,
            _reservation: reservation,
        })
    }

    /// The machine of the platform's stand-ins.
    #[must_use]
    pub fn platform(&self) -> Machine {
        self.machine(self.example.platform)
    }

    /// The machines of the balancers.
    #[must_use]
    pub fn balancers(&self) -> Vec<Machine> {
        let addresses = self.example.balancers.iter();
        addresses.map(|address| self.machine(*address)).collect()
    }

    /// The machines of the agents, in the order of the first bundle's targets.
    #[must_use]
    pub fn agents(&self) -> Vec<Machine> {
        let targets = self.bundle.targets.iter();
        targets.map(|target| Machine::of(target.address)).collect()
    }

    /// The service of a target.
    #[must_use]
    pub fn service_of(&self, target: &Target) -> Option<&Service> {
        self.bundle.service(target.service)
    }

    /// The service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let mut services = self.bundle.services.iter();
        services.find(|service| service.name == name)
    }

    /// The load of a service.
    #[must_use]
    pub fn load(&self, service: &str) -> Option<&'static Load> {
        let mut loads = self.example.loads.iter();
        loads.find(|load| load.service == service)
    }

    fn machine(&self, address: [u8; 4]) -> Machine {
        let example = SocketAddr::from((address, DATA_PORT));
        Machine::of(self.network.address(example))
    }
}

impl Machine {
    /// The machine that has this address.
    #[must_use]
    pub fn of(address: SocketAddr) -> Self {
        Self { ip: address.ip() }
    }

    /// An address of the machine.
    #[must_use]
    pub fn at(self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }
}
