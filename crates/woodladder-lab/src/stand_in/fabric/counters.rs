//! Counters of the fabric.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// Datagrams sent to one balancer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BalancerCount {
    /// The balancer's address.
    pub address: SocketAddr,
    /// Datagrams sent to it.
    pub datagrams: u64,
}

/// What the fabric carried and dropped.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FabricCounters {
    /// Datagrams to each balancer, by address.
    pub balancers: Vec<BalancerCount>,
    /// Datagrams from agents to callers.
    pub answers: u64,
    /// Callers' datagrams dropped because no balancer was ready.
    pub dropped_without_balancer: u64,
    /// Agents' datagrams dropped for a malformed header.
    pub dropped_malformed: u64,
    /// Agents' datagrams dropped because their source is no service address.
    pub dropped_unknown_service: u64,
    /// Datagrams dropped because a queue or socket buffer was full.
    pub dropped_overflow: u64,
}

#[derive(Debug, Default)]
pub(super) struct Counters {
    balancers: Mutex<BTreeMap<SocketAddr, u64>>,
    pub(super) answers: AtomicU64,
    pub(super) without_balancer: AtomicU64,
    pub(super) malformed: AtomicU64,
    pub(super) unknown_service: AtomicU64,
    pub(super) overflow: AtomicU64,
}

impl Counters {
    pub(super) fn sprayed(&self, balancer: SocketAddr) {
        let mut balancers = self
            .balancers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *balancers.entry(balancer).or_default() += 1;
    }

    pub(super) fn snapshot(&self) -> FabricCounters {
        let balancers = self
            .balancers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        FabricCounters {
            balancers: balancers
                .iter()
                .map(|(address, datagrams)| BalancerCount {
                    address: *address,
                    datagrams: *datagrams,
                })
                .collect(),
            answers: self.answers.load(Ordering::Relaxed),
            dropped_without_balancer: self.without_balancer.load(Ordering::Relaxed),
            dropped_malformed: self.malformed.load(Ordering::Relaxed),
            dropped_unknown_service: self.unknown_service.load(Ordering::Relaxed),
            dropped_overflow: self.overflow.load(Ordering::Relaxed),
        }
    }
}

pub(super) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
