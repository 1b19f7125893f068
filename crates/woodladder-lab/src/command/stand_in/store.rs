//! `woodladder-lab stand-in store`.

use std::net::SocketAddr;
use std::num::NonZeroU32;

use clap::Args;
use woodladder_lab::stand_in::store::{Store, StoreConfig};

use super::ready::Ready;
use super::{RunError, stop_signal};

#[derive(Args, Debug)]
pub struct StoreArguments {
    /// Where the key-value interface listens.
    #[arg(long, default_value = "127.0.0.1:0")]
    address: SocketAddr,
    /// Where the administrative HTTP interface listens.
    #[arg(long, default_value = "127.0.0.1:0")]
    admin_address: SocketAddr,
    /// Requests a second beyond which status 429 is answered; no limit when absent.
    #[arg(long)]
    requests_per_second: Option<NonZeroU32>,
    /// Largest value, in bytes.
    #[arg(long, default_value_t = StoreConfig::default().value_limit)]
    value_limit: usize,
}

pub async fn run(arguments: StoreArguments) -> Result<(), RunError> {
    let stop = stop_signal()?;
    let store = Store::start(StoreConfig {
        address: arguments.address,
        admin_address: arguments.admin_address,
        requests_per_second: arguments.requests_per_second,
        value_limit: arguments.value_limit,
    })
    .await?;
    let ready = Ready::Store {
        address: store.address(),
        admin: store.admin_address(),
    };
    ready.print()?;
    stop.await;
    store.shutdown();
    Ok(())
}
