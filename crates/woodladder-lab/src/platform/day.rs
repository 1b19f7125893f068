//! One day on the stand-in: callers all the while, and work that happens to
//! balancers, targets, configuration and store.

use std::fmt;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde::Serialize;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

use super::address::Network;
use super::links::Links;
use super::site::{
    BALANCERS, Site, SiteError, SiteOptions, TARGETS, added_route, kitchen_route, moved_route,
    print_route,
};
use super::store_state::StoreFault;
use super::target_control::TargetHabits;
use super::zones::ZONES;

/// Machine of the target that is added.
const ADDED_TARGET: u8 = 24;
/// Processor of each balancer, in thousandths of a core.
const PROCESSOR: u32 = 250;

/// How long a zone is excluded: past the bound after which nothing may open there.
const EXCLUDED_FOR: Duration = Duration::from_secs(7);
/// Time after its return until the other work begins.
const AFTER_EXCLUSION: Duration = Duration::from_secs(2);

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
    /// Whether a zone is excluded and taken back with cold targets.
    pub with_exclusion: bool,
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
    /// Openings that cold targets have taken.
    pub cold_openings: u64,
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

/// Runs a day to its end.
///
/// # Errors
/// [`SiteError`] when it could not be run.
pub fn run(options: &DayOptions) -> Result<DayReport, SiteError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let site_options = SiteOptions {
            target_habits: TargetHabits::default(),
            program: options.program.clone(),
            directory: options.directory.clone(),
            processors: [PROCESSOR; BALANCERS.len()],
        };
        let links = Rc::new(Links::direct());
        let mut site = Site::open(&site_options, Network::take(), links).await?;
        site.serve().await?;
        let steps = if options.with_faults { 9 } else { 6 };
        let mut until = Instant::now() + options.step * steps;
        if options.with_exclusion {
            until += EXCLUDED_FOR + AFTER_EXCLUSION;
        }
        site.call(until).await?;
        if options.with_exclusion {
            exclude(&site).await;
        }
        work(&mut site, options).await?;
        site.wait_for_callers().await;
        Ok(report(&mut site))
    })
}

async fn exclude(site: &Site) {
    site.exclude_zone(ZONES[0]);
    sleep(EXCLUDED_FOR).await;
    site.take_zone_back(ZONES[0]);
    sleep(AFTER_EXCLUSION).await;
}

async fn work(site: &mut Site, options: &DayOptions) -> Result<(), SiteError> {
    let step = options.step;
    sleep(step).await;
    site.configure(&[
        (kitchen_route(), "kitchen"),
        (print_route(), "print"),
        (moved_route(), "kitchen"),
        (added_route(), "print"),
    ]);
    sleep(step).await;
    site.start_agent(ADDED_TARGET, "kitchen")?;
    site.start_target(ADDED_TARGET, "kitchen").await?;
    site.retire_target(TARGETS[0].0);
    sleep(step).await;
    site.signal(BALANCERS[1], Signal::SIGTERM)?;
    sleep(step).await;
    site.start_balancer(BALANCERS[1])?;
    site.signal(BALANCERS[2], Signal::SIGHUP)?;
    if options.with_faults {
        fail(site, step).await?;
    }
    Ok(())
}

async fn fail(site: &mut Site, step: Duration) -> Result<(), SiteError> {
    site.store.borrow_mut().fault = StoreFault::Busy;
    sleep(step).await;
    site.signal(BALANCERS[2], Signal::SIGKILL)?;
    site.start_balancer(BALANCERS[2])?;
    sleep(step).await;
    site.restore_store();
    site.start_agent(TARGETS[1].0, TARGETS[1].1)?;
    sleep(step).await;
    Ok(())
}

fn report(site: &mut Site) -> DayReport {
    let ended_by_themselves = site.ended_by_themselves();
    let oracle = site.oracle.borrow();
    DayReport {
        answered: oracle.answered,
        failed: oracle.failed,
        retries: oracle.retries,
        store_calls: site.store.borrow().calls,
        cold_openings: oracle.cold_total,
        ended_by_themselves,
        violations: oracle
            .violations()
            .iter()
            .map(ToString::to_string)
            .collect(),
    }
}
