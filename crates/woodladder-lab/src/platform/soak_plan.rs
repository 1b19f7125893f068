//! Which faults a soak brings about, drawn from a seed.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::site::{BALANCERS, TARGETS};

/// Kinds of faults and of planned work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StrikeKind {
    /// A balancer is killed and started again after the strike's time.
    KillBalancer,
    /// A balancer is stopped as planned and started again.
    StopBalancer,
    /// A balancer stands still.
    PauseBalancer,
    /// A node is told that its settings have changed.
    HangUp,
    /// An agent is killed and started again.
    KillAgent,
    /// An agent stands still.
    PauseAgent,
    /// An agent is stopped as planned beside its living target, and started again.
    StopAgent,
    /// Nothing reaches a node from other nodes.
    CutToNode,
    /// Nothing reaches other nodes from a node.
    CutFromNode,
    /// A node and all others do not reach each other.
    CutNode,
    /// Datagrams to and from a node are lost and repeated at random.
    LossyNode,
    /// Datagrams to and from a node are delayed and change their order.
    SlowNode,
    /// Callers' packets to a balancer are lost at random.
    LossyCallers,
    /// The store refuses every call.
    StoreBusy,
    /// The store says that there are too many calls.
    StoreThrottled,
    /// The store closes connections or says nothing.
    StoreSilent,
    /// The store carries writes out and answers none of them.
    StoreAnswersLost,
    /// The store forgets its history.
    StoreForgets,
    /// One balancer's connections to the store are reset, while others' are
    /// served.
    StoreRefusesOne,
    /// One balancer's connections to the store carry nothing back.
    StoreSilentToOne,
    /// One balancer's connections to the store are slow.
    StoreSlowToOne,
    /// The operators write a configuration.
    Configure,
    /// A target crashes; another starts on its machine.
    CrashTarget,
    /// A target leaves as planned; another starts on its machine.
    DrainTarget,
    /// A target crashes and begins again under its name.
    BeginAgain,
    /// A target leaves as planned by deregistering first; another starts on its machine.
    DeregisterTarget,
    /// A machine loses power: its agent and its target end at the same moment and others
    /// start in their place.
    LosePower,
    /// The operators exclude the zone of a machine; its targets return cold.
    ExcludeZone,
    /// All balancers and agents are killed at the same moment and started again.
    KillEverything,
    /// The open connections of all nodes to the store go silent.
    SilenceAll,
    /// The open connections of one node to the store go silent.
    SilenceOne,
    /// The store answers no watch that finds a change.
    StoreChangesUnanswered,
    /// The operators write a configuration that changes a route without callers.
    ConfigureUnrelated,
}

/// All kinds but [`StrikeKind::ExcludeZone`], [`StrikeKind::BeginAgain`],
/// [`StrikeKind::DeregisterTarget`], [`StrikeKind::LosePower`], [`StrikeKind::StopAgent`],
/// [`StrikeKind::KillEverything`] and those of
/// [`silences`](super::soak_silences::silences), which have draws of their own.
pub const KINDS: [StrikeKind; 23] = [
    StrikeKind::KillBalancer,
    StrikeKind::StopBalancer,
    StrikeKind::PauseBalancer,
    StrikeKind::HangUp,
    StrikeKind::KillAgent,
    StrikeKind::PauseAgent,
    StrikeKind::CutToNode,
    StrikeKind::CutFromNode,
    StrikeKind::CutNode,
    StrikeKind::LossyNode,
    StrikeKind::SlowNode,
    StrikeKind::LossyCallers,
    StrikeKind::StoreBusy,
    StrikeKind::StoreThrottled,
    StrikeKind::StoreSilent,
    StrikeKind::StoreAnswersLost,
    StrikeKind::StoreForgets,
    StrikeKind::StoreRefusesOne,
    StrikeKind::StoreSilentToOne,
    StrikeKind::StoreSlowToOne,
    StrikeKind::Configure,
    StrikeKind::CrashTarget,
    StrikeKind::DrainTarget,
];

/// One fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Strike {
    /// When it strikes, from the start of the faults.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub kind: StrikeKind,
    /// Machine that it strikes.
    pub machine: u8,
}

/// Time between two strikes.
const PAUSES_MS: std::ops::Range<u64> = 200..1500;
/// Time between two exclusions of zones.
const EXCLUSION_PAUSES_MS: std::ops::Range<u64> = 500..6000;
/// Time between two targets that begin again.
const START_PAUSES_MS: std::ops::Range<u64> = 400..2500;
/// How long a target that begins again is away: at times shorter than a heartbeat.
const START_LENGTHS_MS: std::ops::Range<u64> = 50..900;
/// How long a zone is excluded.
const EXCLUSION_LENGTHS_MS: std::ops::Range<u64> = 300..9000;
/// Numbers that stand for the zones in exclusions: no machines, so that a zone and
/// a machine in it can be struck together.
pub const EXCLUDED_BY: [u8; 2] = [201, 202];
/// Time between two draws of a long leaving.
const LEAVING_PAUSES_MS: std::ops::Range<u64> = 500..4000;
/// How long a leaving target serves on: well beyond the users' bound and the time after
/// which a machine is in touch again.
const LEAVING_LENGTHS_MS: std::ops::Range<u64> = 4000..14_000;
/// Most targets that leave at a time in these draws, so that others can serve.
const MAXIMUM_LEAVING: usize = 2;
/// Least time between two long leavings on one machine.
const LEAVING_REST: Duration = Duration::from_secs(3);
/// Share of the long leavings that begin with a deregistration.
const DEREGISTERS_FIRST: f64 = 0.3;
/// Chance that the machine of a leaving target loses its power just before.
const POWER_LOST_BEFORE: f64 = 0.4;
/// How long before a leaving that is.
const POWER_LOSS_LEAD: Duration = Duration::from_millis(3000);
/// How long the power is away.
const POWER_LOSS_LENGTHS_MS: std::ops::Range<u64> = 200..1500;
/// Faults that strike the machine of a leaving target.
const FAULTS_IN_LEAVING: [StrikeKind; 5] = [
    StrikeKind::KillAgent,
    StrikeKind::PauseAgent,
    StrikeKind::CutNode,
    StrikeKind::CutToNode,
    StrikeKind::SlowNode,
];
/// Most of them in one leaving.
const MAXIMUM_FAULTS_IN_LEAVING: u32 = 2;
/// How long they last.
const FAULT_LENGTHS_MS: std::ops::Range<u64> = 200..1800;
/// Share of the long leavings in which everything is killed, where that is drawn.
const EVERYTHING_KILLED: f64 = 0.8;
/// Time from the begin of a leaving to the kill.
const KILLED_AFTER_MS: std::ops::Range<u64> = 300..2000;
/// How long killed processes are away.
const KILLED_FOR_MS: std::ops::Range<u64> = 200..1200;
/// Time between two planned stops of nodes.
const STOP_PAUSES_MS: std::ops::Range<u64> = 200..2500;
/// Share of the planned stops that strike balancers.
const STOPS_BALANCER: f64 = 0.25;
/// Time from an agent's stop to its next start: longer than the stop itself takes.
const AGENT_STOP_LENGTHS_MS: std::ops::Range<u64> = 500..2000;
/// The same for an agent that is away for long.
const LONG_AGENT_STOP_LENGTHS_MS: std::ops::Range<u64> = 2000..6000;
/// Share of the agents that are away for long.
const LONG_AGENT_STOP_SHARE: f64 = 0.15;
/// Time from a balancer's stop to its next start: longer than the stop itself takes.
const BALANCER_STOP_LENGTHS_MS: std::ops::Range<u64> = 5500..7000;
/// Time between two configurations beside planned stops.
const CONFIGURATION_PAUSES_MS: std::ops::Range<u64> = 1500..5000;
/// How long a strike lasts.
const LENGTHS_MS: std::ops::Range<u64> = 300..3000;

impl Strike {
    /// Whether a later strike's machine is not under this one any more.
    fn leaves_free(&self, later: &Self) -> bool {
        self.machine != later.machine || self.at + self.lasts <= later.at
    }
}

impl StrikeKind {
    /// Whether a target leaves as planned.
    fn is_leaving(self) -> bool {
        matches!(self, Self::DrainTarget | Self::DeregisterTarget)
    }

    fn machine(self, random: &mut ChaCha8Rng) -> u8 {
        let balancer = BALANCERS[random.random_range(0..BALANCERS.len())];
        let target = TARGETS[random.random_range(0..TARGETS.len())].0;
        let either = if random.random_bool(0.5) {
            balancer
        } else {
            target
        };
        match self {
            Self::KillAgent
            | Self::PauseAgent
            | Self::StopAgent
            | Self::CrashTarget
            | Self::DrainTarget
            | Self::DeregisterTarget
            | Self::LosePower
            | Self::BeginAgain => target,
            Self::CutToNode
            | Self::CutFromNode
            | Self::CutNode
            | Self::LossyNode
            | Self::SlowNode
            | Self::HangUp => either,
            _ => balancer,
        }
    }
}

/// The strikes of a seed, until `length`. A machine is struck by one fault at
/// a time, but for those of [`leavings`], which overlap each other and all others.
#[must_use]
pub fn plan(seed: u64, length: Duration) -> Vec<Strike> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut strikes: Vec<Strike> = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        let kind = KINDS[random.random_range(0..KINDS.len())];
        let machine = kind.machine(&mut random);
        let lasts = Duration::from_millis(random.random_range(LENGTHS_MS));
        let strike = Strike {
            at,
            lasts,
            kind,
            machine,
        };
        if strikes.iter().all(|former| former.leaves_free(&strike)) {
            strikes.push(strike);
        }
        at += Duration::from_millis(random.random_range(PAUSES_MS));
    }
    let starts = starts_again(seed, length, &strikes);
    strikes.extend(starts);
    strikes.sort_by_key(|strike| strike.at);
    strikes.extend(exclusions(seed, length));
    strikes.extend(leavings(seed, length));
    strikes.extend(planned_stops(seed, length));
    strikes
}

/// Planned stops of nodes beside living targets, with changes of the configuration. They
/// overlap each other and all other strikes, and are drawn apart, so that the other strikes
/// of a seed do not depend on them. A machine is stopped once at a time, and so are the
/// balancers.
#[must_use]
pub fn planned_stops(seed: u64, length: Duration) -> Vec<Strike> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(48) ^ 3);
    let mut strikes: Vec<Strike> = Vec::new();
    let mut at = Duration::from_millis(random.random_range(STOP_PAUSES_MS));
    while at < length {
        let strike = planned_stop(at, &mut random);
        let is_apart = |other: &Strike| {
            let are_balancers =
                other.kind == strike.kind && strike.kind == StrikeKind::StopBalancer;
            other.leaves_free(&strike) && (!are_balancers || other.at + other.lasts <= at)
        };
        if strikes.iter().all(is_apart) && at + strike.lasts <= length {
            strikes.push(strike);
        }
        at += Duration::from_millis(random.random_range(STOP_PAUSES_MS));
    }
    let mut at = Duration::from_millis(random.random_range(CONFIGURATION_PAUSES_MS));
    while at < length {
        strikes.push(Strike {
            at,
            lasts: Duration::ZERO,
            kind: StrikeKind::Configure,
            machine: BALANCERS[0],
        });
        at += Duration::from_millis(random.random_range(CONFIGURATION_PAUSES_MS));
    }
    strikes
}

fn planned_stop(at: Duration, random: &mut ChaCha8Rng) -> Strike {
    let (kind, lengths) = if random.random_bool(STOPS_BALANCER) {
        (StrikeKind::StopBalancer, BALANCER_STOP_LENGTHS_MS)
    } else if random.random_bool(LONG_AGENT_STOP_SHARE) {
        (StrikeKind::StopAgent, LONG_AGENT_STOP_LENGTHS_MS)
    } else {
        (StrikeKind::StopAgent, AGENT_STOP_LENGTHS_MS)
    };
    Strike {
        at,
        lasts: Duration::from_millis(random.random_range(lengths)),
        kind,
        machine: kind.machine(random),
    }
}

/// Long leavings of targets, with faults that strike their machines meanwhile or just
/// before. They are drawn apart, so that the other strikes of a seed do not depend on them.
#[must_use]
pub fn leavings(seed: u64, length: Duration) -> Vec<Strike> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(16) ^ 2);
    let mut strikes: Vec<Strike> = Vec::new();
    let mut free_from: BTreeMap<u8, Duration> = BTreeMap::new();
    let mut at = Duration::from_millis(random.random_range(LEAVING_PAUSES_MS));
    while at < length {
        let kind = match random.random_bool(DEREGISTERS_FIRST) {
            true => StrikeKind::DeregisterTarget,
            false => StrikeKind::DrainTarget,
        };
        let machine = kind.machine(&mut random);
        let lasts = Duration::from_millis(random.random_range(LEAVING_LENGTHS_MS));
        let leaving = Strike {
            at,
            lasts,
            kind,
            machine,
        };
        let others_leaving = strikes
            .iter()
            .filter(|other| other.kind.is_leaving() && at < other.at + other.lasts)
            .count();
        let is_free = free_from.get(&machine).is_none_or(|from| *from <= at);
        if is_free && others_leaving < MAXIMUM_LEAVING && at + lasts <= length {
            free_from.insert(machine, at + lasts + LEAVING_REST);
            strikes.extend(faults_around(&leaving, &mut random));
            strikes.push(leaving);
        }
        at += Duration::from_millis(random.random_range(LEAVING_PAUSES_MS));
    }
    strikes
}

/// Long leavings, in most of which all processes are killed at the same moment.
#[must_use]
pub fn leavings_under_kills(seed: u64, length: Duration) -> Vec<Strike> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(8) ^ 4);
    let mut strikes = leavings(seed, length);
    let mut kills: Vec<Strike> = Vec::new();
    for leaving in strikes.iter().filter(|strike| strike.kind.is_leaving()) {
        let kill = Strike {
            at: leaving.at + Duration::from_millis(random.random_range(KILLED_AFTER_MS)),
            lasts: Duration::from_millis(random.random_range(KILLED_FOR_MS)),
            kind: StrikeKind::KillEverything,
            machine: BALANCERS[0],
        };
        let is_drawn = random.random_bool(EVERYTHING_KILLED);
        if is_drawn && kills.iter().all(|other| other.leaves_free(&kill)) {
            kills.push(kill);
        }
    }
    strikes.extend(kills);
    strikes
}

/// Faults that strike the machine of a leaving target.
fn faults_around(leaving: &Strike, random: &mut ChaCha8Rng) -> Vec<Strike> {
    let mut faults = Vec::new();
    if random.random_bool(POWER_LOST_BEFORE) && leaving.at >= POWER_LOSS_LEAD {
        faults.push(Strike {
            at: leaving.at - POWER_LOSS_LEAD,
            lasts: Duration::from_millis(random.random_range(POWER_LOSS_LENGTHS_MS)),
            kind: StrikeKind::LosePower,
            machine: leaving.machine,
        });
    }
    let span = leaving.lasts.as_millis() as u64;
    for _ in 0..random.random_range(0..=MAXIMUM_FAULTS_IN_LEAVING) {
        let after = Duration::from_millis(random.random_range(0..span));
        faults.push(Strike {
            at: leaving.at + after,
            lasts: Duration::from_millis(random.random_range(FAULT_LENGTHS_MS)),
            kind: FAULTS_IN_LEAVING[random.random_range(0..FAULTS_IN_LEAVING.len())],
            machine: leaving.machine,
        });
    }
    faults
}

/// Targets that begin again under their name, while nothing else strikes their machine.
/// They are drawn apart, so that the other strikes of a seed do not depend on them.
fn starts_again(seed: u64, length: Duration, others: &[Strike]) -> Vec<Strike> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(32) ^ 1);
    let mut strikes: Vec<Strike> = Vec::new();
    let mut at = Duration::from_millis(random.random_range(START_PAUSES_MS));
    while at < length {
        let kind = StrikeKind::BeginAgain;
        let strike = Strike {
            at,
            lasts: Duration::from_millis(random.random_range(START_LENGTHS_MS)),
            kind,
            machine: kind.machine(&mut random),
        };
        let mut known = others.iter().chain(&strikes);
        if known.all(|other| other.leaves_free(&strike) || strike.leaves_free(other)) {
            strikes.push(strike);
        }
        at += Duration::from_millis(random.random_range(START_PAUSES_MS));
    }
    strikes
}

/// Exclusions of zones, which overlap each other and all other strikes. They are
/// drawn apart, so that the other strikes of a seed do not depend on them.
fn exclusions(seed: u64, length: Duration) -> Vec<Strike> {
    let mut random = ChaCha8Rng::seed_from_u64(!seed);
    let mut strikes: Vec<Strike> = Vec::new();
    let mut at = Duration::from_millis(random.random_range(EXCLUSION_PAUSES_MS));
    while at < length {
        let strike = Strike {
            at,
            lasts: Duration::from_millis(random.random_range(EXCLUSION_LENGTHS_MS)),
            kind: StrikeKind::ExcludeZone,
            machine: EXCLUDED_BY[random.random_range(0..EXCLUDED_BY.len())],
        };
        if strikes.iter().all(|former| former.leaves_free(&strike)) {
            strikes.push(strike);
        }
        at += Duration::from_millis(random.random_range(EXCLUSION_PAUSES_MS));
    }
    strikes
}

/// Processors of the balancers, in thousandths of a core: in every other seed
/// they differ as much as on the users' grown sites.
#[must_use]
pub fn processors(seed: u64) -> [u32; BALANCERS.len()] {
    if seed.is_multiple_of(2) {
        [250; BALANCERS.len()]
    } else {
        [500, 500, 12]
    }
}
