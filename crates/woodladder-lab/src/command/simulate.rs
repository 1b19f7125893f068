//! `simulate`: runs seeds of the deterministic simulation and reports
//! promises that were not kept.

use std::fmt;
use std::io::{self, BufWriter, Write};
use std::ops::Range;
use std::process::ExitCode;
use std::str::FromStr;

use clap::Args;

use woodladder_lab::simulation::mutation::Mutation;
use woodladder_lab::simulation::report::{RunReport, Summary};
use woodladder_lab::simulation::runner::{Selection, run_all};
use woodladder_lab::simulation::scenario::{SCENARIOS, Scenario};
use woodladder_lab::simulation::world::RunOptions;

/// Options of `simulate`.
#[derive(Args, Clone, Debug)]
pub struct SimulateCommand {
    /// Seeds to run: the first, and the one after the last.
    #[arg(long, value_name = "A..B", default_value = "0..1")]
    pub seeds: SeedRange,
    /// Scenario to run; all of them when none is named.
    #[arg(long, value_name = "NAME", value_parser = parse_scenario)]
    pub scenario: Option<&'static Scenario>,
    /// Report as JSON.
    #[arg(long)]
    pub json: bool,
    /// Name the scenarios and end.
    #[arg(long)]
    pub list: bool,
    /// Print every event of each run.
    #[arg(long)]
    pub trace: bool,
    /// Put a fault into the models, to see that it is noticed.
    #[arg(long, value_enum)]
    pub mutation: Option<Mutation>,
}

/// A range of seeds, written `A..B`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeedRange(pub Range<u64>);

/// Why a text is not a range of seeds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SeedRangeError {
    /// There is no `..` between two numbers.
    NotARange,
    /// The range holds no seed.
    Empty,
}

impl FromStr for SeedRange {
    type Err = SeedRangeError;

    fn from_str(text: &str) -> Result<Self, SeedRangeError> {
        let (first, end) = text.split_once("..").ok_or(SeedRangeError::NotARange)?;
        let first: u64 = first.parse().map_err(|_| SeedRangeError::NotARange)?;
        let end: u64 = end.parse().map_err(|_| SeedRangeError::NotARange)?;
        if first >= end {
            return Err(SeedRangeError::Empty);
        }
        Ok(Self(first..end))
    }
}

impl fmt::Display for SeedRangeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotARange => "seeds are written as A..B",
            Self::Empty => "the range holds no seed",
        })
    }
}

impl std::error::Error for SeedRangeError {}

fn parse_scenario(name: &str) -> Result<&'static Scenario, String> {
    Scenario::find(name).ok_or_else(|| format!("no scenario is named {name}; see --list"))
}

impl SimulateCommand {
    /// Runs the command; the exit code tells whether every promise was kept.
    pub fn run(&self) -> ExitCode {
        if self.list {
            list();
            return ExitCode::SUCCESS;
        }
        let mut output = BufWriter::new(io::stdout().lock());
        match self.run_and_print(&mut output) {
            Ok(summary) if summary.is_clean() => ExitCode::SUCCESS,
            Ok(_) => ExitCode::FAILURE,
            Err(error) => {
                eprintln!("simulate: the report cannot be written: {error}");
                ExitCode::FAILURE
            }
        }
    }

    fn run_and_print(&self, output: &mut impl Write) -> io::Result<Summary> {
        let mut summary = Summary::default();
        let mut written = Ok(());
        run_all(&self.selection(), |report| {
            if written.is_ok() {
                written = write_trace(&report, output);
            }
            summary.add(&report);
        });
        written?;
        let text = if self.json {
            summary.to_json()? + "\n"
        } else {
            summary.to_text()
        };
        output.write_all(text.as_bytes())?;
        output.flush()?;
        Ok(summary)
    }

    fn selection(&self) -> Selection {
        Selection {
            seeds: self.seeds.0.clone(),
            scenarios: self.scenarios(),
            options: RunOptions {
                mutation: self.mutation,
                trace: self.trace,
            },
        }
    }

    /// A mutation runs in the scenario that shows it, unless one is named.
    fn scenarios(&self) -> Vec<&'static Scenario> {
        let shown = self.mutation.map(Mutation::scenario);
        let shown = shown.and_then(Scenario::find);
        match self.scenario.or(shown) {
            Some(scenario) => vec![scenario],
            None => SCENARIOS.iter().collect(),
        }
    }
}

fn list() {
    for scenario in SCENARIOS {
        println!("{:<22} {}", scenario.name, scenario.summary);
    }
}

fn write_trace(report: &RunReport, output: &mut impl Write) -> io::Result<()> {
    for line in report.trace.iter().flatten() {
        writeln!(output, "{line}")?;
    }
    Ok(())
}
