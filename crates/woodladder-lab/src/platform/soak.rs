//! A soak: the product's processes under faults from outside, drawn from a
//! seed, while callers and targets check the promises.
//!
//! Faults come for a while; then all is healed, and after a time to settle
//! every request must be answered again and every balancer hold the last
//! configuration.

use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep_until, timeout};

use super::address::{METRICS_PORT, Network};
use super::links::{self, Links};
use super::path_rules::{self, CUT, LOSSY, SLOW, store_proxy};
use super::site::{BALANCERS, Site, SiteError, SiteOptions, all_nodes, service_of};
use super::soak_plan::{
    EXCLUDED_BY, Strike, StrikeKind, leavings_under_kills, plan, planned_stops, processors,
};
use super::soak_report::SoakReport;
use super::soak_silences::silences;
use super::store_state::StoreFault;
use super::target::SHORTEST_DRAIN;
use super::target_control::TargetHabits;
use super::zones::ZONES;
use crate::fault_proxy::{FaultProxy, FaultRule};

/// Time for everything to settle after the last fault: longer than any
/// request lasts.
const SETTLING: Duration = Duration::from_secs(6);
/// Time in which no request may fail.
const CALM: Duration = Duration::from_secs(4);
/// Time by which the changes of a product that is broken on purpose come late: beyond the users'
/// bound and the time after which machines are in touch again.
const CHANGES_LATE_BY: Duration = Duration::from_secs(6);
/// Longest wait for a balancer's figures.
const FIGURES_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two looks at whether a target's address is free.
const ADDRESS_LOOK: Duration = Duration::from_millis(50);
/// Key prefix of the agents' leaving records.
const LEAVING_RECORDS: &str = "woodladder/leavings/";

/// Settings of a soak.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Program whose subcommand `platform-node` acts as the product's.
    pub program: PathBuf,
    /// Directory of settings and logs; must exist.
    pub directory: PathBuf,
    /// Seed of the faults.
    pub seed: u64,
    /// How long faults come.
    pub length: Duration,
    /// How targets speak to their agents; [`TargetHabits::of_seed`] in an ordinary run.
    pub target_habits: TargetHabits,
    /// Which faults come.
    pub course: SoakCourse,
    /// Whether the store loses the leaving records that it has acknowledged: a product whose
    /// agents forget what they acknowledged, broken on purpose.
    pub loses_leaving_records: bool,
    /// Whether nodes learn of an acknowledged configuration far too late: a product whose changes
    /// come into force late, broken on purpose.
    pub applies_changes_late: bool,
}

/// Which faults come in a soak.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SoakCourse {
    /// Faults and planned work of all kinds.
    Mixed,
    /// Only planned work, by which no reset of a living flow is excused.
    PlannedWork,
    /// Long leavings in which all processes are killed at the same moment.
    KillsInLeavings,
    /// Changes of the configuration while open connections to the store go silent and answers
    /// are lost.
    SilentConnections,
}

impl SoakCourse {
    /// Whether a proxy stands between the node on a machine and the store.
    fn has_store_path(self, machine: u8) -> bool {
        self == Self::SilentConnections || BALANCERS.contains(&machine)
    }
}

/// Runs a soak to its end.
///
/// # Errors
/// [`SiteError`] when it could not be run.
pub fn soak(options: &SoakOptions) -> Result<SoakReport, SiteError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let mut soak = Soak::open(options).await?;
        soak.run(options).await
    })
}

pub(super) struct Soak {
    pub(super) site: Site,
    pub(super) store_proxies: BTreeMap<u8, FaultProxy>,
    habits: TargetHabits,
    pub(super) course: SoakCourse,
    pub(super) configurations: u32,
    pub(super) unrelated_changes: u8,
}

/// What ends with a strike's time.
#[derive(Clone, Copy, Debug)]
enum Change {
    Begin(Strike),
    End(Strike),
}

impl Soak {
    async fn open(options: &SoakOptions) -> Result<Self, SiteError> {
        let network = Network::take();
        let links = Rc::new(Links::between_nodes(options.seed));
        let machines: Vec<u8> = all_nodes().collect();
        links::open_proxies(network, &machines, &links).await?;
        let site_options = SiteOptions {
            program: options.program.clone(),
            directory: options.directory.clone(),
            target_habits: options.target_habits,
            processors: processors(options.seed),
        };
        let mut site = Site::open(&site_options, network, links).await?;
        site.store.borrow_mut().lost_prefix =
            options.loses_leaving_records.then_some(LEAVING_RECORDS);
        let mut store_proxies = BTreeMap::new();
        for machine in all_nodes().filter(|machine| options.course.has_store_path(*machine)) {
            let proxy = store_proxy(network, options.seed).await?;
            if let Some(SocketAddr::V4(address)) = proxy.tcp_addresses().first() {
                site.set_store_address(machine, *address);
            }
            store_proxies.insert(machine, proxy);
        }
        Ok(Self {
            site,
            store_proxies,
            habits: options.target_habits,
            course: options.course,
            configurations: 0,
            unrelated_changes: 0,
        })
    }

    async fn run(&mut self, options: &SoakOptions) -> Result<SoakReport, SiteError> {
        self.site.serve().await?;
        if options.applies_changes_late {
            self.site.held_back = CHANGES_LATE_BY;
        }
        let begin = Instant::now();
        let end = begin + options.length + SETTLING + CALM;
        self.site.call(end).await?;
        let draw = match options.course {
            SoakCourse::Mixed => plan,
            SoakCourse::PlannedWork => planned_stops,
            SoakCourse::KillsInLeavings => leavings_under_kills,
            SoakCourse::SilentConnections => silences,
        };
        if options.course == SoakCourse::SilentConnections {
            self.start_probes(end).await?;
        }
        let strikes = draw(options.seed, options.length);
        for (at, change) in timeline(&strikes) {
            self.start_targets_until(begin + at.min(options.length))
                .await?;
            match change {
                Change::Begin(strike) => self.begin(&strike).await?,
                Change::End(strike) => self.end(&strike).await?,
            }
        }
        self.heal()?;
        self.start_targets_until(end - CALM).await?;
        let failed = self.site.oracle.borrow().failed;
        self.site.wait_for_callers().await;
        let behind = self.balancers_behind().await;
        let ended_by_themselves = self.site.ended_by_themselves();
        let oracle = self.site.oracle.borrow();
        Ok(SoakReport {
            seed: options.seed,
            strikes: strikes.len(),
            answered: oracle.answered,
            failed,
            failed_when_calm: oracle.failed - failed,
            openings_judged: oracle.configurations.judged(),
            ended_by_themselves,
            behind,
            violations: oracle
                .violations()
                .iter()
                .map(ToString::to_string)
                .collect(),
        })
    }

    /// Waits until a time, while targets start whose address comes free.
    async fn start_targets_until(&mut self, until: Instant) -> Result<(), SiteError> {
        loop {
            self.site.start_waiting().await?;
            if Instant::now() >= until {
                return Ok(());
            }
            sleep_until(until.min(Instant::now() + ADDRESS_LOOK)).await;
        }
    }

    async fn begin(&mut self, strike: &Strike) -> Result<(), SiteError> {
        let machine = strike.machine;
        match strike.kind {
            StrikeKind::KillBalancer | StrikeKind::KillAgent => {
                self.disturb(machine);
                self.site.signal(machine, Signal::SIGKILL)?;
            }
            StrikeKind::StopBalancer | StrikeKind::StopAgent => {
                self.site.signal(machine, Signal::SIGTERM)?;
            }
            StrikeKind::PauseBalancer | StrikeKind::PauseAgent => {
                self.disturb(machine);
                self.site.signal(machine, Signal::SIGSTOP)?;
            }
            StrikeKind::HangUp => self.site.signal(machine, Signal::SIGHUP)?,
            StrikeKind::CutToNode => self.link(machine, Some(CUT), None),
            StrikeKind::CutFromNode => self.link(machine, None, Some(CUT)),
            StrikeKind::CutNode => self.link(machine, Some(CUT), Some(CUT)),
            StrikeKind::LossyNode => self.link(machine, Some(LOSSY), Some(LOSSY)),
            StrikeKind::SlowNode => self.link(machine, Some(SLOW), Some(SLOW)),
            StrikeKind::LossyCallers => self.site.links.set(links::CALLERS, machine, LOSSY),
            StrikeKind::StoreBusy => self.store_fault(StoreFault::Busy),
            StrikeKind::StoreThrottled => self.store_fault(StoreFault::Throttled),
            StrikeKind::StoreSilent => self.store_fault(StoreFault::Closed),
            StrikeKind::StoreAnswersLost => self.store_fault(StoreFault::AnswersLost),
            StrikeKind::StoreForgets => self.forget_history(),
            StrikeKind::StoreChangesUnanswered => self.store_fault(StoreFault::ChangesUnanswered),
            StrikeKind::SilenceAll => self.silence(None),
            StrikeKind::SilenceOne => self.silence(Some(machine)),
            StrikeKind::StoreRefusesOne => self.store_path(machine, path_rules::refusing()),
            StrikeKind::StoreSilentToOne => self.store_path(machine, path_rules::silent_to_node()),
            StrikeKind::StoreSlowToOne => self.store_path(machine, path_rules::slow()),
            StrikeKind::Configure => self.configure(),
            StrikeKind::ConfigureUnrelated => self.configure_unrelated(),
            StrikeKind::CrashTarget => self.site.crash_target(machine),
            StrikeKind::DrainTarget => {
                let serves_on = strike.lasts.max(SHORTEST_DRAIN);
                self.site.drain_target(machine, serves_on);
            }
            StrikeKind::DeregisterTarget => {
                let serves_on = strike.lasts.max(SHORTEST_DRAIN);
                if self.course == SoakCourse::KillsInLeavings {
                    self.delay_heartbeat(machine);
                }
                self.site.deregister_target(machine, serves_on);
            }
            StrikeKind::LosePower => {
                self.disturb(machine);
                self.site.signal(machine, Signal::SIGKILL)?;
                self.site.crash_target(machine);
            }
            // Only a start that says when it began may use the name of another.
            StrikeKind::BeginAgain if self.habits.states_start => {
                self.site.crash_to_begin_again(machine);
            }
            StrikeKind::BeginAgain => self.site.crash_target(machine),
            StrikeKind::ExcludeZone => self.site.exclude_zone(excluded_zone(machine)),
            StrikeKind::KillEverything => self.kill_everything()?,
        }
        Ok(())
    }

    async fn end(&mut self, strike: &Strike) -> Result<(), SiteError> {
        let machine = strike.machine;
        match strike.kind {
            StrikeKind::KillBalancer | StrikeKind::StopBalancer => {
                self.site.start_balancer(machine)?;
            }
            StrikeKind::KillAgent => {
                self.disturb(machine);
                self.site.start_agent(machine, service_of(machine))?;
            }
            StrikeKind::StopAgent => {
                self.site.start_agent(machine, service_of(machine))?;
            }
            StrikeKind::PauseBalancer | StrikeKind::PauseAgent => {
                self.disturb(machine);
                self.site.signal(machine, Signal::SIGCONT)?;
            }
            StrikeKind::CutToNode
            | StrikeKind::CutFromNode
            | StrikeKind::CutNode
            | StrikeKind::LossyNode
            | StrikeKind::SlowNode => self.link(machine, None, None),
            StrikeKind::LossyCallers => self.site.links.heal(links::CALLERS, machine),
            StrikeKind::StoreBusy
            | StrikeKind::StoreThrottled
            | StrikeKind::StoreSilent
            | StrikeKind::StoreAnswersLost
            | StrikeKind::StoreChangesUnanswered => self.store_fault(StoreFault::None),
            StrikeKind::StoreRefusesOne
            | StrikeKind::StoreSilentToOne
            | StrikeKind::StoreSlowToOne => self.store_path(machine, FaultRule::default()),
            StrikeKind::CrashTarget
            | StrikeKind::DrainTarget
            | StrikeKind::DeregisterTarget
            | StrikeKind::BeginAgain => self.site.start_when_free(machine),
            StrikeKind::LosePower => {
                self.disturb(machine);
                self.site.start_agent(machine, service_of(machine))?;
                self.site.start_when_free(machine);
            }
            StrikeKind::ExcludeZone => self.site.take_zone_back(excluded_zone(machine)),
            StrikeKind::KillEverything => self.start_everything()?,
            StrikeKind::HangUp
            | StrikeKind::StoreForgets
            | StrikeKind::Configure
            | StrikeKind::ConfigureUnrelated
            | StrikeKind::SilenceAll
            | StrikeKind::SilenceOne => {}
        }
        Ok(())
    }

    fn heal(&mut self) -> Result<(), SiteError> {
        self.site.links.heal_all();
        self.site.restore_store();
        for zone in ZONES {
            if self.site.is_excluded(zone) {
                self.site.take_zone_back(zone);
            }
        }
        for machine in self.store_proxies.keys() {
            self.store_path(*machine, FaultRule::default());
        }
        for machine in all_nodes() {
            self.site.signal(machine, Signal::SIGCONT)?;
        }
        Ok(())
    }

    pub(super) fn disturb(&self, machine: u8) {
        self.site.oracle.borrow_mut().disturb(machine);
    }

    async fn balancers_behind(&self) -> Vec<u8> {
        let expected = format!("woodladder_configuration_version {}", self.site.version());
        let mut behind = Vec::new();
        for machine in BALANCERS {
            let address = self.site.network.at(machine, METRICS_PORT);
            let figures = timeout(FIGURES_TIMEOUT, figures(address)).await;
            let holds_last = figures
                .ok()
                .flatten()
                .is_some_and(|text| text.lines().any(|line| line == expected));
            if !holds_last {
                behind.push(machine);
            }
        }
        behind
    }
}

/// Begins and ends of strikes in the order of time.
fn timeline(strikes: &[Strike]) -> Vec<(Duration, Change)> {
    let mut changes: Vec<(Duration, Change)> = Vec::new();
    for strike in strikes {
        changes.push((strike.at, Change::Begin(*strike)));
        changes.push((strike.at + strike.lasts, Change::End(*strike)));
    }
    changes.sort_by_key(|(at, _)| *at);
    changes
}

/// The zone that a number of an exclusion stands for.
fn excluded_zone(number: u8) -> &'static str {
    let index = EXCLUDED_BY.iter().position(|known| *known == number);
    ZONES[index.unwrap_or(0)]
}

/// The figures that a node tells.
async fn figures(address: SocketAddrV4) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let request = b"GET /metrics HTTP/1.1\r\nhost: metrics\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await.ok()?;
    Some(text)
}
