//! The nodes that an operator's command sends control messages to.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};

use slog::{Logger, warn};

use super::error::CommandError;
use crate::control::ControlSocket;
use crate::settings::{ClusterKeys, OperatorSettings};
use crate::store::{MachineListClient, MachineState, ServiceError};

/// Control addresses of the seeds and of the machines listed as live. When no
/// machine list is set or it cannot be read, these are only the seeds.
pub(super) async fn find_addresses(
    settings: &OperatorSettings,
    logger: &Logger,
) -> Vec<SocketAddr> {
    let mut nodes: BTreeSet<SocketAddr> = settings.platform.seeds.iter().copied().collect();
    if let Some(address) = settings.platform.machine_list {
        match live_machines(address).await {
            Ok(live) => nodes.extend(live),
            Err(error) => {
                warn!(logger, "command: cannot read the machine list"; "reason" => %error)
            }
        }
    }
    nodes.into_iter().collect()
}

async fn live_machines(address: SocketAddr) -> Result<Vec<SocketAddr>, ServiceError> {
    let machines = MachineListClient::new(address)?.read().await?;
    let live = machines
        .iter()
        .filter(|machine| machine.state == MachineState::Live);
    Ok(live.map(|machine| machine.address).collect())
}

/// Binds a socket for control messages to these nodes, for the IP version of the
/// first one.
pub(super) async fn bind_socket(
    settings: &OperatorSettings,
    nodes: &[SocketAddr],
) -> Result<ControlSocket, CommandError> {
    let address = match nodes.first() {
        Some(SocketAddr::V6(_)) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
        _ => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
    };
    let key = ClusterKeys::derived_from(&settings.cluster_key).control;
    ControlSocket::bind(address, key)
        .await
        .map_err(|error| CommandError::Internal(error.to_string()))
}
