//! The nodes that a node knows: named by the machine list, heard from, or
//! named by others.
//!
//! The machine list lags, names dead machines and omits live ones, so it only
//! suggests whom to ask. Who answers is alive; who stays silent is asked
//! rarely, and forgotten unless the list names it.

use std::net::SocketAddr;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use rand::Rng;
use rustc_hash::{FxHashMap, FxHashSet};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Instant;
use crate::identifier::NodeId;

/// Nodes that a table holds at most.
pub const DEFAULT_CAPACITY: usize = 8192;
/// A node that was heard from this long ago or less is named to others.
pub const HEARD_LATELY: Duration = Duration::from_secs(60);
/// Unanswered messages after which a node counts as silent.
pub const SILENT_AFTER: u8 = 3;

const RANDOM_TRIES: usize = 12;
/// Silent nodes are kept while the table is this small, so that a node that
/// was cut off from all others finds them again.
const MINIMUM_KEPT: usize = 16;
const SILENT_ODDS: u32 = 16;

/// What a node does.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Role {
    /// Sends callers' datagrams to agents.
    Balancer,
    /// Stands beside one back end.
    Agent,
}

/// Where a node is, as hashes of names.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Locality {
    /// Hash of the region's name.
    pub region: u32,
    /// Hash of the zone's name.
    pub zone: u32,
}

/// A node as nodes name it to each other.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Peer {
    /// Identifier of the process.
    pub node: NodeId,
    /// What it does.
    pub role: Role,
    /// Where it is.
    pub locality: Locality,
    /// Address that it takes control messages at.
    pub control_address: SocketAddr,
}

/// One entry of the platform's machine list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListedMachine {
    /// Address that its node takes control messages at.
    pub control_address: SocketAddr,
    /// What the list says of it.
    pub state: ListedState,
}

/// What the machine list says of a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListedState {
    /// It runs.
    Live,
    /// It is going away.
    Leaving,
}

/// Counts over the table.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MemberCounts {
    /// Nodes in the table.
    pub known: usize,
    /// Nodes heard from lately.
    pub heard: usize,
    /// Nodes that do not answer.
    pub silent: usize,
    /// Nodes that say they are leaving, or of which the list says so.
    pub leaving: usize,
    /// Nodes that the machine list names.
    pub listed: usize,
}

/// A node in the table.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// Address that it takes control messages at.
    pub control: SocketAddr,
    /// What it said of itself, or others of it.
    pub peer: Option<Peer>,
    /// When it was last heard from.
    pub heard: Option<Instant>,
    /// What the machine list says of it.
    pub listed: Option<ListedState>,
    /// Whether it says that it is leaving.
    pub leaving: bool,
    seed: bool,
    unanswered: u8,
}

/// The table.
#[derive(Clone, Debug)]
pub struct Membership {
    own: SocketAddr,
    region: u32,
    capacity: usize,
    members: Vec<Member>,
    positions: FxHashMap<SocketAddr, usize>,
}

impl Locality {
    /// The locality with these names.
    #[must_use]
    pub fn new(region: &str, zone: &str) -> Self {
        Self {
            region: name_hash(region),
            zone: name_hash(zone),
        }
    }
}

impl Member {
    /// Whether it has left several messages unanswered.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.unanswered >= SILENT_AFTER
    }

    /// Whether it was heard from lately.
    #[must_use]
    pub fn was_heard_lately(&self, now: Instant) -> bool {
        self.heard
            .is_some_and(|heard| now.since(heard) <= HEARD_LATELY)
    }

    /// Whether it may be forgotten for staying silent.
    fn is_forgettable(&self) -> bool {
        self.is_silent() && self.listed.is_none() && !self.seed
    }

    fn is_leaving(&self) -> bool {
        self.leaving || self.listed == Some(ListedState::Leaving)
    }

    fn is_in_region(&self, region: u32) -> bool {
        self.peer.is_some_and(|peer| peer.locality.region == region)
    }

    fn unheard(control: SocketAddr) -> Self {
        Self {
            control,
            peer: None,
            heard: None,
            listed: None,
            leaving: false,
            seed: false,
            unanswered: 0,
        }
    }
}

impl Membership {
    /// An empty table of the node at `own` in `region`.
    #[must_use]
    pub fn new(own: SocketAddr, locality: Locality, capacity: usize) -> Self {
        Self {
            own,
            region: locality.region,
            capacity,
            members: Vec::new(),
            positions: FxHashMap::default(),
        }
    }

    /// Takes note of an address from settings.
    pub fn add_seed(&mut self, control: SocketAddr) {
        if let Some(member) = self.entry(control) {
            member.seed = true;
        }
    }

    /// Takes note of a message from a node itself.
    pub fn heard_from(&mut self, peer: Peer, leaving: bool, now: Instant) {
        if let Some(member) = self.entry(peer.control_address) {
            member.peer = Some(peer);
            member.heard = Some(now);
            member.leaving = leaving;
            member.unanswered = 0;
        }
    }

    /// Takes note of a node that another node named.
    pub fn named_by_other(&mut self, peer: Peer) {
        if let Some(member) = self.entry(peer.control_address) {
            member.peer.get_or_insert(peer);
        }
    }

    /// Takes over a new reading of the machine list.
    pub fn replace_list(&mut self, machines: &[ListedMachine]) {
        let named: FxHashSet<SocketAddr> = machines
            .iter()
            .map(|machine| machine.control_address)
            .collect();
        for member in &mut self.members {
            if !named.contains(&member.control) {
                member.listed = None;
            }
        }
        for machine in machines {
            if let Some(member) = self.entry(machine.control_address) {
                member.listed = Some(machine.state);
            }
        }
        self.forget_silent();
    }

    /// Takes note that a message which asks for an answer goes to a node.
    pub fn asked(&mut self, control: SocketAddr) {
        let Some(&position) = self.positions.get(&control) else {
            return;
        };
        let member = &mut self.members[position];
        member.unanswered = member.unanswered.saturating_add(1);
        if self.members.len() > MINIMUM_KEPT && self.members[position].is_forgettable() {
            self.remove(position);
        }
    }

    /// Picks up to `count` different nodes at random: mostly nodes that
    /// answer, and more often than not nodes of the same region.
    pub fn pick(&self, count: usize, random: &mut impl Rng) -> Vec<SocketAddr> {
        let mut picked = Vec::with_capacity(count);
        for _ in 0..count {
            if let Some(control) = self.pick_one(&picked, random) {
                picked.push(control);
            }
        }
        picked
    }

    /// Picks up to `count` nodes heard from lately, to be named to others.
    pub fn sample(&self, count: usize, now: Instant, random: &mut impl Rng) -> Vec<Peer> {
        let mut sample: Vec<Peer> = Vec::with_capacity(count);
        if self.members.is_empty() {
            return sample;
        }
        for _ in 0..RANDOM_TRIES {
            let member = &self.members[random.random_range(0..self.members.len())];
            let Some(peer) = member.peer else { continue };
            let wanted = member.was_heard_lately(now) && !member.leaving;
            if wanted && !sample.contains(&peer) {
                sample.push(peer);
            }
            if sample.len() == count {
                break;
            }
        }
        sample
    }

    /// Counts over the table.
    #[must_use]
    pub fn counts(&self, now: Instant) -> MemberCounts {
        let count = |wanted: &dyn Fn(&Member) -> bool| {
            self.members.iter().filter(|member| wanted(member)).count()
        };
        MemberCounts {
            known: self.members.len(),
            heard: count(&|member| member.was_heard_lately(now)),
            silent: count(&Member::is_silent),
            leaving: count(&Member::is_leaving),
            listed: count(&|member| member.listed.is_some()),
        }
    }

    /// Nodes in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no node is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The nodes, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    fn pick_one(&self, picked: &[SocketAddr], random: &mut impl Rng) -> Option<SocketAddr> {
        if self.members.is_empty() {
            return None;
        }
        let allow_silent = random.random_ratio(1, SILENT_ODDS);
        let prefer_region = random.random_bool(0.5);
        let mut answering = None;
        let mut any = None;
        for _ in 0..RANDOM_TRIES {
            let member = &self.members[random.random_range(0..self.members.len())];
            if picked.contains(&member.control) {
                continue;
            }
            let answers = allow_silent || !member.is_silent();
            if answers && (!prefer_region || member.is_in_region(self.region)) {
                return Some(member.control);
            }
            any = Some(member.control);
            if answers {
                answering = any;
            }
        }
        answering.or(any).or_else(|| self.first_not_in(picked))
    }

    fn first_not_in(&self, picked: &[SocketAddr]) -> Option<SocketAddr> {
        let mut controls = self.members.iter().map(|member| member.control);
        controls.find(|control| !picked.contains(control))
    }

    fn entry(&mut self, control: SocketAddr) -> Option<&mut Member> {
        if control == self.own {
            return None;
        }
        if let Some(&position) = self.positions.get(&control) {
            return self.members.get_mut(position);
        }
        if self.members.len() >= self.capacity {
            self.make_room()?;
        }
        let position = self.members.len();
        self.positions.insert(control, position);
        self.members.push(Member::unheard(control));
        self.members.last_mut()
    }

    /// Removes a silent node, or else the one that was heard from least
    /// recently; `None` when the table can hold nothing.
    fn make_room(&mut self) -> Option<()> {
        let silent = self.members.iter().position(Member::is_silent);
        let stalest = || {
            let heard = |position: &usize| self.members[*position].heard;
            (0..self.members.len()).min_by_key(heard)
        };
        let position = silent.or_else(stalest)?;
        self.remove(position);
        Some(())
    }

    fn forget_silent(&mut self) {
        let mut position = 0;
        while position < self.members.len() {
            let spare = self.members.len() > MINIMUM_KEPT;
            if spare && self.members[position].is_forgettable() {
                self.remove(position);
            } else {
                position += 1;
            }
        }
    }

    fn remove(&mut self, position: usize) {
        let removed = self.members.swap_remove(position);
        self.positions.remove(&removed.control);
        if let Some(moved) = self.members.get(position) {
            self.positions.insert(moved.control, position);
        }
    }
}

/// Low half of a 64-bit hash.
#[allow(clippy::cast_possible_truncation)]
fn name_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
