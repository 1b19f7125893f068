//! `woodladder explain`: explains what happened to one request or flow.

use std::path::PathBuf;

use clap::Args;

use super::error::CommandError;
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
    pub(super) fn run(&self) -> Result<(), CommandError> {
        let lines = explain::read_directory(&self.logs)
            .map_err(|error| CommandError::Refused(error.to_string()))?;
        let explanation = explain::explain(&self.key, &lines).ok_or_else(|| {
            let problem = format!(
                "'{}' is in none of the {} log lines; the request may not have reached a target: \
                 try the caller's address and port",
                self.key,
                lines.len()
            );
            CommandError::Refused(problem)
        })?;
        if self.json {
            return print_json(&explanation);
        }
        print!("{}", render(&explanation));
        Ok(())
    }
}

/// Renders one line for the outcome, one for each log line, with `~` in front of
/// state changes around the flow, and one for each missing part.
fn render(explanation: &Explanation) -> String {
    let mut text = format!("{}: {}\n", explanation.key, explanation.verdict);
    let first_ms = explanation.lines.first().map_or(0, |line| line.at_ms);
    let mut marked_lines: Vec<(&LogLine, char)> = explanation
        .lines
        .iter()
        .map(|line| (line, ' '))
        .chain(explanation.surroundings.iter().map(|line| (line, '~')))
        .collect();
    marked_lines.sort_by_key(|(line, _)| line.at_ms);
    for (line, mark) in marked_lines {
        let elapsed_ms = line.at_ms - first_ms;
        let details = render_fields(line);
        text.push_str(&format!(
            "{mark}{elapsed_ms:>7} ms  {:<24} {:<22} {details}\n",
            line.node, line.event
        ));
    }
    for missing in &explanation.missing {
        text.push_str(&format!("missing: {missing}\n"));
    }
    text
}

/// The fields that are specific to the event, sorted by name.
fn render_fields(line: &LogLine) -> String {
    const COMMON_FIELDS: [&str; 7] = ["msg", "level", "ts", "node", "event", "left_out", "flow"];
    let Some(fields) = line.fields.as_object() else {
        return String::new();
    };
    let shown: Vec<String> = fields
        .iter()
        .filter(|(name, value)| !COMMON_FIELDS.contains(&name.as_str()) && !value.is_null())
        .map(|(name, value)| format!("{name}={}", value.to_string().trim_matches('"')))
        .collect();
    shown.join(" ")
}
