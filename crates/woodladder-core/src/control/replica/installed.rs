//! A roll in force, ready for use by the data path.

use std::sync::Arc;

use crate::configuration::roll_record::RollRecord;
use crate::configuration::snapshot::Snapshot;
use crate::digest::Digest;
use crate::identifier::Sequence;
use crate::packets::routing_table::RoutingTable;

/// A roll that passed all checks, with its directory.
#[derive(Clone, Debug)]
pub struct InstalledRoll {
    /// The signed record.
    pub record: RollRecord,
    /// The snapshot that the record names.
    pub snapshot: Snapshot,
    /// The snapshot, laid out for looking up.
    pub directory: RoutingTable,
}

impl InstalledRoll {
    pub(crate) fn new(record: RollRecord, snapshot: Snapshot) -> Arc<Self> {
        let directory = RoutingTable::new(record.sequence(), &snapshot);
        Arc::new(Self {
            record,
            snapshot,
            directory,
        })
    }

    /// Position in the order of all rolls.
    #[must_use]
    pub fn sequence(&self) -> Sequence {
        self.record.sequence()
    }

    /// Digest of the snapshot.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.record.statement.snapshot_digest
    }
}
