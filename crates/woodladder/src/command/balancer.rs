//! `woodladder balancer`: run a balancer.

use clap::Args;
use woodladder_core::finding::Findings;

use super::failure::Failure;
use super::runtime;
use crate::settings::{BalancerFlags, BalancerSettings};
use crate::{daemon, log};

pub(super) const HELP: &str = "Examples:
  woodladder balancer --settings balancer.toml
  woodladder balancer --settings balancer.toml --zone north-2 --log-format json
  WOODLADDER_HTTP_LISTEN=10.0.0.5:9000 woodladder balancer --settings balancer.toml

SIGTERM asks for a planned stop: /ready turns 503, forwarding goes on for
stop_grace and until traffic has ceased, then the process ends with code 0.";

/// Threads for control and endpoints; forwarding has threads of its own.
const CONTROL_THREADS: usize = 1;

#[derive(Args, Debug)]
pub(super) struct BalancerCommand {
    #[command(flatten)]
    flags: BalancerFlags,
}

impl BalancerCommand {
    pub(super) fn run(self) -> Result<(), Failure> {
        let mut findings = Findings::new();
        let file = self.flags.node.settings.as_deref();
        let layers = runtime::layers(file, &self.flags, &mut findings);
        let settings = BalancerSettings::read(&layers, findings)?;
        let (logger, _guard) = log::open(settings.node.log);
        runtime::run(CONTROL_THREADS, daemon::run_balancer(settings, logger))
    }
}
