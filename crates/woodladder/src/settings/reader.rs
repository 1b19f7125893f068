//! Reads typed settings from the merged layers and collects all findings.

use std::collections::BTreeSet;

use figment::value::Value;
use woodladder_core::finding::{Finding, Findings};

use super::layer::SettingsLayers;

const RULE_KNOWN: &str = "only documented keys may be set";
const RULE_REQUIRED: &str = "this key must be set";
const RULE_SCALAR: &str = "the value must be a string, a number or true or false";
const RULE_LIST: &str = "the value must be a list, or a string of entries separated by commas";

/// Keys of secret settings. Findings do not show their values.
const SECRET_KEYS: [&str; 3] = ["cluster_key", "token_key_current", "token_key_previous"];

/// Reads settings one by one and keeps track of the keys that were read, so that
/// [`finish`](Self::finish) finds unknown keys.
pub struct SettingsReader<'layers> {
    layers: &'layers SettingsLayers,
    findings: Findings,
    known_keys: BTreeSet<&'static str>,
}

/// Parser of a setting's text; its error is the rule that the text breaks.
pub type ParseValue<T> = fn(&str) -> Result<T, &'static str>;

impl<'layers> SettingsReader<'layers> {
    /// A reader of these layers.
    #[must_use]
    pub fn new(layers: &'layers SettingsLayers) -> Self {
        Self {
            layers,
            findings: Findings::new(),
            known_keys: BTreeSet::new(),
        }
    }

    /// Reads a setting that may be absent. An invalid value adds a finding and
    /// gives `None`.
    pub fn optional<T>(&mut self, key: &'static str, parse: ParseValue<T>) -> Option<T> {
        self.known_keys.insert(key);
        let value = self.layers.value(key)?;
        let Some(text) = scalar_text(&value) else {
            self.add_finding(key, "has the wrong type".to_owned(), RULE_SCALAR);
            return None;
        };
        self.parse(key, &text, parse)
    }

    /// Reads a setting that has a default. An invalid value adds a finding and
    /// gives the default.
    pub fn optional_or<T>(&mut self, key: &'static str, default: T, parse: ParseValue<T>) -> T {
        self.optional(key, parse).unwrap_or(default)
    }

    /// Reads a setting that must be present. An absent or invalid value adds a
    /// finding and gives `None`.
    pub fn required<T>(&mut self, key: &'static str, parse: ParseValue<T>) -> Option<T> {
        if self.layers.value(key).is_none() {
            self.known_keys.insert(key);
            self.add_finding(key, "is missing".to_owned(), RULE_REQUIRED);
            return None;
        }
        self.optional(key, parse)
    }

    /// Reads a list, which is empty when absent. Invalid entries add findings and
    /// are left out.
    pub fn list<T>(&mut self, key: &'static str, parse: ParseValue<T>) -> Vec<T> {
        self.known_keys.insert(key);
        let Some(value) = self.layers.value(key) else {
            return Vec::new();
        };
        let Some(entries) = entry_texts(&value) else {
            self.add_finding(key, "has the wrong type".to_owned(), RULE_LIST);
            return Vec::new();
        };
        let mut list = Vec::new();
        for (index, text) in entries.iter().enumerate() {
            match parse(text) {
                Ok(entry) => list.push(entry),
                Err(rule) => self.add_entry_finding(key, index, text, rule),
            }
        }
        list
    }

    /// Reads a list that must have at least one entry.
    pub fn required_list<T>(&mut self, key: &'static str, parse: ParseValue<T>) -> Vec<T> {
        let findings_before = self.findings.list().len();
        let list = self.list(key, parse);
        if list.is_empty() && self.findings.list().len() == findings_before {
            self.add_finding(key, "is missing or empty".to_owned(), RULE_REQUIRED);
        }
        list
    }

    /// Adds a finding about a key. The problem may also depend on other settings.
    pub fn add_finding(&mut self, key: &str, problem: String, rule: &'static str) {
        self.findings.push(Finding {
            place: self.layers.locate(key),
            problem,
            rule,
        });
    }

    /// Returns all findings, with one for each key that was never read.
    #[must_use]
    pub fn finish(mut self) -> Findings {
        for key in self.layers.keys() {
            if !self.known_keys.contains(key.as_str()) {
                self.add_finding(&key, "is not a known key".to_owned(), RULE_KNOWN);
            }
        }
        self.findings.sort_by_line();
        self.findings
    }

    fn parse<T>(&mut self, key: &'static str, text: &str, parse: ParseValue<T>) -> Option<T> {
        match parse(text) {
            Ok(value) => Some(value),
            Err(rule) => {
                self.add_finding(key, describe_invalid(key, text), rule);
                None
            }
        }
    }

    fn add_entry_finding(&mut self, key: &str, index: usize, text: &str, rule: &'static str) {
        let mut place = self.layers.locate(key);
        place.key = Some(format!("{key}[{index}]"));
        self.findings.push(Finding {
            place,
            problem: describe_invalid(key, text),
            rule,
        });
    }
}

/// Describes an invalid value for a finding. The description contains the value's
/// text, except for a secret setting.
fn describe_invalid(key: &str, text: &str) -> String {
    if SECRET_KEYS.contains(&key) {
        return "the value is not accepted".to_owned();
    }
    format!("`{text}` is not accepted")
}

/// Text of a string, boolean or number; `None` for other types.
fn scalar_text(value: &Value) -> Option<String> {
    match value {
        Value::String(_, text) => Some(text.clone()),
        Value::Bool(_, flag) => Some(flag.to_string()),
        Value::Num(_, number) => number
            .to_u128()
            .map(|number| number.to_string())
            .or_else(|| number.to_i128().map(|number| number.to_string()))
            .or_else(|| number.to_f64().map(|number| number.to_string())),
        _ => None,
    }
}

/// Texts of the entries of an array, or of a string with entries separated by
/// commas; `None` for other types.
fn entry_texts(value: &Value) -> Option<Vec<String>> {
    if let Value::Array(_, values) = value {
        return values.iter().map(scalar_text).collect();
    }
    let text = scalar_text(value)?;
    let parts = text.split(',').map(str::trim);
    Some(
        parts
            .filter(|part| !part.is_empty())
            .map(str::to_owned)
            .collect(),
    )
}
