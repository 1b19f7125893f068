//! `woodladder-lab stand-in back-end`.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use woodladder_lab::stand_in::back_end::{BackEnd, BackEndConfig};

use super::ready::Ready;
use super::{RunError, stop_signal};
use crate::command::time_text;

#[derive(Args, Debug)]
pub struct BackEndArguments {
    /// Where the service is answered.
    #[arg(long, default_value = "127.0.0.1:0")]
    address: SocketAddr,
    /// Where the administrative HTTP interface listens.
    #[arg(long, default_value = "127.0.0.1:0")]
    admin_address: SocketAddr,
    /// Name of the service.
    #[arg(long)]
    service: String,
    /// Name of this back end, for its log.
    #[arg(long)]
    name: String,
    /// Requests run at one time.
    #[arg(long, default_value_t = 7)]
    slots: usize,
    /// Requests and feeds open at one time.
    #[arg(long, default_value_t = 2_000)]
    connection_limit: usize,
    /// Time to run an operation, and to make a sheet.
    #[arg(long, default_value = "20ms", value_parser = time_text::parse)]
    service_time: Duration,
    /// How long the back end is slower after its start.
    #[arg(long, default_value = "0ms", value_parser = time_text::parse)]
    cold_start: Duration,
    /// How many times slower it is at its start.
    #[arg(long, default_value_t = 1.0)]
    cold_factor: f64,
    /// Time between the ticks of a feed.
    #[arg(long, default_value = "500ms", value_parser = time_text::parse)]
    feed_interval: Duration,
    /// Payload of an operation's answer, in bytes.
    #[arg(long, default_value_t = 256)]
    answer_bytes: usize,
    /// Payload of a sheet, in bytes.
    #[arg(long, default_value_t = 65_536)]
    sheet_bytes: usize,
    /// Seed of the faults drawn at random.
    #[arg(long, default_value_t = 0)]
    seed: u64,
}

pub async fn run(arguments: BackEndArguments) -> Result<(), RunError> {
    let stop = stop_signal()?;
    let back_end = BackEnd::start(BackEndConfig {
        address: arguments.address,
        admin_address: arguments.admin_address,
        service: arguments.service,
        name: arguments.name,
        slots: arguments.slots,
        connection_limit: arguments.connection_limit,
        service_time: arguments.service_time,
        cold_start: arguments.cold_start,
        cold_factor: arguments.cold_factor,
        feed_interval: arguments.feed_interval,
        answer_bytes: arguments.answer_bytes,
        sheet_bytes: arguments.sheet_bytes,
        seed: arguments.seed,
    })
    .await?;
    let ready = Ready::BackEnd {
        address: back_end.address(),
        admin: back_end.admin_address(),
    };
    ready.print()?;
    stop.await;
    back_end.shutdown();
    Ok(())
}
