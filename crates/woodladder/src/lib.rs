//! Shells round the decision logic: daemons and the command line.

pub mod agent;
