//! Findings: everything wrong with an input, each with its place and rule.

use std::fmt;

use serde::Serialize;

/// Where in an input a finding lies.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Place {
    /// Name of the file or other input, when it has one.
    pub file: Option<String>,
    /// Line, counted from one, when it is known.
    pub line: Option<usize>,
    /// Path of keys to the value, such as `services[1].addresses[0]`.
    pub key: Option<String>,
}

/// One fault in an input.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// Where the fault lies.
    pub place: Place,
    /// What is wrong, as a short sentence.
    pub problem: String,
    /// The rule that the input breaks.
    pub rule: &'static str,
}

/// All faults of one input, reported together.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// An empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a fault at a key path.
    pub fn add(&mut self, key: impl Into<String>, problem: impl Into<String>, rule: &'static str) {
        let place = Place {
            key: Some(key.into()),
            ..Place::default()
        };
        self.push(Finding {
            place,
            problem: problem.into(),
            rule,
        });
    }

    /// Adds a fault.
    pub fn push(&mut self, finding: Finding) {
        self.list.push(finding);
    }

    /// Adds every fault of another list.
    pub fn append(&mut self, mut other: Self) {
        self.list.append(&mut other.list);
    }

    /// Names the file on each finding that does not name one yet.
    #[must_use]
    pub fn in_file(mut self, file: &str) -> Self {
        for finding in &mut self.list {
            finding.place.file.get_or_insert_with(|| file.to_owned());
        }
        self
    }

    /// Brings the faults into the order of their lines; those without a line
    /// come first.
    pub fn sort_by_line(&mut self) {
        self.list.sort_by_key(|finding| finding.place.line);
    }

    /// The faults found so far.
    #[must_use]
    pub fn list(&self) -> &[Finding] {
        &self.list
    }

    /// Whether nothing is wrong.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// `Ok(value)` when nothing is wrong, otherwise the findings.
    ///
    /// # Errors
    /// Returns the findings when there is at least one.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut parts: Vec<String> = Vec::new();
        parts.extend(self.file.clone());
        parts.extend(self.line.map(|line| format!("line {line}")));
        parts.extend(self.key.clone());
        formatter.write_str(&parts.join(": "))
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: {} (rule: {})",
            self.place, self.problem, self.rule
        )
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.list {
            writeln!(formatter, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
