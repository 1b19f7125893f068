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
    let mut best: [(f64, usize); MAXIMUM_HOPS] = [(f64::INFINITY, usize::MAX); MAXIMUM_HOPS];
    for (index, candidate) in candidates.iter().enumerate() {
        let rank = rank(candidate, flow);
        insert(&mut best[..count], rank, index);
    }
    best[..count]
        .iter()
        .filter_map(|(_, index)| candidates.get(*index))
        .map(Candidate::hop)
        .collect()
}

/// The candidate that ranks first for a flow.
#[must_use]
pub fn choose_one(candidates: &[Candidate], flow: u64) -> Option<&Candidate> {
    candidates
        .iter()
        .min_by(|left, right| rank(left, flow).total_cmp(&rank(right, flow)))
}

/// Rank of a candidate for a flow; exponentially distributed with the weight
/// as its rate, so the least rank falls on a candidate in proportion to it.
fn rank(candidate: &Candidate, flow: u64) -> f64 {
    let uniform = unit_interval(mix(flow ^ candidate.salt));
    -uniform.ln() / candidate.weight
}

fn insert(best: &mut [(f64, usize)], rank: f64, index: usize) {
    let Some(position) = best.iter().position(|(known, _)| rank < *known) else {
        return;
    };
    best[position..].rotate_right(1);
    best[position] = (rank, index);
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
