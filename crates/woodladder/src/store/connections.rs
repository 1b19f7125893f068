//! The connections that a client of a service keeps open between its requests.
//!
//! Connections that are open at the same time may go silent together: the service's responses
//! do not arrive, and nothing closes them. A request without a response is therefore taken as a
//! sign that none of them carries anything, and the requests after it use new ones.

use std::sync::{Arc, Mutex, PoisonError};

use volo_http::client::Client;

use super::ServiceError;
use super::http::build_client;

/// HTTP client whose connections can be replaced.
pub(super) struct Connections {
    client: Mutex<Arc<Client>>,
}

impl Connections {
    /// A client without connections.
    pub(super) fn new() -> Result<Self, ServiceError> {
        let client = Arc::new(build_client()?);
        Ok(Self {
            client: Mutex::new(client),
        })
    }

    /// The client for the next request.
    pub(super) fn client(&self) -> Arc<Client> {
        let client = self.client.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&client)
    }

    /// Makes later requests use new connections, because a request of `client` got no response.
    /// Does nothing if they do so already, or if no other client can be built. Requests under
    /// way keep their connections.
    pub(super) fn replace(&self, client: &Arc<Client>) {
        let mut current = self.client.lock().unwrap_or_else(PoisonError::into_inner);
        if Arc::ptr_eq(&current, client)
            && let Ok(other) = build_client()
        {
            *current = Arc::new(other);
        }
    }
}
