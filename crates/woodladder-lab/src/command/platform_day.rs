//! `woodladder-lab platform-day`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use woodladder_lab::platform::{self, DayOptions, DayReport, SiteError};

use super::time_text;

/// Exit code when a promise was broken or a request failed.
const BROKEN: u8 = 1;
/// Exit code when the day could not be run.
const NOT_RUN: u8 = 2;

/// A day on the stand-in of the users' platform.
#[derive(Args, Debug)]
#[command(after_help = "Example:\n  \
    cargo run --release -p woodladder-lab -- platform-day\n\n\
    Exit codes: 0 every promise kept, 1 a promise broken, 2 not brought up.")]
pub struct PlatformDayCommand {
    /// Print one JSON object instead of lines.
    #[arg(long)]
    json: bool,
    /// Time between two events.
    #[arg(long, default_value = "2s", value_parser = time_text::parse)]
    step: Duration,
    /// Kill balancers and let the store fail, besides planned work.
    #[arg(long)]
    faults: bool,
    /// Exclude a zone for seven seconds; its targets return cold.
    #[arg(long)]
    exclude_zone: bool,
    /// Keep the processes' settings and logs in this directory.
    #[arg(long)]
    keep: Option<PathBuf>,
}

impl PlatformDayCommand {
    /// Runs the day.
    pub fn run(self) -> ExitCode {
        match self.play() {
            Ok(report) => self.tell(&report),
            Err(error) => {
                eprintln!("platform-day: {error}");
                ExitCode::from(NOT_RUN)
            }
        }
    }

    fn play(&self) -> Result<DayReport, SiteError> {
        let temporary = tempfile::tempdir()?;
        let directory = match &self.keep {
            Some(directory) => {
                std::fs::create_dir_all(directory)?;
                directory.clone()
            }
            None => temporary.path().to_owned(),
        };
        platform::run(&DayOptions {
            program: std::env::current_exe()?,
            directory,
            step: self.step,
            with_faults: self.faults,
            with_exclusion: self.exclude_zone,
        })
    }

    fn tell(&self, report: &DayReport) -> ExitCode {
        if self.json {
            match serde_json::to_string(report) {
                Ok(text) => println!("{text}"),
                Err(error) => eprintln!("platform-day: the report cannot be written: {error}"),
            }
        } else {
            print!("{report}");
        }
        let kept = report.violations.is_empty() && report.ended_by_themselves.is_empty();
        if kept {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(BROKEN)
        }
    }
}
