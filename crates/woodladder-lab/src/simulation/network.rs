//! The network between machines: delay, loss, duplication, reordering and
//! links cut in one direction.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::random::Random;
use super::topology::{Machine, Site};

/// Most copies that one datagram arrives as.
pub const MAXIMUM_COPIES: usize = 2;

/// Faults that hold on every link of one kind of traffic, in thousandths.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinkFaults {
    /// Probability that a datagram is lost.
    pub loss: u32,
    /// Probability that a datagram arrives twice.
    pub duplicate: u32,
    /// Probability that a datagram arrives late, behind later ones.
    pub reorder: u32,
    /// Longest further delay of a late datagram.
    pub reorder_delay: Duration,
}

/// Kinds of traffic, which fail apart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Traffic {
    /// Callers' datagrams and what carries them.
    Data,
    /// Messages among nodes.
    Control,
}

/// Delays and faults of all links.
#[derive(Clone, Debug)]
pub struct Network {
    site: Site,
    /// Faults of callers' traffic.
    pub data: LinkFaults,
    /// Faults of traffic among nodes.
    pub control: LinkFaults,
    cuts: BTreeSet<(Machine, Machine)>,
    isolated: BTreeMap<Machine, Machine>,
    random: Random,
}

impl Network {
    /// A network without faults.
    #[must_use]
    pub fn new(site: Site, random: Random) -> Self {
        Self {
            site,
            data: LinkFaults::default(),
            control: LinkFaults::default(),
            cuts: BTreeSet::new(),
            isolated: BTreeMap::new(),
            random,
        }
    }

    /// Cuts the link in one direction.
    pub fn cut(&mut self, from: Machine, to: Machine) {
        self.cuts.insert((from, to));
    }

    /// Lets control traffic of a machine pass to and from one other only.
    pub fn isolate(&mut self, machine: Machine, except: Machine) {
        self.isolated.insert(machine, except);
    }

    /// Mends every link of a machine, and gives the machines at the other ends.
    pub fn mend(&mut self, machine: Machine) -> BTreeSet<Machine> {
        let (mended, kept) = self
            .cuts
            .iter()
            .partition(|(from, to)| *from == machine || *to == machine);
        self.cuts = kept;
        self.isolated.remove(&machine);
        let mended: BTreeSet<(Machine, Machine)> = mended;
        let ends = mended.into_iter().flat_map(|(from, to)| [from, to]);
        ends.filter(|end| *end != machine).collect()
    }

    /// Whether control traffic between two machines is kept from passing.
    #[must_use]
    pub fn is_isolated(&self, from: Machine, to: Machine) -> bool {
        let keeps = |one: &Machine, other: Machine| {
            self.isolated
                .get(one)
                .is_some_and(|except| *except != other)
        };
        keeps(&from, to) || keeps(&to, from)
    }

    /// Whether any link of a machine is cut.
    #[must_use]
    pub fn is_cut_anywhere(&self, machine: Machine) -> bool {
        let mut cuts = self.cuts.iter();
        let cut = cuts.any(|(from, to)| *from == machine || *to == machine);
        cut || self.isolated.contains_key(&machine)
    }

    /// Whether the link is cut in this direction.
    #[must_use]
    pub fn is_cut(&self, from: Machine, to: Machine) -> bool {
        self.cuts.contains(&(from, to))
    }

    /// Delays after which copies of a datagram arrive; none when it is lost.
    pub fn deliveries(&mut self, from: Machine, to: Machine, traffic: Traffic) -> Vec<Duration> {
        let faults = match traffic {
            Traffic::Data => self.data,
            Traffic::Control => self.control,
        };
        if traffic == Traffic::Control && self.is_isolated(from, to) {
            return Vec::new();
        }
        if self.is_cut(from, to) || self.random.chance(faults.loss) {
            return Vec::new();
        }
        let copies = if self.random.chance(faults.duplicate) {
            MAXIMUM_COPIES
        } else {
            1
        };
        (0..copies).map(|_| self.delay(from, to, &faults)).collect()
    }

    /// Delay of a stream's next message, which is never lost for good.
    pub fn stream_delay(&mut self, from: Machine, to: Machine) -> Duration {
        self.delay(from, to, &LinkFaults::default())
    }

    fn delay(&mut self, from: Machine, to: Machine, faults: &LinkFaults) -> Duration {
        const JITTER: Duration = Duration::from_micros(50);
        let jitter = self.random.between(Duration::ZERO, JITTER);
        let mut delay = from.delay_to(to, self.site) + jitter;
        if self.random.chance(faults.reorder) {
            delay += self.random.between(Duration::ZERO, faults.reorder_delay);
        }
        delay
    }
}
