//! `woodladder status`: shows the bundle that each node has in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use slog::Logger;
use tokio::time::{Instant, interval, timeout_at};
use woodladder_core::control::control_message::{
    ControlMessage, ProbeNumber, StatusReply, StatusRequest,
};
use woodladder_core::control::store_operation::{StoreAnswer, StoreKey, StoreOperation};

use super::error::CommandError;
use super::output::print_json;
use super::status_report::{NodeReport, NodeState, StatusReport, StoreReport};
use super::{nodes, runtime};
use crate::control::ControlSocket;
use crate::log;
use crate::settings::{OperatorFlags, OperatorSettings};
use crate::store::{ConsulStore, Store};

pub(super) const HELP: &str = "Examples:
  woodladder status --settings operator.toml
  woodladder status --settings operator.toml --seed 10.0.0.1:7001 --json

Nodes are those of the machine list and the seeds. The command ends with code 5
when a node does not answer.";

/// Longest time to wait for the nodes' answers.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Args, Debug)]
pub(super) struct StatusArguments {
    /// Print as JSON
    #[arg(long)]
    json: bool,
    #[command(flatten)]
    flags: OperatorFlags,
}

impl StatusArguments {
    pub(super) fn run(self) -> Result<(), CommandError> {
        let settings = runtime::read_operator_settings(&self.flags)?;
        let (logger, _guard) = log::open(settings.log);
        let report = runtime::block_on(1, build_report(&settings, &logger))?;
        if self.json {
            print_json(&report)?;
        } else {
            report.print_table();
        }
        report.check_all_answered()
    }
}

async fn build_report(
    settings: &OperatorSettings,
    logger: &Logger,
) -> Result<StatusReport, CommandError> {
    let store = read_store(settings, logger).await?;
    let addresses = nodes::find_addresses(settings, logger).await;
    let socket = nodes::bind_socket(settings, &addresses).await?;
    let mut replies = query_nodes(&socket, &addresses, settings.poll).await;
    let nodes = addresses.iter().map(|address| NodeReport {
        control_address: *address,
        status: replies
            .remove(address)
            .map(|reply| NodeState::from_reply(&reply)),
    });
    Ok(StatusReport {
        store,
        nodes: nodes.collect(),
    })
}

async fn read_store(
    settings: &OperatorSettings,
    logger: &Logger,
) -> Result<StoreReport, CommandError> {
    let store = ConsulStore::new(settings.platform.stores.clone(), logger.clone())
        .map_err(|error| CommandError::Internal(error.to_string()))?;
    let current = StoreOperation::Read {
        key: StoreKey::Current,
        wait: None,
    };
    Ok(match store.perform(&current).await {
        StoreAnswer::Value { value, .. } => {
            StoreReport::from_stored_value(&value, &settings.trusted_keys)
        }
        StoreAnswer::NotFound => StoreReport::Empty,
        _ => StoreReport::Unreachable,
    })
}

/// Sends a status request to every node, again at each poll interval, until the
/// node answers or the time is over.
async fn query_nodes(
    socket: &ControlSocket,
    nodes: &[SocketAddr],
    poll_interval: Duration,
) -> BTreeMap<SocketAddr, StatusReply> {
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let request = ControlMessage::StatusRequest(StatusRequest {
        number: ProbeNumber(rand::random()),
    });
    let mut replies = BTreeMap::new();
    let mut polls = interval(poll_interval.max(Duration::from_millis(1)));
    while replies.len() < nodes.len() {
        let next = async {
            tokio::select! {
                received = socket.receive() => Some(received),
                _ = polls.tick() => None,
            }
        };
        match timeout_at(deadline, next).await {
            Err(_) => return replies,
            Ok(None) => {
                let unanswered = nodes.iter().filter(|node| !replies.contains_key(node));
                unanswered.for_each(|node| socket.send(*node, &request));
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
