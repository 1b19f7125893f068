//! Decides when a node that has started becomes ready to serve.
//!
//! The first roll that a node receives may be outdated. Before the node becomes
//! ready, it waits until several other nodes (all known nodes, if these are
//! fewer) have answered and one read of the key-value service has succeeded or
//! failed. It also waits until no newer roll is known or being fetched. The node
//! becomes ready without these conditions when a bounded time has passed since
//! its first roll was put in force.

use std::time::Duration;

use crate::clock::Instant;
use crate::control::replica::ReplicaTuning;
use crate::identifier::{NodeId, Sequence};

/// What the node has received since it started.
#[derive(Clone, Debug)]
pub(super) struct Joining {
    required_answers: usize,
    timeout: Duration,
    first_install: Option<Instant>,
    answered_nodes: Vec<NodeId>,
    store_answered_or_failed: bool,
    ready: bool,
}

/// Progress of the replica as far as readiness depends on it.
#[derive(Clone, Copy, Debug)]
pub(super) struct JoinProgress {
    pub(super) installed: Option<Sequence>,
    pub(super) greatest_known_sequence: Sequence,
    pub(super) fetching: bool,
    pub(super) known_nodes: usize,
}

impl Joining {
    pub(super) fn new(tuning: &ReplicaTuning) -> Self {
        Self {
            required_answers: tuning.join_answers,
            timeout: tuning.join_timeout,
            first_install: None,
            answered_nodes: Vec::new(),
            store_answered_or_failed: false,
            ready: false,
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Records that a roll was put in force; only the first one counts.
    pub(super) fn record_install(&mut self, now: Instant) {
        self.first_install.get_or_insert(now);
    }

    /// Records an answer of a node that has a roll in force.
    pub(super) fn record_peer_answer(&mut self, node: NodeId) {
        if !self.ready && !self.answered_nodes.contains(&node) {
            self.answered_nodes.push(node);
        }
    }

    /// Records that a read of the key-value service succeeded or failed.
    pub(super) fn record_store_result(&mut self) {
        self.store_answered_or_failed = true;
    }

    /// Makes the node ready if it has enough answers, has the greatest known
    /// sequence in force and is fetching nothing, or if the time limit has
    /// passed. A node without a roll in force stays not ready.
    pub(super) fn update(&mut self, progress: JoinProgress, now: Instant) {
        let Some(installed) = progress.installed else {
            return;
        };
        let required = self.required_answers.min(progress.known_nodes);
        let has_enough_answers =
            self.answered_nodes.len() >= required && self.store_answered_or_failed;
        let is_up_to_date = installed >= progress.greatest_known_sequence;
        if has_enough_answers && is_up_to_date && !progress.fetching {
            self.ready = true;
        }
        let deadline = self.deadline(progress.fetching);
        if deadline.is_some_and(|deadline| now >= deadline) {
            self.ready = true;
        }
    }

    /// When the node becomes ready at the latest, if nothing changes.
    pub(super) fn next_wakeup(&self, fetching: bool) -> Option<Instant> {
        self.deadline(fetching).filter(|_| !self.ready)
    }

    /// When the node becomes ready even without enough answers: `timeout` after
    /// its first roll was put in force, or twice `timeout` while a roll with a
    /// greater sequence is being fetched.
    fn deadline(&self, fetching: bool) -> Option<Instant> {
        let factor = if fetching { 2 } else { 1 };
        self.first_install
            .map(|first| first + self.timeout * factor)
    }
}
