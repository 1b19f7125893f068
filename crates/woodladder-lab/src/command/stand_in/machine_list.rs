//! `woodladder-lab stand-in machine-list`.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use woodladder_lab::stand_in::machine_list::{
    Machine, MachineList, MachineListConfig, MachineRole, MachineState,
};

use super::ready::Ready;
use super::{RunError, stop_signal};
use crate::command::time_text;

#[derive(Args, Debug)]
pub struct MachineListArguments {
    /// Where `GET /machines` is answered.
    #[arg(long, default_value = "127.0.0.1:0")]
    address: SocketAddr,
    /// Where the administrative HTTP interface listens.
    #[arg(long, default_value = "127.0.0.1:0")]
    admin_address: SocketAddr,
    /// Control address of a balancer in the list. Give it once a balancer.
    #[arg(long = "balancer")]
    balancers: Vec<SocketAddr>,
    /// Control address of an agent in the list. Give it once an agent.
    #[arg(long = "agent")]
    agents: Vec<SocketAddr>,
    /// Time until a change is visible.
    #[arg(long, default_value = "0ms", value_parser = time_text::parse)]
    lag: Duration,
}

pub async fn run(arguments: MachineListArguments) -> Result<(), RunError> {
    let stop = stop_signal()?;
    let balancers = live(arguments.balancers, MachineRole::Balancer);
    let agents = live(arguments.agents, MachineRole::Agent);
    let list = MachineList::start(MachineListConfig {
        address: arguments.address,
        admin_address: arguments.admin_address,
        machines: balancers.chain(agents).collect(),
        lag: arguments.lag,
    })
    .await?;
    let ready = Ready::MachineList {
        address: list.address(),
        admin: list.admin_address(),
    };
    ready.print()?;
    stop.await;
    list.shutdown();
    Ok(())
}

fn live(addresses: Vec<SocketAddr>, role: MachineRole) -> impl Iterator<Item = Machine> {
    addresses.into_iter().map(move |address| Machine {
        address,
        role,
        state: MachineState::Live,
    })
}
