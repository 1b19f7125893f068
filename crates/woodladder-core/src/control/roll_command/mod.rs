//! The roll command: an operator puts a signed-off bundle in force.
//!
//! A roll is one compare-and-swap of the current entry. The swap names the
//! entry's index as it was read, so a command that was paused, or whose answer
//! was lost, never overwrites a roll that it has not seen. After a lost answer
//! the entry is read again: the own record there means that the roll took
//! effect, the old index that the same swap may be tried again, anything else
//! that another operator rolled.
//!
//! The verdict never says more than is known: see
//! [`RollError::may_have_taken_effect`].

mod machine;
mod plan;
mod rollout;
mod stages;
mod verdict;

pub use machine::{RollAction, RollCommand, RollEvent};
pub use plan::{MAXIMUM_OPERATOR_NAME, RollRequest, RollTuning};
pub use verdict::{RollError, RollOutcome, RollProgress, RollSummary};
