//! The replica: keeps the roll in force up to date at one node.
//!
//! Every node runs the same state machine; there is no leader. A replica adopts
//! a roll only if its sequence is greater than the one in force, its record is
//! signed by a trusted operator, its snapshot has the digest that the record
//! states, and the sign-off of its bundle is trusted. The roll in force
//! therefore never reverts to an earlier one, and a roll may be accepted from
//! any sender.
//!
//! | part | modules |
//! | --- | --- |
//! | interface | [`Replica`], [`ReplicaSettings`], [`ReplicaEvent`], [`ReplicaAction`], [`InstalledRoll`] |
//! | validation and installation | `adoption`, `install` |
//! | dissemination | `gossip`, `delta_history`, `copy_server` |
//! | fetching snapshots | `catch_up`, `fetch`, `copy_assembly`, `store_access`, `store_reader`, `snapshot_read`, `token_bucket` |
//! | readiness and pauses | `joining`, `pause_detector` |
//! | availability of targets | `availability`, `probing` |

mod adoption;
mod availability;
mod catch_up;
mod copy_assembly;
mod copy_server;
mod counters;
mod delta_history;
mod event;
mod fetch;
mod gossip;
mod install;
mod installed;
mod joining;
mod machine;
mod pause_detector;
mod probing;
mod settings;
mod snapshot_read;
mod store_access;
mod store_reader;
mod token_bucket;

pub use adoption::{MAXIMUM_SNAPSHOT_LENGTH, Rejection};
pub use copy_server::CopyServer;
pub use counters::{RejectionCounts, ReplicaCounters};
pub use event::{ReplicaAction, ReplicaEvent};
pub use installed::InstalledRoll;
pub use machine::Replica;
pub use settings::{PAUSE_THRESHOLD, ReplicaSettings, ReplicaTuning};
