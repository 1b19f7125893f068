//! Report of `woodladder status` and how it is printed.

use std::net::SocketAddr;

use borsh::BorshDeserialize as _;
use serde::Serialize;
use woodladder_core::configuration::roll_record::StoredRoll;
use woodladder_core::control::control_message::StatusReply;
use woodladder_core::control::membership::Role;
use woodladder_core::control::roll_command::RollSummary;
use woodladder_core::signature::TrustedKeys;

use super::error::CommandError;

/// Number of hexadecimal digits of a digest that the table shows.
const SHOWN_DIGEST_DIGITS: usize = 12;

/// State of the key-value service and of all nodes.
#[derive(Debug, Serialize)]
pub(super) struct StatusReport {
    pub(super) store: StoreReport,
    pub(super) nodes: Vec<NodeReport>,
}

/// The current roll in the key-value service.
#[derive(Debug, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub(super) enum StoreReport {
    /// The key-value service gave no usable answer.
    Unreachable,
    /// The key-value service has no roll yet.
    Empty,
    /// The current entry is malformed or its signature is not trusted.
    Unreadable,
    Roll {
        sequence: u64,
        bundle_version: u64,
        operator: String,
    },
}

/// One node of the report.
#[derive(Debug, Serialize)]
pub(super) struct NodeReport {
    /// Control address of the node.
    #[serde(rename = "control")]
    pub(super) control_address: SocketAddr,
    /// Status of the node; `None` when the node did not answer.
    pub(super) status: Option<NodeState>,
}

/// Status that a node answered with.
#[derive(Debug, Serialize)]
pub(super) struct NodeState {
    role: &'static str,
    sequence: u64,
    bundle_version: u64,
    /// Digest of the snapshot in force, in hexadecimal digits.
    snapshot: String,
    ready: bool,
    leaving: bool,
    /// Whether the node's process was paused and the roll in force has not been
    /// confirmed since.
    suspect: bool,
    /// Number of nodes in the node's member table.
    known_nodes: u32,
    /// Number of nodes in the member table that were heard from recently.
    heard_nodes: u32,
    /// Number of control frames, roll records, snapshot deltas and snapshot copies
    /// that the node has rejected since it started.
    rejections: u64,
}

impl StoreReport {
    pub(super) fn from_stored_value(value: &[u8], trusted: &TrustedKeys) -> Self {
        let Ok(stored) = StoredRoll::try_from_slice(value) else {
            return Self::Unreadable;
        };
        if stored.record.verify(trusted).is_err() {
            return Self::Unreadable;
        }
        let summary = RollSummary::of(&stored.record);
        Self::Roll {
            sequence: summary.sequence.0,
            bundle_version: summary.bundle_version,
            operator: summary.operator,
        }
    }
}

impl NodeState {
    pub(super) fn from_reply(reply: &StatusReply) -> Self {
        Self {
            role: match reply.node.role {
                Role::Balancer => "balancer",
                Role::Agent => "agent",
            },
            sequence: reply.sequence.0,
            bundle_version: reply.bundle_version,
            snapshot: reply.snapshot.to_string(),
            ready: reply.ready,
            leaving: reply.leaving,
            suspect: reply.suspect,
            known_nodes: reply.known_nodes,
            heard_nodes: reply.heard_nodes,
            rejections: reply.rejections,
        }
    }

    fn state_name(&self) -> &'static str {
        match (self.leaving, self.suspect, self.ready) {
            (true, _, _) => "leaving",
            (_, true, _) => "suspect",
            (_, _, true) => "ready",
            _ => "joining",
        }
    }
}

impl StatusReport {
    /// Prints the report as a human-readable table.
    pub(super) fn print_table(&self) {
        match &self.store {
            StoreReport::Unreachable => println!("store: cannot be reached"),
            StoreReport::Empty => println!("store: no roll yet"),
            StoreReport::Unreadable => println!("store: the current entry is not a trusted roll"),
            StoreReport::Roll {
                sequence,
                bundle_version,
                operator,
            } => println!(
                "store: sequence {sequence}, bundle version {bundle_version}, by {operator}"
            ),
        }
        println!(
            "{:<22} {:<9} {:<8} {:>9} {:>8}  {:<12} {:>6} {:>9}",
            "node", "role", "state", "sequence", "version", "snapshot", "heard", "rejected"
        );
        for node in &self.nodes {
            print_row(node);
        }
    }

    /// Result of the command: an error when a node did not answer.
    pub(super) fn check_all_answered(&self) -> Result<(), CommandError> {
        let silent = self.nodes.iter().filter(|node| node.status.is_none());
        match silent.count() {
            0 => Ok(()),
            count => Err(CommandError::Unknown(format!(
                "{count} of {} nodes did not answer",
                self.nodes.len()
            ))),
        }
    }
}

fn print_row(node: &NodeReport) {
    let Some(status) = &node.status else {
        println!("{:<22} no answer", node.control_address);
        return;
    };
    println!(
        "{:<22} {:<9} {:<8} {:>9} {:>8}  {:<12} {:>6} {:>9}",
        node.control_address,
        status.role,
        status.state_name(),
        status.sequence,
        status.bundle_version,
        status
            .snapshot
            .get(..SHOWN_DIGEST_DIGITS)
            .unwrap_or_default(),
        status.heard_nodes,
        status.rejections
    );
}
