//! Why a target may be cold although nothing says so.

/// Why it is not known whether the target is cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdReason {
    /// Its zone was excluded until now.
    ZoneTakenBack,
    /// It was silent, so it may have started again.
    Silent,
    /// The agent did not run or hear of excluded zones for a while.
    OutOfTouch,
}
