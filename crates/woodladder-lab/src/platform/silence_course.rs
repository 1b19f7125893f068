//! Leases and leavings while the open connections to the store go silent, with real processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

use super::address::Network;
use super::links::Links;
use super::path_rules::store_proxy;
use super::site::{BALANCERS, Site, SiteError, SiteOptions, TARGETS};
use super::target_control::TargetHabits;
use crate::fault_proxy::FaultProxy;

/// Processor of each balancer, in thousandths of a core.
const PROCESSOR: u32 = 250;
/// Time from the start of the processes to the first silence.
const SETTLED_AFTER: Duration = Duration::from_millis(6500);
/// Number of silences while nothing else happens.
const SILENCES: usize = 8;
/// Time between two of them.
const SILENCE_INTERVAL: Duration = Duration::from_secs(3);
/// Time from a silence to the leaving of a target.
const LEAVES_AFTER: Duration = Duration::from_millis(300);
/// Targets that leave, one after the other.
const LEAVING_TARGETS: usize = 2;
/// Longest time for which a target tells that it leaves.
const LEAVING_LIMIT: Duration = Duration::from_secs(10);
/// Time from a refused heartbeat to the next one.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What the course is played with.
#[derive(Clone, Debug)]
pub struct SilenceCourseOptions {
    /// Program whose subcommand `platform-node` acts as the product's.
    pub program: PathBuf,
    /// Directory of settings and logs; must exist.
    pub directory: PathBuf,
}

/// What the course showed.
#[derive(Clone, Debug)]
pub struct SilenceCourseReport {
    /// Leases that ended without having been revoked.
    pub lapsed_leases: u64,
    /// Longest time between two renewals of one lease.
    pub longest_renewal_gap: Duration,
    /// Time from the first heartbeat that says that its target leaves to the acknowledgement,
    /// for each target; `None` where none came.
    pub leavings_acknowledged_after: Vec<Option<Duration>>,
    /// Calls to the store a second before the first silence.
    pub calls_per_second_at_rest: f64,
}

/// Plays the course: the connections of all machines go silent several times, and after two
/// more silences a target says that it leaves.
///
/// # Errors
/// [`SiteError`] when it could not be run.
pub fn run_silence_course(
    options: &SilenceCourseOptions,
) -> Result<SilenceCourseReport, SiteError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let mut play = Play::open(options).await?;
        play.run().await
    })
}

struct Play {
    site: Site,
    store_proxies: BTreeMap<u8, FaultProxy>,
}

impl Play {
    async fn open(options: &SilenceCourseOptions) -> Result<Self, SiteError> {
        let site_options = SiteOptions {
            program: options.program.clone(),
            directory: options.directory.clone(),
            target_habits: TargetHabits::default(),
            processors: [PROCESSOR; BALANCERS.len()],
        };
        let network = Network::take();
        let mut site = Site::open(&site_options, network, Rc::new(Links::direct())).await?;
        let agents = TARGETS.map(|(machine, _)| machine);
        let mut store_proxies = BTreeMap::new();
        for machine in BALANCERS.into_iter().chain(agents) {
            let proxy = store_proxy(network, 0).await?;
            if let Some(SocketAddr::V4(address)) = proxy.tcp_addresses().first() {
                site.set_store_address(machine, *address);
            }
            store_proxies.insert(machine, proxy);
        }
        Ok(Self {
            site,
            store_proxies,
        })
    }

    async fn run(&mut self) -> Result<SilenceCourseReport, SiteError> {
        self.site.serve().await?;
        let calls_at_start = self.site.store.borrow().calls;
        sleep(SETTLED_AFTER).await;
        let calls = self.site.store.borrow().calls - calls_at_start;
        for _ in 0..SILENCES {
            self.silence();
            sleep(SILENCE_INTERVAL).await;
        }
        let mut leavings_acknowledged_after = Vec::new();
        for (machine, _) in TARGETS.into_iter().take(LEAVING_TARGETS) {
            self.silence();
            sleep(LEAVES_AFTER).await;
            leavings_acknowledged_after.push(self.acknowledgement_time(machine).await);
        }
        let store = self.site.store.borrow();
        let calls = f64::from(u32::try_from(calls).unwrap_or(u32::MAX));
        Ok(SilenceCourseReport {
            lapsed_leases: store.lapsed_leases,
            longest_renewal_gap: store.longest_renewal_gap,
            leavings_acknowledged_after,
            calls_per_second_at_rest: calls / SETTLED_AFTER.as_secs_f64(),
        })
    }

    fn silence(&self) {
        for proxy in self.store_proxies.values() {
            proxy.silence_open_connections();
        }
    }

    /// Time until the agent acknowledges that its target leaves.
    async fn acknowledgement_time(&self, machine: u8) -> Option<Duration> {
        let since = Instant::now();
        while since.elapsed() < LEAVING_LIMIT {
            let mut heartbeat = self.site.hold_heartbeat(machine)?;
            heartbeat.is_leaving = true;
            if heartbeat.send().await {
                return Some(since.elapsed());
            }
            sleep(RETRY_PAUSE).await;
        }
        None
    }
}
