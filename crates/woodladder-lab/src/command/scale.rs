//! `woodladder-lab scale`.

use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use woodladder_lab::scale::{Courses, DeploymentFigures, DeploymentSize, Scenario, measure};

use super::time_text;

/// Options of `scale`.
#[derive(Args, Debug)]
#[command(after_help = "Example:\n  \
    woodladder-lab scale --nodes 100,300,680 --targets 6300 --scenario changes\n  \
    woodladder-lab scale --nodes 680 --agents 2320 --cut 10m --json")]
pub struct ScaleCommand {
    /// Balancers, one deployment each.
    #[arg(long, value_delimiter = ',', default_value = "100,300,680")]
    nodes: Vec<usize>,
    /// Agents that take part in the control traffic beside the balancers.
    #[arg(long, default_value_t = 0)]
    agents: usize,
    /// Targets in the bundle.
    #[arg(long, default_value_t = 6300)]
    targets: u32,
    /// Services in the bundle.
    #[arg(long, default_value_t = 1500)]
    services: u32,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Courses of events; all unless given. Give it once a course.
    #[arg(long = "scenario", value_enum)]
    scenarios: Vec<Scenario>,
    /// Virtual time that a region is cut or the key-value service down.
    #[arg(long, default_value = "3600s", value_parser = time_text::parse)]
    cut: Duration,
    /// Print JSON instead of a table.
    #[arg(long)]
    json: bool,
}

impl ScaleCommand {
    /// Measures and prints.
    pub fn run(self) -> ExitCode {
        let scenarios = if self.scenarios.is_empty() {
            Scenario::ALL.to_vec()
        } else {
            self.scenarios.clone()
        };
        let courses = Courses {
            cut: self.cut,
            ..Courses::default()
        };
        for balancers in &self.nodes {
            let size = DeploymentSize {
                balancers: *balancers,
                agents: self.agents,
                targets: self.targets,
                services: self.services,
            };
            let figures = measure(size, self.seed, &scenarios, &courses);
            self.print(&figures);
        }
        ExitCode::SUCCESS
    }

    fn print(&self, figures: &DeploymentFigures) {
        if self.json {
            match serde_json::to_string(figures) {
                Ok(text) => println!("{text}"),
                Err(error) => eprintln!("scale: {error}"),
            }
        } else {
            println!("{figures}");
        }
    }
}
