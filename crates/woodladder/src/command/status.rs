//! `woodladder status`: what every node has in force.

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

use super::failure::Failure;
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

Nodes come from the machine list and the seeds. The command ends with code 5
when a node does not answer.";

/// Longest time that a node is waited for.
const ANSWER_TIME: Duration = Duration::from_secs(3);

#[derive(Args, Debug)]
pub(super) struct StatusArguments {
    /// Print as JSON
    #[arg(long)]
    json: bool,
    #[command(flatten)]
    flags: OperatorFlags,
}

impl StatusArguments {
    pub(super) fn run(self) -> Result<(), Failure> {
        let settings = runtime::operator_settings(&self.flags)?;
        let (logger, _guard) = log::open(settings.log);
        let report = runtime::run(1, gather(&settings, &logger))?;
        if self.json {
            print_json(&report)?;
        } else {
            report.print_table();
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
