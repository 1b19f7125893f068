//! What all connections of one agent share.

use std::sync::Arc;

use slog::{Logger, warn};

use super::back_end::{self, BackEnd};
use super::clock::Clock;
use super::config::Limits;
use super::control::Control;
use super::counters::Counters;
use super::request_desk::RequestDesk;

/// What all connections of one agent share.
pub(super) struct Shared {
    pub(super) limits: Limits,
    pub(super) back_end: BackEnd,
    pub(super) clock: Clock,
    pub(super) desk: Arc<RequestDesk>,
    pub(super) counters: Arc<Counters>,
    pub(super) control: Arc<Control>,
    pub(super) logger: Logger,
}

impl Shared {
    /// The back end did not take a connection: no work until it does.
    pub(super) fn back_end_down(&self) {
        if !self.desk.back_end_down() {
            return;
        }
        warn!(self.logger, "agent: back end takes no connections");
        let desk = Arc::downgrade(&self.desk);
        tokio::spawn(back_end::await_recovery(self.back_end.clone(), desk));
    }
}
