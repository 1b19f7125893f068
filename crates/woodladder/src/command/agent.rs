//! `woodladder agent`: runs an agent.

use clap::Args;
use woodladder_core::finding::Findings;

use super::error::CommandError;
use super::runtime;
use crate::settings::{AgentFlags, AgentSettings};
use crate::{daemon, log};

pub(super) const HELP: &str = "Examples:
  woodladder agent --settings agent.toml
  woodladder agent --settings agent.toml --target 12 --back-end 127.0.0.1:8080
  WOODLADDER_SLOTS=5 woodladder agent --settings agent.toml

SIGTERM requests a planned stop: callers are told to use another target, no new
work is accepted, and the process ends with code 0 when its last stream has ended
or drain_timeout has passed.";

#[derive(Args, Debug)]
pub(super) struct AgentCommand {
    #[command(flatten)]
    flags: AgentFlags,
}

impl AgentCommand {
    pub(super) fn run(self) -> Result<(), CommandError> {
        let mut findings = Findings::new();
        let file = self.flags.node.settings.as_deref();
        let layers = runtime::merge_layers(file, &self.flags, &mut findings);
        let settings = AgentSettings::read(&layers, findings)?;
        let (logger, _guard) = log::open(settings.node.log);
        runtime::block_on(settings.worker_threads, daemon::run_agent(settings, logger))
    }
}
