//! Hop lists: the targets that may take a new flow, in the order of asking.
//!
//! Candidates come from weighted rendezvous hashing over a service's targets,
//! so that balancers with the same or nearly the same bundle name the same
//! targets for the same flow without talking to each other.
//!
//! Sources: Thaler and Ravishankar, "Using name-based mappings to increase hit
//! rates", 1998 (rendezvous hashing); Schindelhauer and Schomaker, "Weighted
//! distributed hash tables", 2005 (the logarithmic weighting).

use std::net::SocketAddr;

use borsh::{BorshDeserialize, BorshSerialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::identifier::TargetId;

/// Most hops that a list holds.
pub const MAXIMUM_HOPS: usize = 4;
/// A load of one: all slots busy and nothing queued, in thousandths.
pub const FULL_LOAD: u32 = 1000;

/// Load of a target as its own agent knows it, in thousandths of its slots;
/// above [`FULL_LOAD`] when requests wait.
#[derive(
    BorshDeserialize,
    BorshSerialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub struct Load(pub u32);

/// One target on a hop list.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hop {
    /// The target.
    pub target: TargetId,
    /// Data address of its agent.
    pub address: SocketAddr,
    /// Load that its agent stated when it handed the flow on.
    pub load: Option<Load>,
}

/// A target that may be drawn for a hop list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: TargetId,
    /// Data address of its agent.
    pub address: SocketAddr,
    /// Weight against the other candidates; its slots.
    pub weight: f64,
    /// Hash of the target's identifier.
    pub salt: u64,
}

impl Candidate {
    /// A candidate with a weight of so many slots.
    #[must_use]
    pub fn new(target: TargetId, address: SocketAddr, slots: u16) -> Self {
        Self {
            target,
            address,
            weight: f64::from(slots.max(1)),
            salt: xxh3_64(&target.0.to_be_bytes()),
        }
    }

    fn hop(&self) -> Hop {
        Hop {
            target: self.target,
            address: self.address,
            load: None,
        }
    }
}

/// Hash of the bytes that stay the same in all first packets of one flow.
#[must_use]
pub fn flow_hash(flow: &[u8]) -> u64 {
    xxh3_64(flow)
}

/// The `count` candidates that rank first for a flow, best first; fewer when
/// there are fewer candidates.
#[must_use]
pub fn choose(candidates: &[Candidate], flow: u64, count: usize) -> Vec<Hop> {
    let count = count.min(MAXIMUM_HOPS);
    let weighting = Weighting::of(candidates);
    let mut best = [Ranked::LAST; MAXIMUM_HOPS];
    for (index, candidate) in candidates.iter().enumerate() {
        let rank = weighting.rank(candidate, flow);
        insert(&mut best[..count], Ranked { rank, index });
    }
    best[..count]
        .iter()
        .filter_map(|ranked| candidates.get(ranked.index))
        .map(Candidate::hop)
        .collect()
}

/// The candidate that ranks first for a flow.
#[must_use]
pub fn choose_candidate(candidates: &[Candidate], flow: u64) -> Option<&Candidate> {
    let weighting = Weighting::of(candidates);
    candidates
        .iter()
        .min_by_key(|candidate| weighting.rank(candidate, flow))
}

/// A candidate's place in the order of asking.
#[derive(Clone, Copy)]
struct Ranked {
    rank: u64,
    index: usize,
}

impl Ranked {
    /// After every candidate.
    const LAST: Self = Self {
        rank: u64::MAX,
        index: usize::MAX,
    };
}

/// How candidates are ranked.
#[derive(Clone, Copy)]
enum Weighting {
    /// All weights are equal: the order of the draws is that of the ranks, and
    /// no logarithm is needed.
    Equal,
    /// Weights differ.
    Logarithmic,
}

impl Weighting {
    fn of(candidates: &[Candidate]) -> Self {
        let differ = candidates
            .windows(2)
            .any(|pair| pair[0].weight.to_bits() != pair[1].weight.to_bits());
        if differ {
            Self::Logarithmic
        } else {
            Self::Equal
        }
    }

    /// Rank of a candidate for a flow: the lower, the better. Exponentially
    /// distributed with the weight as its rate, so the least rank falls on a
    /// candidate in proportion to its weight.
    fn rank(self, candidate: &Candidate, flow: u64) -> u64 {
        let draw = mix(flow ^ candidate.salt);
        match self {
            Self::Equal => !draw,
            Self::Logarithmic => {
                let rank = -unit_interval(draw).ln() / candidate.weight;
                // The bits of floats that are not negative are in their order.
                rank.abs().to_bits()
            }
        }
    }
}

fn insert(best: &mut [Ranked], ranked: Ranked) {
    let Some(position) = best.iter().position(|known| ranked.rank < known.rank) else {
        return;
    };
    best[position..].rotate_right(1);
    best[position] = ranked;
}

/// A number in (0, 1] from the upper 53 bits.
#[expect(clippy::cast_precision_loss, reason = "53 bits fit a float's mantissa")]
fn unit_interval(bits: u64) -> f64 {
    const STEPS: f64 = (1_u64 << 53) as f64;
    ((bits >> 11) + 1) as f64 / STEPS
}

/// Finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
