//! Reads log files that hold one JSON object on each line. Text before a
//! line's first brace, such as a time and a host name that a log collector
//! added, is skipped.

use std::fmt;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use serde_json::Value;

use super::LogLine;

/// Why logs cannot be read.
#[derive(Debug)]
pub enum LogError {
    /// This file or directory cannot be read.
    Unreadable(PathBuf, io::Error),
    /// No file at this path has a line that is a node's log line.
    NoLines(PathBuf),
}

impl fmt::Display for LogError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path, error) => write!(formatter, "{}: {error}", path.display()),
            Self::NoLines(path) => {
                write!(formatter, "{}: no log lines found", path.display())
            }
        }
    }
}

impl std::error::Error for LogError {}

/// Reads the log lines of one file or of every file in a directory; other
/// lines are skipped.
///
/// # Errors
/// [`LogError`] when a file cannot be read or none has a log line.
pub fn read_directory(path: &Path) -> Result<Vec<LogLine>, LogError> {
    let mut lines = Vec::new();
    for file in list_files(path)? {
        let bytes = fs::read(&file).map_err(|error| LogError::Unreadable(file, error))?;
        let text = String::from_utf8_lossy(&bytes);
        lines.extend(text.lines().filter_map(parse_line));
    }
    if lines.is_empty() {
        return Err(LogError::NoLines(path.to_owned()));
    }
    Ok(lines)
}

fn list_files(path: &Path) -> Result<Vec<PathBuf>, LogError> {
    let unreadable = |error| LogError::Unreadable(path.to_owned(), error);
    if path.is_file() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in fs::read_dir(path).map_err(unreadable)? {
        let file = entry.map_err(unreadable)?.path();
        if file.is_file() {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

fn parse_line(text: &str) -> Option<LogLine> {
    let fields: Value = serde_json::from_str(text.get(text.find('{')?..)?).ok()?;
    let time = fields.get("ts")?.as_str()?;
    let time: std::time::SystemTime = humantime::parse_rfc3339_weak(time).ok()?;
    let since_epoch = time.duration_since(std::time::UNIX_EPOCH).ok()?;
    Some(LogLine {
        at_ms: i64::try_from(since_epoch.as_millis()).ok()?,
        node: fields.get("node")?.as_str()?.to_owned(),
        event: fields.get("event")?.as_str()?.to_owned(),
        fields,
    })
}
