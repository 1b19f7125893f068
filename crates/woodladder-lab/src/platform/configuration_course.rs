//! Changes of the configuration while the store's connections or answers fail, step by step
//! with real processes.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

use super::address::{Network, STORE};
use super::links::Links;
use super::oracle::Violation;
use super::path_rules::store_proxy;
use super::probe::ProbeMachine;
use super::site::{
    BALANCERS, FIRST_BALANCER, Site, SiteError, SiteOptions, TARGETS, added_route, kitchen_route,
    moved_route, print_route, service_of,
};
use super::store_state::StoreFault;
use super::target_control::TargetHabits;
use crate::fault_proxy::{FaultProxy, FaultRule};

/// Machine of the probing caller.
const PROBE_MACHINE: u8 = 104;
/// Time between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Processor of each balancer, in thousandths of a core.
const PROCESSOR: u32 = 250;
/// Time from the start of the processes to the trouble: all machines are in touch.
const SETTLED_AFTER: Duration = Duration::from_millis(6500);
/// Time for which probes go on after the last change.
const WATCHED_FOR: Duration = Duration::from_millis(9500);
/// Time from a silence to the change.
const SILENT_BEFORE: Duration = Duration::from_secs(1);
/// Time between changes that follow each other quickly.
const STORM_INTERVAL: Duration = Duration::from_millis(300);
/// Number of these changes.
const STORM_CHANGES: u8 = 6;
/// Time for which the answers to watches are lost.
const ANSWERS_LOST_FOR: Duration = Duration::from_millis(200);
/// Time for which killed processes are away.
const AWAY: Duration = Duration::from_millis(300);
/// Time for which a balancer stands still.
const STANDS_STILL_FOR: Duration = Duration::from_secs(3);
/// Targets that leave openings without an answer.
const IGNORING_TARGETS: [u8; 2] = [21, 22];
/// Time from then on to the change.
const IGNORED_BEFORE: Duration = Duration::from_millis(300);
/// Time from the change on for which they go on so: the last copies are sent by then.
const IGNORED_AFTER: Duration = Duration::from_millis(700);
/// Time for which the store takes no connection.
const STORE_AWAY_FOR: Duration = Duration::from_secs(4);

/// What happens around a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigurationCourse {
    /// Nothing.
    Calm,
    /// All connections that are open at the store go silent, and the change comes a second
    /// later.
    SilentBefore,
    /// They go silent in the moment of the change.
    SilentAtChange,
    /// They go silent after several changes in quick succession; another change follows.
    SilentAfterStorm,
    /// Only one balancer's connections go silent.
    OneSilent,
    /// The answers that carry the change are lost on each connection.
    AnswersLost,
    /// All processes are killed just after the change.
    EverythingKilled,
    /// All agents are killed just after the change.
    AgentsKilled,
    /// One balancer is killed just before the change and starts again after it.
    BalancerRestarted,
    /// One balancer stands still over the change.
    BalancerStandsStill,
    /// The store takes no connection for some seconds; the change comes as it returns.
    StoreAway,
    /// Some targets leave openings without an answer over the change, so that callers send
    /// copies.
    OpeningsUnanswered,
}

/// What a course is played with.
#[derive(Clone, Debug)]
pub struct ConfigurationCourseOptions {
    /// Program whose subcommand `platform-node` acts as the product's.
    pub program: PathBuf,
    /// Directory of settings and logs; must exist.
    pub directory: PathBuf,
    /// Number of balancers, up to ten.
    pub balancers: u8,
    /// What happens.
    pub course: ConfigurationCourse,
}

/// What a course showed.
#[derive(Clone, Debug)]
pub struct ConfigurationCourseReport {
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// Openings that were judged.
    pub judged: u64,
    /// Longest time from the acknowledgement of a change to the handling of an opening as only
    /// an older version allows, whenever it was sent.
    pub last_older: Duration,
    /// Calls to the store a second before the trouble.
    pub calls_per_second_at_rest: f64,
    /// Calls to the store from the trouble to the end.
    pub calls_after: u64,
}

/// Plays a course.
///
/// # Errors
/// [`SiteError`] when it could not be run.
pub fn run_configuration_course(
    options: &ConfigurationCourseOptions,
) -> Result<ConfigurationCourseReport, SiteError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let mut play = Play::open(options).await?;
        play.run(options.course).await
    })
}

struct Play {
    site: Site,
    balancers: Vec<u8>,
    store_proxies: BTreeMap<u8, FaultProxy>,
    further_routes: u8,
}

impl Play {
    async fn open(options: &ConfigurationCourseOptions) -> Result<Self, SiteError> {
        let site_options = SiteOptions {
            program: options.program.clone(),
            directory: options.directory.clone(),
            target_habits: TargetHabits::default(),
            processors: [PROCESSOR; BALANCERS.len()],
        };
        let network = Network::take();
        let mut site = Site::open(&site_options, network, Rc::new(Links::direct())).await?;
        let balancers: Vec<u8> = (FIRST_BALANCER..).take(options.balancers.into()).collect();
        let agents = TARGETS.map(|(machine, _)| machine);
        let mut store_proxies = BTreeMap::new();
        for machine in balancers.iter().copied().chain(agents) {
            let proxy = store_proxy(network, 0).await?;
            if let Some(SocketAddr::V4(address)) = proxy.tcp_addresses().first() {
                site.set_store_address(machine, *address);
            }
            store_proxies.insert(machine, proxy);
        }
        Ok(Self {
            site,
            balancers,
            store_proxies,
            further_routes: 0,
        })
    }

    async fn run(
        &mut self,
        course: ConfigurationCourse,
    ) -> Result<ConfigurationCourseReport, SiteError> {
        let balancers = self.balancers.clone();
        self.site.serve_with(&balancers).await?;
        self.configure_before();
        let sends_copies = course == ConfigurationCourse::OpeningsUnanswered;
        self.start_probes(sends_copies).await?;
        let calls_at_start = self.calls();
        sleep(SETTLED_AFTER).await;
        let calls_before = self.calls();
        self.trouble(course).await?;
        sleep(WATCHED_FOR).await;
        let calls_after = self.calls() - calls_before;
        let oracle = self.site.oracle.borrow();
        let at_rest = u32::try_from(calls_before - calls_at_start).unwrap_or(u32::MAX);
        Ok(ConfigurationCourseReport {
            violations: oracle.violations().to_vec(),
            judged: oracle.configurations.judged(),
            last_older: oracle.configurations.last_older(),
            calls_per_second_at_rest: f64::from(at_rest) / SETTLED_AFTER.as_secs_f64(),
            calls_after,
        })
    }

    async fn trouble(&mut self, course: ConfigurationCourse) -> Result<(), SiteError> {
        match course {
            ConfigurationCourse::Calm => self.change(),
            ConfigurationCourse::SilentBefore => {
                self.silence(None);
                sleep(SILENT_BEFORE).await;
                self.change();
            }
            ConfigurationCourse::SilentAtChange => {
                self.silence(None);
                self.change();
            }
            ConfigurationCourse::SilentAfterStorm => {
                for _ in 0..STORM_CHANGES {
                    self.add_further_route();
                    sleep(STORM_INTERVAL).await;
                }
                self.silence(None);
                sleep(STORM_INTERVAL).await;
                self.change();
            }
            ConfigurationCourse::OneSilent => {
                self.silence(Some(self.balancers[0]));
                self.change();
            }
            ConfigurationCourse::AnswersLost => {
                self.store_fault(StoreFault::ChangesUnanswered);
                self.change();
                sleep(ANSWERS_LOST_FOR).await;
                self.store_fault(StoreFault::None);
            }
            ConfigurationCourse::EverythingKilled => {
                self.change();
                let agents = TARGETS.map(|(machine, _)| machine);
                let all = self.balancers.iter().copied().chain(agents);
                self.kill_and_start(all.collect()).await?;
            }
            ConfigurationCourse::AgentsKilled => {
                self.change();
                let agents = TARGETS.map(|(machine, _)| machine);
                self.kill_and_start(agents.to_vec()).await?;
            }
            ConfigurationCourse::BalancerRestarted => {
                let machine = self.balancers[0];
                self.site.signal(machine, Signal::SIGKILL)?;
                self.change();
                self.kill_and_start(vec![machine]).await?;
            }
            ConfigurationCourse::BalancerStandsStill => {
                let machine = self.balancers[0];
                self.site.signal(machine, Signal::SIGSTOP)?;
                self.change();
                sleep(STANDS_STILL_FOR).await;
                self.site.signal(machine, Signal::SIGCONT)?;
            }
            ConfigurationCourse::StoreAway => {
                self.refuse_store(true);
                sleep(STORE_AWAY_FOR).await;
                self.refuse_store(false);
                self.change();
            }
            ConfigurationCourse::OpeningsUnanswered => {
                self.ignore_openings(true);
                sleep(IGNORED_BEFORE).await;
                self.change();
                sleep(IGNORED_AFTER).await;
                self.ignore_openings(false);
            }
        }
        Ok(())
    }

    fn routes_before(&self) -> Vec<(SocketAddrV4, &'static str)> {
        vec![
            (kitchen_route(), "kitchen"),
            (print_route(), "print"),
            (moved_route(), "kitchen"),
            (dropped_route(), "kitchen"),
        ]
    }

    fn configure_before(&mut self) {
        let routes = self.routes_before();
        self.site.configure(&routes);
    }

    /// A change that concerns no probed route.
    fn add_further_route(&mut self) {
        self.further_routes += 1;
        let mut routes = self.routes_before();
        let further = Ipv4Addr::new(198, 18, 1, self.further_routes);
        routes.push((SocketAddrV4::new(further, 443), "kitchen"));
        self.site.configure(&routes);
    }

    /// The change: one route is added, one dropped, and one moves to the other service.
    fn change(&mut self) {
        self.site.configure(&[
            (kitchen_route(), "kitchen"),
            (print_route(), "print"),
            (moved_route(), "print"),
            (added_route(), "print"),
        ]);
    }

    async fn start_probes(&self, sends_copies: bool) -> Result<(), SiteError> {
        let oracle = Rc::clone(&self.site.oracle);
        let probes = ProbeMachine::open(self.site.network, PROBE_MACHINE, oracle).await?;
        spawn_local(Rc::clone(&probes).receive());
        let routes = vec![
            kitchen_route(),
            moved_route(),
            dropped_route(),
            added_route(),
        ];
        let until = Instant::now() + Duration::from_secs(60);
        let balancers = self.balancers.clone();
        spawn_local(probes.probe(balancers, routes, PROBE_INTERVAL, sends_copies, until));
        Ok(())
    }

    /// The connections that are open at the store go silent: those of one machine, or all.
    /// For the users' rules, this is a reset of the connections of all these machines.
    fn silence(&self, machine: Option<u8>) {
        for (owner, proxy) in &self.store_proxies {
            if machine.is_none_or(|machine| machine == *owner) {
                proxy.silence_open_connections();
                self.disturb(*owner);
            }
        }
    }

    fn ignore_openings(&self, ignores: bool) {
        for machine in IGNORING_TARGETS {
            self.site.ignore_openings(machine, ignores);
        }
    }

    fn refuse_store(&self, refuse: bool) {
        self.disturb(STORE);
        for proxy in self.store_proxies.values() {
            proxy.set_rule(FaultRule {
                refuse,
                ..FaultRule::default()
            });
        }
    }

    fn store_fault(&self, fault: StoreFault) {
        self.disturb(STORE);
        self.site.store.borrow_mut().fault = fault;
    }

    fn disturb(&self, machine: u8) {
        let mut oracle = self.site.oracle.borrow_mut();
        oracle.configurations.disturb(machine);
    }

    /// Kills the processes on these machines and starts them again.
    async fn kill_and_start(&mut self, machines: Vec<u8>) -> Result<(), SiteError> {
        for machine in &machines {
            self.site.signal(*machine, Signal::SIGKILL)?;
        }
        sleep(AWAY).await;
        for machine in machines {
            if self.balancers.contains(&machine) {
                self.site.start_balancer(machine)?;
            } else {
                self.site.start_agent(machine, service_of(machine))?;
            }
        }
        Ok(())
    }

    fn calls(&self) -> u64 {
        self.site.store.borrow().calls
    }
}

/// Address of a route that the change drops.
fn dropped_route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 5), 443)
}
