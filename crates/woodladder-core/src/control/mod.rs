//! How nodes and operators agree on what is in force: membership, replicas, availability and rolls.

pub mod availability;
pub mod chunk_set;
pub mod control_message;
pub mod copy_message;
pub mod membership;
pub mod replica;
pub mod roll_command;
pub mod store_operation;
