//! What all connections of one agent share.

use std::sync::Arc;

use slog::Logger;

use super::back_end::BackEnd;
use super::config::Limits;
use super::control::Control;
use super::counters::Counters;
use super::slots::Slots;

/// What all connections of one agent share.
pub(super) struct Shared {
    pub(super) limits: Limits,
    pub(super) back_end: BackEnd,
    pub(super) slots: Arc<Slots>,
    pub(super) counters: Arc<Counters>,
    pub(super) control: Arc<Control>,
    pub(super) logger: Logger,
}
