//! The packet path through one real balancer process on loopback, against a
//! bare relay in the same run: packets per second of processor time.

mod balancer;
mod cpu_time;
mod load;
mod relay;
mod sink;

use std::fmt;
use std::io;
use std::time::Duration;

use serde::Serialize;
use tokio::time::sleep;

use super::experiment::SeedRange;
use balancer::BalancerUnderTest;
use cpu_time::CpuTime;
use load::Load;
use relay::Relay;
use sink::Sinks;

/// Targets that the balancer forwards to.
const TARGETS: usize = 7;
/// Pairs of rounds; the kinds alternate, so that drift falls on both.
const ROUNDS: usize = 7;
/// Length of one round.
const ROUND: Duration = Duration::from_secs(1);
/// Time that traffic runs before a round is measured.
const LEAD: Duration = Duration::from_millis(100);
/// Length of callers' datagrams.
const DATAGRAM_LENGTH: usize = 200;

/// Figures of the packet path.
#[derive(Clone, Debug, Serialize)]
pub struct PacketFigures {
    /// The seed of the datagrams, as a range of one.
    pub seeds: SeedRange,
    /// Bytes of a caller's datagram, without the PROXY header.
    pub datagram_length: usize,
    /// Pairs of rounds.
    pub rounds: usize,
    /// Median packets per second of processor time through the balancer.
    pub balancer: f64,
    /// The same through the bare relay.
    pub relay: f64,
    /// Median of the ratios of neighbouring rounds.
    pub ratio: f64,
    /// Least and greatest ratio.
    pub ratio_range: (f64, f64),
}

/// Why the packet path could not be measured.
#[derive(Debug)]
pub enum PacketError {
    /// The system's error.
    System(io::Error),
    /// The balancer's process could not be brought up; says what failed.
    Balancer(String),
}

/// What one round showed.
#[derive(Clone, Copy, Debug)]
struct Round {
    packets: u64,
    processor: Duration,
}

/// Measures the packet path.
///
/// # Errors
/// [`PacketError`] when the processes or sockets cannot be had.
pub fn measure(seed: u64) -> Result<PacketFigures, PacketError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?
        .block_on(measure_alternating(seed))
}

async fn measure_alternating(seed: u64) -> Result<PacketFigures, PacketError> {
    let sinks = Sinks::start(TARGETS)?;
    let balancer = BalancerUnderTest::start(sinks.addresses()).await?;
    let relay = Relay::start(sinks.addresses().to_vec())?;
    let load = Load::new(seed, TARGETS, DATAGRAM_LENGTH);
    let mut through_balancer = Vec::new();
    let mut through_relay = Vec::new();
    for _ in 0..ROUNDS {
        through_relay.push(relay_round(&relay, &load).await?);
        through_balancer.push(balancer_round(&balancer, &load).await?);
    }
    Ok(figures(seed, &through_balancer, &through_relay))
}

async fn relay_round(relay: &Relay, load: &Load) -> Result<Round, PacketError> {
    let traffic = load.send_to(relay.address())?;
    sleep(LEAD).await;
    let before = relay.reading()?;
    sleep(ROUND).await;
    let after = relay.reading()?;
    traffic.stop();
    Ok(Round::between(before, after))
}

async fn balancer_round(balancer: &BalancerUnderTest, load: &Load) -> Result<Round, PacketError> {
    let traffic = load.send_to(balancer.address())?;
    sleep(LEAD).await;
    let before = balancer.reading().await?;
    sleep(ROUND).await;
    let after = balancer.reading().await?;
    traffic.stop();
    Ok(Round::between(before, after))
}

/// Packets forwarded, and processor time used, until now.
#[derive(Clone, Copy, Debug)]
struct Reading {
    packets: u64,
    processor: CpuTime,
}

impl Round {
    fn between(before: Reading, after: Reading) -> Self {
        Self {
            packets: after.packets.saturating_sub(before.packets),
            processor: after.processor.since(before.processor),
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    fn packets_per_second(self) -> f64 {
        self.packets as f64 / self.processor.as_secs_f64()
    }
}

fn figures(seed: u64, balancer: &[Round], relay: &[Round]) -> PacketFigures {
    let rates = |rounds: &[Round]| -> Vec<f64> {
        let rates = rounds.iter().map(|round| round.packets_per_second());
        rates.collect()
    };
    let (balancer, relay) = (rates(balancer), rates(relay));
    let ratios: Vec<f64> = balancer
        .iter()
        .zip(&relay)
        .map(|(balancer, relay)| balancer / relay)
        .collect();
    let least = ratios.iter().copied().fold(f64::INFINITY, f64::min);
    let most = ratios.iter().copied().fold(0.0, f64::max);
    PacketFigures {
        seeds: SeedRange {
            first: seed,
            end: seed + 1,
        },
        datagram_length: DATAGRAM_LENGTH,
        rounds: ROUNDS,
        balancer: median(balancer),
        relay: median(relay),
        ratio: median(ratios),
        ratio_range: (least, most),
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

impl From<io::Error> for PacketError {
    fn from(error: io::Error) -> Self {
        Self::System(error)
    }
}

impl fmt::Display for PacketError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::System(error) => write!(formatter, "the system refused: {error}"),
            Self::Balancer(what) => write!(formatter, "no balancer to measure: {what}"),
        }
    }
}

impl std::error::Error for PacketError {}
