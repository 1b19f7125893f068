//! `woodladder-lab platform-node`.

use std::process::ExitCode;

use clap::Args;
use woodladder_platform::command::{Arguments, run};

/// The platform's program, so that tests need no other one.
#[derive(Args, Debug)]
pub struct PlatformNodeCommand {
    #[command(flatten)]
    arguments: Arguments,
}

impl PlatformNodeCommand {
    /// Runs the program.
    pub fn run(self) -> ExitCode {
        run(self.arguments)
    }
}
