//! Messages from agents and other balancers, and the work done at each tick.

use std::time::Duration;

use super::super::directory::DirectoryChange;
use super::super::identity::{NodeAddress, ServiceKey};
use super::super::log_event::LogEvent;
use super::super::message::{PeerMessage, ReturnReason, TargetReport};
use super::super::packet::{FlowPacket, PacketKind};
use super::{Acceptance, Balancer, BalancerAction, STALL_THRESHOLD, Stage};
use crate::clock::Instant;

/// Time between ticks while openings, searches or unanswered agents depend on the next
/// one.
const SHORT_TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Time between ticks while new queries are collected, so that queries about several
/// flows share a message.
const QUERY_BATCH_TICK_INTERVAL: Duration = Duration::from_millis(4);
/// Time between ticks while no opening, search or unanswered agent depends on the next
/// one.
const LONG_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of acceptances kept for one opening.
const MAXIMUM_ACCEPTANCES: usize = 4;

impl Balancer {
    /// Handles a message from another node. `packet` is the packet that followed the
    /// message, if any: parsed, and as bytes.
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
            PeerMessage::Report(report) => self.handle_report(from, &report, now, actions),
            PeerMessage::ReportWithFlows { report, flows } => {
                self.handle_report(from, &report, now, actions);
                self.flow_index.apply_statement(from, report.epoch, &flows);
            }
            PeerMessage::FlowList(part) => self.flow_index.add_list_part(from, part),
            PeerMessage::Returned {
                reason,
                load,
                version,
                excluded_zones,
            } => {
                self.adopt_excluded_zones(&excluded_zones, Some(from));
                self.directory.update_load(from, load, now);
                self.directory.record_version(from, version);
                if let Some(zone) = self.directory.agent(from).map(|record| record.zone) {
                    self.handle_version(from, zone, version, now, actions);
                }
                if let Some((packet, bytes)) = packet {
                    self.handle_returned_packet(from, reason, packet, bytes, now, actions);
                }
            }
            PeerMessage::NotHeld { keys } => self.handle_denial(from, &keys, now, actions),
            PeerMessage::RecordedNotHeld { incarnation, keys } => {
                self.handle_recorded_denial(from, incarnation, &keys, actions);
            }
            PeerMessage::MayBeHeld { keys } => self.handle_undecided(from, &keys, now, actions),
            PeerMessage::Accepted {
                key,
                sequence,
                incarnation,
                load,
            } => {
                self.directory.update_load(from, load, now);
                let Some(service) = self.service_of(from, &key) else {
                    return;
                };
                let acceptance = Acceptance {
                    agent: from,
                    service,
                    sequence,
                    incarnation,
                    heartbeat: load.last_heartbeat,
                };
                self.handle_acceptance(key, acceptance);
            }
            PeerMessage::Queued { key, load } => {
                self.directory.update_load(from, load, now);
                self.handle_queued_opening(from, &key);
            }
            PeerMessage::Located {
                key,
                incarnation,
                heartbeat,
            } => {
                self.handle_located(from, key, incarnation, heartbeat, now, actions);
            }
            PeerMessage::Relay => {
                if let Some((packet, bytes)) = packet {
                    self.counters.relayed_packets_received += 1;
                    self.route_relayed_packet(packet, bytes, now, actions);
                }
            }
            PeerMessage::TargetEnded { epoch } => {
                self.handle_target_ended(from, epoch, now, actions);
            }
            PeerMessage::AgentStops { epoch } => self.handle_agent_stop(from, epoch, now),
            PeerMessage::TargetLeaves { incarnation } => {
                self.directory.record_leaving(from, incarnation);
            }
            PeerMessage::Hello(hello) => self.handle_hello(from, &hello, now, actions),
            PeerMessage::Forward(_)
            | PeerMessage::Locate { .. }
            | PeerMessage::LocateRecorded { .. }
            | PeerMessage::Probe
            | PeerMessage::ListFlows => {
                self.counters.dropped_packets += 1;
            }
        }
    }

    fn handle_report(
        &mut self,
        from: NodeAddress,
        report: &TargetReport,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        self.detect_return_of_contact(from, now, actions);
        let mut changes = Vec::new();
        self.directory.apply_report(from, report, now, &mut changes);
        self.last_agent_heard_at = Some(now);
        let is_found = changes.contains(&DirectoryChange::Found(from));
        self.apply_directory_changes(changes, now, actions);
        self.handle_recorded_agent_report(from, report, now, actions);
        if !is_found {
            self.correct_report_interval(from, report, now, actions);
        }
        self.handle_version(from, report.zone, report.version, now, actions);
        self.remind_of_leaving(from, report, actions);
    }

    /// Tells an agent that its target leaves, if the agent had said so before it started
    /// again and now reports the target as ready or another start in its place.
    fn remind_of_leaving(
        &mut self,
        agent: NodeAddress,
        report: &TargetReport,
        actions: &mut Vec<BalancerAction>,
    ) {
        if let Some(incarnation) = self.directory.take_leaving_reminder(agent, report) {
            actions.push(BalancerAction::Send {
                to: agent,
                message: PeerMessage::TargetLeaves { incarnation },
            });
        }
    }

    fn handle_returned_packet(
        &mut self,
        from: NodeAddress,
        reason: ReturnReason,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        self.counters.returned_packets += 1;
        self.log_events.add(LogEvent::PacketReturned {
            key: packet.key,
            agent: from,
            reason,
        });
        if packet.kind == PacketKind::Open {
            self.handle_returned_opening(from, packet, bytes, reason, now, actions);
            return;
        }
        let is_denied = reason == ReturnReason::NotHeld;
        if !(is_denied && self.reset_if_recorded_here(from, packet.key, actions)) {
            self.handle_packet_not_held(from, packet, bytes, now, actions);
        }
    }

    /// The service of an agent, or of the flow if the agent is not known; `None` if neither
    /// is.
    fn service_of(&self, agent: NodeAddress, key: &super::FlowKey) -> Option<ServiceKey> {
        let record = self.directory.agent(agent);
        let known = record.map(|record| record.service);
        known.or_else(|| self.flows.peek(key).map(|entry| entry.service))
    }

    fn handle_acceptance(&mut self, key: super::FlowKey, acceptance: Acceptance) {
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

    /// Maximum time from one tick to the next in the present state. Events may shorten
    /// this time.
    #[must_use]
    pub fn tick_interval(&self) -> Duration {
        let is_waited_for = !self.waiting_openings.is_empty()
            || self.has_openings_waiting_for_link()
            || !self.searched_flows.is_empty()
            || !self.named_agents.is_empty()
            || self.directory.is_probing_any();
        match (self.unqueried_flows.is_empty(), is_waited_for) {
            (false, _) => QUERY_BATCH_TICK_INTERVAL,
            (true, true) => SHORT_TICK_INTERVAL,
            (true, false) => LONG_TICK_INTERVAL,
        }
    }

    /// Does the periodic work. The shell calls `tick` again after
    /// [`Self::tick_interval`].
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        self.detect_stall(now);
        self.flows.tick(now);
        self.routes.tick(self.options.flow_lifetime, now);
        let mut changes = Vec::new();
        let absence_limit = self.stopped_agent_absence_limit();
        self.directory.tick(absence_limit, now, &mut changes);
        self.apply_directory_changes(changes, now, actions);
        self.zone_members.tick(now);
        self.update_relay_receivers(now);
        self.update_relaying_members();
        for balancer in self.peers.tick(now) {
            self.log_events.add(LogEvent::BalancerLost { balancer });
        }
        self.request_complete_snapshot(now, actions);
        self.request_route_history(now, actions);
        self.send_named_agent_hellos(now, actions);
        self.send_due_probes(now, actions);
        self.log_store_watch_change(now);
        self.knew_all_agents = self.knows_all_agents(now);
        self.release_openings(now, actions);
        self.offer_waiting_openings(now, actions);
        self.advance_restoring(now, actions);
        self.request_flow_lists(now, actions);
        self.run_query_round(now, actions);
        self.send_due_agent_hellos(now, actions);
        self.send_due_peer_hellos(now, actions);
    }

    fn detect_stall(&mut self, now: Instant) {
        let pause = self.last_tick_at.map_or(Duration::ZERO, |at| now.since(at));
        self.last_tick_at = Some(now);
        if pause >= STALL_THRESHOLD {
            self.stalled_until = Some(now);
            self.directory.restart_silence_timers(now);
            self.peers.restart_silence_timers(now);
            self.zone_members.restart_silence_timers(now);
            self.restart_listening(now);
            self.log_events.add(LogEvent::Stalled { duration: pause });
        }
    }
}
