//! `woodladder status`: what every node has in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use borsh::BorshDeserialize as _;
use clap::Args;
use serde::Serialize;
use slog::Logger;
use tokio::time::{Instant, interval, timeout_at};
use woodladder_core::control_message::{ControlMessage, ProbeNumber, StatusReply, StatusRequest};
use woodladder_core::finding::Findings;
use woodladder_core::membership::Role;
use woodladder_core::roll_command::RollSummary;
use woodladder_core::roll_record::StoredRoll;
use woodladder_core::signature::TrustedKeys;
use woodladder_core::store_operation::{StoreAnswer, StoreKey, StoreOperation};

use super::failure::Failure;
use super::output::print_json;
use super::{nodes, runtime};
use crate::control::ControlSocket;
use crate::log;
use crate::settings::{OperatorFlags, OperatorSettings};
use crate::store::{ConsulStore, Store};

pub(super) const HELP: &str = "Examples:
  woodladder status --settings operator.toml
  woodladder status --settings operator.toml --seed 10.0.0.1:7001 --json

Nodes come from the machine list and the seeds. The command ends with code 5
when a node does not answer.";

/// Longest time that a node is waited for.
const ANSWER_TIME: Duration = Duration::from_secs(3);
/// Hexadecimal digits of a digest that the table shows.
const SHORT_DIGEST: usize = 12;

#[derive(Args, Debug)]
pub(super) struct StatusArguments {
    /// Print as JSON
    #[arg(long)]
    json: bool,
    #[command(flatten)]
    flags: OperatorFlags,
}

/// All that the command found out.
#[derive(Debug, Serialize)]
struct StatusReport {
    store: StoreReport,
    nodes: Vec<NodeReport>,
}

/// The roll in force as the key-value service has it.
#[derive(Debug, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
enum StoreReport {
    Unreachable,
    Empty,
    Unreadable,
    Roll {
        sequence: u64,
        bundle_version: u64,
        operator: String,
    },
}

/// One node.
#[derive(Debug, Serialize)]
struct NodeReport {
    control: SocketAddr,
    status: Option<NodeState>,
}

/// What a node answered.
#[derive(Debug, Serialize)]
struct NodeState {
    role: &'static str,
    sequence: u64,
    bundle_version: u64,
    snapshot: String,
    ready: bool,
    leaving: bool,
    suspect: bool,
    known_nodes: u32,
    heard_nodes: u32,
    rejections: u64,
}

impl StatusArguments {
    pub(super) fn run(self) -> Result<(), Failure> {
        let mut findings = Findings::new();
        let file = self.flags.settings.as_deref();
        let layers = runtime::layers(file, &self.flags, &mut findings);
        let settings = OperatorSettings::read(&layers, findings)?;
        let (logger, _guard) = log::open(settings.log);
        let report = runtime::run(1, gather(&settings, &logger))?;
        if self.json {
            print_json(&report)?;
        } else {
            print_table(&report);
        }
        report.verdict()
    }
}

async fn gather(settings: &OperatorSettings, logger: &Logger) -> Result<StatusReport, Failure> {
    let store = read_store(settings, logger).await?;
    let addresses = nodes::addresses(settings, logger).await;
    let socket = nodes::socket(settings, &addresses).await?;
    let mut replies = ask(&socket, &addresses, settings.poll).await;
    let nodes = addresses.iter().map(|control| NodeReport {
        control: *control,
        status: replies.remove(control).map(|reply| NodeState::of(&reply)),
    });
    Ok(StatusReport {
        store,
        nodes: nodes.collect(),
    })
}

async fn read_store(settings: &OperatorSettings, logger: &Logger) -> Result<StoreReport, Failure> {
    let store = ConsulStore::new(settings.platform.stores.clone(), logger.clone())
        .map_err(|error| Failure::Internal(error.to_string()))?;
    let current = StoreOperation::Read {
        key: StoreKey::Current,
        wait: None,
    };
    Ok(match store.perform(&current).await {
        StoreAnswer::Value { value, .. } => StoreReport::of(&value, &settings.trusted_keys),
        StoreAnswer::NotFound => StoreReport::Empty,
        _ => StoreReport::Unreachable,
    })
}

/// Asks every node until it answers or the time is over.
async fn ask(
    socket: &ControlSocket,
    nodes: &[SocketAddr],
    poll: Duration,
) -> BTreeMap<SocketAddr, StatusReply> {
    let deadline = Instant::now() + ANSWER_TIME;
    let request = ControlMessage::StatusRequest(StatusRequest {
        number: ProbeNumber(rand::random()),
    });
    let mut replies = BTreeMap::new();
    let mut rounds = interval(poll.max(Duration::from_millis(1)));
    while replies.len() < nodes.len() {
        let next = async {
            tokio::select! {
                received = socket.receive() => Some(received),
                _ = rounds.tick() => None,
            }
        };
        match timeout_at(deadline, next).await {
            Err(_) => return replies,
            Ok(None) => {
                let silent = nodes.iter().filter(|node| !replies.contains_key(node));
                silent.for_each(|node| socket.send(*node, &request));
            }
            Ok(Some(received)) => {
                if let Ok(ControlMessage::StatusReply(reply)) = received.message
                    && nodes.contains(&received.from)
                {
                    replies.insert(received.from, reply);
                }
            }
        }
    }
    replies
}

impl StoreReport {
    fn of(value: &[u8], trusted: &TrustedKeys) -> Self {
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
    fn of(reply: &StatusReply) -> Self {
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

    fn state_word(&self) -> &'static str {
        match (self.leaving, self.suspect, self.ready) {
            (true, _, _) => "leaving",
            (_, true, _) => "suspect",
            (_, _, true) => "ready",
            _ => "joining",
        }
    }
}

impl StatusReport {
    fn verdict(&self) -> Result<(), Failure> {
        let silent = self.nodes.iter().filter(|node| node.status.is_none());
        match silent.count() {
            0 => Ok(()),
            count => Err(Failure::Unknown(format!(
                "{count} of {} nodes did not answer",
                self.nodes.len()
            ))),
        }
    }
}

fn print_table(report: &StatusReport) {
    match &report.store {
        StoreReport::Unreachable => println!("store: cannot be reached"),
        StoreReport::Empty => println!("store: no roll yet"),
        StoreReport::Unreadable => println!("store: the current entry is not a trusted roll"),
        StoreReport::Roll {
            sequence,
            bundle_version,
            operator,
        } => println!("store: sequence {sequence}, bundle version {bundle_version}, by {operator}"),
    }
    println!(
        "{:<22} {:<9} {:<8} {:>9} {:>8}  {:<12} {:>6} {:>9}",
        "node", "role", "state", "sequence", "version", "snapshot", "heard", "rejected"
    );
    for node in &report.nodes {
        print_row(node);
    }
}

fn print_row(node: &NodeReport) {
    let Some(status) = &node.status else {
        println!("{:<22} no answer", node.control);
        return;
    };
    println!(
        "{:<22} {:<9} {:<8} {:>9} {:>8}  {:<12} {:>6} {:>9}",
        node.control,
        status.role,
        status.state_word(),
        status.sequence,
        status.bundle_version,
        status.snapshot.get(..SHORT_DIGEST).unwrap_or_default(),
        status.heard_nodes,
        status.rejections
    );
}
