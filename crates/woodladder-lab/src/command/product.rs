//! `woodladder-lab product`: this program acting as `woodladder`.
//!
//! The demo and tests start the product's processes from the program that is
//! already running, so that no second one has to be built or found.

use std::ffi::OsString;
use std::process::ExitCode;

use clap::{Args, Parser};

/// Arguments for `woodladder`.
#[derive(Args, Debug)]
pub struct ProductCommand {
    /// Arguments, as `woodladder` takes them.
    #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
    arguments: Vec<OsString>,
}

impl ProductCommand {
    /// Runs the product's command.
    pub fn run(self) -> ExitCode {
        let name = OsString::from("woodladder");
        let arguments = std::iter::once(name).chain(self.arguments);
        woodladder::command::CommandLine::parse_from(arguments)
            .run()
            .into()
    }
}
