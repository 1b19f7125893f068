//! Decides when a node that started has heard enough to serve.
//!
//! The first roll heard may be an old one. A node waits for the answers of
//! several others and of the key-value service, or for a bounded time after
//! the first roll was put in force.

use std::time::Duration;

use crate::clock::Instant;
use crate::control::replica::ReplicaTuning;
use crate::identifier::{NodeId, Sequence};

/// What a node has heard since its first roll.
#[derive(Clone, Debug)]
pub(super) struct Joining {
    wanted_answers: usize,
    time: Duration,
    first_installed_at: Option<Instant>,
    answered: Vec<NodeId>,
    store_settled: bool,
    ready: bool,
}

/// What a node has in force and is fetching.
#[derive(Clone, Copy, Debug)]
pub(super) struct JoinProgress {
    pub(super) installed: Option<Sequence>,
    pub(super) greatest_heard: Sequence,
    pub(super) fetching: bool,
    pub(super) known_nodes: usize,
}

impl Joining {
    pub(super) fn new(tuning: &ReplicaTuning) -> Self {
        Self {
            wanted_answers: tuning.join_answers,
            time: tuning.join_time,
            first_installed_at: None,
            answered: Vec::new(),
            store_settled: false,
            ready: false,
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Takes note that the first roll was put in force.
    pub(super) fn installed(&mut self, now: Instant) {
        self.first_installed_at.get_or_insert(now);
    }

    /// Takes note that a node answered which has a roll in force.
    pub(super) fn peer_answered(&mut self, node: NodeId) {
        if !self.ready && !self.answered.contains(&node) {
            self.answered.push(node);
        }
    }

    /// Takes note that the key-value service answered or could not be read.
    pub(super) fn store_settled(&mut self) {
        self.store_settled = true;
    }

    /// Turns ready when enough was heard or the time is over.
    pub(super) fn update(&mut self, progress: JoinProgress, now: Instant) {
        let Some(installed) = progress.installed else {
            return;
        };
        let wanted = self.wanted_answers.min(progress.known_nodes);
        let enough = self.answered.len() >= wanted && self.store_settled;
        let up_to_date = installed >= progress.greatest_heard;
        if enough && up_to_date && !progress.fetching {
            self.ready = true;
        }
        let limit = self.limit(progress.fetching);
        if limit.is_some_and(|limit| now >= limit) {
            self.ready = true;
        }
    }

    /// When the node turns ready at the latest, if nothing changes.
    pub(super) fn next_wakeup(&self, fetching: bool) -> Option<Instant> {
        self.limit(fetching).filter(|_| !self.ready)
    }

    /// A greater roll that is being fetched gets as much time again.
    fn limit(&self, fetching: bool) -> Option<Instant> {
        let factor = if fetching { 2 } else { 1 };
        self.first_installed_at
            .map(|first| first + self.time * factor)
    }
}
