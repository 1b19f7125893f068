//! Changes of the configuration while open connections to the store go silent and answers are
//! lost: which faults come.

use std::ops::Range;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::site::{BALANCERS, TARGETS, all_nodes};
use super::soak_plan::{Strike, StrikeKind};

/// Time to the first series of silences.
const FIRST_SERIES_MS: Range<u64> = 200..2500;
/// Time from the begin of a series to the next: beyond the time after which machines are in
/// touch again and changes are due.
const SERIES_PAUSES_MS: Range<u64> = 6000..9500;
/// Time from the begin of the last series to the end of the faults.
const LAST_SERIES_MS: Range<u64> = 100..1500;
/// Numbers of silences of a series, the frequent one more than once.
const SILENCES: [u32; 4] = [1, 1, 2, 3];
/// Time between two silences of a series.
const SILENCE_PAUSES_MS: Range<u64> = 100..1200;
/// Kinds of silences, the frequent ones more than once.
const SILENCE_KINDS: [StrikeKind; 5] = [
    StrikeKind::SilenceAll,
    StrikeKind::SilenceAll,
    StrikeKind::SilenceAll,
    StrikeKind::SilenceOne,
    StrikeKind::StoreChangesUnanswered,
];
/// How long answers to changes are lost.
const ANSWERS_LOST_MS: Range<u64> = 100..700;
/// Time from a silence to its change.
const CHANGES_AFTER_MS: Range<u64> = 0..1500;
/// Share of the silences with a change in the same moment.
const CHANGES_AT_SILENCE: f64 = 0.3;
/// Time from the last change before a series of silences to its first silence: watches have
/// just begun.
const CHANGES_BEFORE_MS: Range<u64> = 0..400;
/// Share of the series with a storm of changes.
const STORMS: f64 = 0.5;
/// Changes of a storm.
const STORM_CHANGES: Range<u32> = 3..7;
/// Time between two changes of a storm.
const STORM_PAUSES_MS: Range<u64> = 20..200;
/// Share of the changes of a storm that concern no route with callers.
const UNRELATED_CHANGES: f64 = 0.8;
/// Share of the series with a fault of the store, or of a path to it.
const STORE_FAULTS: f64 = 0.3;
/// These faults.
const STORE_FAULT_KINDS: [StrikeKind; 7] = [
    StrikeKind::StoreBusy,
    StrikeKind::StoreSilent,
    StrikeKind::StoreAnswersLost,
    StrikeKind::StoreForgets,
    StrikeKind::StoreRefusesOne,
    StrikeKind::StoreSilentToOne,
    StrikeKind::StoreSlowToOne,
];
/// Time from the begin of a series to such a fault.
const STORE_FAULTS_AFTER_MS: Range<u64> = 0..2500;
/// How long they last.
const STORE_FAULT_LENGTHS_MS: Range<u64> = 200..1500;
/// Time between two faults of processes.
const PROCESS_FAULT_PAUSES_MS: Range<u64> = 500..6000;
/// Faults of processes.
const PROCESS_FAULT_KINDS: [StrikeKind; 5] = [
    StrikeKind::KillBalancer,
    StrikeKind::StopBalancer,
    StrikeKind::PauseBalancer,
    StrikeKind::StopAgent,
    StrikeKind::KillAgent,
];
/// How long a killed process is away, or one stands still.
const PROCESS_FAULT_LENGTHS_MS: Range<u64> = 200..3000;
/// Time from an agent's planned stop to its next start.
const AGENT_STOP_LENGTHS_MS: Range<u64> = 500..2500;
/// Time from a balancer's planned stop to its next start: longer than the stop itself takes.
const BALANCER_STOP_LENGTHS_MS: Range<u64> = 5500..7000;

/// The strikes of a seed, until `length`: series of silences with changes, and faults of
/// processes that overlap them and each other.
#[must_use]
pub fn silences(seed: u64, length: Duration) -> Vec<Strike> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(24) ^ 5);
    let mut strikes = Vec::new();
    let last = length.saturating_sub(draw(&mut random, LAST_SERIES_MS));
    let mut at = draw(&mut random, FIRST_SERIES_MS);
    while at + Duration::from_millis(SERIES_PAUSES_MS.start) <= last {
        strikes.extend(series(at, &mut random));
        at += draw(&mut random, SERIES_PAUSES_MS);
    }
    strikes.extend(series(last, &mut random));
    strikes.extend(process_faults(length, &mut random));
    strikes.retain(|strike| strike.at <= length);
    strikes
}

/// Silences that follow each other, with changes before and after them and other faults.
fn series(begin: Duration, random: &mut ChaCha8Rng) -> Vec<Strike> {
    let mut strikes = changes_before(begin, random);
    let mut at = begin;
    for _ in 0..SILENCES[random.random_range(0..SILENCES.len())] {
        let silence = silence(at, random);
        strikes.push(change_after(&silence, random));
        strikes.push(silence);
        at += draw(random, SILENCE_PAUSES_MS);
    }
    if random.random_bool(STORE_FAULTS) {
        strikes.push(Strike {
            at: begin + draw(random, STORE_FAULTS_AFTER_MS),
            lasts: draw(random, STORE_FAULT_LENGTHS_MS),
            kind: STORE_FAULT_KINDS[random.random_range(0..STORE_FAULT_KINDS.len())],
            machine: any_node(random),
        });
    }
    strikes
}

fn silence(at: Duration, random: &mut ChaCha8Rng) -> Strike {
    Strike {
        at,
        lasts: draw(random, ANSWERS_LOST_MS),
        kind: SILENCE_KINDS[random.random_range(0..SILENCE_KINDS.len())],
        machine: any_node(random),
    }
}

/// A change at or just after a silence; while answers to changes are lost, where they are.
fn change_after(silence: &Strike, random: &mut ChaCha8Rng) -> Strike {
    let is_at_once = random.random_bool(CHANGES_AT_SILENCE);
    let after = draw(random, CHANGES_AFTER_MS);
    let at = if silence.kind == StrikeKind::StoreChangesUnanswered {
        silence.at + silence.lasts / 2
    } else if is_at_once {
        silence.at
    } else {
        silence.at + after
    };
    configure(at, StrikeKind::Configure)
}

/// A storm of changes, or a single one, that ends just before `end`.
fn changes_before(end: Duration, random: &mut ChaCha8Rng) -> Vec<Strike> {
    let mut strikes = Vec::new();
    let mut at = end.saturating_sub(draw(random, CHANGES_BEFORE_MS));
    strikes.push(configure(at, StrikeKind::Configure));
    if !random.random_bool(STORMS) {
        return strikes;
    }
    for _ in 0..random.random_range(STORM_CHANGES) {
        at = at.saturating_sub(draw(random, STORM_PAUSES_MS));
        let kind = if random.random_bool(UNRELATED_CHANGES) {
            StrikeKind::ConfigureUnrelated
        } else {
            StrikeKind::Configure
        };
        strikes.push(configure(at, kind));
    }
    strikes
}

/// Kills, planned stops and pauses. Only one balancer is stopped as planned at a time.
fn process_faults(length: Duration, random: &mut ChaCha8Rng) -> Vec<Strike> {
    let mut strikes: Vec<Strike> = Vec::new();
    let mut at = draw(random, PROCESS_FAULT_PAUSES_MS);
    while at < length {
        let strike = process_fault(at, random);
        let is_stopping =
            |other: &Strike| other.kind == StrikeKind::StopBalancer && at < other.at + other.lasts;
        let is_second_stop =
            strike.kind == StrikeKind::StopBalancer && strikes.iter().any(is_stopping);
        if !is_second_stop && at + strike.lasts <= length {
            strikes.push(strike);
        }
        at += draw(random, PROCESS_FAULT_PAUSES_MS);
    }
    strikes
}

fn process_fault(at: Duration, random: &mut ChaCha8Rng) -> Strike {
    let kind = PROCESS_FAULT_KINDS[random.random_range(0..PROCESS_FAULT_KINDS.len())];
    let balancer = BALANCERS[random.random_range(0..BALANCERS.len())];
    let agent = TARGETS[random.random_range(0..TARGETS.len())].0;
    let (machine, lengths) = match kind {
        StrikeKind::StopAgent => (agent, AGENT_STOP_LENGTHS_MS),
        StrikeKind::KillAgent => (agent, PROCESS_FAULT_LENGTHS_MS),
        StrikeKind::StopBalancer => (balancer, BALANCER_STOP_LENGTHS_MS),
        _ => (balancer, PROCESS_FAULT_LENGTHS_MS),
    };
    Strike {
        at,
        lasts: draw(random, lengths),
        kind,
        machine,
    }
}

fn configure(at: Duration, kind: StrikeKind) -> Strike {
    Strike {
        at,
        lasts: Duration::ZERO,
        kind,
        machine: BALANCERS[0],
    }
}

fn any_node(random: &mut ChaCha8Rng) -> u8 {
    let nodes: Vec<u8> = all_nodes().collect();
    nodes[random.random_range(0..nodes.len())]
}

fn draw(random: &mut ChaCha8Rng, range: Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}
