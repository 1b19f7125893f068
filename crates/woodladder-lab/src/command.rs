//! Command line of `woodladder-lab`. Each subcommand has a module of its own.

mod demo;
mod measure;
mod platform_day;
mod platform_node;
mod product;
mod simulate;
mod simulate_flows;
mod soak;
mod stand_in;
mod time_text;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Laboratory of woodladder: stand-ins for the platform, load and measurements.
#[derive(Debug, Parser)]
#[command(name = "woodladder-lab", version)]
pub struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run both example deployments on loopback and check every promise.
    Demo(demo::DemoCommand),
    /// Measure broken flows, imbalance, the balancer's decision and its packet path.
    Measure(measure::MeasureCommand),
    /// Run a day on the stand-in of the users' platform, with real processes.
    PlatformDay(platform_day::PlatformDayCommand),
    /// Act as the `woodladder-platform` program.
    PlatformNode(platform_node::PlatformNodeCommand),
    /// Act as the `woodladder` program.
    Product(product::ProductCommand),
    /// Run seeds of the deterministic simulation and report promises not kept.
    Simulate(simulate::SimulateCommand),
    /// Run seeds of the simulation of the carrier without tokens.
    SimulateFlows(simulate_flows::SimulateFlowsCommand),
    /// Run the real processes under faults drawn from seeds and check the promises.
    Soak(soak::SoakCommand),
    /// Run one stand-in until SIGTERM; its first line of output is JSON with the bound addresses.
    StandIn(stand_in::StandInCommand),
}

impl CommandLine {
    /// Runs the chosen subcommand.
    pub fn run(self) -> ExitCode {
        match self.command {
            Command::Demo(command) => command.run(),
            Command::Measure(command) => command.run(),
            Command::PlatformDay(command) => command.run(),
            Command::PlatformNode(command) => command.run(),
            Command::Product(command) => command.run(),
            Command::Simulate(command) => command.run(),
            Command::SimulateFlows(command) => command.run(),
            Command::Soak(command) => command.run(),
            Command::StandIn(command) => command.run(),
        }
    }
}
