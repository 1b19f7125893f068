//! Start and stop of a back end.

use std::net::SocketAddr;
use std::sync::Arc;

use volo_http::server::Router;
use volo_http::server::route::{get, post};
use volo_http::utils::Extension;

use super::config::BackEndConfig;
use super::fault::BackEndFault;
use super::load::LoadReport;
use super::shared::Shared;
use super::{admin, feed, operation, status};
use crate::stand_in::error::StandInError;
use crate::stand_in::execution_log::ExecutionLog;
use crate::stand_in::gate::Gate;
use crate::stand_in::http_server::HttpServer;

/// A running back end. Dropping it stops it.
#[derive(Debug)]
pub struct BackEnd {
    service: HttpServer,
    admin: HttpServer,
    shared: Arc<Shared>,
}

impl BackEnd {
    /// Binds both addresses and starts to answer.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub async fn start(config: BackEndConfig) -> Result<Self, StandInError> {
        let address = config.address;
        let admin_address = config.admin_address;
        let gate = Gate::default();
        let shared = Arc::new(Shared::new(config, gate.clone()));
        let service_router = service_router(&shared);
        let admin_router = admin::router(Arc::clone(&shared));
        let service = HttpServer::start(address, service_router, gate).await?;
        let admin = HttpServer::start(admin_address, admin_router, Gate::default()).await?;
        Ok(Self {
            service,
            admin,
            shared,
        })
    }

    /// Where the service is answered.
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
    pub fn set_fault(&self, fault: BackEndFault) {
        self.shared.set_fault(fault);
    }

    /// Starts to leave: health says so, and what still arrives is logged with its lateness.
    pub fn drain(&self) {
        self.shared.start_leaving();
    }

    /// What was run so far.
    #[must_use]
    pub fn execution_log(&self) -> ExecutionLog {
        self.shared.recorder.snapshot()
    }

    /// The true load, whatever the load endpoint tells.
    #[must_use]
    pub fn true_load(&self) -> LoadReport {
        self.shared.true_load()
    }

    /// Closes all connections, as a dying process does.
    pub fn shutdown(self) {
        self.service.shutdown();
        self.admin.shutdown();
    }
}

fn service_router(shared: &Arc<Shared>) -> Router {
    Router::new()
        .route("/health", get(status::get_health))
        .route("/load", get(status::get_load))
        .route("/feed", get(feed::get_feed))
        .route("/operation/{operation}", post(operation::post_operation))
        .route("/sheet/{operation}", get(operation::get_sheet))
        .layer(Extension(Arc::clone(shared)))
}
