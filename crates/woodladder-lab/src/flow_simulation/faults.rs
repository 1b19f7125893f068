//! What happens to the machines of a run, drawn from its seed.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use woodladder_core::clock::Instant;

/// A fault of the product, made on purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutation {
    /// None.
    None,
    /// Agents deny every flow that is searched for.
    AgentsDenyAll,
    /// Agents take new flows while their target leaves.
    AgentsIgnoreDrain,
    /// Agents hand every packet to their target.
    AgentsDeliverAll,
    /// Nodes go back to lesser versions.
    NodesForgetVersions,
    /// Balancers take the silence of a stopped agent for its target's end.
    BalancersIgnoreStops,
    /// The answer of an agent that cannot tell counts as a denial.
    UndecidedCountsAsDenial,
}

/// One event of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A balancer's process is killed and starts again.
    KillBalancer(usize),
    /// An agent's process is killed and starts again; its target lives.
    KillAgent(usize),
    /// A machine with agent and target loses power and starts again.
    PowerLoss(usize),
    /// A machine is cut off for a while.
    CutAgent(usize),
    /// A balancer is cut off for a while.
    CutBalancer(usize),
    /// A target leaves, and another incarnation starts in its place.
    Replace(usize),
    /// A machine goes, and its address is used by another service's.
    Reassign(usize),
    /// A configuration with other routes is written.
    Configure,
    /// The store does not answer for a while.
    StoreDown,
    /// Callers' flows move to other balancers.
    Shift,
    /// An agent is stopped as planned beside its living target, and starts again after the
    /// time.
    StopAgent(usize, Duration),
    /// A balancer is stopped as planned, and starts again after the time.
    StopBalancer(usize, Duration),
}

/// Time between two planned stops.
const STOP_PAUSES_MS: std::ops::Range<u64> = 150..2500;
/// How long a stopped process is away.
const AWAY_MS: std::ops::Range<u64> = 50..1500;
/// How long it is away now and then.
const LONG_AWAY_MS: std::ops::Range<u64> = 1500..6000;
/// Share of the stops with a long absence.
const LONG_AWAY_SHARE: f64 = 0.1;

/// Planned stops of agents and balancers, which overlap each other and all faults. They are
/// drawn apart, so that the faults of a seed do not depend on them.
pub fn planned_stops(
    balancers: usize,
    agents: usize,
    from: Duration,
    to: Duration,
    random: &mut ChaCha8Rng,
) -> Vec<(Instant, Fault)> {
    let mut stops = Vec::new();
    let mut at = from;
    while at < to {
        let range = match random.random_bool(LONG_AWAY_SHARE) {
            true => LONG_AWAY_MS,
            false => AWAY_MS,
        };
        let away = Duration::from_millis(random.random_range(range));
        let fault = match random.random_range(0..balancers + agents) {
            index if index < balancers => Fault::StopBalancer(index, away),
            index => Fault::StopAgent(index - balancers, away),
        };
        stops.push((Instant::from_origin(at), fault));
        at += Duration::from_millis(random.random_range(STOP_PAUSES_MS));
    }
    stops
}

/// Faults with their times, all within a span.
pub fn plan(
    balancers: usize,
    agents: usize,
    from: Duration,
    to: Duration,
    random: &mut ChaCha8Rng,
) -> Vec<(Instant, Fault)> {
    let count = random.random_range(4..12);
    let span = from.as_millis()..to.as_millis();
    (0..count)
        .map(|_| {
            let at = u64::try_from(random.random_range(span.clone())).unwrap_or(0);
            let balancer = random.random_range(0..balancers);
            let agent = random.random_range(0..agents);
            let fault = match random.random_range(0..10) {
                0 => Fault::KillBalancer(balancer),
                1 => Fault::KillAgent(agent),
                2 => Fault::PowerLoss(agent),
                3 => Fault::CutAgent(agent),
                4 => Fault::CutBalancer(balancer),
                5 => Fault::Replace(agent),
                6 => Fault::Configure,
                8 => Fault::Reassign(agent),
                7 => Fault::StoreDown,
                _ => Fault::Shift,
            };
            (Instant::from_origin(Duration::from_millis(at)), fault)
        })
        .collect()
}
