//! The command line of `woodladder`.

mod agent;
mod balancer;
mod bundle;
mod bundle_difference;
mod bundle_file;
mod check_settings;
mod error;
mod explain;
mod fleet_report;
mod key;
mod key_file;
mod nodes;
mod output;
mod roll;
mod roll_report;
mod runtime;
mod status;
mod status_report;

use clap::{Parser, Subcommand};

use crate::process::{EXIT_CODES_HELP, Exit};

pub use bundle_difference::{BundleDifference, Change, Difference};
pub use bundle_file::{BundleFile, load_bundle};
pub use error::CommandError;
pub use key_file::read_key;

/// Layer-4 load balancer for services whose callers all arrive at once.
#[derive(Debug, Parser)]
#[command(name = "woodladder", version, after_help = EXIT_CODES_HELP)]
pub struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a balancer: forward callers' datagrams to agents
    #[command(after_help = balancer::HELP)]
    Balancer(Box<balancer::BalancerCommand>),
    /// Run an agent beside one back end
    #[command(after_help = agent::HELP)]
    Agent(Box<agent::AgentCommand>),
    /// Create, check, sign, show and compare bundles
    #[command(subcommand, after_help = bundle::HELP)]
    Bundle(bundle::BundleCommand),
    /// Create or show an operator's key
    #[command(subcommand, after_help = key::HELP)]
    Key(key::KeyCommand),
    /// Put a signed bundle in force
    #[command(after_help = roll::HELP)]
    Roll(Box<roll::RollArguments>),
    /// Show what every node has in force
    #[command(after_help = status::HELP)]
    Status(Box<status::StatusArguments>),
    /// Explain one request or flow from the logs of all nodes
    #[command(after_help = explain::HELP)]
    Explain(explain::ExplainArguments),
    /// Report a fleet's message totals and how fast changes reached its nodes, from logs
    #[command(after_help = fleet_report::HELP)]
    FleetReport(fleet_report::FleetReportArguments),
    /// Check settings without running anything
    #[command(after_help = check_settings::HELP)]
    CheckSettings(check_settings::CheckSettingsCommand),
}

impl CommandLine {
    /// Runs the command. Results go to standard output, errors to standard error.
    #[must_use]
    pub fn run(self) -> Exit {
        let result = match self.command {
            Command::Balancer(command) => command.run(),
            Command::Agent(command) => command.run(),
            Command::Bundle(command) => command.run(),
            Command::Key(command) => command.run(),
            Command::Roll(arguments) => arguments.run(),
            Command::Status(arguments) => arguments.run(),
            Command::Explain(arguments) => arguments.run(),
            Command::FleetReport(arguments) => arguments.run(),
            Command::CheckSettings(command) => command.run(),
        };
        match result {
            Ok(()) => Exit::Success,
            Err(error) => {
                eprintln!("{}", error.to_string().trim_end());
                error.exit()
            }
        }
    }
}
