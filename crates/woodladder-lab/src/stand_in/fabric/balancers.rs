//! The balancers which the fabric knows, and those ready to be sent to.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// A balancer as told to the fabric.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerEndpoint {
    /// Where the balancer takes datagrams.
    pub address: SocketAddr,
    /// Where it answers `GET /ready`. Without it, the balancer counts as ready.
    #[serde(default)]
    pub health: Option<SocketAddr>,
}

#[derive(Debug)]
struct Member {
    endpoint: BalancerEndpoint,
    ready: bool,
}

/// Balancers with their readiness; publishes the ready ones.
#[derive(Debug)]
pub(super) struct BalancerSet {
    members: Mutex<Vec<Member>>,
    ready: watch::Sender<Arc<[SocketAddr]>>,
}

impl BalancerSet {
    pub(super) fn new(endpoints: &[BalancerEndpoint]) -> Self {
        let set = Self {
            members: Mutex::new(Vec::new()),
            ready: watch::Sender::new(Arc::from([])),
        };
        set.replace(endpoints);
        set
    }

    /// Addresses of the ready balancers, as they change.
    pub(super) fn subscribe(&self) -> watch::Receiver<Arc<[SocketAddr]>> {
        self.ready.subscribe()
    }

    /// Replaces the balancers; those which stay keep their readiness.
    pub(super) fn replace(&self, endpoints: &[BalancerEndpoint]) {
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let replaced = endpoints
            .iter()
            .map(|endpoint| Member {
                endpoint: *endpoint,
                ready: endpoint.health.is_none() || was_ready(&members, *endpoint),
            })
            .collect();
        *members = replaced;
        self.publish(&members);
    }

    /// Endpoints with a health address.
    pub(super) fn checked(&self) -> Vec<BalancerEndpoint> {
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        members
            .iter()
            .map(|member| member.endpoint)
            .filter(|endpoint| endpoint.health.is_some())
            .collect()
    }

    /// Notes the result of a health check.
    pub(super) fn set_ready(&self, endpoint: BalancerEndpoint, ready: bool) {
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let mut changed = false;
        for member in members.iter_mut() {
            if member.endpoint == endpoint && member.ready != ready {
                member.ready = ready;
                changed = true;
            }
        }
        if changed {
            self.publish(&members);
        }
    }

    fn publish(&self, members: &[Member]) {
        let ready = members
            .iter()
            .filter(|member| member.ready)
            .map(|member| member.endpoint.address)
            .collect();
        self.ready.send_replace(ready);
    }
}

fn was_ready(members: &[Member], endpoint: BalancerEndpoint) -> bool {
    members
        .iter()
        .any(|member| member.endpoint == endpoint && member.ready)
}
