//! `woodladder-lab stand-in fabric`.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use woodladder_lab::stand_in::fabric::{BalancerEndpoint, Fabric, FabricConfig};

use super::ready::Ready;
use super::{RunError, stop_signal};
use crate::command::time_text;

#[derive(Args, Debug)]
pub struct FabricArguments {
    /// Address which callers of one service connect to. Give it once a service.
    #[arg(long = "service-address", required = true)]
    service_addresses: Vec<SocketAddr>,
    /// Where agents send answers.
    #[arg(long, default_value = "127.0.0.1:0")]
    egress_address: SocketAddr,
    /// Where the administrative HTTP interface listens.
    #[arg(long, default_value = "127.0.0.1:0")]
    admin_address: SocketAddr,
    /// Balancer, as ADDRESS or ADDRESS/HEALTH-ADDRESS. Give it once a balancer.
    #[arg(long = "balancer", value_parser = parse_balancer)]
    balancers: Vec<BalancerEndpoint>,
    /// Delay of each datagram in each direction.
    #[arg(long, default_value = "0ms", value_parser = time_text::parse)]
    one_way_delay: Duration,
    /// Time between health checks.
    #[arg(long, default_value = "200ms", value_parser = time_text::parse)]
    health_interval: Duration,
    /// Seed of the choice among balancers.
    #[arg(long, default_value_t = 0)]
    seed: u64,
}

fn parse_balancer(text: &str) -> Result<BalancerEndpoint, String> {
    let (address, health) = match text.split_once('/') {
        None => (text, None),
        Some((address, health)) => (address, Some(health)),
    };
    let parse = |text: &str| {
        text.parse::<SocketAddr>()
            .map_err(|_| format!("`{text}` is not an IP address with a port"))
    };
    Ok(BalancerEndpoint {
        address: parse(address)?,
        health: health.map(parse).transpose()?,
    })
}

pub async fn run(arguments: FabricArguments) -> Result<(), RunError> {
    let stop = stop_signal()?;
    let fabric = Fabric::start(FabricConfig {
        service_addresses: arguments.service_addresses,
        egress_address: arguments.egress_address,
        admin_address: arguments.admin_address,
        balancers: arguments.balancers,
        one_way_delay: arguments.one_way_delay,
        health_interval: arguments.health_interval,
        seed: arguments.seed,
    })
    .await?;
    let ready = Ready::Fabric {
        service_addresses: fabric.service_addresses().to_vec(),
        egress: fabric.egress_address(),
        admin: fabric.admin_address(),
    };
    ready.print()?;
    stop.await;
    fabric.shutdown().await;
    Ok(())
}
