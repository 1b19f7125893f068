//! Reasons to assume that a target is cold although it has not said so.

/// Why a target is assumed to be cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdReason {
    /// The zone of the target was excluded until now.
    ZoneTakenBack,
    /// The target was silent, so it may have restarted.
    Silent,
    /// The agent was paused, or received no list of excluded zones for a while.
    OutOfTouch,
}
