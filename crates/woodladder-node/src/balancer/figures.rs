//! Figures of the balancer's process.

use woodladder_core::clock::Instant;
use woodladder_core::flow::balancer::Balancer;

use crate::metrics::{MetricsText, count, wide};

use super::BalancerNode;
use crate::carrier::Carrier;

impl<C: Carrier + 'static> BalancerNode<C> {
    /// Figures in the text format that scrapers read.
    #[must_use]
    pub fn metrics(&self) -> String {
        let now = self.clock.now();
        let core = self.core.borrow();
        let counters = core.counters();
        let recorded = core.record_counters();
        let restored = core.restore_totals();
        let (answers, refusals, failures) = self.contact.totals();
        let mut text = MetricsText::default();
        for (name, help, value) in [
            (
                "caller_packets_total",
                "Packets of callers.",
                counters.caller_packets,
            ),
            (
                "flows_opened_total",
                "Openings sent to a first target.",
                counters.flows_opened,
            ),
            (
                "flows_reopened_total",
                "Openings sent to a further target.",
                counters.flows_reopened,
            ),
            (
                "established_packets_total",
                "Packets of flows in the table.",
                counters.established_packets,
            ),
            (
                "searched_packets_total",
                "Packets of flows searched for.",
                counters.searched_packets,
            ),
            (
                "returned_packets_total",
                "Packets that agents gave back.",
                counters.returned_packets,
            ),
            (
                "resets_no_route_total",
                "Resets without a route.",
                counters.reset_no_route,
            ),
            (
                "resets_no_target_total",
                "Resets without a target.",
                counters.reset_no_target,
            ),
            (
                "resets_target_ended_total",
                "Resets after a target's end.",
                counters.reset_target_ended,
            ),
            (
                "resets_held_nowhere_total",
                "Resets of flows held nowhere.",
                counters.reset_held_nowhere,
            ),
            (
                "resets_holder_denied_total",
                "Resets of recorded flows that their target does not hold.",
                counters.reset_holder_denied,
            ),
            (
                "flow_record_writes_total",
                "Records of flows written to the store.",
                recorded.writes,
            ),
            (
                "restored_flows_total",
                "Flows in the record that was read at the start.",
                restored.recorded,
            ),
            (
                "restored_flows_held_total",
                "Recorded flows that their target holds.",
                restored.held,
            ),
            (
                "restored_flows_denied_total",
                "Recorded flows that their agent has denied.",
                restored.denied,
            ),
            (
                "restored_flows_superseded_total",
                "Recorded flows that were opened anew meanwhile.",
                restored.superseded,
            ),
            (
                "restored_flows_unproven_total",
                "Recorded flows dropped without a proof of what became of them.",
                restored.unproven,
            ),
            (
                "relayed_packets_total",
                "Packets handed to larger balancers.",
                counters.relayed_packets,
            ),
            (
                "taken_over_packets_total",
                "Packets that smaller balancers have handed on.",
                counters.relayed_packets_received,
            ),
            (
                "searches_by_list_total",
                "Searches that began with agents that tell the flow.",
                counters.searches_by_list,
            ),
            (
                "flows_located_by_list_total",
                "Flows found at an agent that had told them.",
                counters.flows_located_by_list,
            ),
            (
                "flows_located_by_question_total",
                "Flows found by questions to all agents.",
                counters.flows_located_by_query,
            ),
            (
                "search_questions_total",
                "Questions about unknown flows sent to agents.",
                counters.search_queries,
            ),
            (
                "search_questions_put_off_total",
                "Questions about one flow put off to spare the processor.",
                counters.search_queries_deferred,
            ),
            (
                "flow_lists_asked_total",
                "Lists of flows asked for.",
                counters.flow_lists_requested,
            ),
            (
                "agent_probes_total",
                "Questions to agents that left something unanswered.",
                counters.agent_probes,
            ),
            (
                "search_packets_total",
                "Packets handed to agents that could not tell without one.",
                counters.search_packets,
            ),
            (
                "openings_put_off_for_link_total",
                "Openings that waited because enough flows shared the link.",
                counters.openings_deferred_for_link,
            ),
            (
                "openings_refused_for_link_total",
                "Openings whose turn on the link came too late.",
                counters.openings_refused_for_link,
            ),
            (
                "dropped_packets_total",
                "Packets dropped by decision.",
                counters.dropped_packets,
            ),
            (
                "refused_packets_total",
                "Datagrams that cannot be read.",
                self.refused_packets.get() + self.peers.unreadable(),
            ),
            (
                "store_answers_total",
                "Calls that the store answered.",
                answers,
            ),
            (
                "store_refusals_total",
                "Calls that the store refused.",
                refusals,
            ),
            ("store_failures_total", "Calls without an answer.", failures),
        ] {
            text.counter(name, help, value);
        }
        text.counters(
            "promises_broken_total",
            "Promises broken, by kind; milliseconds for those about a wait.",
            "promise",
            core.broken_promises().by_name(),
        );
        text.counters(
            "store_calls_total",
            "Calls to the store.",
            "kind",
            self.contact.calls(),
        );
        self.peers.figures(&mut text);
        if let Some(age) = core.confirmation_age(now) {
            text.gauge(
                "configuration_confirmed_seconds",
                "Time since the store confirmed the configuration to any balancer heard of.",
                age.as_secs_f64(),
            );
        }
        let watches = core.store_watch_wait(now).is_some();
        text.gauge(
            "watches_store",
            "Whether the node calls the store.",
            if watches { 1.0 } else { 0.0 },
        );
        text.mechanisms(core.mechanisms());
        self.link_figures(&core, now, &mut text);
        text.gauge(
            "flow_record_flows",
            "Flows in the last record written.",
            wide(recorded.last_record_flows),
        );
        text.gauge(
            "flow_record_bytes",
            "Bytes of the last record written.",
            wide(recorded.last_record_bytes),
        );
        text.gauge(
            "restored_record_age_ms",
            "Age of the record that was read at the start.",
            wide(recorded.restored_record_age_ms),
        );
        text.gauge("flows", "Flows in the table.", count(core.flow_count()));
        text.gauge(
            "openings_waiting",
            "Openings that wait for a target.",
            count(core.waiting_opening_count()),
        );
        text.gauge("agents", "Agents known.", count(core.directory().len()));
        text.gauge(
            "agents_live",
            "Agents heard lately.",
            count(core.directory().live_count(now)),
        );
        text.gauge(
            "balancers",
            "Other balancers known.",
            count(core.peers().len()),
        );
        text.gauge(
            "configuration_version",
            "Version in force.",
            wide(core.routes().version()),
        );
        text.gauge(
            "zones_excluded",
            "Zones whose targets take no new flows.",
            count(core.excluded_zones().zones.len()),
        );
        let ready = if core.check_ready(now).is_ok() {
            1.0
        } else {
            0.0
        };
        text.gauge("ready", "Whether the node is ready.", ready);
        text.finish()
    }

    fn link_figures(&self, core: &Balancer, now: Instant, text: &mut MetricsText) {
        if let Some(link) = core.paced_link() {
            let (incoming, outgoing) = link.used_kbps(now);
            for (name, help, value) in [
                (
                    "link_rate_kbps",
                    "Rate of the link in each direction.",
                    u64::from(link.rate_kbps()),
                ),
                (
                    "link_in_kbps",
                    "Use of the link by what comes, over a second.",
                    incoming,
                ),
                (
                    "link_out_kbps",
                    "Use of the link by what leaves, over a second.",
                    outgoing,
                ),
            ] {
                text.gauge(name, help, wide(value));
            }
            text.gauge(
                "link_bulk_flows",
                "Flows of routes that bring many bytes under way.",
                count(link.active_bulk_flows()),
            );
            text.gauge(
                "link_openings_waiting",
                "Openings that wait for the link.",
                count(link.openings_waiting()),
            );
        }
        if let Some(queue) = &self.outgoing {
            let totals = queue.totals();
            text.gauge(
                "link_queue_bytes",
                "Bytes that wait to leave.",
                count(queue.queued_bytes()),
            );
            text.counter(
                "link_queued_total",
                "Datagrams that waited to leave.",
                totals.queued,
            );
            text.counters(
                "link_dropped_total",
                "Datagrams dropped before the link.",
                "reason",
                [("late", totals.dropped_late), ("full", totals.dropped_full)],
            );
        }
    }
}
