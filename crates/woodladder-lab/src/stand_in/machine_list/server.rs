//! HTTP interface of the machine list.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::{get, put};
use volo_http::utils::Extension;

use super::state::{Machine, MachineListOverride, MachineListState};
use crate::stand_in::clock::MonotonicClock;
use crate::stand_in::error::StandInError;
use crate::stand_in::gate::Gate;
use crate::stand_in::http_server::{HttpServer, json_answer, read_json, text_answer};

/// How the machine list is set up.
#[derive(Clone, Debug)]
pub struct MachineListConfig {
    /// Where `GET /machines` is answered.
    pub address: SocketAddr,
    /// Where the administrative interface listens.
    pub admin_address: SocketAddr,
    /// Machines at the start.
    pub machines: Vec<Machine>,
    /// Time until a change is visible.
    pub lag: Duration,
}

impl Default for MachineListConfig {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            address: any,
            admin_address: any,
            machines: Vec::new(),
            lag: Duration::ZERO,
        }
    }
}

/// A running machine list. Dropping it stops it.
#[derive(Debug)]
pub struct MachineList {
    service: HttpServer,
    admin: HttpServer,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: MonotonicClock,
    state: Mutex<MachineListState>,
}

impl Shared {
    fn change<T>(&self, change: impl FnOnce(&mut MachineListState) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut state)
    }
}

impl MachineList {
    /// Binds both addresses and starts to answer.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub async fn start(config: MachineListConfig) -> Result<Self, StandInError> {
        let shared = Arc::new(Shared {
            clock: MonotonicClock::start(),
            state: Mutex::new(MachineListState::new(config.machines, config.lag)),
        });
        let service_router = Router::new()
            .route("/machines", get(get_machines))
            .layer(Extension(Arc::clone(&shared)));
        let admin_router = Router::new()
            .route("/machines", put(put_machines))
            .route("/override", put(put_override))
            .layer(Extension(Arc::clone(&shared)));
        let service = HttpServer::start(config.address, service_router, Gate::default()).await?;
        let admin = HttpServer::start(config.admin_address, admin_router, Gate::default()).await?;
        Ok(Self {
            service,
            admin,
            shared,
        })
    }

    /// Where the list is served.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.service.address()
    }

    /// Address of the administrative interface.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Replaces the true list; visible after the lag.
    pub fn set_machines(&self, machines: Vec<Machine>) {
        let now = self.shared.clock.now();
        self.shared
            .change(|state| state.set_machines(machines, now));
    }

    /// Replaces the untruths, at once.
    pub fn set_override(&self, untruth: MachineListOverride) {
        self.shared.change(|state| state.set_override(untruth));
    }

    /// Stops answering.
    pub fn shutdown(self) {
        self.service.shutdown();
        self.admin.shutdown();
    }
}

async fn get_machines(Extension(shared): Extension<Arc<Shared>>) -> Response {
    let now = shared.clock.now();
    let reported = shared.change(|state| state.report(now));
    json_answer(StatusCode::OK, &reported)
}

async fn put_machines(Extension(shared): Extension<Arc<Shared>>, body: Bytes) -> Response {
    let now = shared.clock.now();
    match read_json(&body) {
        Ok(machines) => {
            shared.change(|state| state.set_machines(machines, now));
            text_answer(StatusCode::OK, "")
        }
        Err(answer) => answer,
    }
}

async fn put_override(Extension(shared): Extension<Arc<Shared>>, body: Bytes) -> Response {
    match read_json(&body) {
        Ok(untruth) => {
            shared.change(|state| state.set_override(untruth));
            text_answer(StatusCode::OK, "")
        }
        Err(answer) => answer,
    }
}
