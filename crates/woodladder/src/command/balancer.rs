//! `woodladder balancer`: runs a balancer.

use clap::Args;
use woodladder_core::finding::Findings;

use super::error::CommandError;
use super::runtime;
use crate::settings::{BalancerFlags, BalancerSettings};
use crate::{daemon, log};

pub(super) const HELP: &str = "Examples:
  woodladder balancer --settings balancer.toml
  woodladder balancer --settings balancer.toml --zone north-2 --log-format json
  WOODLADDER_HTTP_LISTEN=10.0.0.5:9000 woodladder balancer --settings balancer.toml

SIGTERM requests a planned stop: /ready answers 503, forwarding continues for
stop_grace and then until traffic has ceased or stop_timeout has passed, and the
process ends with code 0.";

/// Number of threads for the control plane and the HTTP server. Forwarding has its
/// own threads.
const CONTROL_THREADS: usize = 1;

#[derive(Args, Debug)]
pub(super) struct BalancerCommand {
    #[command(flatten)]
    flags: BalancerFlags,
}

impl BalancerCommand {
    pub(super) fn run(self) -> Result<(), CommandError> {
        let mut findings = Findings::new();
        let file = self.flags.node.settings.as_deref();
        let layers = runtime::merge_layers(file, &self.flags, &mut findings);
        let settings = BalancerSettings::read(&layers, findings)?;
        let (logger, _guard) = log::open(settings.node.log);
        runtime::block_on(CONTROL_THREADS, daemon::run_balancer(settings, logger))
    }
}
