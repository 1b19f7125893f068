//! Figures of the balancer's process.

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
        let (answers, refusals, failures) = self.contact.totals();
        let mut text = MetricsText::default();
        for (name, help, value) in [
            (
                "caller_packets_total",
                "Packets of callers.",
                counters.packets,
            ),
            (
                "flows_opened_total",
                "Openings sent to a first target.",
                counters.opened,
            ),
            (
                "flows_reopened_total",
                "Openings sent to a further target.",
                counters.reopened,
            ),
            (
                "established_packets_total",
                "Packets of flows in the table.",
                counters.established,
            ),
            (
                "searched_packets_total",
                "Packets of flows searched for.",
                counters.searched,
            ),
            (
                "returned_packets_total",
                "Packets that agents gave back.",
                counters.returned,
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
                "relayed_packets_total",
                "Packets handed to larger balancers.",
                counters.relayed,
            ),
            (
                "taken_over_packets_total",
                "Packets that smaller balancers have handed on.",
                counters.taken_over,
            ),
            (
                "searches_by_list_total",
                "Searches that began with agents that tell the flow.",
                counters.searched_by_list,
            ),
            (
                "flows_located_by_list_total",
                "Flows found at an agent that had told them.",
                counters.located_by_list,
            ),
            (
                "flows_located_by_question_total",
                "Flows found by questions to all agents.",
                counters.located_by_question,
            ),
            (
                "search_questions_total",
                "Questions about unknown flows sent to agents.",
                counters.questions,
            ),
            (
                "search_questions_put_off_total",
                "Questions about one flow put off to spare the processor.",
                counters.questions_put_off,
            ),
            (
                "flow_lists_asked_total",
                "Lists of flows asked for.",
                counters.lists_asked,
            ),
            (
                "agent_probes_total",
                "Questions to agents that left something unanswered.",
                counters.probes,
            ),
            (
                "search_packets_total",
                "Packets handed to agents that could not tell without one.",
                counters.search_packets,
            ),
            (
                "dropped_packets_total",
                "Packets dropped by decision.",
                counters.dropped,
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
            "store_calls_total",
            "Calls to the store.",
            "kind",
            self.contact.calls(),
        );
        self.peers.figures(&mut text);
        if let Some(age) = core.confirmed_ago(now) {
            text.gauge(
                "configuration_confirmed_seconds",
                "Time since the store confirmed the configuration to any balancer heard of.",
                age.as_secs_f64(),
            );
        }
        let watches = core.store_watch(now).is_some();
        text.gauge(
            "watches_store",
            "Whether the node calls the store.",
            if watches { 1.0 } else { 0.0 },
        );
        text.mechanisms(core.mechanisms());
        text.gauge("flows", "Flows in the table.", count(core.flow_count()));
        text.gauge(
            "openings_waiting",
            "Openings that wait for a target.",
            count(core.waiting_count()),
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
        let ready = if core.ready(now).is_ok() { 1.0 } else { 0.0 };
        text.gauge("ready", "Whether the node is ready.", ready);
        text.finish()
    }
}
