//! Leavings whose acknowledgement must outlive the product's processes and late messages,
//! step by step with real processes.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until};

use super::address::Network;
use super::links::Links;
use super::oracle::Violation;
use super::site::{BALANCERS, Site, SiteError, SiteOptions, TARGETS, service_of};
use super::target_control::{HeartbeatText, TargetHabits};

/// Processor of each balancer, in thousandths of a core.
const PROCESSOR: u32 = 250;
/// Time from the start of the site until each agent has heard its target for a while.
const HEARD_AFTER: Duration = Duration::from_secs(2);
/// Time from the acknowledgement of a leaving to the kill.
const KILLED_AFTER: Duration = Duration::from_millis(400);
/// Time for which killed processes are away.
const AWAY: Duration = Duration::from_millis(500);
/// Time from the processes' next start to the first late heartbeat.
const LATE_AFTER: Duration = Duration::from_millis(400);
/// Time between two late heartbeats.
const LATE_INTERVAL: Duration = Duration::from_millis(550);
/// Late heartbeats of a former start.
const LATE_HEARTBEATS: usize = 6;
/// Time for which the leaving target's heartbeats are held up while those come.
const OWN_HELD_UP_FOR: Duration = Duration::from_millis(2000);
/// Time from the processes' next start to the target's end: they are in touch again 4 s
/// after it.
const SERVES_ON: Duration = Duration::from_secs(8);
/// Time from the target's last deregistration to its end.
const ENDS_AFTER: Duration = Duration::from_secs(1);
/// Time from a target's end to the next start at its address.
const ADDRESS_FREE: Duration = Duration::from_millis(400);
/// Time for which callers ask after the leaving.
const REST: Duration = Duration::from_secs(1);

/// What happens around a leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeavingCourse {
    /// The target deregisters first and sends nothing more; all processes are killed, and
    /// a heartbeat that it had sent before comes late.
    EverythingKilled,
    /// The target says that it drains; all processes are killed, a heartbeat that it had
    /// sent before comes late, and all later ones are held up.
    EverythingKilledAndSilent,
    /// Only the target's agent is killed, and heartbeats of the start before it come late,
    /// one after the other.
    AgentKilled,
    /// Nothing is killed. The target drains, deregisters and takes packets for a moment
    /// more, in which a heartbeat of the start before it comes late.
    SlowEnd,
}

impl LeavingCourse {
    fn deregisters_first(self) -> bool {
        self == Self::EverythingKilled
    }

    fn has_former_start(self) -> bool {
        matches!(self, Self::AgentKilled | Self::SlowEnd)
    }

    /// Number of heartbeats that come late.
    fn late_heartbeats(self) -> usize {
        match self {
            Self::AgentKilled => LATE_HEARTBEATS,
            _ => 1,
        }
    }

    /// Machines whose processes are killed.
    fn killed(self) -> Vec<u8> {
        let agents = TARGETS.map(|(machine, _)| machine);
        match self {
            Self::EverythingKilled | Self::EverythingKilledAndSilent => {
                BALANCERS.into_iter().chain(agents).collect()
            }
            Self::AgentKilled => vec![agents[0]],
            Self::SlowEnd => Vec::new(),
        }
    }
}

/// What a course is played with.
#[derive(Clone, Debug)]
pub struct LeavingCourseOptions {
    /// Program whose subcommand `platform-node` acts as the product's.
    pub program: PathBuf,
    /// Directory of settings and logs; must exist.
    pub directory: PathBuf,
    /// Whether heartbeats state when their sender began.
    pub states_start: bool,
    /// What happens.
    pub course: LeavingCourse,
}

/// What a course showed.
#[derive(Clone, Debug)]
pub struct LeavingCourseReport {
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// Time from the next start at the target's address to the first opening that it takes;
    /// `None` if it took none.
    pub next_start_serves_after: Option<Duration>,
}

/// Plays a course.
///
/// # Errors
/// [`SiteError`] when it could not be run.
pub fn run_leaving_course(
    options: &LeavingCourseOptions,
) -> Result<LeavingCourseReport, SiteError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let site_options = SiteOptions {
            program: options.program.clone(),
            directory: options.directory.clone(),
            target_habits: TargetHabits {
                states_start: options.states_start,
                ends_after: ENDS_AFTER,
                ..TargetHabits::default()
            },
            processors: [PROCESSOR; BALANCERS.len()],
        };
        let links = Rc::new(Links::direct());
        let mut site = Site::open(&site_options, Network::take(), links).await?;
        site.serve().await?;
        let length = HEARD_AFTER * 2
            + KILLED_AFTER
            + AWAY
            + SERVES_ON
            + ENDS_AFTER
            + ADDRESS_FREE
            + REST * 2;
        site.call(Instant::now() + length).await?;
        play(&mut site, options.course).await?;
        site.wait_for_callers().await;
        let machine = TARGETS[0].0;
        let next_start = site.targets.get(&machine);
        Ok(LeavingCourseReport {
            violations: site.oracle.borrow().violations().to_vec(),
            next_start_serves_after: next_start.and_then(|it| it.first_opening_after()),
        })
    })
}

async fn play(site: &mut Site, course: LeavingCourse) -> Result<(), SiteError> {
    let (machine, service) = TARGETS[0];
    sleep(HEARD_AFTER).await;
    let late = held_up_heartbeats(site, machine, course.late_heartbeats());
    if course.has_former_start() {
        site.crash_target(machine);
        sleep(ADDRESS_FREE).await;
        site.start_target(machine, service).await?;
        sleep(HEARD_AFTER).await;
    }
    let deregisters_at = begin_leaving(site, machine, course);
    sleep(KILLED_AFTER).await;
    if let Some(target) = site.leaving.get(&machine) {
        match course {
            LeavingCourse::EverythingKilledAndSilent => target.stop_heartbeats(),
            LeavingCourse::AgentKilled => target.hold_heartbeats(AWAY + OWN_HELD_UP_FOR),
            LeavingCourse::EverythingKilled | LeavingCourse::SlowEnd => {}
        }
    }
    kill_and_start(site, &course.killed()).await?;
    if course == LeavingCourse::SlowEnd {
        sleep_until(deregisters_at).await;
    }
    sleep(LATE_AFTER).await;
    for heartbeat in &late {
        heartbeat.send().await;
        sleep(LATE_INTERVAL).await;
    }
    sleep_until(deregisters_at + ENDS_AFTER + ADDRESS_FREE).await;
    site.start_target(machine, service).await?;
    sleep(REST).await;
    Ok(())
}

/// The target of a machine begins to leave; returns when it deregisters for good, or ends
/// if it has deregistered first.
fn begin_leaving(site: &mut Site, machine: u8, course: LeavingCourse) -> Instant {
    let serves_on = KILLED_AFTER + AWAY + SERVES_ON;
    if course.deregisters_first() {
        site.deregister_target(machine, serves_on);
    } else {
        site.drain_target(machine, serves_on);
    }
    Instant::now() + serves_on
}

/// Heartbeats that the present target of a machine writes and that are held up.
fn held_up_heartbeats(site: &Site, machine: u8, count: usize) -> Vec<HeartbeatText> {
    (0..count)
        .filter_map(|_| site.hold_heartbeat(machine))
        .collect()
}

/// Kills the processes on these machines and starts them again.
async fn kill_and_start(site: &mut Site, machines: &[u8]) -> Result<(), SiteError> {
    if machines.is_empty() {
        sleep(AWAY).await;
        return Ok(());
    }
    for machine in machines {
        site.oracle.borrow_mut().disturb(*machine);
        site.signal(*machine, Signal::SIGKILL)?;
    }
    sleep(AWAY).await;
    for machine in machines {
        site.oracle.borrow_mut().disturb(*machine);
        if BALANCERS.contains(machine) {
            site.start_balancer(*machine)?;
        } else {
            site.start_agent(*machine, service_of(*machine))?;
        }
    }
    Ok(())
}
