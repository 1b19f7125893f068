//! Entry point of the `woodladder` command.

use std::process::ExitCode;

use clap::Parser as _;
use woodladder::command::CommandLine;

fn main() -> ExitCode {
    CommandLine::parse().run().into()
}
