//! Start and stop of the store.

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

use governor::{Quota, RateLimiter};
use tokio::task::JoinSet;
use tokio::time::sleep;
use volo_http::server::Router;
use volo_http::server::route::{get, put};
use volo_http::utils::Extension;

use super::fault::StoreFault;
use super::shared::Shared;
use super::state::{StoreOperation, StoreOutcome, StoreState};
use super::{admin, kv, session};
use crate::stand_in::error::StandInError;
use crate::stand_in::gate::Gate;
use crate::stand_in::http_server::HttpServer;

/// Largest value, in bytes.
const VALUE_LIMIT: usize = 512 * 1024;

/// Longest time between two looks for lapsed sessions.
const EXPIRY_PERIOD: Duration = Duration::from_millis(50);

/// How the store is set up.
#[derive(Clone, Copy, Debug)]
pub struct StoreConfig {
    /// Where the key-value interface listens.
    pub address: SocketAddr,
    /// Where the administrative interface listens.
    pub admin_address: SocketAddr,
    /// Requests a second beyond which status 429 is answered; `None` for no limit.
    pub requests_per_second: Option<NonZeroU32>,
    /// Largest value, in bytes.
    pub value_limit: usize,
}

impl Default for StoreConfig {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            address: any,
            admin_address: any,
            requests_per_second: None,
            value_limit: VALUE_LIMIT,
        }
    }
}

/// A running store. Dropping it stops it.
#[derive(Debug)]
pub struct Store {
    service: HttpServer,
    admin: HttpServer,
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

impl Store {
    /// Binds both addresses and starts to answer.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub async fn start(config: StoreConfig) -> Result<Self, StandInError> {
        let gate = Gate::default();
        let rate_limiter = config
            .requests_per_second
            .map(|rate| RateLimiter::direct(Quota::per_second(rate)));
        let state = StoreState::new(config.value_limit);
        let shared = Arc::new(Shared::new(state, gate.clone(), rate_limiter));
        let service_router = service_router(&shared);
        let admin_router = admin::router(Arc::clone(&shared));
        let service = HttpServer::start(config.address, service_router, gate).await?;
        let admin = HttpServer::start(config.admin_address, admin_router, Gate::default()).await?;
        let mut tasks = JoinSet::new();
        tasks.spawn(expire_sessions(Arc::clone(&shared)));
        Ok(Self {
            service,
            admin,
            shared,
            _tasks: tasks,
        })
    }

    /// Where the key-value interface listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.service.address()
    }

    /// Address of the administrative interface.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Replaces the faults in force.
    pub fn set_fault(&self, fault: StoreFault) {
        self.shared.set_fault(fault);
    }

    /// Carries out an operation without going over the network; faults do not apply.
    pub fn apply(&self, operation: StoreOperation) -> StoreOutcome {
        self.shared.apply(operation)
    }

    /// Stops answering.
    pub fn shutdown(self) {
        self.service.shutdown();
        self.admin.shutdown();
    }
}

fn service_router(shared: &Arc<Shared>) -> Router {
    Router::new()
        .route(
            "/v1/kv/{*key}",
            get(kv::get_key).put(kv::put_key).delete(kv::delete_key),
        )
        .route("/v1/session/create", put(session::create))
        .route("/v1/session/renew/{session}", put(session::renew))
        .route("/v1/session/destroy/{session}", put(session::destroy))
        .layer(Extension(Arc::clone(shared)))
}

async fn expire_sessions(shared: Arc<Shared>) {
    loop {
        let next = shared.expire().unwrap_or(EXPIRY_PERIOD);
        sleep(next.clamp(Duration::from_millis(1), EXPIRY_PERIOD)).await;
    }
}
