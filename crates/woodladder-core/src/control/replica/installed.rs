//! A roll in force, ready for use by the data path.

use std::sync::Arc;

use crate::configuration::roll_record::RollRecord;
use crate::configuration::snapshot::Snapshot;
use crate::digest::Digest;
use crate::identifier::Sequence;
use crate::packets::directory::Directory;

/// A roll that passed all checks, with its directory.
#[derive(Clone, Debug)]
pub struct Installed {
    /// The signed record.
    pub record: RollRecord,
    /// The snapshot that the record names.
    pub snapshot: Snapshot,
    /// The snapshot, laid out for looking up.
    pub directory: Directory,
}

impl Installed {
    pub(crate) fn new(record: RollRecord, snapshot: Snapshot) -> Arc<Self> {
        let directory = Directory::new(record.sequence(), &snapshot);
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
        self.record.statement.snapshot
    }
}
