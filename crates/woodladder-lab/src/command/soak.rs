//! `woodladder-lab soak`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use woodladder_lab::platform::{
    self, SiteError, SoakCourse, SoakOptions, SoakReport, TargetHabits,
};

use super::time_text;

/// Exit code when a promise was broken.
const BROKEN: u8 = 1;
/// Exit code when a soak could not be run.
const NOT_RUN: u8 = 2;
/// Seeds that failed once, one a line, each with its cause.
const KEPT_SEEDS: &str = include_str!("../../soak-seeds.txt");

/// Faults from outside on the real processes, drawn from seeds, while the
/// promises are checked.
#[derive(Args, Debug)]
#[command(after_help = "Example:\n  \
    cargo run --release -p woodladder-lab -- soak --count 10\n\n\
    Exit codes: 0 every promise kept, 1 a promise broken, 2 not brought up.")]
pub struct SoakCommand {
    /// First seed; drawn at random when left out.
    #[arg(long)]
    first: Option<u64>,
    /// How many seeds.
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// Run the seeds that failed once instead.
    #[arg(long, conflicts_with_all = ["first", "count"])]
    kept: bool,
    /// Only planned work: nodes are stopped and started again, and configurations change.
    #[arg(long)]
    planned: bool,
    /// Only long leavings of targets, in which all processes are killed at the same moment.
    #[arg(long, conflicts_with = "planned")]
    kills_in_leavings: bool,
    /// Changes of the configuration while open connections to the store go silent and answers
    /// are lost.
    #[arg(long, conflicts_with_all = ["planned", "kills_in_leavings"])]
    silent_connections: bool,
    /// Play a product that is broken on purpose: its changes of the configuration come into
    /// force late.
    #[arg(long)]
    late_changes: bool,
    /// How long faults come in each run.
    #[arg(long, default_value = "14s", value_parser = time_text::parse)]
    length: Duration,
    /// Play another build of this program's nodes: its path.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Keep the processes' settings and logs in this directory, one folder a
    /// seed.
    #[arg(long)]
    keep: Option<PathBuf>,
}

impl SoakCommand {
    /// Runs the seeds one after the other.
    pub fn run(self) -> ExitCode {
        let mut broken = 0;
        let seeds = self.seeds();
        for seed in &seeds {
            match self.play(*seed) {
                Ok(report) => {
                    println!("{report}");
                    broken += u32::from(!report.is_kept());
                }
                Err(error) => {
                    eprintln!("soak: seed {seed}: {error}");
                    return ExitCode::from(NOT_RUN);
                }
            }
        }
        println!("{} runs, {broken} broken", seeds.len());
        if broken == 0 {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(BROKEN)
        }
    }

    fn seeds(&self) -> Vec<u64> {
        if self.kept {
            return KEPT_SEEDS.lines().filter_map(kept_seed).collect();
        }
        let first = self
            .first
            .unwrap_or_else(|| u64::from(rand::random::<u32>()));
        (first..first + self.count).collect()
    }

    fn play(&self, seed: u64) -> Result<SoakReport, SiteError> {
        let temporary = tempfile::tempdir()?;
        let directory = match &self.keep {
            Some(directory) => directory.join(seed.to_string()),
            None => temporary.path().to_owned(),
        };
        std::fs::create_dir_all(&directory)?;
        platform::soak(&SoakOptions {
            program: match &self.program {
                Some(program) => program.clone(),
                None => std::env::current_exe()?,
            },
            directory,
            seed,
            length: self.length,
            target_habits: TargetHabits::of_seed(seed),
            course: self.course(),
            loses_leaving_records: false,
            applies_changes_late: self.late_changes,
        })
    }

    fn course(&self) -> SoakCourse {
        if self.planned {
            SoakCourse::PlannedWork
        } else if self.kills_in_leavings {
            SoakCourse::KillsInLeavings
        } else if self.silent_connections {
            SoakCourse::SilentConnections
        } else {
            SoakCourse::Mixed
        }
    }
}

/// The seed of a line `SEED: CAUSE`; lines that begin otherwise are comments.
fn kept_seed(line: &str) -> Option<u64> {
    line.split_once(':')?.0.trim().parse().ok()
}
