//! Client of the platform's machine list.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};
use serde::Deserialize;
use volo_http::client::Client;

use super::ServiceError;
use super::http::{Request, build_client, send};

const PATH: &str = "/machines";
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// One entry of the machine list. The list lags behind: a listed machine may be
/// gone, and a running machine may not be listed yet.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct Machine {
    /// Control address of the node on the machine.
    pub address: SocketAddr,
    /// Role of the node.
    pub role: MachineRole,
    /// Whether the machine is in use or about to be removed.
    pub state: MachineState,
}

/// Role of a node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum MachineRole {
    /// Forwards callers' datagrams to agents.
    Balancer,
    /// Runs beside one back end and serves its target.
    Agent,
}

/// State of a machine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// In use.
    Live,
    /// About to be removed.
    Leaving,
}

/// Client of the machine list.
pub struct MachineListClient {
    client: Client,
    address: SocketAddr,
}

impl MachineListClient {
    /// A client of the machine list at this address.
    ///
    /// # Errors
    /// [`ServiceError::Unreachable`] when the HTTP client cannot be built.
    pub fn new(address: SocketAddr) -> Result<Self, ServiceError> {
        Ok(Self {
            client: build_client()?,
            address,
        })
    }

    /// Reads the list. Malformed entries are left out, so that the valid
    /// entries stay usable.
    ///
    /// # Errors
    /// [`ServiceError`] when there is no response or it is malformed.
    pub async fn read(&self) -> Result<Vec<Machine>, ServiceError> {
        let request = Request {
            method: Method::GET,
            path: PATH.to_owned(),
            body: Vec::new(),
            timeout: RESPONSE_TIMEOUT,
        };
        let response = send(&self.client, self.address, &request).await?;
        if response.status != StatusCode::OK {
            return Err(ServiceError::Status(response.status.as_u16()));
        }
        let entries: Vec<serde_json::Value> = serde_json::from_slice(&response.body)
            .map_err(|_| ServiceError::Malformed("machine list"))?;
        let machines = entries.into_iter().map(serde_json::from_value);
        Ok(machines.filter_map(Result::ok).collect())
    }
}
