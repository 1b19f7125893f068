//! Reasons to assume that a target is cold although no heartbeat has stated so.

/// Why a target is assumed to be cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdReason {
    /// The zone of the target was excluded and is included again.
    ZoneTakenBack,
    /// The target was unresponsive until now, so it may have restarted.
    Silent,
    /// Another start was heard that may have replaced the known one.
    OtherStart,
    /// The agent's process was paused, or the agent received no list of excluded zones for
    /// a while, so it may have missed that its zone was excluded and included again.
    OutOfTouch,
}
