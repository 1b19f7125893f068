//! Configuration data: bundles and their TOML form, snapshots, and roll records,
//! which put a snapshot in force.

pub mod bundle;
pub mod bundle_source;
pub mod roll_record;
pub mod snapshot;
pub mod snapshot_delta;
