//! What the roll command makes of the key-value service's answers.

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

const FIRST_PAUSE: Duration = Duration::from_millis(200);
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
const LONGEST_PAUSE_STEPS: u32 = 5;

impl RollCommand {
    /// Takes an answer. An answer to an earlier request counts only when it
    /// says that the swap took effect.
    pub(super) fn handle_answer(
        &mut self,
        request: StoreRequestId,
        answer: &StoreAnswer,
        now: Instant,
    ) {
        let is_swap = self.swaps.contains(&request);
        let undecided = matches!(self.stage, Stage::Swap | Stage::Confirm);
        if is_swap && undecided && *answer == StoreAnswer::Written {
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
            (Stage::ReadCurrent, _) => self.take_current(answer, now),
            (Stage::ReadSnapshot(digest), _) => self.take_snapshot(digest, answer, now),
            (Stage::WriteCopy { .. }, StoreAnswer::Written) => self.go_on(Stage::Swap, now),
            (Stage::WriteCopy { .. }, _) => self.go_on(Stage::CheckCopy, now),
            (Stage::CheckCopy, _) => self.check_copy(answer, now),
            (Stage::Swap, _) => {
                self.refused = true;
                self.confirming_since.get_or_insert(now);
                self.go_on(Stage::Confirm, now);
            }
            (Stage::Confirm, _) => self.confirm(answer, now),
            (Stage::Rollout | Stage::Finished, _) => {}
        }
    }

    /// A request failed or went without an answer.
    pub(super) fn handle_failure(&mut self, answer: &StoreAnswer, now: Instant) {
        self.outstanding = None;
        if self.stage == Stage::Swap && *answer == StoreAnswer::Unknown {
            self.in_doubt = true;
            self.confirming_since.get_or_insert(now);
        }
        if self.stage == Stage::Swap && self.in_doubt {
            self.stage = Stage::Confirm;
        }
        let asked_to_wait = match answer {
            StoreAnswer::RateLimited { retry_after } => retry_after.unwrap_or_default(),
            _ => Duration::ZERO,
        };
        let steps = self.failures.min(LONGEST_PAUSE_STEPS);
        self.failures += 1;
        let pause = LONGEST_PAUSE.min(FIRST_PAUSE * 2_u32.pow(steps));
        let jitter = self.random.random_range(0.5..1.5);
        self.retry_at = now + pause.mul_f64(jitter).max(asked_to_wait);
    }

    pub(super) fn go_on(&mut self, stage: Stage, now: Instant) {
        self.outstanding = None;
        self.stage = stage;
        self.retry_at = now;
    }

    fn take_current(&mut self, answer: &StoreAnswer, now: Instant) {
        let StoreAnswer::Value { index, value } = answer else {
            self.expected = StoreIndex::default();
            self.plan(None, now);
            return;
        };
        match read_stored(value, &self.request.trusted) {
            Ok(stored) => {
                self.expected = *index;
                let digest = stored.record.statement.snapshot_digest;
                self.previous = Some(stored);
                self.go_on(Stage::ReadSnapshot(digest), now);
            }
            Err(error) => self.fail(error),
        }
    }

    fn take_snapshot(&mut self, digest: Digest, answer: &StoreAnswer, now: Instant) {
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
                self.go_on(Stage::WriteCopy { expected }, now);
            }
            Err(error) => self.fail(error),
        }
    }

    /// Something is stored under the copy's key already: the copy itself, or
    /// damaged bytes that are to be replaced.
    fn check_copy(&mut self, answer: &StoreAnswer, now: Instant) {
        let wanted = self.planned.as_ref().map(PlannedRoll::digest);
        match answer {
            StoreAnswer::Value { value, .. } if Some(Digest::of(value)) == wanted => {
                self.go_on(Stage::Swap, now);
            }
            StoreAnswer::Value { index, .. } => {
                self.go_on(Stage::WriteCopy { expected: *index }, now);
            }
            _ => {
                let expected = StoreIndex::default();
                self.go_on(Stage::WriteCopy { expected }, now);
            }
        }
    }

    /// The current entry as it is after a swap that was refused or whose
    /// answer was lost.
    fn confirm(&mut self, answer: &StoreAnswer, now: Instant) {
        let StoreAnswer::Value { index, value } = answer else {
            self.confirm_absent(now);
            return;
        };
        let stored = match read_stored(value, &self.request.trusted) {
            Ok(stored) => stored,
            Err(error) => return self.fail_unreadable(error),
        };
        if self.is_own(&stored.record) {
            self.accept(now);
        } else if *index == self.expected {
            self.swap_again(now);
        } else {
            self.fail_to_other(&stored.record);
        }
    }

    fn confirm_absent(&mut self, now: Instant) {
        if self.expected == StoreIndex::default() {
            self.swap_again(now);
        } else {
            self.handle_failure(&StoreAnswer::NotFound, now);
        }
    }

    /// The entry is as it was before the swap. After a refusal that reading is
    /// an old one, so it is read once more.
    fn swap_again(&mut self, now: Instant) {
        if self.refused {
            self.handle_failure(&StoreAnswer::NotFound, now);
        } else {
            self.go_on(Stage::Swap, now);
        }
    }

    fn is_own(&self, record: &RollRecord) -> bool {
        let planned = self.planned.as_ref();
        planned.is_some_and(|planned| planned.record() == record)
    }

    /// Another operator rolled. One sequence has one winner, so the own roll
    /// may have been in force before only if the sequence there is greater.
    fn fail_to_other(&mut self, record: &RollRecord) {
        let planned = self.planned.as_ref();
        let own = planned.map(|planned| planned.record().sequence());
        let overtaken = own.is_some_and(|own| record.sequence() > own);
        self.fail(RollError::LostRace {
            winner: Some(RollSummary::of(record)),
            in_doubt: self.in_doubt && overtaken,
        });
    }

    fn fail_unreadable(&mut self, error: RollError) {
        match &self.planned {
            Some(planned) if self.in_doubt => {
                let sequence = planned.record().sequence();
                self.fail(RollError::OutcomeUnknown { sequence });
            }
            _ => self.fail(error),
        }
    }
}
