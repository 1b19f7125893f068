//! Member table: the nodes that a node knows from the machine list, from their
//! own messages, or from samples in messages of other nodes.
//!
//! The machine list lags behind: it contains dead machines and lacks live ones.
//! It therefore only supplies addresses to contact, and a node counts as alive
//! when it answers. A node that does not answer is contacted rarely, and
//! removed from the table unless the machine list or the settings name it.

use std::net::SocketAddr;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use rand::Rng;
use rustc_hash::{FxHashMap, FxHashSet};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Instant;
use crate::identifier::NodeId;

/// Default capacity of a member table, in nodes.
pub const DEFAULT_CAPACITY: usize = 8192;
/// A node that was heard from within this time counts as heard from recently
/// and may be named to other nodes.
pub const HEARD_RECENTLY_PERIOD: Duration = Duration::from_secs(60);
/// Number of unanswered messages after which a node counts as silent.
pub const UNANSWERED_BEFORE_SILENT: u8 = 3;

/// Largest number of random draws from the table for one pick, and for one
/// sample.
const RANDOM_PICK_ATTEMPTS: usize = 12;
/// Silent nodes are only removed while the table holds more members than this,
/// so that a node that was cut off from all others can find them again.
const MINIMUM_RETAINED_MEMBERS: usize = 16;
/// One in this many picks treats silent nodes like all others. The other picks
/// return a silent node only if the random draws find no other.
const SILENT_PICK_ODDS: u32 = 16;

/// Role of a node.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Role {
    /// Forwards callers' datagrams to agents.
    Balancer,
    /// Runs next to one back end.
    Agent,
}

/// Location of a node, as hashes of the names of its region and zone.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Locality {
    /// Hash of the region's name.
    pub region: u32,
    /// Hash of the zone's name.
    pub zone: u32,
}

/// Identity of a node, as nodes give it to each other.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Peer {
    /// Identifier of the process.
    pub node: NodeId,
    /// Role of the node.
    pub role: Role,
    /// Location of the node.
    pub locality: Locality,
    /// Address at which the node receives control messages.
    pub control_address: SocketAddr,
}

/// One entry of the platform's machine list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListedMachine {
    /// Address at which the machine's node receives control messages.
    pub control_address: SocketAddr,
    /// State of the machine according to the list.
    pub state: ListedState,
}

/// State of a machine according to the machine list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListedState {
    /// The machine runs.
    Live,
    /// The machine is about to be removed.
    Leaving,
}

/// Number of members by state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MemberCounts {
    /// Nodes in the table.
    pub known: usize,
    /// Nodes that were heard from recently.
    pub heard: usize,
    /// Nodes that do not answer.
    pub silent: usize,
    /// Nodes that announced a planned stop, or that the machine list shows as
    /// leaving.
    pub leaving: usize,
    /// Nodes that the machine list contains.
    pub listed: usize,
}

/// A node in the member table.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// Address at which the node receives control messages.
    pub control_address: SocketAddr,
    /// Identity of the node, as it stated itself or as another node named it.
    pub peer: Option<Peer>,
    /// When the node was last heard from.
    pub last_heard: Option<Instant>,
    /// State according to the machine list; `None` when the list does not
    /// contain the node.
    pub listed_state: Option<ListedState>,
    /// Whether the node announced a planned stop.
    pub leaving: bool,
    is_seed: bool,
    unanswered_messages: u8,
}

/// Member table of one node.
#[derive(Clone, Debug)]
pub struct Membership {
    own_address: SocketAddr,
    own_region: u32,
    capacity: usize,
    members: Vec<Member>,
    positions: FxHashMap<SocketAddr, usize>,
}

impl Locality {
    /// Locality of a region and a zone with these names.
    #[must_use]
    pub fn new(region: &str, zone: &str) -> Self {
        Self {
            region: name_hash(region),
            zone: name_hash(zone),
        }
    }
}

impl Member {
    /// Whether the node has left at least [`UNANSWERED_BEFORE_SILENT`] messages
    /// unanswered since it was last heard from.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.unanswered_messages >= UNANSWERED_BEFORE_SILENT
    }

    /// Whether the node was heard from within [`HEARD_RECENTLY_PERIOD`].
    #[must_use]
    pub fn was_heard_recently(&self, now: Instant) -> bool {
        self.last_heard
            .is_some_and(|last_heard| now.since(last_heard) <= HEARD_RECENTLY_PERIOD)
    }

    /// Whether the node may be removed because it is silent.
    fn is_removable(&self) -> bool {
        self.is_silent() && self.listed_state.is_none() && !self.is_seed
    }

    fn is_leaving(&self) -> bool {
        self.leaving || self.listed_state == Some(ListedState::Leaving)
    }

    fn is_in_region(&self, region: u32) -> bool {
        self.peer.is_some_and(|peer| peer.locality.region == region)
    }

    fn never_heard(control_address: SocketAddr) -> Self {
        Self {
            control_address,
            peer: None,
            last_heard: None,
            listed_state: None,
            leaving: false,
            is_seed: false,
            unanswered_messages: 0,
        }
    }
}

impl Membership {
    /// Creates an empty table for the node with control address `own_address`.
    /// Only the region of `locality` is kept. The table holds at most `capacity`
    /// nodes.
    #[must_use]
    pub fn new(own_address: SocketAddr, locality: Locality, capacity: usize) -> Self {
        Self {
            own_address,
            own_region: locality.region,
            capacity,
            members: Vec::new(),
            positions: FxHashMap::default(),
        }
    }

    /// Adds an address from the settings.
    pub fn add_seed(&mut self, control_address: SocketAddr) {
        if let Some(member) = self.get_or_insert(control_address) {
            member.is_seed = true;
        }
    }

    /// Records a message that was received from a node itself.
    pub fn record_message_from(&mut self, peer: Peer, leaving: bool, now: Instant) {
        if let Some(member) = self.get_or_insert(peer.control_address) {
            member.peer = Some(peer);
            member.last_heard = Some(now);
            member.leaving = leaving;
            member.unanswered_messages = 0;
        }
    }

    /// Records a node that another node named. An identity that the table
    /// already holds for its address is kept.
    pub fn record_named_peer(&mut self, peer: Peer) {
        if let Some(member) = self.get_or_insert(peer.control_address) {
            member.peer.get_or_insert(peer);
        }
    }

    /// Applies the entries of the machine list after it was read again. Nodes
    /// that are missing from the list count as not listed.
    pub fn apply_machine_list(&mut self, machines: &[ListedMachine]) {
        let listed_addresses: FxHashSet<SocketAddr> = machines
            .iter()
            .map(|machine| machine.control_address)
            .collect();
        for member in &mut self.members {
            if !listed_addresses.contains(&member.control_address) {
                member.listed_state = None;
            }
        }
        for machine in machines {
            if let Some(member) = self.get_or_insert(machine.control_address) {
                member.listed_state = Some(machine.state);
            }
        }
        self.remove_silent();
    }

    /// Counts a message to a node as unanswered until the node is heard from.
    /// Removes the node if it is now silent and may be removed, and if the table
    /// holds more than `MINIMUM_RETAINED_MEMBERS` nodes.
    pub fn record_request_sent(&mut self, control_address: SocketAddr) {
        let Some(&position) = self.positions.get(&control_address) else {
            return;
        };
        let member = &mut self.members[position];
        member.unanswered_messages = member.unanswered_messages.saturating_add(1);
        if self.members.len() > MINIMUM_RETAINED_MEMBERS && self.members[position].is_removable() {
            self.remove_at(position);
        }
    }

    /// Picks up to `count` different nodes at random. Silent nodes are picked
    /// rarely, and nodes of the own region more often than others.
    pub fn pick(&self, count: usize, random: &mut impl Rng) -> Vec<SocketAddr> {
        let mut picked = Vec::with_capacity(count);
        for _ in 0..count {
            if let Some(control_address) = self.pick_one(&picked, random) {
                picked.push(control_address);
            }
        }
        picked
    }

    /// Picks up to `count` nodes to be named to other nodes: nodes that were
    /// heard from recently and announced no planned stop.
    pub fn sample(&self, count: usize, now: Instant, random: &mut impl Rng) -> Vec<Peer> {
        let mut sample: Vec<Peer> = Vec::with_capacity(count);
        if self.members.is_empty() {
            return sample;
        }
        for _ in 0..RANDOM_PICK_ATTEMPTS {
            let member = &self.members[random.random_range(0..self.members.len())];
            let Some(peer) = member.peer else { continue };
            let wanted = member.was_heard_recently(now) && !member.leaving;
            if wanted && !sample.contains(&peer) {
                sample.push(peer);
            }
            if sample.len() == count {
                break;
            }
        }
        sample
    }

    /// Counts the members by state.
    #[must_use]
    pub fn counts(&self, now: Instant) -> MemberCounts {
        let count = |wanted: &dyn Fn(&Member) -> bool| {
            self.members.iter().filter(|member| wanted(member)).count()
        };
        MemberCounts {
            known: self.members.len(),
            heard: count(&|member| member.was_heard_recently(now)),
            silent: count(&Member::is_silent),
            leaving: count(&Member::is_leaving),
            listed: count(&|member| member.listed_state.is_some()),
        }
    }

    /// Number of nodes in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The nodes in the table, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// Picks a node that is not in `picked`. Half of the picks prefer nodes of
    /// the own region.
    fn pick_one(&self, picked: &[SocketAddr], random: &mut impl Rng) -> Option<SocketAddr> {
        if self.members.is_empty() {
            return None;
        }
        let allow_silent = random.random_ratio(1, SILENT_PICK_ODDS);
        let prefer_region = random.random_bool(0.5);
        let mut answering = None;
        let mut any = None;
        for _ in 0..RANDOM_PICK_ATTEMPTS {
            let member = &self.members[random.random_range(0..self.members.len())];
            if picked.contains(&member.control_address) {
                continue;
            }
            let answers = allow_silent || !member.is_silent();
            if answers && (!prefer_region || member.is_in_region(self.own_region)) {
                return Some(member.control_address);
            }
            any = Some(member.control_address);
            if answers {
                answering = any;
            }
        }
        answering.or(any).or_else(|| self.first_unpicked(picked))
    }

    fn first_unpicked(&self, picked: &[SocketAddr]) -> Option<SocketAddr> {
        let mut addresses = self.members.iter().map(|member| member.control_address);
        addresses.find(|control_address| !picked.contains(control_address))
    }

    fn get_or_insert(&mut self, control_address: SocketAddr) -> Option<&mut Member> {
        if control_address == self.own_address {
            return None;
        }
        if let Some(&position) = self.positions.get(&control_address) {
            return self.members.get_mut(position);
        }
        if self.members.len() >= self.capacity {
            self.evict_one()?;
        }
        let position = self.members.len();
        self.positions.insert(control_address, position);
        self.members.push(Member::never_heard(control_address));
        self.members.last_mut()
    }

    /// Removes a silent node or, if there is none, a node that was never heard
    /// from or else the one heard from least recently. Returns `None` when the
    /// table is empty.
    fn evict_one(&mut self) -> Option<()> {
        let silent = self.members.iter().position(Member::is_silent);
        let least_recently_heard = || {
            let last_heard = |position: &usize| self.members[*position].last_heard;
            (0..self.members.len()).min_by_key(last_heard)
        };
        let position = silent.or_else(least_recently_heard)?;
        self.remove_at(position);
        Some(())
    }

    fn remove_silent(&mut self) {
        let mut position = 0;
        while position < self.members.len() {
            let may_remove = self.members.len() > MINIMUM_RETAINED_MEMBERS;
            if may_remove && self.members[position].is_removable() {
                self.remove_at(position);
            } else {
                position += 1;
            }
        }
    }

    fn remove_at(&mut self, position: usize) {
        let removed = self.members.swap_remove(position);
        self.positions.remove(&removed.control_address);
        if let Some(moved) = self.members.get(position) {
            self.positions.insert(moved.control_address, position);
        }
    }
}

/// Lower 32 bits of a 64-bit hash.
#[allow(clippy::cast_possible_truncation)]
fn name_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
