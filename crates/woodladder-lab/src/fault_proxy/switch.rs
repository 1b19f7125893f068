//! The rule in force, which can change while the proxy runs, and the count of what it lost.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::watch;

use super::rule::{Direction, FaultRule};

#[derive(Clone, Debug)]
pub(super) struct RuleSwitch {
    rule: Arc<watch::Sender<FaultRule>>,
    /// How often the open connections have gone silent.
    silences: Arc<watch::Sender<u64>>,
    lost: Arc<AtomicU64>,
}

impl RuleSwitch {
    pub(super) fn new(rule: FaultRule) -> Self {
        Self {
            rule: Arc::new(watch::Sender::new(rule)),
            silences: Arc::new(watch::Sender::new(0)),
            lost: Arc::default(),
        }
    }

    pub(super) fn set(&self, rule: FaultRule) {
        self.rule.send_replace(rule);
    }

    pub(super) fn get(&self) -> FaultRule {
        *self.rule.borrow()
    }

    pub(super) fn silence_open_connections(&self) {
        self.silences.send_modify(|count| *count += 1);
    }

    /// Waits for the next silence of the connections that are open now.
    pub(super) async fn wait_silenced(&self) {
        let mut silences = self.silences.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = silences.changed().await;
    }

    pub(super) fn count_lost(&self) {
        self.lost.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }

    pub(super) async fn wait_while_frozen(&self) {
        self.wait_until(|rule| !rule.frozen).await;
    }

    pub(super) async fn wait_while_held(&self, direction: Direction) {
        self.wait_until(|rule| !rule.frozen && !rule.cut.covers(direction))
            .await;
    }

    pub(super) async fn wait_refuse(&self) {
        self.wait_until(|rule| rule.refuse).await;
    }

    async fn wait_until(&self, holds: impl FnMut(&FaultRule) -> bool) {
        let mut rules = self.rule.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = rules.wait_for(holds).await;
    }
}
