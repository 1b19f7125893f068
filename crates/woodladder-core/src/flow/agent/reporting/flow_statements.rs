//! Which open flows an agent tells balancers, and what each has been told.
//!
//! Changes are numbered. A report repeats the changes of the report before it, so that
//! the loss of one costs nothing; a balancer that misses more asks for the list.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::clock::Instant;
use crate::flow::held_flows::{
    AnnouncementCoverage, FlowAnnouncement, FlowFingerprint, FlowListPart, MAXIMUM_ANNOUNCED_FLOWS,
    MAXIMUM_FINGERPRINTS,
};
use crate::flow::identity::NodeAddress;

/// Age from which an open flow is told: flows of one request are not.
pub const TOLD_FROM_AGE: Duration = Duration::from_millis(300);
/// Time between two looks at the table.
const LOOKS_EVERY: Duration = Duration::from_millis(100);
/// Changes that are remembered for reports.
const REMEMBERED_CHANGES: usize = 1024;
/// Parts of lists that are sent at once when none was sent for a while.
const LIST_BURST: u32 = 64;
/// Parts of lists a second, of at most 1,200 bytes each, to all balancers together.
pub const LIST_PARTS_A_SECOND: u32 = 64;

#[derive(Clone, Copy, Debug)]
struct Change {
    flow: FlowFingerprint,
    is_open: bool,
}

/// Numbers of the last changes in the latest two reports to one balancer.
#[derive(Clone, Copy, Debug)]
struct Told {
    before: u32,
    latest: u32,
}

/// The flows that are told, and to whom.
#[derive(Clone, Debug)]
pub struct FlowStatements {
    epoch: u64,
    open: FxHashSet<FlowFingerprint>,
    changes: VecDeque<Change>,
    /// Number of the last change.
    last: u32,
    /// Whether there are too many flows to tell.
    has_too_many: bool,
    looked_at: Option<Instant>,
    told: FxHashMap<NodeAddress, Told>,
    list_parts_left: f64,
    refilled_at: Instant,
}

impl FlowStatements {
    /// Nothing is open yet in this start of the agent.
    #[must_use]
    pub fn new(epoch: u64, now: Instant) -> Self {
        Self {
            epoch,
            open: FxHashSet::default(),
            changes: VecDeque::new(),
            last: 0,
            has_too_many: false,
            looked_at: None,
            told: FxHashMap::default(),
            list_parts_left: f64::from(LIST_BURST),
            refilled_at: now,
        }
    }

    /// Whether the table is to be looked at again.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        self.looked_at.is_none_or(|at| now.since(at) >= LOOKS_EVERY)
    }

    /// Takes in which flows have been open for [`TOLD_FROM_AGE`].
    pub fn look(&mut self, flows: impl Iterator<Item = FlowFingerprint>, now: Instant) {
        self.looked_at = Some(now);
        let next: FxHashSet<FlowFingerprint> = flows.take(MAXIMUM_ANNOUNCED_FLOWS + 1).collect();
        self.has_too_many = next.len() > MAXIMUM_ANNOUNCED_FLOWS;
        let next = if self.has_too_many {
            FxHashSet::default()
        } else {
            next
        };
        let former = std::mem::replace(&mut self.open, next);
        let mut opened: Vec<FlowFingerprint> = self.open.difference(&former).copied().collect();
        let mut closed: Vec<FlowFingerprint> = former.difference(&self.open).copied().collect();
        opened.sort_unstable();
        closed.sort_unstable();
        self.note_changes(&opened, true);
        self.note_changes(&closed, false);
    }

    fn note_changes(&mut self, flows: &[FlowFingerprint], is_open: bool) {
        for flow in flows {
            let flow = *flow;
            self.changes.push_back(Change { flow, is_open });
            self.last = self.last.wrapping_add(1);
        }
        let surplus = self.changes.len().saturating_sub(REMEMBERED_CHANGES);
        self.changes.drain(..surplus);
    }

    /// A balancer has started again and knows nothing.
    pub fn forget_balancer(&mut self, balancer: NodeAddress) {
        self.told.remove(&balancer);
    }

    /// Keeps only balancers for which `keep` holds.
    pub fn retain_balancers(&mut self, keep: impl Fn(NodeAddress) -> bool) {
        self.told.retain(|balancer, _| keep(*balancer));
    }

    /// What the next report to a balancer states.
    pub fn statement_for(&mut self, balancer: NodeAddress) -> FlowAnnouncement {
        let last = self.last;
        let told = self.told.get(&balancer).copied();
        let before = told.map_or(last, |told| told.latest);
        self.told.insert(
            balancer,
            Told {
                before,
                latest: last,
            },
        );
        if self.has_too_many {
            return self.statement(AnnouncementCoverage::Nothing, last, Vec::new(), Vec::new());
        }
        let Some(told) = told else {
            return self.first_statement();
        };
        let wanted = last.wrapping_sub(told.before) as usize;
        let stated = wanted.min(self.changes.len()).min(MAXIMUM_FINGERPRINTS);
        let mut latest: FxHashMap<FlowFingerprint, bool> = FxHashMap::default();
        for change in self.changes.iter().skip(self.changes.len() - stated) {
            latest.insert(change.flow, change.is_open);
        }
        let with = |is_open: bool| {
            let mut flows: Vec<FlowFingerprint> = latest
                .iter()
                .filter(|(_, open)| **open == is_open)
                .map(|(flow, _)| *flow)
                .collect();
            flows.sort_unstable();
            flows
        };
        let first = last.wrapping_sub(u32::try_from(stated).unwrap_or(0));
        self.statement(
            AnnouncementCoverage::Changes,
            first,
            with(true),
            with(false),
        )
    }

    /// A balancer that was told nothing gets the whole list where it fits.
    fn first_statement(&self) -> FlowAnnouncement {
        if self.open.len() > MAXIMUM_FINGERPRINTS {
            let changes = AnnouncementCoverage::Changes;
            return self.statement(changes, self.last, Vec::new(), Vec::new());
        }
        self.statement(
            AnnouncementCoverage::Complete,
            self.last,
            self.sorted(),
            Vec::new(),
        )
    }

    fn statement(
        &self,
        coverage: AnnouncementCoverage,
        base_change: u32,
        open: Vec<FlowFingerprint>,
        closed: Vec<FlowFingerprint>,
    ) -> FlowAnnouncement {
        FlowAnnouncement {
            coverage,
            base_change,
            last_change: self.last,
            open,
            closed,
        }
    }

    fn sorted(&self) -> Vec<FlowFingerprint> {
        let mut flows: Vec<FlowFingerprint> = self.open.iter().copied().collect();
        flows.sort_unstable();
        flows
    }

    /// The complete list, for a balancer that has asked; nothing when there are too many
    /// flows, or other balancers have just been sent as much as may be sent. It asks
    /// again then.
    pub fn list(&mut self, now: Instant) -> Vec<FlowListPart> {
        let parts = self.open.len().div_ceil(MAXIMUM_FINGERPRINTS).max(1);
        self.refill(now);
        let cost = parts as f64;
        if self.has_too_many || self.list_parts_left < cost {
            return Vec::new();
        }
        self.list_parts_left -= cost;
        let flows = self.sorted();
        let part_of = |part: usize| FlowListPart {
            epoch: self.epoch,
            last_change: self.last,
            part_index: u8::try_from(part).unwrap_or(u8::MAX),
            part_count: u8::try_from(parts).unwrap_or(u8::MAX),
            open: flows
                .iter()
                .skip(part * MAXIMUM_FINGERPRINTS)
                .take(MAXIMUM_FINGERPRINTS)
                .copied()
                .collect(),
        };
        (0..parts).map(part_of).collect()
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let refilled = self.list_parts_left + passed * f64::from(LIST_PARTS_A_SECOND);
        self.list_parts_left = refilled.min(f64::from(LIST_BURST));
    }
}
