//! Counters of a replica.

use crate::control::control_message::FrameError;
use crate::control::replica::Rejection;

/// Counters since the start of the replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReplicaCounters {
    /// Rolls put in force.
    pub rolls_adopted: u64,
    /// Rolls put in force by applying a delta.
    pub rolls_adopted_by_delta: u64,
    /// Messages sent.
    pub messages_sent: u64,
    /// Messages received.
    pub messages_received: u64,
    /// Bytes of copies sent to other nodes.
    pub copy_bytes_sent: u64,
    /// Bytes of copies received from other nodes.
    pub copy_bytes_received: u64,
    /// Reads of the key-value service.
    pub store_reads: u64,
    /// Bytes of availability reports sent to other nodes.
    pub report_bytes_sent: u64,
    /// Agents that this node reported as unreachable.
    pub agents_declared_unreachable: u64,
    /// Wrong reports about this agent's target that the agent refuted.
    pub own_reports_refuted: u64,
    /// Pauses of the process that were detected.
    pub pauses_detected: u64,
    /// Rejected frames, records, deltas and copies by reason.
    pub rejections: RejectionCounts,
}

/// Rejected frames, records, deltas and copies by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RejectionCounts {
    /// Frames that ended too early.
    pub frame_truncated: u64,
    /// Frames longer than a datagram may be.
    pub frame_oversized: u64,
    /// Frames of an unknown format version.
    pub frame_unknown_version: u64,
    /// Frames whose tag does not match.
    pub frame_tag_mismatch: u64,
    /// Frames that cannot be decoded.
    pub frame_malformed: u64,
    /// Records signed by an untrusted key, or with an invalid signature.
    pub record_signature: u64,
    /// Records that have the sequence in force but differ from the record in
    /// force.
    pub sequence_conflict: u64,
    /// Records with an empty or too long snapshot.
    pub snapshot_length: u64,
    /// Deltas that do not lead to the snapshot that the record states.
    pub delta: u64,
    /// Copies whose digest differs from the one in the record.
    pub copy_digest: u64,
    /// Copies, and values of the current entry of the key-value service, that
    /// cannot be decoded.
    pub malformed: u64,
    /// Bundles whose sign-off is not valid.
    pub sign_off: u64,
    /// Records whose bundle version differs from the one in the snapshot.
    pub bundle_version: u64,
}

impl RejectionCounts {
    /// Counts a rejected record, delta or copy.
    pub(super) fn count(&mut self, rejection: Rejection) {
        let counter = match rejection {
            Rejection::RecordSignature(_) => &mut self.record_signature,
            Rejection::SequenceConflict => &mut self.sequence_conflict,
            Rejection::SnapshotLength => &mut self.snapshot_length,
            Rejection::Delta(_) => &mut self.delta,
            Rejection::CopyDigest => &mut self.copy_digest,
            Rejection::Malformed => &mut self.malformed,
            Rejection::SignOff(_) => &mut self.sign_off,
            Rejection::BundleVersion => &mut self.bundle_version,
        };
        *counter += 1;
    }

    /// Counts a rejected frame.
    pub(super) fn count_frame(&mut self, error: FrameError) {
        let counter = match error {
            FrameError::Truncated => &mut self.frame_truncated,
            FrameError::Oversized => &mut self.frame_oversized,
            FrameError::UnknownVersion => &mut self.frame_unknown_version,
            FrameError::TagMismatch => &mut self.frame_tag_mismatch,
            FrameError::Malformed => &mut self.frame_malformed,
        };
        *counter += 1;
    }

    /// Sum over all reasons.
    #[must_use]
    pub fn total(&self) -> u64 {
        let frames = self.frame_truncated
            + self.frame_oversized
            + self.frame_unknown_version
            + self.frame_tag_mismatch
            + self.frame_malformed;
        let records = self.record_signature + self.sequence_conflict + self.snapshot_length;
        let copies = self.delta + self.copy_digest + self.malformed;
        frames + records + copies + self.sign_off + self.bundle_version
    }
}
