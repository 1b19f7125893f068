//! Client of the platform's list of machines.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};
use serde::Deserialize;
use volo_http::client::Client;

use super::ServiceError;
use super::http::{Ask, client, exchange};

const PATH: &str = "/machines";
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// One machine, as the platform lists it. The list lags: a machine in it may
/// be gone, and one that is not in it may run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct Machine {
    /// Control address of the node on it.
    pub address: SocketAddr,
    /// What the node does.
    pub role: MachineRole,
    /// Whether the machine is about to go.
    pub state: MachineState,
}

/// What a node does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum MachineRole {
    /// Forwards datagrams.
    Balancer,
    /// Stands beside a back end.
    Agent,
}

/// State of a machine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// In use.
    Live,
    /// About to go.
    Leaving,
}

/// Client of the list of machines.
pub struct MachineListClient {
    client: Client,
    address: SocketAddr,
}

impl MachineListClient {
    /// A client of the list at this address.
    ///
    /// # Errors
    /// [`ServiceError::Unreachable`] when the HTTP client cannot be built.
    pub fn new(address: SocketAddr) -> Result<Self, ServiceError> {
        Ok(Self {
            client: client()?,
            address,
        })
    }

    /// Reads the list. Entries that cannot be understood are left out, so that
    /// one of them does not hide the others.
    ///
    /// # Errors
    /// [`ServiceError`] when there is no answer or it cannot be understood.
    pub async fn read(&self) -> Result<Vec<Machine>, ServiceError> {
        let ask = Ask {
            method: Method::GET,
            path: PATH.to_owned(),
            body: Vec::new(),
            timeout: ANSWER_TIMEOUT,
        };
        let answer = exchange(&self.client, self.address, &ask).await?;
        if answer.status != StatusCode::OK {
            return Err(ServiceError::Status(answer.status.as_u16()));
        }
        let entries: Vec<serde_json::Value> = serde_json::from_slice(&answer.body)
            .map_err(|_| ServiceError::Malformed("list of machines"))?;
        let machines = entries.into_iter().map(serde_json::from_value);
        Ok(machines.filter_map(Result::ok).collect())
    }
}
