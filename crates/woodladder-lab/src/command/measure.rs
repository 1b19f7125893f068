//! `measure`: broken flows and imbalance against baselines, and the cost of
//! the balancer's decision and packet path.

use std::num::NonZeroUsize;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, ValueEnum};

use woodladder_core::packets::hop_list::Load;
use woodladder_lab::measure::decision;
use woodladder_lab::measure::experiment::{Experiment, SeedRange};
use woodladder_lab::measure::figures::Figures;
use woodladder_lab::measure::options::Policy;
use woodladder_lab::measure::packets;
use woodladder_lab::measure::report::Report;
use woodladder_lab::measure::report_error::ReportError;

/// Seeds unless others are asked for.
const DEFAULT_SEEDS: &str = "0..8";
/// Threads that share the runs, at most, unless asked for.
const DEFAULT_THREADS: &str = "4";

/// Measure broken flows, imbalance, the balancer's decision and its packet path.
#[derive(Args, Debug)]
pub struct MeasureCommand {
    /// Print JSON in place of tables.
    #[arg(long)]
    json: bool,
    /// Also write plots and a page into this directory.
    #[arg(long, value_name = "DIR")]
    report: Option<PathBuf>,
    /// Seeds of the flow-level runs, the end not included.
    #[arg(long, value_name = "A..B", default_value = DEFAULT_SEEDS)]
    seeds: SeedRange,
    /// Measure only this part.
    #[arg(long, value_enum)]
    only: Option<Part>,
    /// Threads that share the flow-level runs.
    #[arg(long, default_value = DEFAULT_THREADS)]
    threads: NonZeroUsize,
    #[command(flatten)]
    policy: PolicyArguments,
}

/// Parameters of the chosen way that differ from the product's.
#[derive(Args, Clone, Copy, Debug)]
#[command(next_help_heading = "Parameters of the chosen way")]
struct PolicyArguments {
    /// Targets on a hop list.
    #[arg(long)]
    hops: Option<usize>,
    /// Load in thousandths below which a target takes a flow at once.
    #[arg(long, value_name = "LOAD")]
    accept_below: Option<u32>,
    /// Load in thousandths by which another must be less loaded to get a flow back.
    #[arg(long, value_name = "LOAD")]
    return_margin: Option<u32>,
    /// Load in thousandths of all connections in use.
    #[arg(long, value_name = "LOAD")]
    connection_weight: Option<u32>,
}

/// A part of the measurements.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Part {
    /// Broken flows and imbalance.
    Balance,
    /// Cost of the balancer's decision.
    Decision,
    /// The packet path through one balancer process.
    Packets,
}

impl MeasureCommand {
    /// Measures and reports.
    pub fn run(self) -> ExitCode {
        match self.measure() {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("measure: {error}");
                ExitCode::FAILURE
            }
        }
    }

    fn measure(&self) -> Result<(), ReportError> {
        let mut report = Report::default();
        if self.includes(Part::Balance) {
            report.balance = Some(self.balance());
        }
        if self.includes(Part::Decision) {
            report.decision = decision::measure(self.seeds.first);
        }
        if self.includes(Part::Packets) {
            let figures = packets::measure(self.seeds.first).map_err(ReportError::Packets)?;
            report.packets = Some(figures);
        }
        if let Some(directory) = &self.report {
            report.write(directory)?;
        }
        if self.json {
            println!("{}", report.json()?);
        } else {
            println!("{}", report.page());
        }
        Ok(())
    }

    fn includes(&self, part: Part) -> bool {
        self.only.is_none_or(|only| only == part)
    }

    fn balance(&self) -> Figures {
        let experiment = Experiment {
            policy: self.policy.policy(),
            ..Experiment::complete(self.seeds, self.threads)
        };
        Figures::new(self.seeds, &experiment.run())
    }
}

impl PolicyArguments {
    fn policy(self) -> Policy {
        let mut policy = Policy::default();
        if let Some(hops) = self.hops {
            policy.hops = hops;
        }
        let admission = &mut policy.admission;
        if let Some(load) = self.accept_below {
            admission.accept_below = Load(load);
        }
        if let Some(load) = self.return_margin {
            admission.return_margin = Load(load);
        }
        if let Some(load) = self.connection_weight {
            admission.connection_weight = load;
        }
        policy
    }
}
