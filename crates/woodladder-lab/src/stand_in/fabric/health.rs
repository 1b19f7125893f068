//! Health checks of the balancers.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, timeout};
use volo_http::client::{Client, ClientBuilder};
use volo_http::response::Response;

use super::balancers::BalancerSet;
use crate::stand_in::error::StandInError;

const READY_PATH: &str = "/ready";

/// The endless task of checking every balancer once per `period`.
pub(super) fn run(
    balancers: Arc<BalancerSet>,
    period: Duration,
) -> Result<impl Future<Output = ()> + Send, StandInError> {
    let client = ClientBuilder::new()
        .build()
        .map_err(|error| StandInError::HttpClient {
            reason: error.to_string(),
        })?;
    Ok(check_forever(balancers, client, period))
}

async fn check_forever(balancers: Arc<BalancerSet>, client: Client, period: Duration) {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut checks = JoinSet::new();
    loop {
        ticks.tick().await;
        for endpoint in balancers.checked() {
            let Some(health) = endpoint.health else {
                continue;
            };
            let client = client.clone();
            let balancers = Arc::clone(&balancers);
            checks.spawn(async move {
                let ready = is_ready(&client, health, period).await;
                balancers.set_ready(endpoint, ready);
            });
        }
        while checks.join_next().await.is_some() {}
    }
}

async fn is_ready(client: &Client, health: SocketAddr, limit: Duration) -> bool {
    let request = client.get(format!("http://{health}{READY_PATH}")).send();
    let answer: Result<Response, _> = match timeout(limit, request).await {
        Ok(answer) => answer,
        Err(_) => return false,
    };
    answer.is_ok_and(|answer| answer.status().is_success())
}
