//! Figures of the agent's process.

use woodladder_core::flow::message::TargetState;

use crate::metrics::{MetricsText, count, wide};

use super::AgentNode;
use crate::carrier::Carrier;

impl<C: Carrier + 'static> AgentNode<C> {
    /// Figures in the text format that scrapers read.
    #[must_use]
    pub fn metrics(&self) -> String {
        let core = self.core.borrow();
        let counters = core.counters();
        let load = core.load();
        let mut text = MetricsText::default();
        for (name, help, value) in [
            (
                "forwarded_packets_total",
                "Packets of balancers.",
                counters.packets_received,
            ),
            (
                "flows_offered_total",
                "Openings handed to the target.",
                counters.openings_offered,
            ),
            (
                "flows_declined_total",
                "Openings given back.",
                counters.openings_declined,
            ),
            (
                "openings_queued_total",
                "Openings that had to wait in the queue.",
                counters.openings_queued,
            ),
            (
                "openings_held_cold_total",
                "Openings given back because the target may be cold.",
                counters.openings_declined_cold,
            ),
            (
                "openings_held_excluded_total",
                "Openings given back because the target's zone is excluded.",
                counters.openings_declined_excluded,
            ),
            (
                "openings_expired_total",
                "Openings given up after the longest wait in the queue.",
                counters.openings_expired,
            ),
            (
                "openings_refused_hopeless_total",
                "Openings given back because they would have been answered too late.",
                counters.openings_declined_late,
            ),
            (
                "requests_held_total",
                "Requests of open flows that had to wait in the queue.",
                counters.requests_queued,
            ),
            (
                "request_copies_dropped_total",
                "Repetitions of packets that waited in the queue.",
                counters.duplicate_packets_dropped,
            ),
            (
                "requests_given_up_total",
                "Requests of open flows dropped from the queue after their timeout.",
                counters.requests_given_up,
            ),
            (
                "requests_released_total",
                "Requests of open flows handed over untimely: the target is stuck or not heard.",
                counters.requests_released_early,
            ),
            (
                "delivered_packets_total",
                "Packets of open flows delivered.",
                counters.packets_delivered,
            ),
            (
                "searches_denied_total",
                "Searches denied.",
                counters.searches_denied,
            ),
            (
                "target_returns_total",
                "Packets that the target gave back.",
                counters.packets_returned_by_target,
            ),
            (
                "caller_packets_total",
                "Packets sent to callers.",
                counters.packets_sent_to_callers,
            ),
            (
                "requests_answered_total",
                "Requests answered.",
                counters.requests_answered,
            ),
            (
                "requests_failed_total",
                "Requests that the target failed.",
                counters.requests_failed,
            ),
            ("heartbeats_total", "Heartbeats taken.", counters.heartbeats),
            (
                "heartbeats_replaced_total",
                "Heartbeats of starts that a later one has replaced.",
                counters.heartbeats_replaced,
            ),
            (
                "heartbeats_unproven_total",
                "Heartbeats of starts that may be older than the known one.",
                counters.heartbeats_unproven,
            ),
            (
                "deregistrations_ignored_total",
                "Deregistrations that may be of a former start.",
                counters.deregistrations_ignored,
            ),
            (
                "flow_list_parts_total",
                "Parts of lists of flows sent to balancers.",
                counters.flow_list_parts_sent,
            ),
            (
                "refused_packets_total",
                "Datagrams that cannot be read.",
                self.refused_packets.get() + self.peers.unreadable(),
            ),
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
        text.gauge(
            "requests_busy",
            "Requests at work or queued.",
            f64::from(load.busy),
        );
        text.gauge(
            "openings_queued",
            "Openings and requests of open flows that wait in the queue.",
            f64::from(load.queued),
        );
        let waiting = core.queued_counts();
        text.gauges(
            "work_queued",
            "What waits in the queue, by kind and importance.",
            "kind",
            [
                ("urgent_opening", count(waiting.urgent_openings)),
                ("opening", count(waiting.openings)),
                ("urgent_request", count(waiting.urgent_requests)),
                ("request", count(waiting.requests)),
            ],
        );
        text.histogram(
            "queue_wait_seconds",
            "Time that openings and requests of open flows waited until they were handed over.",
            &self.queue_waits.borrow(),
        );
        text.gauge(
            "target_failed_ratio",
            "Share of the latest requests that the target failed.",
            f64::from(load.failed_percent) / 100.0,
        );
        text.mechanisms(core.mechanisms());
        if let Some(work) = load.idle_flow_work_millislots {
            text.gauge(
                "resting_work_slots",
                "Work that the open flows at rest are expected to ask for, in slots.",
                f64::from(work) / 1000.0,
            );
        }
        text.gauge("flows_open", "Open flows.", f64::from(load.flows));
        text.gauge(
            "flows_known",
            "Flows in the table.",
            count(core.flow_count()),
        );
        text.gauge(
            "balancers",
            "Balancers known.",
            count(core.balancers().len()),
        );
        text.gauge(
            "configuration_version",
            "Version known.",
            wide(core.configuration_version()),
        );
        let is_ready = core.target_state() == TargetState::Ready;
        text.gauge(
            "target_ready",
            "Whether the target takes flows.",
            f64::from(u8::from(is_ready)),
        );
        text.histogram(
            "service_time_seconds",
            "Time to the first byte of an answer.",
            &self.service_times.borrow(),
        );
        text.finish()
    }
}
