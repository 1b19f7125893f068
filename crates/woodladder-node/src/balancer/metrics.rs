//! Metrics of the balancer process.

use woodladder_core::clock::Instant;
use woodladder_core::flow::absence::AbsenceEvidence;
use woodladder_core::flow::balancer::Balancer;

use crate::metrics::{MetricsText, count_as_f64, u64_as_f64};

use super::BalancerNode;
use crate::packet_codec::PacketCodec;

impl<C: PacketCodec + 'static> BalancerNode<C> {
    /// Returns the metrics in the Prometheus text format.
    #[must_use]
    pub fn metrics(&self) -> String {
        let now = self.clock.now();
        let core = self.core.borrow();
        let counters = core.counters();
        let recorded = core.flow_record_counters();
        let restored = core.restore_totals();
        let (answers, refusals, failures) = self.store_stats.totals();
        let mut text = MetricsText::default();
        for (name, help, value) in [
            (
                "caller_packets_total",
                "Packets received from callers.",
                counters.caller_packets,
            ),
            (
                "flows_opened_total",
                "Openings sent to a target for the first time.",
                counters.flows_opened,
            ),
            (
                "flows_reopened_total",
                "Openings sent again, to another target.",
                counters.flows_reopened,
            ),
            (
                "established_packets_total",
                "Packets whose flow was in the flow table.",
                counters.established_packets,
            ),
            (
                "searched_packets_total",
                "Packets whose flow had to be searched for.",
                counters.searched_packets,
            ),
            (
                "returned_packets_total",
                "Packets that agents returned.",
                counters.returned_packets,
            ),
            (
                "resets_no_route_total",
                "Resets because no route matched.",
                counters.reset_no_route,
            ),
            (
                "resets_no_target_total",
                "Resets because no target was available.",
                counters.reset_no_target,
            ),
            (
                "resets_target_ended_total",
                "Resets because the target had ended.",
                counters.reset_target_ended,
            ),
            (
                "resets_held_nowhere_total",
                "Resets because no target holds the flow.",
                counters.reset_held_nowhere,
            ),
            (
                "resets_holder_denied_total",
                "Resets because the recorded target does not hold the flow.",
                counters.reset_holder_denied,
            ),
            (
                "store_watches_abandoned_total",
                "Watches of the store that were given up because no balancer had an answer of the store for too long.",
                counters.store_watches_abandoned,
            ),
            (
                "flow_record_writes_total",
                "Flow records written to the store.",
                recorded.writes,
            ),
            (
                "restored_flows_total",
                "Flows in the flow record that was read at startup.",
                restored.recorded,
            ),
            (
                "restored_flows_held_total",
                "Recorded flows that their target still holds.",
                restored.held,
            ),
            (
                "restored_flows_denied_total",
                "Recorded flows whose agent replied that the target does not hold them.",
                restored.denied,
            ),
            (
                "restored_flows_superseded_total",
                "Recorded flows that have been opened again since.",
                restored.superseded,
            ),
            (
                "restored_flows_unproven_total",
                "Recorded flows dropped although it is not known whether a target holds them.",
                restored.unproven,
            ),
            (
                "relayed_packets_total",
                "Packets relayed to balancers with at least four times the usable CPU of this balancer.",
                counters.relayed_packets,
            ),
            (
                "taken_over_packets_total",
                "Relayed packets received from other balancers.",
                counters.relayed_packets_received,
            ),
            (
                "searches_by_list_total",
                "Searches that began with agents that had announced the flow.",
                counters.searches_by_list,
            ),
            (
                "flows_located_by_list_total",
                "Flows found at an agent that had announced them.",
                counters.flows_located_by_list,
            ),
            (
                "flows_located_by_question_total",
                "Flows found by queries to all agents.",
                counters.flows_located_by_query,
            ),
            (
                "search_questions_total",
                "Queries about unknown flows sent to agents.",
                counters.search_queries,
            ),
            (
                "search_questions_put_off_total",
                "Queries about single flows deferred to save CPU time.",
                counters.search_queries_deferred,
            ),
            (
                "flow_lists_asked_total",
                "Flow lists requested from agents.",
                counters.flow_lists_requested,
            ),
            (
                "agent_probes_total",
                "Probes sent to agents that have not answered a packet or a query, or that the flow record read at startup names.",
                counters.agent_probes,
            ),
            (
                "search_packets_total",
                "Packets of searched flows sent to agents that need a packet to determine whether their target holds the flow, or to the agent that holds the flow.",
                counters.search_packets,
            ),
            (
                "openings_put_off_for_link_total",
                "Openings deferred because enough bulk flows shared the link.",
                counters.openings_deferred_for_link,
            ),
            (
                "openings_refused_for_link_total",
                "Openings refused because their turn on the link came too late.",
                counters.openings_refused_for_link,
            ),
            (
                "dropped_packets_total",
                "Packets dropped by a decision of the balancer.",
                counters.dropped_packets,
            ),
            (
                "refused_packets_total",
                "Datagrams rejected because they cannot be decoded.",
                self.refused_packets.get() + self.peers.unreadable_datagrams(),
            ),
            (
                "store_answers_total",
                "Calls to the store that were answered.",
                answers,
            ),
            (
                "store_refusals_total",
                "Calls to the store that were refused.",
                refusals,
            ),
            (
                "store_failures_total",
                "Calls to the store that got no usable response.",
                failures,
            ),
        ] {
            text.add_counter(name, help, value);
        }
        let resets_by_evidence =
            std::array::from_fn::<_, { AbsenceEvidence::KINDS.len() }, _>(|kind| {
                (
                    AbsenceEvidence::KINDS[kind],
                    counters.resets_by_evidence[kind],
                )
            });
        text.add_counters(
            "open_flow_resets_total",
            "Resets of flows that may have been open, by the kind of evidence that no target holds the flow.",
            "evidence",
            resets_by_evidence,
        );
        text.add_counters(
            "promises_broken_total",
            "Broken promises, by kind: occurrences, or milliseconds for a kind whose name ends in _ms.",
            "promise",
            core.broken_promises().by_name(),
        );
        text.add_counters(
            "store_calls_total",
            "Calls to the store, by kind.",
            "kind",
            self.store_stats.calls_by_kind(),
        );
        self.peers.add_metrics(&mut text);
        if let Some(age) = core.confirmation_age(now) {
            text.add_gauge(
                "configuration_confirmed_seconds",
                "Time since the store last confirmed the configuration, to this balancer or to another from which this balancer has received a message.",
                age.as_secs_f64(),
            );
        }
        if let Some(wait) = self.store_stats.watch_wait(now) {
            text.add_gauge(
                "store_watch_waiting_seconds",
                "Time for which the watch of the configuration has been waiting for an answer of the store.",
                wait.as_secs_f64(),
            );
        }
        let watches_store = core.watches_store(now);
        text.add_gauge(
            "watches_store",
            "1 when the balancer watches the store, otherwise 0.",
            if watches_store { 1.0 } else { 0.0 },
        );
        text.add_mechanisms(core.mechanisms());
        self.add_link_metrics(&core, now, &mut text);
        text.add_gauge(
            "flow_record_flows",
            "Flows in the last flow record that was written.",
            u64_as_f64(recorded.last_record_flows),
        );
        text.add_gauge(
            "flow_record_bytes",
            "Size of the last flow record that was written, in bytes.",
            u64_as_f64(recorded.last_record_bytes),
        );
        text.add_gauge(
            "restored_record_age_ms",
            "Age of the flow record that was read at startup, in milliseconds.",
            u64_as_f64(recorded.restored_record_age_ms),
        );
        text.add_gauge(
            "flows",
            "Flows in the flow table.",
            count_as_f64(core.flow_count()),
        );
        text.add_gauge(
            "openings_waiting",
            "Openings that wait for a target.",
            count_as_f64(core.waiting_opening_count()),
        );
        text.add_gauge(
            "agents",
            "Agents in the directory.",
            count_as_f64(core.directory().len()),
        );
        text.add_gauge(
            "agents_live",
            "Agents in the directory from which a message has arrived recently.",
            count_as_f64(core.directory().live_count(now)),
        );
        text.add_gauge(
            "balancers",
            "Other balancers in the table of this balancer.",
            count_as_f64(core.peers().len()),
        );
        text.add_gauge(
            "configuration_version",
            "Configuration version in force.",
            u64_as_f64(core.routes().version()),
        );
        text.add_gauge(
            "zones_excluded",
            "Zones whose targets get no new flows.",
            count_as_f64(core.excluded_zones().zones.len()),
        );
        let ready = if core.check_ready(now).is_ok() {
            1.0
        } else {
            0.0
        };
        text.add_gauge("ready", "1 when the balancer is ready, otherwise 0.", ready);
        text.finish()
    }

    fn add_link_metrics(&self, core: &Balancer, now: Instant, text: &mut MetricsText) {
        if let Some(link) = core.paced_link() {
            let (incoming_kbps, outgoing_kbps) = link.used_kbps(now);
            for (name, help, value) in [
                (
                    "link_rate_kbps",
                    "Rate of the network link in each direction, in kilobits per second.",
                    u64::from(link.rate_kbps()),
                ),
                (
                    "link_in_kbps",
                    "Received traffic over the last second, in kilobits per second.",
                    incoming_kbps,
                ),
                (
                    "link_out_kbps",
                    "Sent traffic over the last second, in kilobits per second.",
                    outgoing_kbps,
                ),
            ] {
                text.add_gauge(name, help, u64_as_f64(value));
            }
            text.add_gauge(
                "link_bulk_flows",
                "Active flows of bulk routes.",
                count_as_f64(link.active_bulk_flows()),
            );
            text.add_gauge(
                "link_openings_waiting",
                "Openings that wait for the link.",
                count_as_f64(link.queued_openings()),
            );
        }
        if let Some(queue) = &self.outgoing_queue {
            let totals = queue.totals();
            text.add_gauge(
                "link_queue_bytes",
                "Bytes of datagrams in the outgoing queue.",
                count_as_f64(queue.queued_bytes()),
            );
            text.add_counter(
                "link_queued_total",
                "Datagrams that waited in the outgoing queue.",
                totals.queued,
            );
            text.add_counters(
                "link_dropped_total",
                "Datagrams dropped from the outgoing queue, by reason.",
                "reason",
                [("late", totals.dropped_late), ("full", totals.dropped_full)],
            );
        }
    }
}
