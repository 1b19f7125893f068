//! `woodladder fleet-report`: prints a fleet's message totals and how fast changes
//! reached its nodes.

use std::path::PathBuf;

use clap::Args;

use super::error::CommandError;
use super::output::print_json;
use crate::explain;
use crate::fleet_report::{self, FleetReport};

pub(super) const HELP: &str = "Examples:
  woodladder fleet-report --logs /var/log/woodladder
  woodladder fleet-report --logs day.log --json";

/// Arguments of the command.
#[derive(Args, Debug)]
pub struct FleetReportArguments {
    /// A directory of log files, or one file
    #[arg(long)]
    logs: PathBuf,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

impl FleetReportArguments {
    pub(super) fn run(&self) -> Result<(), CommandError> {
        let lines = explain::read_directory(&self.logs)
            .map_err(|error| CommandError::Refused(error.to_string()))?;
        let report = fleet_report::compute_report(&lines);
        if self.json {
            return print_json(&report);
        }
        print!("{}", render(&report));
        Ok(())
    }
}

fn render(report: &FleetReport) -> String {
    let mut text = String::new();
    for total in &report.totals {
        text.push_str(&format!(
            "{:<9} {:<9} {:<20} {:>5} nodes {:>9} {:>12} B, maximum per node {}\n",
            total.role,
            total.direction,
            total.kind,
            total.nodes,
            total.count,
            total.bytes,
            total.most
        ));
    }
    for propagation in &report.propagations {
        text.push_str(&format!(
            "{:<22} {:<22} {:>5} nodes, delay after the first: median {} ms, 99th percentile {} ms, \
             last {} ms\n",
            propagation.event,
            propagation.subject,
            propagation.nodes,
            propagation.median_ms,
            propagation.p99_ms,
            propagation.last_ms
        ));
    }
    text
}
