//! What happens to a deployment while its cost is measured.

use std::time::Duration;

use clap::ValueEnum;
use serde::Serialize;

use super::figures::{ScenarioFigures, Window};
use super::size::NodeIndex;
use super::world::World;

const SETTLE_LIMIT: Duration = Duration::from_secs(600);
const SECOND: Duration = Duration::from_secs(1);

/// A course of events.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Every node starts with nothing.
    Start,
    /// Nothing changes.
    Steady,
    /// Rolls of one changed target, one after another.
    Changes,
    /// Nodes restart with nothing, and some fail and are replaced.
    Restarts,
    /// A region loses the others and the key-value service, with rolls meanwhile.
    RegionCut,
    /// All nodes of one zone fail at once, with rolls meanwhile.
    ZoneLost,
    /// The key-value service is down while nodes start, restart and fail.
    StoreDown,
    /// Rolls, restarts, a region cut, a lost zone and an outage in one course.
    Everything,
}

/// Lengths of the courses.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Courses {
    /// Virtual length of a steady course.
    pub steady: Duration,
    /// Rolls of a course of changes.
    pub rolls: u32,
    /// Time between two rolls.
    pub roll_interval: Duration,
    /// Restarts of a course of restarts.
    pub restarts: u32,
    /// Time that a region is cut, and that the service is down.
    pub cut: Duration,
}

impl Default for Courses {
    fn default() -> Self {
        Self {
            steady: Duration::from_secs(120),
            rolls: 12,
            roll_interval: Duration::from_secs(12),
            restarts: 40,
            cut: Duration::from_secs(3600),
        }
    }
}

impl Scenario {
    /// All, in the order in which one deployment goes through them.
    pub const ALL: [Self; 8] = [
        Self::Start,
        Self::Steady,
        Self::Changes,
        Self::Restarts,
        Self::RegionCut,
        Self::StoreDown,
        Self::ZoneLost,
        Self::Everything,
    ];

    /// Takes a deployment through the course and measures it.
    pub(super) fn run(self, world: &mut World, courses: &Courses) -> ScenarioFigures {
        let mut window = Window::open(world);
        match self {
            Self::Start => {}
            Self::Steady => world.run_for(courses.steady),
            Self::Changes => changes(world, courses),
            Self::Restarts => restarts(world, courses),
            Self::RegionCut => region_cut(world, courses),
            Self::ZoneLost => zone_lost(world, courses),
            Self::StoreDown => store_down(world, courses, &mut window),
            Self::Everything => everything(world, courses, &mut window),
        }
        window.settle(world, SETTLE_LIMIT);
        window.close(self, world)
    }
}

fn changes(world: &mut World, courses: &Courses) {
    for _ in 0..courses.rolls {
        world.roll();
        world.run_for(courses.roll_interval);
    }
}

/// Restarts with a failure and a replacement in place of one in twenty.
fn restarts(world: &mut World, courses: &Courses) {
    const FAILURE_EVERY: u32 = 20;
    for number in 1..=courses.restarts {
        let node = world.random_up();
        if number % FAILURE_EVERY == 0 {
            world.fail(node);
            world.add_node(SECOND);
        } else {
            world.restart(node);
        }
        world.run_for(SECOND);
    }
}

fn region_cut(world: &mut World, courses: &Courses) {
    world.cut("south");
    rolls_during(world, courses.cut, courses.roll_interval * 10);
    world.reconnect();
}

fn zone_lost(world: &mut World, courses: &Courses) {
    lose_zone(world, "e2");
    changes(world, courses);
}

fn store_down(world: &mut World, courses: &Courses, window: &mut Window) {
    world.store.down = true;
    let end = world.now + courses.cut;
    let mut left = courses.restarts;
    while world.now < end {
        if left > 0 {
            restarts(
                world,
                &Courses {
                    restarts: 1,
                    ..*courses
                },
            );
            left -= 1;
        }
        world.run_for(courses.cut / (2 * courses.restarts.max(1)));
    }
    window.note_outage(world);
    world.store.down = false;
    world.roll();
}

fn everything(world: &mut World, courses: &Courses, window: &mut Window) {
    let part = courses.cut / 6;
    changes(world, courses);
    world.cut("south");
    rolls_during(world, part, courses.roll_interval * 4);
    restarts(world, courses);
    lose_zone(world, "n3");
    rolls_during(world, part, courses.roll_interval * 4);
    world.store.down = true;
    restarts(world, courses);
    world.run_for(part);
    window.note_outage(world);
    world.reconnect();
    world.store.down = false;
}

fn rolls_during(world: &mut World, time: Duration, interval: Duration) {
    let end = world.now + time;
    while world.now < end {
        world.roll();
        world.run_for(interval.min(end.since(world.now)));
    }
}

fn lose_zone(world: &mut World, zone: &str) {
    for index in 0..world.nodes.len() {
        if NodeIndex(index).zone() == zone {
            world.fail(NodeIndex(index));
        }
    }
}
