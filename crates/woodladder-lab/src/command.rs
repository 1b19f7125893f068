//! Command line of `woodladder-lab`. Each subcommand has a module of its own.

mod simulate;
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
    /// Run one stand-in until SIGTERM; its first line of output is JSON with the bound addresses.
    StandIn(stand_in::StandInCommand),
    /// Run seeds of the deterministic simulation and report promises not kept.
    Simulate(simulate::SimulateCommand),
}

impl CommandLine {
    /// Runs the chosen subcommand.
    pub fn run(self) -> ExitCode {
        match self.command {
            Command::StandIn(command) => command.run(),
            Command::Simulate(command) => command.run(),
        }
    }
}
