//! A target that crashes and is replaced by another start at its address while its last
//! heartbeats are held up on their way, step by step with real processes.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until};

use super::address::Network;
use super::links::Links;
use super::oracle::Violation;
use super::site::{BALANCERS, Site, SiteError, SiteOptions, TARGETS};
use super::target_control::TargetHabits;

/// Processor of each balancer, in thousandths of a core.
const PROCESSOR: u32 = 250;
/// Time from the start of the site until each agent has heard its target for a while.
const HEARD_AFTER: Duration = Duration::from_secs(2);
/// Time from the crash to the next start at the address.
const ADDRESS_FREE: Duration = Duration::from_millis(300);
/// Time from the next start to the first requests, in courses whose callers open their first
/// flows there.
const CALLED_AFTER: Duration = Duration::from_millis(200);
/// Time from those requests to the late heartbeat of the crashed start.
const LATE_AFTER: Duration = Duration::from_millis(800);
/// Time for which the next start's heartbeats are held up, if they are.
const NEXT_HELD_UP_FOR: Duration = Duration::from_millis(1200);
/// Time from the late heartbeat until the next start has replaced the crashed one.
const REPLACED_AFTER: Duration = Duration::from_secs(5);

/// Which heartbeats are held up around a crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplacementCourse {
    /// None.
    InTime,
    /// One of the crashed start arrives between those of the next one.
    LateHeartbeat,
    /// One of the crashed start arrives before the first one of the next start, which has
    /// taken flows already.
    LateBeforeNext,
}

/// What a course is played with.
#[derive(Clone, Debug)]
pub struct ReplacementCourseOptions {
    /// Program whose subcommand `platform-node` acts as the product's.
    pub program: PathBuf,
    /// Directory of settings and logs; must exist.
    pub directory: PathBuf,
    /// Whether heartbeats state when their sender began.
    pub states_start: bool,
    /// What happens.
    pub course: ReplacementCourse,
}

/// What a course showed.
#[derive(Clone, Debug)]
pub struct ReplacementCourseReport {
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// Time from the next start to the first opening that it takes; `None` if it took none.
    pub next_start_serves_after: Option<Duration>,
}

/// Plays a course.
///
/// # Errors
/// [`SiteError`] when it could not be run.
pub fn run_replacement_course(
    options: &ReplacementCourseOptions,
) -> Result<ReplacementCourseReport, SiteError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let site_options = SiteOptions {
            program: options.program.clone(),
            directory: options.directory.clone(),
            target_habits: TargetHabits {
                states_start: options.states_start,
                ..TargetHabits::default()
            },
            processors: [PROCESSOR; BALANCERS.len()],
        };
        let links = Rc::new(Links::direct());
        let mut site = Site::open(&site_options, Network::take(), links).await?;
        site.serve().await?;
        let until = Instant::now()
            + HEARD_AFTER
            + ADDRESS_FREE
            + CALLED_AFTER
            + LATE_AFTER
            + REPLACED_AFTER;
        play(&mut site, options.course, until).await?;
        site.wait_for_callers().await;
        let next_start = site.targets.get(&TARGETS[0].0);
        Ok(ReplacementCourseReport {
            violations: site.oracle.borrow().violations().to_vec(),
            next_start_serves_after: next_start.and_then(|it| it.first_opening_after()),
        })
    })
}

/// Plays a course with callers that make requests until `until`.
async fn play(site: &mut Site, course: ReplacementCourse, until: Instant) -> Result<(), SiteError> {
    let (machine, service) = TARGETS[0];
    if course == ReplacementCourse::InTime {
        site.call(until).await?;
    }
    sleep(HEARD_AFTER).await;
    let held_up = site.hold_heartbeat(machine);
    site.crash_target(machine);
    sleep(ADDRESS_FREE).await;
    site.start_target(machine, service).await?;
    if course == ReplacementCourse::LateBeforeNext
        && let Some(next) = site.targets.get(&machine)
    {
        next.hold_heartbeats(NEXT_HELD_UP_FOR);
    }
    sleep(CALLED_AFTER).await;
    if course != ReplacementCourse::InTime {
        site.call(until).await?;
        sleep(LATE_AFTER).await;
        if let Some(heartbeat) = held_up {
            heartbeat.send().await;
        }
    }
    sleep_until(until).await;
    Ok(())
}
