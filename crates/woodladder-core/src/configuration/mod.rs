//! What is in force: bundles, their sources, snapshots and roll records.

pub mod bundle;
pub mod bundle_source;
pub mod roll_record;
pub mod snapshot;
pub mod snapshot_delta;
