//! The roll command: an operator puts a signed-off bundle in force.
//!
//! A roll is one compare-and-swap of the current entry of the key-value
//! service. The swap expects the modify index that was read before. A command
//! that was paused, or whose answer was lost, therefore never overwrites a roll
//! that it has not read. After a lost answer the command reads the entry again.
//! If the entry holds the command's own record, the roll took effect. If it
//! still has the expected index, the command sends the same swap again.
//! Otherwise another operator has rolled.
//!
//! The command reports success or failure only as far as it is certain; see
//! [`RollError::may_have_taken_effect`].

mod machine;
mod outcome;
mod plan;
mod rollout;
mod stages;

pub use machine::{RollAction, RollCommand, RollEvent};
pub use outcome::{RollError, RollOutcome, RollProgress, RollSummary};
pub use plan::{MAXIMUM_OPERATOR_NAME_LENGTH, RollRequest, RollTuning};
