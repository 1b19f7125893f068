//! Findings: the faults of an input, each with its place and the rule it breaks.

use std::fmt;

use serde::Serialize;

/// Place of a finding in an input.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Place {
    /// Name of the file or other input, if it has one.
    pub file: Option<String>,
    /// Line, counted from one, if known.
    pub line: Option<usize>,
    /// Key path of the value, such as `services[1].addresses[0]`.
    pub key: Option<String>,
}

/// One fault in an input.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// Place of the fault.
    pub place: Place,
    /// What is wrong, as a short sentence.
    pub problem: String,
    /// The rule that the input breaks.
    pub rule: &'static str,
}

/// All faults of one input.
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

    /// Sets the file of each finding that has none.
    #[must_use]
    pub fn in_file(mut self, file: &str) -> Self {
        for finding in &mut self.list {
            finding.place.file.get_or_insert_with(|| file.to_owned());
        }
        self
    }

    /// Sorts the faults by line; those without a line come first.
    pub fn sort_by_line(&mut self) {
        self.list.sort_by_key(|finding| finding.place.line);
    }

    /// The faults found so far.
    #[must_use]
    pub fn list(&self) -> &[Finding] {
        &self.list
    }

    /// Whether there is no finding.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// `Ok(value)` when there is no finding, otherwise the findings.
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
