//! The replica: keeps the roll in force up to date at one node.
//!
//! Every node runs the same state machine; none leads. A replica adopts a roll
//! only when its sequence is greater than the one in force, its record bears a
//! trusted operator's signature, its snapshot has the digest that the record
//! names and the bundle's sign-off is trusted. So it never goes back, and who
//! delivered the roll does not matter.
//!
//! | part | modules |
//! | --- | --- |
//! | interface | [`Replica`], [`ReplicaSettings`], [`ReplicaEvent`], [`ReplicaAction`], [`InstalledRoll`] |
//! | checks | `adoption`, `install` |
//! | spreading | `gossip`, `history`, `copy_server` |
//! | catching up | `catch_up`, `fetch`, `copy_assembly`, `store_access`, `store_reader`, `snapshot_read`, `pace` |
//! | confidence | `joining`, `vigilance` |
//! | availability of targets | `availability`, `probing` |

mod adoption;
mod availability;
mod catch_up;
mod copy_assembly;
mod copy_server;
mod counters;
mod event;
mod fetch;
mod gossip;
mod history;
mod install;
mod installed;
mod joining;
mod machine;
mod pace;
mod probing;
mod settings;
mod snapshot_read;
mod store_access;
mod store_reader;
mod vigilance;

pub use adoption::{MAXIMUM_SNAPSHOT_LENGTH, Rejection};
pub use copy_server::CopyServer;
pub use counters::{RejectionCounts, ReplicaCounters};
pub use event::{ReplicaAction, ReplicaEvent};
pub use installed::InstalledRoll;
pub use machine::Replica;
pub use settings::{LEASE_LENGTH, ReplicaSettings, ReplicaTuning};
