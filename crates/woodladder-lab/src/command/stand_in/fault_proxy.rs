//! `woodladder-lab stand-in fault-proxy`.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use woodladder_lab::fault_proxy::{FaultProxy, FaultProxyConfig, FaultRule, Route};

use super::ready::Ready;
use super::{RunError, stop_signal};
use crate::command::time_text;

#[derive(Args, Debug)]
pub struct FaultProxyArguments {
    /// UDP route, as LISTEN=UPSTREAM. Give it once a route.
    #[arg(long, value_parser = parse_route)]
    udp: Vec<Route>,
    /// TCP route, as LISTEN=UPSTREAM. Give it once a route.
    #[arg(long, value_parser = parse_route)]
    tcp: Vec<Route>,
    /// Where the administrative HTTP interface listens (`GET` and `PUT /rule`).
    #[arg(long, default_value = "127.0.0.1:0")]
    admin_address: SocketAddr,
    /// Chance that a datagram is lost, from 0 to 1.
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Chance that a datagram is delivered twice, from 0 to 1.
    #[arg(long, default_value_t = 0.0)]
    duplicate: f64,
    /// Delay of everything.
    #[arg(long, default_value = "0ms", value_parser = time_text::parse)]
    delay: Duration,
    /// Further random delay up to this; it changes the order of datagrams.
    #[arg(long, default_value = "0ms", value_parser = time_text::parse)]
    jitter: Duration,
    /// Seed of the faults drawn at random.
    #[arg(long, default_value_t = 0)]
    seed: u64,
}

fn parse_route(text: &str) -> Result<Route, String> {
    let expected = || format!("`{text}` is not LISTEN=UPSTREAM, each an IP address with a port");
    let (listen, upstream) = text.split_once('=').ok_or_else(expected)?;
    Ok(Route {
        listen: listen.parse().map_err(|_| expected())?,
        upstream: upstream.parse().map_err(|_| expected())?,
    })
}

pub async fn run(arguments: FaultProxyArguments) -> Result<(), RunError> {
    let stop = stop_signal()?;
    let rule = FaultRule {
        loss: arguments.loss,
        duplicate: arguments.duplicate,
        delay_us: microseconds(arguments.delay),
        jitter_us: microseconds(arguments.jitter),
        ..FaultRule::default()
    };
    let proxy = FaultProxy::start(FaultProxyConfig {
        udp: arguments.udp,
        tcp: arguments.tcp,
        admin_address: arguments.admin_address,
        rule,
        seed: arguments.seed,
    })
    .await?;
    let ready = Ready::FaultProxy {
        udp: proxy.udp_addresses().to_vec(),
        tcp: proxy.tcp_addresses().to_vec(),
        admin: proxy.admin_address(),
    };
    ready.print()?;
    stop.await;
    proxy.shutdown().await;
    Ok(())
}

fn microseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
