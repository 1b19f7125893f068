//! Relays datagrams of one route, with an upstream socket for each client.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::plan::{Fate, FaultPlan};
use super::rule::Direction;
use super::switch::RuleSwitch;
use crate::stand_in::error::StandInError;
use crate::stand_in::socket::{MAXIMUM_DATAGRAM, bind_udp};

/// Clients relayed at most; further ones are dropped.
const CLIENT_LIMIT: usize = 4_096;

pub(super) struct UdpRelay {
    pub(super) listener: Arc<UdpSocket>,
    pub(super) upstream: SocketAddr,
    pub(super) switch: RuleSwitch,
    pub(super) seed: u64,
    pub(super) stream: u64,
}

/// Where a datagram goes, and through which socket.
#[derive(Clone)]
struct Way {
    socket: Arc<UdpSocket>,
    destination: SocketAddr,
    direction: Direction,
}

impl UdpRelay {
    /// Relays until dropped.
    pub(super) async fn run(self) {
        let mut plan = FaultPlan::new(self.seed, self.stream);
        let mut clients: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut tasks = JoinSet::new();
        let mut buffer = vec![0; MAXIMUM_DATAGRAM];
        loop {
            self.switch.wait_while_frozen().await;
            while tasks.try_join_next().is_some() {}
            // An error here is one reported for an earlier datagram; the socket stays usable.
            let Ok((length, client)) = self.listener.recv_from(&mut buffer).await else {
                continue;
            };
            self.switch.wait_while_frozen().await;
            let socket = match clients.get(&client) {
                Some(socket) => Arc::clone(socket),
                None if clients.len() < CLIENT_LIMIT => {
                    let Ok(socket) = self.open_client(client, clients.len(), &mut tasks) else {
                        continue;
                    };
                    clients.insert(client, Arc::clone(&socket));
                    socket
                }
                None => continue,
            };
            let way = Way {
                socket,
                destination: self.upstream,
                direction: Direction::ToUpstream,
            };
            relay(&way, &buffer[..length], &mut plan, &self.switch, &mut tasks).await;
        }
    }

    fn open_client(
        &self,
        client: SocketAddr,
        ordinal: usize,
        tasks: &mut JoinSet<()>,
    ) -> Result<Arc<UdpSocket>, StandInError> {
        let any = SocketAddr::new(self.listener_ip(), 0);
        let socket = Arc::new(bind_udp(any)?);
        let back = ReturnPath {
            socket: Arc::clone(&socket),
            way: Way {
                socket: Arc::clone(&self.listener),
                destination: client,
                direction: Direction::ToClient,
            },
            upstream: self.upstream,
            switch: self.switch.clone(),
            plan: FaultPlan::new(self.seed, self.stream + 1 + ordinal as u64),
        };
        tasks.spawn(back.run());
        Ok(socket)
    }

    fn listener_ip(&self) -> std::net::IpAddr {
        match self.listener.local_addr() {
            Ok(address) => address.ip(),
            Err(_) => self.upstream.ip(),
        }
    }
}

struct ReturnPath {
    socket: Arc<UdpSocket>,
    way: Way,
    upstream: SocketAddr,
    switch: RuleSwitch,
    plan: FaultPlan,
}

impl ReturnPath {
    async fn run(mut self) {
        let mut tasks = JoinSet::new();
        let mut buffer = vec![0; MAXIMUM_DATAGRAM];
        loop {
            self.switch.wait_while_frozen().await;
            while tasks.try_join_next().is_some() {}
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            if from != self.upstream {
                continue;
            }
            self.switch.wait_while_frozen().await;
            let datagram = &buffer[..length];
            relay(
                &self.way,
                datagram,
                &mut self.plan,
                &self.switch,
                &mut tasks,
            )
            .await;
        }
    }
}

async fn relay(
    way: &Way,
    datagram: &[u8],
    plan: &mut FaultPlan,
    switch: &RuleSwitch,
    tasks: &mut JoinSet<()>,
) {
    match plan.datagram(&switch.get(), way.direction) {
        Fate::Lost => switch.count_lost(),
        Fate::Delivered { after } => deliver(way, datagram, after, switch, tasks).await,
        Fate::DeliveredTwice { after, again_after } => {
            deliver(way, datagram, after, switch, tasks).await;
            deliver(way, datagram, again_after, switch, tasks).await;
        }
    }
}

async fn deliver(
    way: &Way,
    datagram: &[u8],
    after: Duration,
    switch: &RuleSwitch,
    tasks: &mut JoinSet<()>,
) {
    if after.is_zero() {
        // A datagram that cannot be sent is lost, as on a network.
        let _ = way.socket.send_to(datagram, way.destination).await;
        return;
    }
    let way = way.clone();
    let datagram = datagram.to_vec();
    let switch = switch.clone();
    tasks.spawn(async move {
        sleep(after).await;
        switch.wait_while_frozen().await;
        let _ = way.socket.send_to(&datagram, way.destination).await;
    });
}
