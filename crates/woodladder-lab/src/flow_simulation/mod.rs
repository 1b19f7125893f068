//! Deterministic simulation of the carrier without tokens.
//!
//! The balancers and agents are the product's own state machines; network,
//! targets, callers and faults are models on a virtual clock. Everything
//! random comes from one seed, so each run repeats exactly.

mod caller;
mod faults;
mod network;
mod packet_bytes;
mod target;
mod world;

use std::fmt;

pub use faults::Mutation;

use world::World;

/// What broke in a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Breach {
    /// A flow was reset while its target held it.
    LivingFlowReset,
    /// A flow reached a target of another service.
    WrongService,
    /// A flow opened at a target after its leaving was acknowledged.
    OpenedAfterDrain,
    /// A node went back to a lesser version of the configuration.
    VersionWentBack,
    /// A request that may run once ran more often.
    RanTwice,
    /// A node did not learn the last configuration.
    NotConverged,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// The seed.
    pub seed: u64,
    /// Promises that broke, with the virtual time in milliseconds.
    pub breaches: Vec<(u64, Breach)>,
    /// Requests answered.
    pub answered: u64,
    /// Requests without an answer after all of their tries.
    pub failed: u64,
    /// Flows that balancers searched for.
    pub searches: u64,
    /// Packets that small balancers handed to larger ones.
    pub relayed: u64,
    /// Resets that balancers sent.
    pub resets: u64,
    /// Faults that struck.
    pub faults: u64,
}

impl fmt::Display for RunReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "seed {}: answered {}, failed {}, searches {}, relayed {}, resets {}, faults {}, broken {:?}",
            self.seed,
            self.answered,
            self.failed,
            self.searches,
            self.relayed,
            self.resets,
            self.faults,
            self.breaches
        )
    }
}

/// Runs one seed.
#[must_use]
pub fn run(seed: u64) -> RunReport {
    World::new(seed, Mutation::None).run()
}

/// Runs one seed with a fault put into the product on purpose, to show that
/// the checks see it.
#[must_use]
pub fn run_mutated(seed: u64, mutation: Mutation) -> RunReport {
    World::new(seed, mutation).run()
}
