//! Hop lists: the targets that may accept a new flow, in the order in which they
//! are asked.
//!
//! Weighted rendezvous hashing chooses them from a service's targets, so that
//! balancers with the same bundle choose the same targets for the same flow, and
//! balancers with nearly the same bundle do so for most flows, without
//! communication between them.
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
/// Load of a target whose slots are all busy, without queued requests, pending
/// flows and the term for open connections, in thousandths.
pub const FULL_LOAD: u32 = 1000;

/// Load of a target as its agent computes it, in thousandths: work (running and
/// queued requests and pending flows) relative to the usable slots, plus a
/// smaller term for open connections. Can exceed [`FULL_LOAD`].
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
    /// Data address of the target's agent.
    pub address: SocketAddr,
    /// Load that the target's agent stated when it handed the flow on; `None` when
    /// the target was not asked or cannot accept the flow.
    pub load: Option<Load>,
}

/// A target that may be chosen for a hop list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: TargetId,
    /// Data address of the target's agent.
    pub address: SocketAddr,
    /// Weight relative to the other candidates: the number of slots.
    pub weight: f64,
    /// Hash of the target's identifier.
    pub target_hash: u64,
}

impl Candidate {
    /// A candidate weighted by its slots.
    #[must_use]
    pub fn new(target: TargetId, address: SocketAddr, slots: u16) -> Self {
        Self {
            target,
            address,
            weight: f64::from(slots.max(1)),
            target_hash: xxh3_64(&target.0.to_be_bytes()),
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
pub fn flow_hash(flow_bytes: &[u8]) -> u64 {
    xxh3_64(flow_bytes)
}

/// The `count` candidates that rank first for a flow, best first; fewer when
/// there are fewer candidates.
#[must_use]
pub fn choose_hops(candidates: &[Candidate], flow_hash: u64, count: usize) -> Vec<Hop> {
    let count = count.min(MAXIMUM_HOPS);
    let weighting = Weighting::of(candidates);
    let mut best = [Ranked::UNUSED; MAXIMUM_HOPS];
    for (index, candidate) in candidates.iter().enumerate() {
        let rank = weighting.rank(candidate, flow_hash);
        insert_ranked(&mut best[..count], Ranked { rank, index });
    }
    best[..count]
        .iter()
        .filter_map(|ranked| candidates.get(ranked.index))
        .map(Candidate::hop)
        .collect()
}

/// The candidate that ranks first for a flow.
#[must_use]
pub fn choose_candidate(candidates: &[Candidate], flow_hash: u64) -> Option<&Candidate> {
    let weighting = Weighting::of(candidates);
    candidates
        .iter()
        .min_by_key(|candidate| weighting.rank(candidate, flow_hash))
}

/// Rank and position of a candidate; the candidate with the lowest rank is asked
/// first.
#[derive(Clone, Copy)]
struct Ranked {
    rank: u64,
    /// Position of the candidate in the list that candidates are chosen from.
    index: usize,
}

impl Ranked {
    /// Fills unused places; ranks after every candidate.
    const UNUSED: Self = Self {
        rank: u64::MAX,
        index: usize::MAX,
    };
}

/// How candidates are ranked.
#[derive(Clone, Copy)]
enum Weighting {
    /// All weights are equal: the greatest hash ranks first, so no logarithm is
    /// needed.
    Equal,
    /// Weights differ: the rank needs the logarithm of the hash.
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

    /// Rank of a candidate for a flow; the candidate with the lowest rank is asked
    /// first. With `Logarithmic`, ranks are exponentially distributed with the
    /// weight as rate, so the probability that a candidate has the lowest rank is
    /// proportional to its weight; the rank is returned as the bits of the float.
    fn rank(self, candidate: &Candidate, flow_hash: u64) -> u64 {
        let draw = split_mix_64(flow_hash ^ candidate.target_hash);
        match self {
            Self::Equal => !draw,
            Self::Logarithmic => {
                let rank = -unit_interval(draw).ln() / candidate.weight;
                // Non-negative floats compare like their bit patterns.
                rank.abs().to_bits()
            }
        }
    }
}

fn insert_ranked(best: &mut [Ranked], ranked: Ranked) {
    let Some(position) = best.iter().position(|known| ranked.rank < known.rank) else {
        return;
    };
    best[position..].rotate_right(1);
    best[position] = ranked;
}

/// Maps the upper 53 bits to a number in (0, 1].
#[expect(clippy::cast_precision_loss, reason = "53 bits fit a float's mantissa")]
fn unit_interval(bits: u64) -> f64 {
    const STEPS: f64 = (1_u64 << 53) as f64;
    ((bits >> 11) + 1) as f64 / STEPS
}

/// Mixes the bits with the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
fn split_mix_64(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
