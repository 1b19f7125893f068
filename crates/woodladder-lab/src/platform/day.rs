//! One day on the stand-in: callers all the while, and work that happens to
//! balancers, targets, configuration and store.

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
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};
use woodladder_node::http;

use super::address::{Network, STORE_PORT};
use super::caller::{CallerMachine, Habit, eventually};
use super::node_process::{Launcher, NodeProcess, NodeRole};
use super::oracle::Oracle;
use super::router::Router;
use super::store::{self, SharedStore};
use super::store_state::StoreFault;
use super::target::Target;

/// Key of the operators' configuration.
const CONFIGURATION_KEY: &str = "op/config";
/// Longest time until the processes serve.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Machines of balancers.
const BALANCERS: [u8; 3] = [11, 12, 13];
/// Machines of targets with their services.
const TARGETS: [(u8, &str); 4] = [
    (21, "kitchen"),
    (22, "kitchen"),
    (23, "kitchen"),
    (31, "print"),
];
/// Machine of the target that is added.
const ADDED_TARGET: u8 = 24;
/// Machines of callers.
const CALLERS: [u8; 3] = [101, 102, 103];

/// Settings of a day.
#[derive(Clone, Debug)]
pub struct DayOptions {
    /// Program whose subcommand `platform-node` acts as the product's.
    pub program: PathBuf,
    /// Directory of settings and logs; must exist.
    pub directory: PathBuf,
    /// Time between two events.
    pub step: Duration,
    /// Whether balancers are killed and the store fails, besides planned work.
    pub with_faults: bool,
}

/// What came of a day.
#[derive(Clone, Debug, Serialize)]
pub struct DayReport {
    /// Requests answered.
    pub answered: u64,
    /// Requests that found no answer.
    pub failed: u64,
    /// Tries beyond the first.
    pub retries: u64,
    /// Calls to the store.
    pub store_calls: u64,
    /// Processes that ended by themselves.
    pub ended_by_themselves: Vec<u8>,
    /// Promises that were broken.
    pub violations: Vec<String>,
}

impl fmt::Display for DayReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "answered {}, failed {}, retries {}, store calls {}",
            self.answered, self.failed, self.retries, self.store_calls
        )?;
        for machine in &self.ended_by_themselves {
            writeln!(formatter, "ended by itself: node-{machine}")?;
        }
        for violation in &self.violations {
            writeln!(formatter, "broken: {violation}")?;
        }
        Ok(())
    }
}

/// Why a day could not be run.
#[derive(Debug)]
pub enum DayError {
    /// The system refused something.
    System(io::Error),
    /// The processes did not come to serve in time.
    NotServing,
}

impl fmt::Display for DayError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::System(error) => write!(formatter, "the system refused: {error}"),
            Self::NotServing => formatter.write_str("the processes did not serve in time"),
        }
    }
}

impl std::error::Error for DayError {}

impl From<io::Error> for DayError {
    fn from(error: io::Error) -> Self {
        Self::System(error)
    }
}

/// Runs a day to its end.
///
/// # Errors
/// [`DayError`] when it could not be run.
pub fn run(options: &DayOptions) -> Result<DayReport, DayError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let mut day = Day::begin(options).await?;
        day.serve().await?;
        day.work().await?;
        Ok(day.end().await)
    })
}

struct Day {
    options: DayOptions,
    network: Network,
    launcher: Launcher,
    store: SharedStore,
    router: Rc<Router>,
    oracle: Rc<RefCell<Oracle>>,
    nodes: BTreeMap<u8, NodeProcess>,
    /// Agents that were told to stop.
    retired: Rc<RefCell<Vec<NodeProcess>>>,
    targets: BTreeMap<u8, Rc<Target>>,
    version: u64,
    until: Instant,
    callers: Vec<tokio::task::JoinHandle<()>>,
}

fn kitchen_route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

fn print_route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443)
}

fn added_route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 3), 443)
}

impl Day {
    async fn begin(options: &DayOptions) -> Result<Self, DayError> {
        let network = Network::take();
        let store: SharedStore = Rc::default();
        let listener = TcpListener::bind(network.at(1, STORE_PORT)).await?;
        let answering = Rc::clone(&store);
        spawn_local(http::serve(listener, move |request| {
            store::answer(Rc::clone(&answering), request)
        }));
        let router = Rc::new(Router::default());
        let probing = Rc::clone(&router);
        spawn_local(async move { probing.probe().await });
        Ok(Self {
            options: options.clone(),
            network,
            launcher: Launcher {
                program: options.program.clone(),
                directory: options.directory.clone(),
                network,
                seeds: vec![BALANCERS[0]],
            },
            store,
            router,
            oracle: Rc::default(),
            nodes: BTreeMap::new(),
            retired: Rc::default(),
            targets: BTreeMap::new(),
            version: 0,
            until: Instant::now(),
            callers: Vec::new(),
        })
    }

    /// Starts everything and waits until all balancers are ready.
    async fn serve(&mut self) -> Result<(), DayError> {
        self.configure(&[(kitchen_route(), "kitchen"), (print_route(), "print")]);
        for machine in BALANCERS {
            self.start_node(machine, &NodeRole::Balancer)?;
            self.router.add(self.network.machine(machine));
        }
        for (machine, service) in TARGETS {
            self.start_target(machine, service).await?;
        }
        let router = Rc::clone(&self.router);
        let all_ready = move || router.ready_count() == BALANCERS.len();
        if !eventually(START_LIMIT, all_ready).await {
            return Err(DayError::NotServing);
        }
        self.until = Instant::now() + self.options.step * self.steps();
        for machine in CALLERS {
            self.start_callers(machine).await?;
        }
        Ok(())
    }

    fn steps(&self) -> u32 {
        if self.options.with_faults { 9 } else { 6 }
    }

    async fn work(&mut self) -> Result<(), DayError> {
        let step = self.options.step;
        sleep(step).await;
        self.configure(&[
            (kitchen_route(), "kitchen"),
            (print_route(), "print"),
            (added_route(), "print"),
        ]);
        sleep(step).await;
        self.start_target(ADDED_TARGET, "kitchen").await?;
        self.retire_target(TARGETS[0].0);
        sleep(step).await;
        self.signal(BALANCERS[1], Signal::SIGTERM)?;
        sleep(step).await;
        self.restart_node(BALANCERS[1])?;
        self.signal(BALANCERS[2], Signal::SIGHUP)?;
        if self.options.with_faults {
            self.store.borrow_mut().fault = StoreFault::Busy;
            sleep(step).await;
            self.signal(BALANCERS[2], Signal::SIGKILL)?;
            self.restart_node(BALANCERS[2])?;
            sleep(step).await;
            self.restore_store();
            self.restart_agent(TARGETS[1].0, TARGETS[1].1)?;
            sleep(step).await;
        }
        Ok(())
    }

    async fn end(mut self) -> DayReport {
        for callers in std::mem::take(&mut self.callers) {
            // A panic of a caller shows as requests that are missing.
            let _ended = callers.await;
        }
        let ended_by_themselves = self
            .nodes
            .iter_mut()
            .filter_map(|(machine, node)| node.ended().ok().flatten().map(|_| *machine))
            .collect();
        let oracle = self.oracle.borrow();
        DayReport {
            answered: oracle.answered,
            failed: oracle.failed,
            retries: oracle.retries,
            store_calls: self.store.borrow().calls,
            ended_by_themselves,
            violations: oracle
                .violations()
                .iter()
                .map(ToString::to_string)
                .collect(),
        }
    }

    /// The store works again and has forgotten its history.
    fn restore_store(&self) {
        let mut state = self.store.borrow_mut();
        state.fault = StoreFault::None;
        state.forget_history();
    }

    fn configure(&mut self, routes: &[(SocketAddrV4, &str)]) {
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
        let document = json!({ "version": self.version, "routes": documents });
        let value = STANDARD.encode(document.to_string());
        self.store.borrow_mut().put(CONFIGURATION_KEY, &value, 0);
    }

    fn start_node(&mut self, machine: u8, role: &NodeRole) -> io::Result<()> {
        let node = self.launcher.start(machine, role)?;
        self.nodes.insert(machine, node);
        Ok(())
    }

    fn restart_node(&mut self, machine: u8) -> io::Result<()> {
        self.nodes.remove(&machine);
        self.start_node(machine, &NodeRole::Balancer)
    }

    fn restart_agent(&mut self, machine: u8, service: &str) -> io::Result<()> {
        self.nodes.remove(&machine);
        self.start_node(machine, &NodeRole::Agent(service.to_owned()))
    }

    fn signal(&self, machine: u8, signal: Signal) -> io::Result<()> {
        match self.nodes.get(&machine) {
            Some(node) => node.signal(signal),
            None => Ok(()),
        }
    }

    async fn start_target(&mut self, machine: u8, service: &str) -> io::Result<()> {
        self.start_node(machine, &NodeRole::Agent(service.to_owned()))?;
        let name = format!("i-{machine}");
        let address = self.network.machine(machine);
        let target = Target::start(&name, service, address, Rc::clone(&self.oracle)).await?;
        self.targets.insert(machine, target);
        Ok(())
    }

    /// A target leaves as planned; its agent is stopped after its end.
    fn retire_target(&mut self, machine: u8) {
        let Some(target) = self.targets.remove(&machine) else {
            return;
        };
        let agent = self.nodes.remove(&machine);
        let retired = Rc::clone(&self.retired);
        spawn_local(async move {
            target.leave().await;
            if let Some(agent) = agent {
                // A process that has ended already needs no signal.
                let _ended = agent.signal(Signal::SIGTERM);
                retired.borrow_mut().push(agent);
            }
        });
    }

    async fn start_callers(&mut self, machine: u8) -> io::Result<()> {
        let address = self.network.machine(machine);
        let router = Rc::clone(&self.router);
        let oracle = Rc::clone(&self.oracle);
        let callers = CallerMachine::open(address, router, oracle).await?;
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
        for habit in habits {
            let asking = Rc::clone(&callers).ask(habit, self.until);
            self.callers.push(spawn_local(asking));
        }
        Ok(())
    }
}
