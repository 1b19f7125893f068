//! `woodladder-lab scale`.

use std::fmt;
use std::io;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use serde::Serialize;
use woodladder_lab::scale::{
    Courses, DeploymentFigures, DeploymentSize, Scenario, Slopes, measure, measure_flows,
    measure_sockets,
};

use super::time_text;

/// Sizes that the design is measured at.
const STANDARD_NODES: [usize; 3] = [100, 300, 680];
const STANDARD_TARGETS: u32 = 6_300;
const STANDARD_SERVICES: u32 = 1_500;
/// Time that a region is cut when nothing else is asked for.
const STANDARD_CUT: &str = "600s";
const STANDARD_CUT_TIME: Duration = Duration::from_secs(600);
const SOCKET_ROLLS: u32 = 10;
const STEADY: Duration = Duration::from_secs(10);

/// Figures of one deployment, as printed.
#[derive(Serialize)]
struct Measured {
    figures: DeploymentFigures,
    slopes: Option<Slopes>,
}

/// Options of `scale`.
#[derive(Args, Debug)]
#[command(after_help = "Example:\n  \
    woodladder-lab scale --nodes 100,300,680 --targets 6300 --scenario changes\n  \
    woodladder-lab scale --nodes 680 --agents 2320 --cut 10m --json")]
pub struct ScaleCommand {
    /// Balancers, one deployment each.
    #[arg(long, value_delimiter = ',', default_values_t = STANDARD_NODES)]
    nodes: Vec<usize>,
    /// Agents that take part in the control traffic beside the balancers.
    #[arg(long, default_value_t = 0)]
    agents: usize,
    /// Targets in the bundle.
    #[arg(long, default_value_t = STANDARD_TARGETS)]
    targets: u32,
    /// Services in the bundle.
    #[arg(long, default_value_t = STANDARD_SERVICES)]
    services: u32,
    /// Removed targets that linger in the snapshot.
    #[arg(long, default_value_t = 0)]
    retired: u32,
    /// Let all hollow nodes hold one copy of the roll in force, so that more fit.
    #[arg(long)]
    shared: bool,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Courses of events; all unless given. Give it once a course.
    #[arg(long = "scenario", value_enum)]
    scenarios: Vec<Scenario>,
    /// Virtual time that a region is cut or the key-value service down.
    #[arg(long, default_value = STANDARD_CUT, value_parser = time_text::parse)]
    cut: Duration,
    /// Instead of hollow nodes run so many nodes over real loopback sockets.
    #[arg(long, value_name = "NODES")]
    sockets: Option<usize>,
    /// Instead measure what so many open flows take at real agents.
    #[arg(long, value_name = "FLOWS", conflicts_with = "sockets")]
    flows: Option<usize>,
    /// Print JSON instead of a table.
    #[arg(long)]
    json: bool,
}

impl ScaleCommand {
    /// Measures and prints.
    pub fn run(self) -> ExitCode {
        match (self.sockets, self.flows) {
            (Some(nodes), _) => self.run_sockets(nodes),
            (None, Some(count)) => self.run_flows(count),
            (None, None) => self.run_hollow(),
        }
    }

    fn run_flows(&self, count: usize) -> ExitCode {
        self.report(wait_for(async {
            let measured = measure_flows(count).await;
            measured.map_err(|error| io::Error::other(error.to_string()))
        }))
    }

    /// The standard sizes with all courses.
    pub fn standard(json: bool) -> Self {
        Self {
            nodes: STANDARD_NODES.to_vec(),
            agents: 0,
            targets: STANDARD_TARGETS,
            services: STANDARD_SERVICES,
            retired: 0,
            shared: false,
            seed: 1,
            scenarios: Vec::new(),
            cut: STANDARD_CUT_TIME,
            sockets: None,
            flows: None,
            json,
        }
    }

    fn run_sockets(&self, nodes: usize) -> ExitCode {
        let size = self.size(nodes, 0);
        self.report(wait_for(measure_sockets(size, SOCKET_ROLLS, STEADY)))
    }

    fn report<T: fmt::Display + Serialize>(&self, measured: io::Result<T>) -> ExitCode {
        match measured {
            Ok(figures) => {
                self.print(&figures);
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("scale: {error}");
                ExitCode::FAILURE
            }
        }
    }

    fn size(&self, balancers: usize, agents: usize) -> DeploymentSize {
        DeploymentSize {
            balancers,
            agents,
            targets: self.targets,
            services: self.services,
            retired: self.retired,
            shared: self.shared,
        }
    }

    fn run_hollow(&self) -> ExitCode {
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
            let size = self.size(*balancers, self.agents);
            let figures = measure(size, self.seed, &scenarios, &courses);
            self.print(&Measured {
                slopes: Slopes::of(&figures),
                figures,
            });
        }
        ExitCode::SUCCESS
    }

    fn print<T: fmt::Display + Serialize>(&self, figures: &T) {
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

/// Runs a measurement on a runtime of its own.
fn wait_for<T>(measurement: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    tokio::runtime::Runtime::new()?.block_on(measurement)
}

impl fmt::Display for Measured {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.figures.fmt(formatter)
    }
}
