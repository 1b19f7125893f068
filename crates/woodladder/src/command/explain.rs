//! `woodladder explain`.

use std::path::PathBuf;

use clap::Args;

use super::failure::Failure;
use super::output::print_json;
use crate::explain::{self, Explanation, LogLine};

pub(super) const HELP: &str = "Examples:
  woodladder explain 59611848bd75c771 --logs /var/log/woodladder
  woodladder explain 100.64.0.7:40001 --logs node-1.log --json";

/// Arguments of the command.
#[derive(Args, Debug)]
pub struct ExplainArguments {
    /// A request's identifier, a flow (CALLER>SERVICE) or a caller's address
    /// and port
    key: String,
    /// A directory of log files, or one file
    #[arg(long)]
    logs: PathBuf,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

impl ExplainArguments {
    pub(super) fn run(&self) -> Result<(), Failure> {
        let lines = explain::read_directory(&self.logs)
            .map_err(|error| Failure::Refused(error.to_string()))?;
        let explanation = explain::explain(&self.key, &lines).ok_or_else(|| {
            let problem = format!(
                "'{}' is in none of {} lines; the request may never have reached a target: \
                 try the caller's address and port",
                self.key,
                lines.len()
            );
            Failure::Refused(problem)
        })?;
        if self.json {
            return print_json(&explanation);
        }
        print!("{}", render(&explanation));
        Ok(())
    }
}

fn render(explanation: &Explanation) -> String {
    let mut text = format!("{}: {}\n", explanation.key, explanation.verdict);
    let first = explanation.lines.first().map_or(0, |line| line.at_ms);
    let mut all: Vec<(&LogLine, char)> = explanation
        .lines
        .iter()
        .map(|line| (line, ' '))
        .chain(explanation.surroundings.iter().map(|line| (line, '~')))
        .collect();
    all.sort_by_key(|(line, _)| line.at_ms);
    for (line, mark) in all {
        let elapsed = line.at_ms - first;
        let details = details(line);
        text.push_str(&format!(
            "{mark}{elapsed:>7} ms  {:<24} {:<22} {details}\n",
            line.node, line.event
        ));
    }
    for missing in &explanation.missing {
        text.push_str(&format!("missing: {missing}\n"));
    }
    text
}

/// The fields that decided, in the order of their names.
fn details(line: &LogLine) -> String {
    const KNOWN: [&str; 7] = ["msg", "level", "ts", "node", "event", "left_out", "flow"];
    let Some(fields) = line.fields.as_object() else {
        return String::new();
    };
    let shown: Vec<String> = fields
        .iter()
        .filter(|(name, value)| !KNOWN.contains(&name.as_str()) && !value.is_null())
        .map(|(name, value)| format!("{name}={}", value.to_string().trim_matches('"')))
        .collect();
    shown.join(" ")
}
