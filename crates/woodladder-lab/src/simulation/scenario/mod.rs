//! Named scenarios: which faults a world meets, drawn from its seed.

mod answers;
mod balancers;
mod mixed;
mod rolls;
mod store;
mod targets;

use std::time::Duration;

use woodladder_core::clock::Instant;

use super::caller::Habits;
use super::deployment::{FIRST_SERVICE, SECOND_SERVICE};
use super::fault::Fault;
use super::random::Random;
use super::topology::Site;

/// When callers begin.
const CALLERS_START: Duration = Duration::from_secs(5);
/// When callers begin no further operation.
const CALLERS_END: Duration = Duration::from_secs(36);
/// When the run ends.
const END: Duration = Duration::from_secs(45);
/// When the first fault comes.
pub(super) const FAULTS_START: Duration = Duration::from_secs(8);
/// When the last fault comes that needs the limits of the promises to show.
pub(super) const FAULTS_END: Duration = Duration::from_secs(30);

const USUAL_PACE: Duration = Duration::from_millis(900);
const FEED_CALLERS: usize = 4;
const CALLERS: usize = 12;

/// A scenario.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// What happens, as a short sentence.
    pub summary: &'static str,
    draw: fn(&mut Draft),
}

/// What a world is built from.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Where the world lies.
    pub site: Site,
    /// Callers.
    pub callers: Vec<Habits>,
    /// When callers begin.
    pub callers_start: Instant,
    /// Changes, planned or not.
    pub schedule: Vec<(Instant, Fault)>,
    /// When the run ends.
    pub end: Instant,
}

/// A plan in the making.
#[derive(Debug)]
pub struct Draft {
    /// Draws of the scenario.
    pub random: Random,
    /// The plan.
    pub plan: Plan,
}

/// Every scenario, in the order of reports.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "calm",
        summary: "nothing fails and nothing changes",
        draw: |_| {},
    },
    Scenario {
        name: "network",
        summary: "callers' datagrams are lost, duplicated and reordered",
        draw: balancers::network,
    },
    Scenario {
        name: "balancer-kill",
        summary: "balancers are killed and started again",
        draw: balancers::kill,
    },
    Scenario {
        name: "balancer-stop",
        summary: "balancers are stopped as planned, and others join",
        draw: balancers::stop,
    },
    Scenario {
        name: "balancer-freeze",
        summary: "a balancer is frozen for longer than a lease and wakes during a roll",
        draw: balancers::freeze,
    },
    Scenario {
        name: "three-bundles",
        summary: "balancers hold three different bundles at one time",
        draw: balancers::three_bundles,
    },
    Scenario {
        name: "link-cut",
        summary: "links from balancers to agents are cut in one direction",
        draw: balancers::link_cut,
    },
    Scenario {
        name: "drain-in-surge",
        summary: "targets leave, by a roll or a stop, while callers ask at a high pace",
        draw: targets::drain_in_surge,
    },
    Scenario {
        name: "cold-start",
        summary: "back ends crash and come back cold",
        draw: targets::cold_start,
    },
    Scenario {
        name: "agent-death",
        summary: "agents are killed or frozen and come back with nothing",
        draw: targets::agent_death,
    },
    Scenario {
        name: "false-health",
        summary: "back ends report false health and load",
        draw: targets::false_health,
    },
    Scenario {
        name: "address-moves",
        summary: "an address moves to another service or target while a balancer lags",
        draw: targets::address_moves,
    },
    Scenario {
        name: "shedding",
        summary: "back ends shed load under a surge",
        draw: answers::shedding,
    },
    Scenario {
        name: "back-end-answers",
        summary: "back ends answer late, answer half or close at random",
        draw: answers::bad_answers,
    },
    Scenario {
        name: "cancel-and-deadline",
        summary: "callers give up and deadlines pass while back ends are late",
        draw: answers::cancel_and_deadline,
    },
    Scenario {
        name: "store-outage",
        summary: "the store is down while nodes start, join and are replaced",
        draw: store::outage,
    },
    Scenario {
        name: "store-slow",
        summary: "the store is slow, limits rates and loses answers to writes",
        draw: store::slow,
    },
    Scenario {
        name: "store-watches",
        summary: "the store answers blocking reads late, twice or never",
        draw: store::watches,
    },
    Scenario {
        name: "operators-race",
        summary: "two operators roll at one moment; answers are lost, one freezes",
        draw: rolls::operators_race,
    },
    Scenario {
        name: "older-bundle",
        summary: "an older bundle is rolled forward while a node joins",
        draw: rolls::older_bundle,
    },
    Scenario {
        name: "machine-list",
        summary: "the machine list lags, names dead machines and omits live ones",
        draw: rolls::machine_list,
    },
    Scenario {
        name: "control-traffic",
        summary: "control traffic is lost, duplicated, reordered and forged",
        draw: rolls::control_traffic,
    },
    Scenario {
        name: "mixed",
        summary: "several scenarios at one time, some of them twice",
        draw: mixed::mixed,
    },
];

impl Scenario {
    /// The scenario with this name.
    #[must_use]
    pub fn find(name: &str) -> Option<&'static Self> {
        SCENARIOS.iter().find(|scenario| scenario.name == name)
    }

    /// The plan for a seed.
    #[must_use]
    pub fn plan(&self, seed: u64) -> Plan {
        let mut draft = Draft::new(seed);
        (self.draw)(&mut draft);
        draft.plan
    }
}

impl Draft {
    fn new(seed: u64) -> Self {
        // The plan's draws do not depend on those of the world.
        let mut random = Random::new(!seed);
        let site = if random.chance(500) {
            Site::Taiwan
        } else {
            Site::Almaty
        };
        let mut draft = Self {
            random,
            plan: Plan {
                site,
                callers: Vec::new(),
                callers_start: Instant::from_origin(CALLERS_START),
                schedule: Vec::new(),
                end: Instant::from_origin(END),
            },
        };
        draft.add_callers();
        draft
    }

    /// Schedules a change.
    pub fn at(&mut self, at: Duration, fault: Fault) {
        self.plan.schedule.push((Instant::from_origin(at), fault));
    }

    /// A moment while faults come.
    pub fn moment(&mut self) -> Duration {
        self.random.between(FAULTS_START, FAULTS_END)
    }

    /// Sets how often callers ask, from the start.
    pub fn set_pace(&mut self, pace: Duration) {
        for habits in &mut self.plan.callers {
            habits.pace = pace;
            habits.parallel = 4;
        }
    }

    /// Sets how often callers give up, in thousandths.
    pub fn set_gives_up(&mut self, gives_up: u32) {
        for habits in &mut self.plan.callers {
            habits.gives_up = gives_up;
        }
    }

    fn add_callers(&mut self) {
        for index in 0..CALLERS {
            let service = if index % 3 == 2 {
                SECOND_SERVICE
            } else {
                FIRST_SERVICE
            };
            self.plan.callers.push(Habits {
                service,
                feed: index < FEED_CALLERS,
                pace: USUAL_PACE,
                parallel: 2,
                gives_up: 20,
                ignores_notice: index % 5 == 4,
                until: Instant::from_origin(CALLERS_END),
            });
        }
    }
}
