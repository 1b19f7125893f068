//! Which faults a soak brings about, drawn from a seed.

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
    /// The operators exclude the zone of a machine; its targets return cold.
    ExcludeZone,
}

/// All kinds but [`StrikeKind::ExcludeZone`] and [`StrikeKind::BeginAgain`], which have
/// draws of their own.
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
/// How long a strike lasts.
const LENGTHS_MS: std::ops::Range<u64> = 300..3000;

impl Strike {
    /// Whether a later strike's machine is not under this one any more.
    fn leaves_free(&self, later: &Self) -> bool {
        self.machine != later.machine || self.at + self.lasts <= later.at
    }
}

impl StrikeKind {
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
            | Self::CrashTarget
            | Self::DrainTarget
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
/// a time.
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
    strikes
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
