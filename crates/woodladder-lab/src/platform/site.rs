//! A running site: store, router, targets and callers in this process, and the
//! product's processes beside them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};
use woodladder_node::http;

use super::address::{Network, STORE, STORE_PORT};
use super::caller::{CallerMachine, Habit, eventually};
use super::configuration_judge::LastingFault;
use super::links::Links;
use super::node_process::{Launcher, NodeProcess, NodeRole};
use super::oracle::Oracle;
use super::router::Router;
use super::store::{self, SharedStore};
use super::store_state::StoreFault;
use super::target::{COLD_FOR, Target};
use super::target_control::TargetHabits;
use super::zones::{CALLERS, zone_of};

/// Prefix of the keys of excluded zones.
const EXCLUSIONS_PREFIX: &str = "op/evacuate/";
/// Key of the operators' configuration.
const CONFIGURATION_KEY: &str = "op/config";
/// Longest time until the processes serve.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Machines of balancers.
pub const BALANCERS: [u8; 3] = [11, 12, 13];
/// First machine that a balancer may stand on.
pub const FIRST_BALANCER: u8 = BALANCERS[0];
/// Last machine that a balancer may stand on.
const LAST_BALANCER: u8 = 20;
/// Machines of targets with their services.
pub const TARGETS: [(u8, &str); 4] = [
    (21, "kitchen"),
    (22, "kitchen"),
    (23, "kitchen"),
    (31, "print"),
];
/// Pauses of callers whose flows are at rest most of the time.
const RESTS_MS: [u64; 2] = [2500, 6000];
/// Requests a second that a cold target bears.
const COLD_RATE: f64 = 20.0;

/// Why a site could not be run.
#[derive(Debug)]
pub enum SiteError {
    /// The system refused something.
    System(io::Error),
    /// The processes did not come to serve in time.
    NotServing,
}

impl fmt::Display for SiteError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::System(error) => write!(formatter, "the system refused: {error}"),
            Self::NotServing => formatter.write_str("the processes did not serve in time"),
        }
    }
}

impl std::error::Error for SiteError {}

impl From<io::Error> for SiteError {
    fn from(error: io::Error) -> Self {
        Self::System(error)
    }
}

/// What a site is made of.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// Program whose subcommand `platform-node` acts as the product's.
    pub program: PathBuf,
    /// Directory of settings and logs; must exist.
    pub directory: PathBuf,
    /// How targets speak to their agents.
    pub target_habits: TargetHabits,
    /// Processor of each balancer of [`BALANCERS`], in thousandths of a core; others get the
    /// first one's.
    pub processors: [u32; BALANCERS.len()],
}

/// The site.
pub struct Site {
    pub network: Network,
    launcher: Launcher,
    pub store: SharedStore,
    pub router: Rc<Router>,
    pub oracle: Rc<RefCell<Oracle>>,
    pub links: Rc<Links>,
    pub(super) nodes: BTreeMap<u8, NodeProcess>,
    /// Agents that were told to stop.
    pub(super) retired: Rc<RefCell<Vec<NodeProcess>>>,
    pub(super) target_habits: TargetHabits,
    pub(super) targets: BTreeMap<u8, Rc<Target>>,
    /// Targets that have said that they leave and may still serve.
    pub(super) leaving: BTreeMap<u8, Rc<Target>>,
    /// Machines whose next target starts as soon as the address is free, and until when
    /// that is tried.
    pub(super) starting: BTreeMap<u8, Instant>,
    /// Targets that have crashed and will begin again under their name.
    pub(super) crashed: BTreeMap<u8, Rc<Target>>,
    pub(super) incarnations: u32,
    version: u64,
    /// Time for which acknowledged configurations are kept from all nodes.
    pub(super) held_back: Duration,
    callers: Vec<tokio::task::JoinHandle<()>>,
}

/// Machines of all balancers and agents.
pub fn all_nodes() -> impl Iterator<Item = u8> {
    BALANCERS
        .into_iter()
        .chain(TARGETS.into_iter().map(|(machine, _)| machine))
}

/// Service of the target of a machine.
pub fn service_of(machine: u8) -> &'static str {
    TARGETS
        .into_iter()
        .find(|(target, _)| *target == machine)
        .map_or("kitchen", |(_, service)| service)
}

/// Address of the kitchen's route.
pub fn kitchen_route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

/// Address of the route to the print service.
pub fn print_route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443)
}

/// Address of a route that comes and goes.
pub fn added_route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 3), 443)
}

/// Address of a route that moves between the services.
pub fn moved_route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 4), 443)
}

impl Site {
    /// Opens store and router; starts no process yet. `links` lie between the
    /// nodes.
    pub async fn open(
        options: &SiteOptions,
        network: Network,
        links: Rc<Links>,
    ) -> Result<Self, SiteError> {
        let store: SharedStore = Rc::default();
        let listener = TcpListener::bind(network.at(1, STORE_PORT)).await?;
        let answering = Rc::clone(&store);
        spawn_local(http::serve(listener, move |request| {
            store::answer(Rc::clone(&answering), request)
        }));
        let router = Rc::new(Router::default());
        let probing = Rc::clone(&router);
        spawn_local(async move { probing.probe().await });
        let mut processors: BTreeMap<u8, u32> = (FIRST_BALANCER..=LAST_BALANCER)
            .map(|machine| (machine, options.processors[0]))
            .collect();
        processors.extend(BALANCERS.into_iter().zip(options.processors));
        Ok(Self {
            network,
            launcher: Launcher {
                program: options.program.clone(),
                directory: options.directory.clone(),
                network,
                seeds: vec![BALANCERS[0]],
                processors,
                store_addresses: BTreeMap::new(),
                has_links: links.are_between_nodes(),
            },
            store,
            router,
            oracle: Rc::default(),
            links,
            nodes: BTreeMap::new(),
            retired: Rc::default(),
            target_habits: options.target_habits,
            targets: BTreeMap::new(),
            leaving: BTreeMap::new(),
            starting: BTreeMap::new(),
            crashed: BTreeMap::new(),
            incarnations: 0,
            version: 0,
            held_back: Duration::ZERO,
            callers: Vec::new(),
        })
    }

    /// Nodes on a machine reach the store at this address.
    pub fn set_store_address(&mut self, machine: u8, address: SocketAddrV4) {
        self.launcher.store_addresses.insert(machine, address);
    }

    /// Starts all processes and waits until routers have balancers.
    pub async fn serve(&mut self) -> Result<(), SiteError> {
        self.serve_with(&BALANCERS).await
    }

    /// Starts these balancers and all agents and targets, and waits until routers have
    /// balancers.
    pub async fn serve_with(&mut self, balancers: &[u8]) -> Result<(), SiteError> {
        self.put_foreign_entries();
        self.configure(&[
            (kitchen_route(), "kitchen"),
            (print_route(), "print"),
            (moved_route(), "kitchen"),
        ]);
        for machine in balancers {
            self.start_balancer(*machine)?;
            self.router.add(self.network.machine(*machine));
        }
        for (machine, service) in TARGETS {
            self.oracle
                .borrow_mut()
                .configurations
                .target_at(service, machine);
            self.start_agent(machine, service)?;
            self.start_target(machine, service).await?;
        }
        let router = Rc::clone(&self.router);
        let balancer_count = balancers.len();
        let serves = move || router.ready_count() * 2 > balancer_count;
        if !eventually(START_LIMIT, serves).await {
            return Err(SiteError::NotServing);
        }
        Ok(())
    }

    /// Starts callers that make requests until `until`.
    pub async fn call(&mut self, until: Instant) -> io::Result<()> {
        for machine in CALLERS {
            self.start_callers(machine, until).await?;
        }
        Ok(())
    }

    /// Waits for the callers' end; a caller that panicked shows as requests
    /// that are missing.
    pub async fn wait_for_callers(&mut self) {
        for callers in std::mem::take(&mut self.callers) {
            let _ended = callers.await;
        }
    }

    /// Machines whose processes have ended without having been told to.
    pub fn ended_by_themselves(&mut self) -> Vec<u8> {
        self.nodes
            .iter_mut()
            .filter_map(|(machine, node)| node.ended().ok().flatten().map(|_| *machine))
            .collect()
    }

    /// The store works again and has forgotten its history.
    pub fn restore_store(&self) {
        let mut state = self.store.borrow_mut();
        state.fault = StoreFault::None;
        state.forget_history();
        let mut oracle = self.oracle.borrow_mut();
        oracle
            .configurations
            .end_fault(STORE, LastingFault::StoreUnreachable);
        oracle.configurations.history_forgotten();
    }

    /// Version of the last configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Writes a configuration.
    pub fn configure(&mut self, routes: &[(SocketAddrV4, &str)]) {
        self.version += 3;
        let documents: Vec<_> = routes
            .iter()
            .map(|(address, service)| {
                json!({
                    "name": format!("r-{address}"), "host": address.ip().to_string(),
                    "path_prefix": format!("/{}/", address.port()), "service": service,
                    "kind": "idempotent",
                })
            })
            .collect();
        for (address, service) in routes {
            let mut oracle = self.oracle.borrow_mut();
            let services: &mut BTreeSet<String> = oracle.allowed.entry(*address).or_default();
            services.insert((*service).to_owned());
        }
        let services = ["kitchen", "print"].map(|name| {
            json!({ "name": name, "warmup_s": COLD_FOR.as_secs_f64(), "warmup_per_s": COLD_RATE })
        });
        let document = json!({
            "version": self.version, "routes": documents, "services": services,
        });
        let value = STANDARD.encode(document.to_string());
        let damaged = STANDARD.encode(json!({ "version": "9", "routes": 4 }).to_string());
        let store = Rc::clone(&self.store);
        let put = move || {
            store.borrow_mut().put(CONFIGURATION_KEY, &damaged, 0);
            store.borrow_mut().put(CONFIGURATION_KEY, &value, 0);
        };
        if self.held_back.is_zero() {
            put();
        } else {
            let held_back = self.held_back;
            spawn_local(async move {
                sleep(held_back).await;
                put();
            });
        }
        let mut oracle = self.oracle.borrow_mut();
        oracle.configurations.acknowledged(routes);
    }

    fn start_node(&mut self, machine: u8, role: &NodeRole) -> io::Result<()> {
        self.nodes.remove(&machine);
        self.oracle.borrow_mut().configurations.restart(machine);
        let node = self.launcher.start(machine, role)?;
        self.nodes.insert(machine, node);
        Ok(())
    }

    /// Starts a balancer, after the end of the one that ran on the machine.
    pub fn start_balancer(&mut self, machine: u8) -> io::Result<()> {
        self.start_node(machine, &NodeRole::Balancer)
    }

    /// Starts an agent, after the end of the one that ran on the machine.
    pub fn start_agent(&mut self, machine: u8, service: &str) -> io::Result<()> {
        self.oracle
            .borrow_mut()
            .agent_started(machine, std::time::Instant::now());
        self.start_node(machine, &NodeRole::Agent(service.to_owned()))
    }

    /// Sends a signal to the node on a machine, if there is one.
    pub fn signal(&self, machine: u8, signal: Signal) -> io::Result<()> {
        let mut oracle = self.oracle.borrow_mut();
        oracle.configurations.signalled(machine, signal);
        match self.nodes.get(&machine) {
            Some(node) => node.signal(signal),
            None => Ok(()),
        }
    }

    /// Other writers' entries, of which none names a balancer or a configuration.
    fn put_foreign_entries(&self) {
        let mut store = self.store.borrow_mut();
        for (key, value) in [
            ("woodladder/balancers/foreign-1", "%%".to_owned()),
            (
                "woodladder/balancers/foreign-2",
                STANDARD.encode([255, 0, 254]),
            ),
            (
                "woodladder/balancers/foreign-3",
                STANDARD.encode("0.0.0.0:0"),
            ),
            ("woodladder/balancers/foreign-4", String::new()),
            (EXCLUSIONS_PREFIX, STANDARD.encode("{}")),
            ("op/other", STANDARD.encode([0, 159])),
        ] {
            store.put(key, &value, 0);
        }
    }

    /// The operators exclude a zone.
    pub fn exclude_zone(&self, zone: &'static str) {
        let key = format!("{EXCLUSIONS_PREFIX}{zone}");
        self.store.borrow_mut().put(&key, &STANDARD.encode("{}"), 0);
        self.oracle.borrow_mut().zone_excluded(zone);
    }

    /// Whether the operators have excluded a zone.
    pub fn is_excluded(&self, zone: &str) -> bool {
        let key = format!("{EXCLUSIONS_PREFIX}{zone}");
        self.store.borrow_mut().get(&key).is_some()
    }

    /// The operators take a zone back, whose targets have just turned cold.
    pub fn take_zone_back(&self, zone: &'static str) {
        for (machine, target) in &self.targets {
            if zone_of(*machine) == zone {
                target.turn_cold();
            }
        }
        self.oracle.borrow_mut().zone_taken_back(zone);
        let key = format!("{EXCLUSIONS_PREFIX}{zone}");
        self.store.borrow_mut().remove(&key);
    }

    async fn start_callers(&mut self, machine: u8, until: Instant) -> io::Result<()> {
        let address = self.network.machine(machine);
        let router = Rc::clone(&self.router);
        let oracle = Rc::clone(&self.oracle);
        let links = Rc::clone(&self.links);
        let callers = CallerMachine::open(address, router, oracle, links).await?;
        spawn_local(Rc::clone(&callers).receive());
        let habit = |route, may_repeat, keeps_flow, pause| Habit {
            route,
            may_repeat,
            keeps_flow,
            pause: Duration::from_millis(pause),
        };
        let mut habits = vec![
            habit(print_route(), true, false, 60),
            habit(kitchen_route(), false, false, 30),
        ];
        habits.extend((0..6).map(|_| habit(kitchen_route(), true, true, 80)));
        for rest in RESTS_MS {
            habits.push(habit(kitchen_route(), true, true, rest));
            habits.push(habit(moved_route(), true, true, rest));
        }
        for habit in habits {
            let asking = Rc::clone(&callers).ask(habit, until);
            self.callers.push(spawn_local(asking));
        }
        Ok(())
    }
}
