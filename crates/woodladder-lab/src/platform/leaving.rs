//! One leaving, step by step: a machine loses power and comes back, its new target leaves
//! and serves on for many seconds, and a heartbeat of the former target comes late.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

use super::address::Network;
use super::links::Links;
use super::oracle::Violation;
use super::site::{BALANCERS, Site, SiteError, SiteOptions, TARGETS};
use super::target_control::{self, TargetHabits};

/// Processor of each balancer, in thousandths of a core.
const PROCESSOR: u32 = 250;
/// Time for which the power is away.
const POWER_AWAY: Duration = Duration::from_millis(500);
/// Time from the return of the power to the leaving: the machine is in touch again by then.
const IN_TOUCH_AFTER: Duration = Duration::from_secs(5);
/// Time from the start of the site until each agent has heard its target.
const HEARD_AFTER: Duration = Duration::from_millis(1500);
/// Time from the leaving to the late heartbeat.
const LATE_AFTER: Duration = Duration::from_millis(700);
/// Time for which the target serves on: well beyond the users' bound.
const SERVES_ON: Duration = Duration::from_secs(6);
/// Time for which callers ask after that.
const REST: Duration = Duration::from_secs(1);

/// What happens in a leaving.
#[derive(Clone, Debug)]
pub struct LeavingOptions {
    /// Program whose subcommand `platform-node` acts as the product's.
    pub program: PathBuf,
    /// Directory of settings and logs; must exist.
    pub directory: PathBuf,
    /// How targets speak to their agents.
    pub target_habits: TargetHabits,
    /// Whether the target deregisters first instead of saying that it drains.
    pub deregisters_first: bool,
    /// Whether a heartbeat of the former target comes while the target leaves.
    pub has_late_heartbeat: bool,
}

/// Runs a leaving; returns the promises that were broken.
///
/// # Errors
/// [`SiteError`] when it could not be run.
pub fn run_leaving(options: &LeavingOptions) -> Result<Vec<Violation>, SiteError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let mut site = open_site(options).await?;
        site.serve().await?;
        let length = POWER_AWAY + IN_TOUCH_AFTER + SERVES_ON + REST;
        site.call(Instant::now() + length).await?;
        play(&mut site, options).await?;
        site.wait_for_callers().await;
        let violations = site.oracle.borrow().violations().to_vec();
        Ok(violations)
    })
}

async fn play(site: &mut Site, options: &LeavingOptions) -> Result<(), SiteError> {
    let (machine, service) = TARGETS[0];
    let late_heartbeat = site.hold_heartbeat(machine);
    site.oracle.borrow_mut().disturb(machine);
    site.signal(machine, Signal::SIGKILL)?;
    site.crash_target(machine);
    sleep(POWER_AWAY).await;
    site.oracle.borrow_mut().disturb(machine);
    site.start_agent(machine, service)?;
    site.start_target(machine, service).await?;
    sleep(IN_TOUCH_AFTER).await;
    if options.deregisters_first {
        site.deregister_target(machine, SERVES_ON);
    } else {
        site.drain_target(machine, SERVES_ON);
    }
    sleep(LATE_AFTER).await;
    if let Some(heartbeat) = late_heartbeat
        && options.has_late_heartbeat
    {
        heartbeat.send().await;
    }
    sleep(SERVES_ON.saturating_sub(LATE_AFTER)).await;
    Ok(())
}

/// Deregisters, at an agent whose target runs, a target that the agent does not know;
/// returns whether that was acknowledged.
///
/// # Errors
/// [`SiteError`] when it could not be run.
pub fn deregister_unknown_target(options: &LeavingOptions) -> Result<bool, SiteError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let mut site = open_site(options).await?;
        site.serve().await?;
        sleep(HEARD_AFTER).await;
        let machine = site.network.machine(TARGETS[0].0);
        Ok(target_control::deregister(machine, "i-unknown").await)
    })
}

async fn open_site(options: &LeavingOptions) -> Result<Site, SiteError> {
    let site_options = SiteOptions {
        program: options.program.clone(),
        directory: options.directory.clone(),
        target_habits: options.target_habits,
        processors: [PROCESSOR; BALANCERS.len()],
    };
    let links = Rc::new(Links::direct());
    Site::open(&site_options, Network::take(), links).await
}
