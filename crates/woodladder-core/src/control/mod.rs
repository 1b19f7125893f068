//! The control plane: node membership, replication of the roll in force,
//! availability of targets, and the command that puts a roll in force.

pub mod availability;
pub mod chunk_set;
pub mod control_message;
pub mod copy_message;
pub mod membership;
pub mod replica;
pub mod roll_command;
pub mod store_operation;
