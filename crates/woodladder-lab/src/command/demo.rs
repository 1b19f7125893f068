//! `woodladder-lab demo`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use woodladder_lab::demo::{self, DemoOptions};

use super::time_text;

/// Exit code when a promise was broken.
const BROKEN: u8 = 1;
/// Exit code when the deployments could not be brought up.
const NOT_RUN: u8 = 2;

/// Both example deployments on loopback, with real processes.
#[derive(Args, Debug)]
#[command(after_help = "Example:\n  \
    cargo run --release -p woodladder-lab -- demo --json\n\n\
    Exit codes: 0 every promise kept, 1 a promise broken, 2 not brought up.")]
pub struct DemoCommand {
    /// Print one JSON object instead of lines.
    #[arg(long)]
    json: bool,
    /// Length of the surge.
    #[arg(long, default_value = "16s", value_parser = time_text::parse)]
    surge: Duration,
    /// Keep the processes' settings and logs in this directory.
    #[arg(long)]
    keep: Option<PathBuf>,
}

impl DemoCommand {
    /// Runs the demo.
    pub fn run(self) -> ExitCode {
        let options = DemoOptions {
            surge: self.surge,
            directory: self.keep,
            progress: !self.json,
        };
        let runtime = match tokio::runtime::Runtime::new() {
            Ok(runtime) => runtime,
            Err(error) => {
                eprintln!("demo: the system refused: {error}");
                return ExitCode::from(NOT_RUN);
            }
        };
        match runtime.block_on(demo::run(&options)) {
            Ok(report) if self.json => match serde_json::to_string(&report) {
                Ok(text) => {
                    println!("{text}");
                    exit(report.kept)
                }
                Err(error) => {
                    eprintln!("demo: the report cannot be written: {error}");
                    ExitCode::from(NOT_RUN)
                }
            },
            Ok(report) => {
                print!("{report}");
                exit(report.kept)
            }
            Err(error) => {
                eprintln!("demo: {error}");
                ExitCode::from(NOT_RUN)
            }
        }
    }
}

fn exit(kept: bool) -> ExitCode {
    if kept {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(BROKEN)
    }
}
