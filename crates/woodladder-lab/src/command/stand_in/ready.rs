//! The line of JSON which a stand-in prints when it is ready.

use std::io::{self, Write};
use std::net::SocketAddr;

use serde::Serialize;

/// Bound addresses, told once.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case", tag = "stand_in")]
pub enum Ready {
    /// The fabric carries datagrams.
    Fabric {
        service_addresses: Vec<SocketAddr>,
        egress: SocketAddr,
        admin: SocketAddr,
    },
    /// The store answers.
    Store {
        address: SocketAddr,
        admin: SocketAddr,
    },
    /// The machine list answers.
    MachineList {
        address: SocketAddr,
        admin: SocketAddr,
    },
    /// The back end answers.
    BackEnd {
        address: SocketAddr,
        admin: SocketAddr,
    },
    /// The fault proxy relays; addresses are in the order of the routes.
    FaultProxy {
        udp: Vec<SocketAddr>,
        tcp: Vec<SocketAddr>,
        admin: SocketAddr,
    },
}

impl Ready {
    /// Prints the line on standard output.
    pub fn print(&self) -> io::Result<()> {
        let mut output = io::stdout().lock();
        serde_json::to_writer(&mut output, self)?;
        output.write_all(b"\n")?;
        output.flush()
    }
}
