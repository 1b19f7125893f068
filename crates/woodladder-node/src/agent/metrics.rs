//! Metrics of the agent process.

use woodladder_core::flow::agent::{SuccessionEvidence, TargetStatus};
use woodladder_core::flow::message::TargetState;

use crate::decision_log::incarnation_text;
use crate::metrics::{MetricsText, count_as_f64, u64_as_f64};

use super::AgentNode;
use crate::packet_codec::PacketCodec;

impl<C: PacketCodec + 'static> AgentNode<C> {
    /// Returns the metrics in the Prometheus text format.
    #[must_use]
    pub fn metrics(&self) -> String {
        let core = self.core.borrow();
        let counters = core.counters();
        let load = core.load();
        let mut text = MetricsText::default();
        for (name, help, value) in [
            (
                "forwarded_packets_total",
                "Packets received from balancers.",
                counters.packets_received,
            ),
            (
                "flows_offered_total",
                "Openings handed to the target.",
                counters.openings_offered,
            ),
            (
                "flows_declined_total",
                "Openings returned to their balancer.",
                counters.openings_returned,
            ),
            (
                "openings_queued_total",
                "Openings that waited in the queue.",
                counters.openings_queued,
            ),
            (
                "openings_held_cold_total",
                "Openings returned because the target may be cold.",
                counters.openings_returned_cold,
            ),
            (
                "openings_held_excluded_total",
                "Openings returned because the target's zone is excluded.",
                counters.openings_returned_excluded,
            ),
            (
                "openings_expired_total",
                "Openings returned after the maximum wait in the queue.",
                counters.openings_expired,
            ),
            (
                "openings_refused_hopeless_total",
                "Openings returned because they would have been answered too late.",
                counters.openings_returned_late,
            ),
            (
                "requests_held_total",
                "Requests on open flows that waited in the queue.",
                counters.requests_queued,
            ),
            (
                "request_copies_dropped_total",
                "Retransmissions of packets in the queue, dropped.",
                counters.duplicate_packets_dropped,
            ),
            (
                "requests_given_up_total",
                "Requests on open flows dropped from the queue after their timeout.",
                counters.requests_given_up,
            ),
            (
                "requests_released_total",
                "Requests on open flows handed over before their turn, because the target is stuck, silent or replaced.",
                counters.requests_delivered_early,
            ),
            (
                "delivered_packets_total",
                "Packets of open flows handed to the target.",
                counters.packets_delivered,
            ),
            (
                "searches_denied_total",
                "Searches denied because the target does not hold the flow.",
                counters.searches_denied,
            ),
            (
                "target_returns_total",
                "Packets that the target returned.",
                counters.packets_returned_by_target,
            ),
            (
                "caller_packets_total",
                "Packets sent to callers.",
                counters.packets_sent_to_callers,
            ),
            (
                "requests_answered_total",
                "Requests that the target answered.",
                counters.requests_answered,
            ),
            (
                "requests_failed_total",
                "Requests that failed at the target.",
                counters.requests_failed,
            ),
            (
                "heartbeats_total",
                "Heartbeats accepted.",
                counters.heartbeats,
            ),
            (
                "heartbeats_outdated_total",
                "Heartbeats accepted that were not newer than the last one of their target start.",
                counters.heartbeats_outdated,
            ),
            (
                "heartbeats_replaced_total",
                "Heartbeats of target starts that a later start has replaced.",
                counters.heartbeats_replaced,
            ),
            (
                "heartbeats_unproven_total",
                "Heartbeats of target starts that may be older than the recorded one.",
                counters.heartbeats_unproven,
            ),
            (
                "deregistrations_ignored_total",
                "Deregistrations that may belong to an earlier target start.",
                counters.deregistrations_ignored,
            ),
            (
                "leavings_acknowledged_total",
                "Leavings of the target that were acknowledged for the first time.",
                counters.leavings_acknowledged,
            ),
            (
                "flow_list_parts_total",
                "Parts of flow lists sent to balancers.",
                counters.flow_list_parts_sent,
            ),
            (
                "refused_packets_total",
                "Datagrams rejected because they cannot be decoded.",
                self.refused_packets.get() + self.peers.unreadable_datagrams(),
            ),
        ] {
            text.add_counter(name, help, value);
        }
        text.add_counters(
            "promises_broken_total",
            "Broken promises, by kind: occurrences, or milliseconds for a kind whose name ends in _ms.",
            "promise",
            core.broken_promises().by_name(),
        );
        text.add_counters(
            "target_successions_total",
            "Starts of the target that became the present one, by what showed it.",
            "evidence",
            SuccessionEvidence::ALL.map(|kind| (kind.name(), counters.successions[kind.index()])),
        );
        text.add_counters(
            "store_calls_total",
            "Calls to the store, by kind.",
            "kind",
            self.store_stats.calls_by_kind(),
        );
        self.peers.add_metrics(&mut text);
        text.add_gauge(
            "requests_busy",
            "Requests that the target works on or has queued.",
            f64::from(load.busy),
        );
        text.add_gauge(
            "openings_queued",
            "Openings and requests on open flows in the agent's queue.",
            f64::from(load.queued),
        );
        let queued = core.queued_counts();
        text.add_gauges(
            "work_queued",
            "Openings and requests in the agent's queue, by kind and urgency.",
            "kind",
            [
                ("urgent_opening", count_as_f64(queued.urgent_openings)),
                ("opening", count_as_f64(queued.openings)),
                ("urgent_request", count_as_f64(queued.urgent_requests)),
                ("request", count_as_f64(queued.requests)),
            ],
        );
        text.add_histogram(
            "queue_wait_seconds",
            "Time from queueing to handover of openings and requests on open flows.",
            &self.queue_waits.borrow(),
        );
        text.add_gauge(
            "target_failed_ratio",
            "Share of the latest requests that failed at the target.",
            f64::from(load.failed_percent) / 100.0,
        );
        text.add_mechanisms(core.mechanisms());
        if let Some(work_millislots) = load.idle_flow_work_millislots {
            text.add_gauge(
                "resting_work_slots",
                "Expected work of idle open flows, in slots.",
                f64::from(work_millislots) / 1000.0,
            );
        }
        text.add_gauge("flows_open", "Open flows.", f64::from(load.flows));
        text.add_gauge(
            "flows_known",
            "Flows in the flow table.",
            count_as_f64(core.flow_count()),
        );
        text.add_gauge(
            "balancers",
            "Balancers in the agent's table.",
            count_as_f64(core.balancers().len()),
        );
        text.add_gauge(
            "configuration_version",
            "Latest configuration version that the agent has received.",
            u64_as_f64(core.configuration_version()),
        );
        let is_ready = core.target_state() == TargetState::Ready;
        text.add_gauge(
            "target_ready",
            "1 when the target accepts flows, otherwise 0.",
            f64::from(u8::from(is_ready)),
        );
        add_target_status(&mut text, &core.target_status(self.clock.now()));
        text.add_histogram(
            "service_time_seconds",
            "Time from a request to the first byte of its answer.",
            &self.service_times.borrow(),
        );
        text.finish()
    }
}

/// Adds the target's state with the evidence that it rests on.
fn add_target_status(text: &mut MetricsText, status: &TargetStatus) {
    let incarnation = status.incarnation.map(incarnation_text);
    text.add_info(
        "target_status",
        "1, with the target's state, what set it, and the target start that it holds for.",
        &[
            ("state", &format!("{:?}", status.state)),
            ("cause", status.cause.name()),
            ("incarnation", incarnation.as_deref().unwrap_or_default()),
        ],
    );
    text.add_gauge(
        "target_state_age_seconds",
        "Time since the target's state was set.",
        status.state_age.as_secs_f64(),
    );
    text.add_gauge(
        "agent_age_seconds",
        "Time since the agent's process started.",
        status.agent_age.as_secs_f64(),
    );
    text.add_gauge(
        "target_heartbeat_sequence",
        "Number of the target start's newest heartbeat, 0 before the first.",
        u64_as_f64(status.heartbeat_sequence),
    );
    if let Some(age) = status.heartbeat_age {
        text.add_gauge(
            "target_heartbeat_age_seconds",
            "Time since the target start's newest heartbeat arrived.",
            age.as_secs_f64(),
        );
    }
}
