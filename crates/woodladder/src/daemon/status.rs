//! The part of a node's status that is the same for balancers and agents.

use std::net::SocketAddr;
use std::time::Instant;

use woodladder_core::control::replica::ReplicaCounters;

use crate::control::{ControlPlane, ControlPlaneStatus};
use crate::endpoint::{Figures, ListenAddresses, NodeStatus, NotReadyReason, PeerCounts, Role};
use crate::process::StopSignal;

/// Sources of a node's status.
pub(super) struct StatusSource {
    pub(super) role: Role,
    pub(super) zone: String,
    pub(super) data_address: SocketAddr,
    pub(super) started_at: Instant,
    pub(super) stop: StopSignal,
    pub(super) control: ControlPlane,
}

impl StatusSource {
    /// The status, without the data path's metrics.
    pub(super) async fn status(&self) -> NodeStatus {
        let listening = ListenAddresses {
            data: self.data_address,
            control: self.control.address(),
        };
        let mut status = NodeStatus {
            role: self.role,
            node: 0,
            zone: self.zone.clone(),
            listening,
            not_ready: Some(NotReadyReason::NoBundle),
            suspect: false,
            sequence: 0,
            bundle_version: None,
            snapshot: None,
            peers: PeerCounts::default(),
            uptime_seconds: self.started_at.elapsed().as_secs(),
            drain: None,
            figures: Figures::new(),
        };
        if let Some(control) = self.control.status().await {
            apply_control_status(&mut status, &control);
        }
        if self.stop.is_requested() {
            status.not_ready = Some(NotReadyReason::Stopping);
        }
        status
    }
}

fn apply_control_status(status: &mut NodeStatus, control: &ControlPlaneStatus) {
    status.node = control.node.0;
    status.not_ready = (!control.ready).then_some(NotReadyReason::NoBundle);
    status.suspect = control.suspect;
    status.sequence = control.sequence.0;
    status.bundle_version = control.bundle_version;
    status.snapshot = control.snapshot.map(|digest| digest.to_string());
    status.peers = PeerCounts {
        known: control.members.known,
        heard: control.members.heard,
        silent: control.members.silent,
        leaving: control.members.leaving,
        listed: control.members.listed,
    };
    status.figures.append(collect_figures(&control.counters));
    let marked = u64::try_from(control.unavailable_target_count).unwrap_or(u64::MAX);
    status.figures.set("control_marked_targets", marked);
}

fn collect_figures(counters: &ReplicaCounters) -> Figures {
    let mut figures = Figures::new();
    figures.set("control_adopted_total", counters.rolls_adopted);
    figures.set(
        "control_adopted_by_delta_total",
        counters.rolls_adopted_by_delta,
    );
    figures.set("control_messages_sent_total", counters.messages_sent);
    figures.set(
        "control_messages_received_total",
        counters.messages_received,
    );
    figures.set("control_copy_bytes_sent_total", counters.copy_bytes_sent);
    figures.set(
        "control_copy_bytes_received_total",
        counters.copy_bytes_received,
    );
    figures.set("control_store_reads_total", counters.store_reads);
    figures.set(
        "control_report_bytes_sent_total",
        counters.report_bytes_sent,
    );
    figures.set(
        "control_accusations_total",
        counters.agents_declared_unreachable,
    );
    figures.set("control_refutations_total", counters.own_reports_refuted);
    figures.set("control_pauses_total", counters.pauses_detected);
    figures.set("control_rejections_total", counters.rejections.total());
    figures
}
