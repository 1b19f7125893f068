//! `woodladder-lab simulate-flows`.

use std::process::ExitCode;

use clap::Args;
use woodladder_lab::flow_simulation;

/// Exit code when a promise was broken.
const BROKEN: u8 = 1;

/// Seeds of the simulation of the carrier without tokens.
#[derive(Args, Debug)]
#[command(after_help = "Example:\n  \
    cargo run --release -p woodladder-lab -- simulate-flows --first 0 --count 1000\n\n\
    Exit codes: 0 every promise kept, 1 a promise broken.")]
pub struct SimulateFlowsCommand {
    /// First seed.
    #[arg(long, default_value_t = 0)]
    first: u64,
    /// Seeds to run.
    #[arg(long, default_value_t = 200)]
    count: u64,
}

impl SimulateFlowsCommand {
    /// Runs the seeds.
    pub fn run(self) -> ExitCode {
        let mut broken = 0_u64;
        let mut answered = 0;
        let mut failed = 0;
        for seed in self.first..self.first.saturating_add(self.count) {
            let report = flow_simulation::run(seed);
            answered += report.answered;
            failed += report.failed;
            if !report.breaches.is_empty() {
                broken += 1;
                println!("{report}");
            }
        }
        println!(
            "{} runs, {broken} broken; answered {answered}, failed {failed}",
            self.count
        );
        if broken == 0 {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(BROKEN)
        }
    }
}
