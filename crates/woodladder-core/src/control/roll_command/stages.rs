//! How the roll command handles answers of the key-value service.

use std::time::Duration;

use rand::Rng as _;

use crate::clock::Instant;
use crate::configuration::roll_record::RollRecord;
use crate::configuration::snapshot::Snapshot;
use crate::control::roll_command::machine::{RollCommand, Stage};
use crate::control::roll_command::plan::{PlannedRoll, read_snapshot, read_stored};
use crate::control::roll_command::{RollError, RollSummary};
use crate::control::store_operation::{StoreAnswer, StoreIndex, StoreRequestId};
use crate::digest::Digest;

const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);
const LONGEST_RETRY_DELAY: Duration = Duration::from_secs(3);
const MAXIMUM_RETRY_DOUBLINGS: u32 = 5;

impl RollCommand {
    /// Handles an answer. A late answer to an earlier request is ignored,
    /// unless it confirms that a swap took effect.
    pub(super) fn handle_answer(
        &mut self,
        request: StoreRequestId,
        answer: &StoreAnswer,
        now: Instant,
    ) {
        let is_swap_answer = self.swap_requests.contains(&request);
        let awaits_swap_result = matches!(self.stage, Stage::Swap | Stage::Confirm);
        if is_swap_answer && awaits_swap_result && *answer == StoreAnswer::Written {
            self.accept(now);
            return;
        }
        if self.outstanding.is_none_or(|(known, _)| known != request) {
            return;
        }
        match (self.stage, answer) {
            (_, StoreAnswer::RateLimited { .. })
            | (_, StoreAnswer::Unreachable | StoreAnswer::Unknown) => {
                self.handle_failure(answer, now);
            }
            (Stage::ReadCurrent, _) => self.handle_current_entry(answer, now),
            (Stage::ReadSnapshot(digest), _) => self.handle_snapshot(digest, answer, now),
            (Stage::WriteSnapshot { .. }, StoreAnswer::Written) => {
                self.enter_stage(Stage::Swap, now)
            }
            (Stage::WriteSnapshot { .. }, _) => self.enter_stage(Stage::CheckSnapshot, now),
            (Stage::CheckSnapshot, _) => self.check_stored_snapshot(answer, now),
            (Stage::Swap, _) => {
                self.swap_refused = true;
                self.confirming_since.get_or_insert(now);
                self.enter_stage(Stage::Confirm, now);
            }
            (Stage::Confirm, _) => self.confirm(answer, now),
            (Stage::Rollout | Stage::Finished, _) => {}
        }
    }

    /// Handles a request that failed or was not answered in time, and schedules
    /// a retry. A swap without an answer may have taken effect, so the command
    /// then reads the current entry before it sends the swap again.
    pub(super) fn handle_failure(&mut self, answer: &StoreAnswer, now: Instant) {
        self.outstanding = None;
        if self.stage == Stage::Swap && *answer == StoreAnswer::Unknown {
            self.swap_in_doubt = true;
            self.confirming_since.get_or_insert(now);
        }
        if self.stage == Stage::Swap && self.swap_in_doubt {
            self.stage = Stage::Confirm;
        }
        let requested_delay = match answer {
            StoreAnswer::RateLimited { retry_after } => retry_after.unwrap_or_default(),
            _ => Duration::ZERO,
        };
        let doublings = self.failures.min(MAXIMUM_RETRY_DOUBLINGS);
        self.failures += 1;
        let retry_delay = LONGEST_RETRY_DELAY.min(FIRST_RETRY_DELAY * 2_u32.pow(doublings));
        let jitter = self.random.random_range(0.5..1.5);
        self.retry_at = now + retry_delay.mul_f64(jitter).max(requested_delay);
    }

    pub(super) fn enter_stage(&mut self, stage: Stage, now: Instant) {
        self.outstanding = None;
        self.stage = stage;
        self.retry_at = now;
    }

    fn handle_current_entry(&mut self, answer: &StoreAnswer, now: Instant) {
        let StoreAnswer::Value { index, value } = answer else {
            self.expected_index = StoreIndex::default();
            self.plan(None, now);
            return;
        };
        match read_stored(value, &self.request.trusted) {
            Ok(stored) => {
                self.expected_index = *index;
                let digest = stored.record.statement.snapshot_digest;
                self.previous = Some(stored);
                self.enter_stage(Stage::ReadSnapshot(digest), now);
            }
            Err(error) => self.fail(error),
        }
    }

    fn handle_snapshot(&mut self, digest: Digest, answer: &StoreAnswer, now: Instant) {
        let StoreAnswer::Value { value, .. } = answer else {
            self.fail(RollError::CurrentSnapshotMissing(digest));
            return;
        };
        match read_snapshot(value, digest) {
            Ok(snapshot) => self.plan(Some(&snapshot), now),
            Err(error) => self.fail(error),
        }
    }

    fn plan(&mut self, snapshot: Option<&Snapshot>, now: Instant) {
        let record = self.previous.as_ref().map(|stored| &stored.record);
        match self.request.plan(record.zip(snapshot), self.nonce) {
            Ok(planned) => {
                self.planned = Some(planned);
                let expected = StoreIndex::default();
                self.enter_stage(Stage::WriteSnapshot { expected }, now);
            }
            Err(error) => self.fail(error),
        }
    }

    /// Handles the entry that already exists under the digest of the snapshot:
    /// the snapshot itself, or damaged bytes to be replaced.
    fn check_stored_snapshot(&mut self, answer: &StoreAnswer, now: Instant) {
        let wanted = self.planned.as_ref().map(PlannedRoll::digest);
        match answer {
            StoreAnswer::Value { value, .. } if Some(Digest::of(value)) == wanted => {
                self.enter_stage(Stage::Swap, now);
            }
            StoreAnswer::Value { index, .. } => {
                self.enter_stage(Stage::WriteSnapshot { expected: *index }, now);
            }
            _ => {
                let expected = StoreIndex::default();
                self.enter_stage(Stage::WriteSnapshot { expected }, now);
            }
        }
    }

    /// Handles the current entry as read after a swap that was refused or whose
    /// answer was lost.
    fn confirm(&mut self, answer: &StoreAnswer, now: Instant) {
        let StoreAnswer::Value { index, value } = answer else {
            self.confirm_absent(now);
            return;
        };
        let stored = match read_stored(value, &self.request.trusted) {
            Ok(stored) => stored,
            Err(error) => return self.fail_for_unreadable_entry(error),
        };
        if self.is_own_record(&stored.record) {
            self.accept(now);
        } else if *index == self.expected_index {
            self.swap_again(now);
        } else {
            self.fail_for_lost_race(&stored.record);
        }
    }

    fn confirm_absent(&mut self, now: Instant) {
        if self.expected_index == StoreIndex::default() {
            self.swap_again(now);
        } else {
            self.handle_failure(&StoreAnswer::NotFound, now);
        }
    }

    /// Sends the swap again, because the current entry still has the expected
    /// index. After a refused swap, the index that was read must be outdated,
    /// so the entry is read once more instead.
    fn swap_again(&mut self, now: Instant) {
        if self.swap_refused {
            self.handle_failure(&StoreAnswer::NotFound, now);
        } else {
            self.enter_stage(Stage::Swap, now);
        }
    }

    fn is_own_record(&self, record: &RollRecord) -> bool {
        let planned = self.planned.as_ref();
        planned.is_some_and(|planned| planned.record() == record)
    }

    /// Fails because another operator's roll is in force. Exactly one roll
    /// takes effect under each sequence, so this command's roll can have been
    /// in force before only if the sequence now in force is greater than the
    /// sequence of this command's roll.
    fn fail_for_lost_race(&mut self, record: &RollRecord) {
        let planned = self.planned.as_ref();
        let own = planned.map(|planned| planned.record().sequence());
        let other_is_later = own.is_some_and(|own| record.sequence() > own);
        self.fail(RollError::LostRace {
            winner: Some(RollSummary::of(record)),
            in_doubt: self.swap_in_doubt && other_is_later,
        });
    }

    fn fail_for_unreadable_entry(&mut self, error: RollError) {
        match &self.planned {
            Some(planned) if self.swap_in_doubt => {
                let sequence = planned.record().sequence();
                self.fail(RollError::OutcomeUnknown { sequence });
            }
            _ => self.fail(error),
        }
    }
}
