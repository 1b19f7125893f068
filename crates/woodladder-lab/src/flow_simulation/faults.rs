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
