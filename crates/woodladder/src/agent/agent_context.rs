//! State that all connections of an agent share.

use std::sync::Arc;

use slog::{Logger, warn};

use super::admission_control::AdmissionControl;
use super::back_end::{self, BackEnd};
use super::clock::Clock;
use super::config::Limits;
use super::counters::Counters;
use super::request_scheduler::RequestScheduler;

/// State that all connections of an agent share.
pub(super) struct AgentContext {
    pub(super) limits: Limits,
    pub(super) back_end: BackEnd,
    pub(super) clock: Clock,
    pub(super) scheduler: Arc<RequestScheduler>,
    pub(super) counters: Arc<Counters>,
    pub(super) admission_control: Arc<AdmissionControl>,
    pub(super) logger: Logger,
}

impl AgentContext {
    /// Records that the back end refused a connection, and starts to probe the back end.
    /// Requests are refused until the back end accepts a connection.
    pub(super) fn report_back_end_down(&self) {
        if !self.scheduler.mark_back_end_down() {
            return;
        }
        warn!(self.logger, "agent: back end takes no connections");
        let scheduler = Arc::downgrade(&self.scheduler);
        tokio::spawn(back_end::wait_for_recovery(
            self.back_end.clone(),
            scheduler,
        ));
    }
}
