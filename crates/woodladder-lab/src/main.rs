//! Entry point of the `woodladder-lab` command.

mod command;

use std::process::ExitCode;

use clap::Parser;

use command::CommandLine;

fn main() -> ExitCode {
    CommandLine::parse().run()
}
