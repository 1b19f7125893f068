//! A roll in force, prepared for the data path.

use std::sync::Arc;

use crate::configuration::roll_record::RollRecord;
use crate::configuration::snapshot::Snapshot;
use crate::digest::Digest;
use crate::identifier::Sequence;
use crate::packets::routing_table::RoutingTable;

/// A roll that passed all checks, with its routing table.
#[derive(Clone, Debug)]
pub struct InstalledRoll {
    /// The signed record.
    pub record: RollRecord,
    /// The snapshot that the record states.
    pub snapshot: Snapshot,
    /// The snapshot, prepared for lookups.
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

    /// Sequence of the roll.
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
