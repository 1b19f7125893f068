//! The open flows that an agent announces to balancers, and the changes of this set that
//! were sent to each balancer.
//!
//! Changes are numbered. A report repeats the changes of the report before it, so that
//! the loss of one report costs nothing. A balancer that misses more requests the
//! complete list.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::clock::Instant;
use crate::flow::held_flows::{
    AnnouncementCoverage, FlowAnnouncement, FlowFingerprint, FlowListPart, MAXIMUM_ANNOUNCED_FLOWS,
    MAXIMUM_FINGERPRINTS,
};
use crate::flow::identity::NodeAddress;

/// Age from which an open flow is announced: flows of a single request are shorter and
/// not announced.
pub const ANNOUNCED_FROM_AGE: Duration = Duration::from_millis(300);
/// Time between two updates from the flow table.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of changes that are kept for reports.
const MAXIMUM_CHANGES: usize = 1024;
/// Maximum number of parts of flow lists that are sent at once, after a period without
/// any.
const LIST_BURST: u32 = 64;
/// Parts of flow lists that may be sent per second, of at most 1,200 bytes each, to all
/// balancers together.
pub const LIST_PARTS_PER_SECOND: u32 = 64;

#[derive(Clone, Copy, Debug)]
struct Change {
    flow: FlowFingerprint,
    is_open: bool,
}

/// Numbers of the last changes that the latest two reports to a balancer covered.
#[derive(Clone, Copy, Debug)]
struct AnnouncedChanges {
    previous_report: u32,
    latest_report: u32,
}

/// The flows that are announced, and the changes that were sent to each balancer.
#[derive(Clone, Debug)]
pub struct FlowAnnouncer {
    epoch: u64,
    open: FxHashSet<FlowFingerprint>,
    changes: VecDeque<Change>,
    /// Number of the last change.
    last_change: u32,
    /// Whether there are too many flows to announce.
    has_too_many: bool,
    updated_at: Option<Instant>,
    announced: FxHashMap<NodeAddress, AnnouncedChanges>,
    list_parts_left: f64,
    refilled_at: Instant,
}

impl FlowAnnouncer {
    /// An announcer for a new start of the agent, without any open flow.
    #[must_use]
    pub fn new(epoch: u64, now: Instant) -> Self {
        Self {
            epoch,
            open: FxHashSet::default(),
            changes: VecDeque::new(),
            last_change: 0,
            has_too_many: false,
            updated_at: None,
            announced: FxHashMap::default(),
            list_parts_left: f64::from(LIST_BURST),
            refilled_at: now,
        }
    }

    /// Whether the flow table is to be read again.
    #[must_use]
    pub fn is_update_due(&self, now: Instant) -> bool {
        self.updated_at
            .is_none_or(|at| now.since(at) >= UPDATE_INTERVAL)
    }

    /// Replaces the announced flows by `flows`, which the caller has limited to those
    /// open for at least [`ANNOUNCED_FROM_AGE`]. More than [`MAXIMUM_ANNOUNCED_FLOWS`]
    /// are not announced at all.
    pub fn update(&mut self, flows: impl Iterator<Item = FlowFingerprint>, now: Instant) {
        self.updated_at = Some(now);
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
        self.record_changes(&opened, true);
        self.record_changes(&closed, false);
    }

    fn record_changes(&mut self, flows: &[FlowFingerprint], is_open: bool) {
        for flow in flows {
            let flow = *flow;
            self.changes.push_back(Change { flow, is_open });
            self.last_change = self.last_change.wrapping_add(1);
        }
        let surplus = self.changes.len().saturating_sub(MAXIMUM_CHANGES);
        self.changes.drain(..surplus);
    }

    /// Forgets which changes were sent to a balancer, because the balancer has restarted
    /// without them.
    pub fn forget_balancer(&mut self, balancer: NodeAddress) {
        self.announced.remove(&balancer);
    }

    /// Removes the balancers for which `keep` does not hold.
    pub fn retain_balancers(&mut self, keep: impl Fn(NodeAddress) -> bool) {
        self.announced.retain(|balancer, _| keep(*balancer));
    }

    /// The announcement for the next report to a balancer.
    pub fn announcement_for(&mut self, balancer: NodeAddress) -> FlowAnnouncement {
        let last = self.last_change;
        let announced = self.announced.get(&balancer).copied();
        let previous_report = announced.map_or(last, |announced| announced.latest_report);
        self.announced.insert(
            balancer,
            AnnouncedChanges {
                previous_report,
                latest_report: last,
            },
        );
        if self.has_too_many {
            return self.announcement(AnnouncementCoverage::Nothing, last, Vec::new(), Vec::new());
        }
        let Some(announced) = announced else {
            return self.first_announcement();
        };
        let wanted = last.wrapping_sub(announced.previous_report) as usize;
        let change_count = wanted.min(self.changes.len()).min(MAXIMUM_FINGERPRINTS);
        let mut latest: FxHashMap<FlowFingerprint, bool> = FxHashMap::default();
        for change in self.changes.iter().skip(self.changes.len() - change_count) {
            latest.insert(change.flow, change.is_open);
        }
        let flows_with = |is_open: bool| {
            let mut flows: Vec<FlowFingerprint> = latest
                .iter()
                .filter(|(_, open)| **open == is_open)
                .map(|(flow, _)| *flow)
                .collect();
            flows.sort_unstable();
            flows
        };
        let base_change = last.wrapping_sub(u32::try_from(change_count).unwrap_or(0));
        self.announcement(
            AnnouncementCoverage::Changes,
            base_change,
            flows_with(true),
            flows_with(false),
        )
    }

    /// The announcement for a balancer that has not been sent one yet: the complete list
    /// where it fits into one datagram.
    fn first_announcement(&self) -> FlowAnnouncement {
        if self.open.len() > MAXIMUM_FINGERPRINTS {
            let changes = AnnouncementCoverage::Changes;
            return self.announcement(changes, self.last_change, Vec::new(), Vec::new());
        }
        self.announcement(
            AnnouncementCoverage::Complete,
            self.last_change,
            self.sorted_flows(),
            Vec::new(),
        )
    }

    fn announcement(
        &self,
        coverage: AnnouncementCoverage,
        base_change: u32,
        open: Vec<FlowFingerprint>,
        closed: Vec<FlowFingerprint>,
    ) -> FlowAnnouncement {
        FlowAnnouncement {
            coverage,
            base_change,
            last_change: self.last_change,
            open,
            closed,
        }
    }

    fn sorted_flows(&self) -> Vec<FlowFingerprint> {
        let mut flows: Vec<FlowFingerprint> = self.open.iter().copied().collect();
        flows.sort_unstable();
        flows
    }

    /// The complete list, for a balancer that has requested it. Empty if there are too
    /// many flows, or if the parts that [`LIST_PARTS_PER_SECOND`] allows have been sent
    /// to other balancers; the balancer then sends another request.
    pub fn list_parts(&mut self, now: Instant) -> Vec<FlowListPart> {
        let parts = self.open.len().div_ceil(MAXIMUM_FINGERPRINTS).max(1);
        self.refill_list_parts(now);
        let cost = parts as f64;
        if self.has_too_many || self.list_parts_left < cost {
            return Vec::new();
        }
        self.list_parts_left -= cost;
        let flows = self.sorted_flows();
        let part_of = |part: usize| FlowListPart {
            epoch: self.epoch,
            last_change: self.last_change,
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

    fn refill_list_parts(&mut self, now: Instant) {
        let passed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let refilled = self.list_parts_left + passed * f64::from(LIST_PARTS_PER_SECOND);
        self.list_parts_left = refilled.min(f64::from(LIST_BURST));
    }
}
