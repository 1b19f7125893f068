//! Messages of agents and balancers, and what is due with time.

use std::time::Duration;

use super::super::directory::DirectoryChange;
use super::super::identity::NodeAddress;
use super::super::log_event::LogEvent;
use super::super::message::{PeerMessage, ReturnReason, TargetReport};
use super::super::packet::{FlowPacket, PacketKind};
use super::{Acceptance, Balancer, BalancerAction, STALL, Stage};
use crate::clock::Instant;

/// Time between ticks while something waits for one.
const SHORT_TICK: Duration = Duration::from_millis(25);
/// Time between ticks while questions about unknown flows are gathered.
const GATHERING_TICK: Duration = Duration::from_millis(4);
/// Time between ticks while nothing does.
const LONG_TICK: Duration = Duration::from_millis(50);
/// Acceptances remembered for one opening.
const MAXIMUM_ACCEPTANCES: usize = 4;

impl Balancer {
    /// Takes a message in. `packet` is the packet behind it as the shell read
    /// it, with its bytes.
    pub fn handle_message(
        &mut self,
        from: NodeAddress,
        message: PeerMessage,
        packet: Option<(&FlowPacket, &[u8])>,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        self.directory.record_contact(from, now);
        match message {
            PeerMessage::Report(report) => self.reported(from, &report, now, actions),
            PeerMessage::ReportWithFlows { report, flows } => {
                self.reported(from, &report, now, actions);
                self.flow_index.apply_statement(from, report.epoch, &flows);
            }
            PeerMessage::FlowList(part) => self.flow_index.add_list_part(from, part),
            PeerMessage::Returned {
                reason,
                load,
                version,
                excluded_zones,
            } => {
                self.adopt_zones(&excluded_zones, Some(from));
                self.directory.update_load(from, load, now);
                if let Some(zone) = self.directory.agent(from).map(|record| record.zone) {
                    self.learn_version(from, zone, version, now, actions);
                }
                if let Some((packet, bytes)) = packet {
                    self.returned(from, reason, packet, bytes, now, actions);
                }
            }
            PeerMessage::NotHeld { keys } => self.denied(from, &keys, now, actions),
            PeerMessage::RecordedNotHeld { incarnation, keys } => {
                self.recorded_not_held(from, incarnation, &keys, actions);
            }
            PeerMessage::MayBeHeld { keys } => self.undecided(from, &keys, now, actions),
            PeerMessage::Accepted {
                key,
                sequence,
                incarnation,
                load,
            } => {
                self.directory.update_load(from, load, now);
                let acceptance = Acceptance {
                    agent: from,
                    sequence,
                    incarnation,
                    heartbeat: load.last_heartbeat,
                };
                self.accepted(key, acceptance);
            }
            PeerMessage::Queued { key, load } => {
                self.directory.update_load(from, load, now);
                self.opening_queued(from, &key);
            }
            PeerMessage::Located {
                key,
                incarnation,
                heartbeat,
            } => {
                self.located(from, key, incarnation, heartbeat, now, actions);
            }
            PeerMessage::Relay => {
                if let Some((packet, bytes)) = packet {
                    self.counters.relayed_packets_received += 1;
                    self.relayed(packet, bytes, now, actions);
                }
            }
            PeerMessage::TargetEnded => self.agent_ended(from, actions),
            PeerMessage::Hello(greeting) => self.greeted(from, &greeting, now, actions),
            PeerMessage::Forward(_)
            | PeerMessage::Locate { .. }
            | PeerMessage::LocateRecorded { .. }
            | PeerMessage::Probe
            | PeerMessage::ListFlows => {
                self.counters.dropped_packets += 1;
            }
        }
    }

    fn reported(
        &mut self,
        from: NodeAddress,
        report: &TargetReport,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        self.notice_return(from, now, actions);
        let mut changes = Vec::new();
        self.directory.apply_report(from, report, now, &mut changes);
        self.last_agent_heard = Some(now);
        let is_found = changes.contains(&DirectoryChange::Found(from));
        self.apply(changes, now, actions);
        self.recorded_agent_heard(from, report, now, actions);
        if !is_found {
            self.correct_report_interval(from, report, now, actions);
        }
        self.learn_version(from, report.zone, report.version, now, actions);
    }

    fn agent_ended(&mut self, agent: NodeAddress, actions: &mut Vec<BalancerAction>) {
        self.named_agents.remove(&agent);
        self.flow_index.remove_agent(agent);
        if self.directory.remove(agent) {
            let flows = self.reset_flows_of(agent, None, actions)
                + self.recorded_agent_ended(agent, actions);
            self.notes.add(LogEvent::AgentStopped { agent, flows });
        }
    }

    fn returned(
        &mut self,
        from: NodeAddress,
        reason: ReturnReason,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        self.counters.returned_packets += 1;
        self.notes.add(LogEvent::PacketReturned {
            key: packet.key,
            agent: from,
            reason,
        });
        if packet.kind == PacketKind::Open {
            self.opening_returned(from, packet, bytes, reason, now, actions);
            return;
        }
        let is_denied = reason == ReturnReason::NotHeld;
        if !(is_denied && self.reset_recorded(from, packet.key, actions)) {
            self.held_elsewhere(from, packet, bytes, now, actions);
        }
    }

    fn accepted(&mut self, key: super::FlowKey, acceptance: Acceptance) {
        let Some(entry) = self.flows.touch(&key) else {
            return;
        };
        match &mut entry.stage {
            Stage::Opening { accepted, .. } => {
                accepted.retain(|known| known.agent != acceptance.agent);
                if accepted.len() < MAXIMUM_ACCEPTANCES {
                    accepted.push(acceptance);
                }
            }
            Stage::Held {
                agent,
                incarnation,
                heartbeat,
                ..
            } if *agent == acceptance.agent => {
                *incarnation = acceptance.incarnation;
                *heartbeat = acceptance.heartbeat;
            }
            _ => {}
        }
    }

    /// Longest time from one tick to the next as things stand. Events may
    /// shorten it.
    #[must_use]
    pub fn tick_interval(&self) -> Duration {
        let is_waited_for = !self.waiting.is_empty()
            || self.has_openings_waiting_for_link()
            || !self.searching.is_empty()
            || !self.named_agents.is_empty()
            || self.directory.is_probing_any();
        match (self.unasked.is_empty(), is_waited_for) {
            (false, _) => GATHERING_TICK,
            (true, true) => SHORT_TICK,
            (true, false) => LONG_TICK,
        }
    }

    /// Does what is due; to be called again after [`Self::tick_interval`].
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        self.notice_stall(now);
        self.flows.tick(now);
        let mut changes = Vec::new();
        self.directory.tick(now, &mut changes);
        self.apply(changes, now, actions);
        self.zone_members.tick(now);
        self.choose_relay_receivers(now);
        self.find_relaying_members();
        for balancer in self.peers.tick(now) {
            self.notes.add(LogEvent::BalancerLost { balancer });
        }
        self.seek_complete_snapshot(now, actions);
        self.greet_named_agents(now, actions);
        self.ask_doubted_agents(now, actions);
        self.note_store_duty(now);
        self.was_complete = self.knows_all_agents(now);
        self.release_openings(now, actions);
        self.serve_waiting(now, actions);
        self.pursue_recorded_flows(now, actions);
        self.ask_for_lists(now, actions);
        self.pursue_searches(now, actions);
        self.greet_agents(now, actions);
        self.greet_peers(now, actions);
    }

    fn notice_stall(&mut self, now: Instant) {
        let pause = self.ticked_at.map_or(Duration::ZERO, |at| now.since(at));
        self.ticked_at = Some(now);
        if pause >= STALL {
            self.directory.restart_silence_timers(now);
            self.peers.restart_silence_timers(now);
            self.zone_members.restart_silence_timers(now);
            self.listen_anew(now);
            self.notes.add(LogEvent::Stalled { duration: pause });
        }
    }

    fn apply(
        &mut self,
        changes: Vec<DirectoryChange>,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        for change in changes {
            match change {
                DirectoryChange::Found(agent) => {
                    self.agent_found_at = now;
                    self.notes.add(LogEvent::AgentFound { agent });
                    let named = self.named_agents.remove(&agent);
                    match named.and_then(|named| named.greet_again_at) {
                        Some(again_at) => self.directory.set_next_hello(agent, again_at),
                        None => self.greet_agent(agent, now, actions),
                    }
                }
                DirectoryChange::Replaced {
                    agent,
                    ended,
                    last_heard,
                } => {
                    let flows = self.reset_flows_of(agent, Some((ended, last_heard)), actions);
                    self.notes.add(LogEvent::TargetReplaced {
                        agent,
                        ended,
                        flows,
                    });
                }
                DirectoryChange::Lost(agent) => {
                    let record = self.directory.agent(agent);
                    let silence =
                        record.map_or(Duration::ZERO, |record| now.since(record.heard_at));
                    let unanswered_for =
                        record.map_or(Duration::ZERO, |record| record.unanswered_for(now));
                    let flows = self.reset_flows_of(agent, None, actions);
                    self.notes.add(LogEvent::AgentLost {
                        agent,
                        silence,
                        unanswered_for,
                        flows,
                    });
                }
                DirectoryChange::Forgotten(agent) => self.flow_index.remove_agent(agent),
            }
        }
    }
}
