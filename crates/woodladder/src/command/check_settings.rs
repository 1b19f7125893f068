//! `woodladder check-settings`: checks settings without running a daemon or a
//! command.

use std::path::PathBuf;

use clap::{Args, ValueEnum};
use woodladder_core::finding::Findings;

use super::error::CommandError;
use crate::settings::{AgentSettings, BalancerSettings, OperatorSettings, SettingsLayers};

pub(super) const HELP: &str = "Examples:
  woodladder check-settings --role balancer balancer.toml
  WOODLADDER_ZONE=north-1 woodladder check-settings --role agent agent.toml

Environment variables override the file, as they do when the command itself runs.";

#[derive(Args, Debug)]
pub(super) struct CheckSettingsCommand {
    /// Role that the settings are for
    #[arg(long, value_enum)]
    role: SettingsRole,
    /// Settings file
    #[arg(value_name = "FILE")]
    file: PathBuf,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum SettingsRole {
    Balancer,
    Agent,
    Operator,
}

impl CheckSettingsCommand {
    pub(super) fn run(self) -> Result<(), CommandError> {
        let mut findings = Findings::new();
        let layers = SettingsLayers::new()
            .file(&self.file, &mut findings)
            .environment();
        match self.role {
            SettingsRole::Balancer => BalancerSettings::read(&layers, findings).map(drop)?,
            SettingsRole::Agent => AgentSettings::read(&layers, findings).map(drop)?,
            SettingsRole::Operator => OperatorSettings::read(&layers, findings).map(drop)?,
        }
        println!("no findings");
        Ok(())
    }
}
