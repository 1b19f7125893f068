//! Leavings that a former process of this agent has acknowledged.
//!
//! An agent that has restarted knows neither its target nor whether it leaves, and the
//! first heartbeats that arrive may have been sent long before. So it takes no target for
//! ready until one of these shows that no acknowledged leaving is outstanding:
//!
//! - The leaving record in the store, which holds every leaving that was acknowledged.
//! - Nothing listened at the target's address since the process started, so that every
//!   start which a former process knew has ended.
//!
//! While the store is away, the agent goes by heartbeats after a short wait, and by what
//! balancers remember.

use crate::clock::Instant;
use crate::flow::agent::{Agent, StateCause, Target, TargetEnd};
use crate::flow::identity::Incarnation;
use crate::flow::leaving_record::LeavingStart;
use crate::flow::message::TargetState;
use crate::flow::store_session::{NextCall, StoreReply};

impl Agent {
    /// The store call that is due for the leaving record; to be asked for again after
    /// each event and each reply.
    pub fn next_leaving_record_call(&mut self, now: Instant) -> NextCall {
        let wanted = self.wanted_leaving_record();
        self.leaving_record.next(wanted, now)
    }

    /// Handles the reply to a call for the leaving record.
    pub fn handle_leaving_record_reply(&mut self, reply: StoreReply, now: Instant) {
        let was_known = self.leaving_record.is_known();
        match self.leaving_record.reply(reply, now) {
            Some(start) => self.take_up_former_leaving(start, now),
            None if !was_known && self.leaving_record.is_known() => {
                self.drop_unrecorded_leaving(now);
            }
            None => {}
        }
        self.admit_known_target(now);
    }

    /// Drops a start that only a balancer's memory has shown: the record, which holds every
    /// acknowledged leaving, does not.
    fn drop_unrecorded_leaving(&mut self, now: Instant) {
        let is_only_remembered = self.target.state_cause == StateCause::FormerProcess
            && self.target.last_heartbeat_at.is_none();
        if is_only_remembered {
            let known = self.target.clone();
            self.target = Target::unknown(now);
            self.target.listen_state = known.listen_state;
            self.target.last_packet_at = known.last_packet_at;
            self.is_report_to_all_due = true;
        }
    }

    /// Whether the target's leaving, if it has announced any, is recorded and so may be
    /// acknowledged.
    #[must_use]
    pub fn is_leaving_recorded(&self) -> bool {
        let is_recorded = |start: LeavingStart| self.leaving_record.holds(&start);
        !self.options.records_leavings || self.wanted_leaving_record().is_none_or(is_recorded)
    }

    /// Removes the leaving record before a planned stop, because the target has ended.
    pub fn forget_leaving_of_ended_target(&mut self) {
        self.target.is_leaving_stated = false;
    }

    fn wanted_leaving_record(&self) -> Option<LeavingStart> {
        let target = &self.target;
        let may_run = target.is_leaving_stated && target.end == TargetEnd::NotSeen;
        let incarnation = target.incarnation.filter(|_| may_run)?;
        Some(LeavingStart {
            incarnation,
            instance: target.instance,
            started_at_ms: target.started_at_ms,
        })
    }

    /// Whether the target may be taken for ready, as far as former processes are concerned.
    pub(crate) fn knows_former_leavings(&self, now: Instant) -> bool {
        !self.options.records_leavings
            || self.leaving_record.is_known()
            || self.leaving_record.has_timed_out(now)
    }

    /// Makes a target ready whose newest heartbeat says so, once nothing speaks against it.
    pub(crate) fn admit_known_target(&mut self, now: Instant) {
        let is_waiting = self.target.state == TargetState::Unknown
            && self.target.last_heartbeat_at.is_some()
            && self.knows_former_leavings(now);
        if is_waiting {
            self.set_state(TargetState::Ready, StateCause::Heartbeat, now);
        }
    }

    /// Takes up a leaving that a balancer remembers. Once the record was read, only the
    /// present start can be meant: the record holds every other one.
    pub(crate) fn resume_leaving(&mut self, incarnation: Incarnation, now: Instant) {
        let is_present = self.target.incarnation == Some(incarnation);
        let is_record_missing = self.options.records_leavings && !self.leaving_record.is_known();
        if is_present || is_record_missing {
            let start = LeavingStart {
                incarnation,
                instance: None,
                started_at_ms: None,
            };
            self.take_up_former_leaving(start, now);
        }
    }

    /// Takes up a leaving that a former process of this agent has acknowledged: the start
    /// that leaves is the present one, until something shows that it has ended.
    fn take_up_former_leaving(&mut self, start: LeavingStart, now: Instant) {
        let has_ended = self.target.has_seen_end_of(start.incarnation);
        if has_ended || self.target.is_after(&start) {
            return;
        }
        let is_present = self.target.incarnation == Some(start.incarnation);
        if !is_present {
            self.target = self.target.replaced_by_leaving(&start, now);
        } else if self.target.started_at_ms.is_none() {
            self.target.started_at_ms = start.started_at_ms;
        }
        self.target.is_leaving_stated = true;
        self.set_state(TargetState::Leaving, StateCause::FormerProcess, now);
        self.acknowledge_leaving(start.incarnation, now);
    }
}

impl Target {
    /// Whether this start is known to have begun after another one.
    fn is_after(&self, other: &LeavingStart) -> bool {
        let is_another = self.incarnation.is_some_and(|it| it != other.incarnation);
        let began_later = self
            .started_at_ms
            .zip(other.started_at_ms)
            .is_some_and(|(own, others)| own > others);
        is_another && began_later
    }

    /// The start whose leaving was acknowledged, in place of one that late messages may
    /// have shown.
    fn replaced_by_leaving(&self, start: &LeavingStart, now: Instant) -> Self {
        let mut leaving = Self::unknown(now);
        leaving.incarnation = Some(start.incarnation);
        leaving.instance = start.instance;
        leaving.started_at_ms = start.started_at_ms;
        leaving.slots = self.slots;
        leaving.replaced_starts = self.replaced_starts.clone();
        leaving.listen_state = self.listen_state;
        leaving.last_packet_at = self.last_packet_at;
        leaving
    }
}
