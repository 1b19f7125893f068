//! Reading typed settings out of the layers, collecting every fault.

use std::collections::BTreeSet;

use figment::value::Value;
use woodladder_core::finding::{Finding, Findings};

use super::layer::Layers;

const RULE_KNOWN: &str = "only documented keys may be set";
const RULE_REQUIRED: &str = "this key must be set";
const RULE_SCALAR: &str = "the value must be a string, a number or true or false";
const RULE_LIST: &str = "the value must be a list, or a string of entries separated by commas";

/// Settings whose values are never shown.
const SECRETS: [&str; 3] = ["cluster_key", "token_key_current", "token_key_previous"];

/// Takes settings one by one and remembers what was asked for.
pub struct Reader<'layers> {
    layers: &'layers Layers,
    findings: Findings,
    known: BTreeSet<&'static str>,
}

/// Turns the text of a setting into its type; the error states the rule.
pub type Parse<T> = fn(&str) -> Result<T, &'static str>;

impl<'layers> Reader<'layers> {
    /// A reader over these layers.
    #[must_use]
    pub fn new(layers: &'layers Layers) -> Self {
        Self {
            layers,
            findings: Findings::new(),
            known: BTreeSet::new(),
        }
    }

    /// A setting that may be absent.
    pub fn optional<T>(&mut self, key: &'static str, parse: Parse<T>) -> Option<T> {
        self.known.insert(key);
        let value = self.layers.value(key)?;
        let Some(text) = scalar(&value) else {
            self.fault(key, "has the wrong type".to_owned(), RULE_SCALAR);
            return None;
        };
        self.parsed(key, &text, parse)
    }

    /// A setting with a value for when it is absent.
    pub fn defaulted<T>(&mut self, key: &'static str, default: T, parse: Parse<T>) -> T {
        self.optional(key, parse).unwrap_or(default)
    }

    /// A setting that must be present; absence or a fault gives `None`.
    pub fn required<T>(&mut self, key: &'static str, parse: Parse<T>) -> Option<T> {
        if self.layers.value(key).is_none() {
            self.known.insert(key);
            self.fault(key, "is missing".to_owned(), RULE_REQUIRED);
            return None;
        }
        self.optional(key, parse)
    }

    /// A list, empty when absent.
    pub fn list<T>(&mut self, key: &'static str, parse: Parse<T>) -> Vec<T> {
        self.known.insert(key);
        let Some(value) = self.layers.value(key) else {
            return Vec::new();
        };
        let Some(entries) = entries(&value) else {
            self.fault(key, "has the wrong type".to_owned(), RULE_LIST);
            return Vec::new();
        };
        let mut list = Vec::new();
        for (index, text) in entries.iter().enumerate() {
            match parse(text) {
                Ok(entry) => list.push(entry),
                Err(rule) => self.entry_fault(key, index, text, rule),
            }
        }
        list
    }

    /// A list that must have at least one entry.
    pub fn required_list<T>(&mut self, key: &'static str, parse: Parse<T>) -> Vec<T> {
        let before = self.findings.list().len();
        let list = self.list(key, parse);
        if list.is_empty() && self.findings.list().len() == before {
            self.fault(key, "is missing or empty".to_owned(), RULE_REQUIRED);
        }
        list
    }

    /// Notes a fault of a key that no parser can see alone.
    pub fn fault(&mut self, key: &str, problem: String, rule: &'static str) {
        self.findings.push(Finding {
            place: self.layers.place(key),
            problem,
            rule,
        });
    }

    /// Ends the reading: keys that nothing asked for are faults as well.
    #[must_use]
    pub fn finish(mut self) -> Findings {
        for key in self.layers.keys() {
            if !self.known.contains(key.as_str()) {
                self.fault(&key, "is not a known key".to_owned(), RULE_KNOWN);
            }
        }
        self.findings.sort_by_line();
        self.findings
    }

    fn parsed<T>(&mut self, key: &'static str, text: &str, parse: Parse<T>) -> Option<T> {
        match parse(text) {
            Ok(value) => Some(value),
            Err(rule) => {
                self.fault(key, refusal(key, text), rule);
                None
            }
        }
    }

    fn entry_fault(&mut self, key: &str, index: usize, text: &str, rule: &'static str) {
        let mut place = self.layers.place(key);
        place.key = Some(format!("{key}[{index}]"));
        self.findings.push(Finding {
            place,
            problem: refusal(key, text),
            rule,
        });
    }
}

fn refusal(key: &str, text: &str) -> String {
    if SECRETS.contains(&key) {
        return "the value is not accepted".to_owned();
    }
    format!("`{text}` is not accepted")
}

fn scalar(value: &Value) -> Option<String> {
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

fn entries(value: &Value) -> Option<Vec<String>> {
    if let Value::Array(_, values) = value {
        return values.iter().map(scalar).collect();
    }
    let text = scalar(value)?;
    let parts = text.split(',').map(str::trim);
    Some(
        parts
            .filter(|part| !part.is_empty())
            .map(str::to_owned)
            .collect(),
    )
}
