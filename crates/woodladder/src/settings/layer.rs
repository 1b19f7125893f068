//! Merges the layers of settings and keeps track of where each value comes
//! from.

use std::collections::BTreeMap;
use std::path::Path;

use figment::providers::Env;
use figment::value::{Dict, Map, Value};
use figment::{Figment, Metadata, Profile, Provider};
use serde::Serialize;
use toml::Spanned;
use woodladder_core::finding::{Finding, Findings, Place};

/// Prefix of environment variables that override settings.
pub const ENVIRONMENT_PREFIX: &str = "WOODLADDER_";

/// Name, after the prefix, of the environment variable that gives the path of the
/// settings file. It is not a setting, so the environment layer leaves it out.
const FILE_VARIABLE_KEY: &str = "settings";

const RULE_READABLE: &str = "the settings file must exist and be readable";
const RULE_TOML: &str = "the settings file must be valid TOML";
const RULE_FLAGS: &str = "flags must be representable as settings";

/// The merged layers of settings.
#[derive(Default)]
pub struct SettingsLayers {
    figment: Figment,
    /// Line number of each key in the settings file.
    line_numbers: BTreeMap<String, usize>,
    /// Name of the settings file.
    file_name: Option<String>,
}

/// One layer: its name, which findings show, and its values by key.
struct Layer {
    name: String,
    values: Dict,
}

impl Provider for Layer {
    fn metadata(&self) -> Metadata {
        Metadata::named(self.name.clone())
    }

    fn data(&self) -> Result<Map<Profile, Dict>, figment::Error> {
        Ok(Profile::Default.collect(self.values.clone()))
    }
}

impl SettingsLayers {
    /// Empty settings, without any layer.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a layer with the values of a TOML file. A file that cannot be read or
    /// parsed adds a finding and no layer.
    #[must_use]
    pub fn file(self, path: &Path, findings: &mut Findings) -> Self {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => self.toml(&name, &text, findings),
            Err(error) => {
                let place = file_place(&name, None);
                findings.push(finding(place, error.to_string(), RULE_READABLE));
                self
            }
        }
    }

    /// Adds a layer with the values of a TOML text; `name` is the file that
    /// findings show.
    #[must_use]
    pub fn toml(mut self, name: &str, text: &str, findings: &mut Findings) -> Self {
        match toml::from_str::<BTreeMap<Spanned<String>, toml::Value>>(text) {
            Ok(table) => {
                self.file_name = Some(name.to_owned());
                let mut values = Dict::new();
                for (key, value) in table {
                    let line = line_number(text, key.span().start);
                    self.line_numbers.insert(key.get_ref().clone(), line);
                    if let Ok(value) = Value::serialize(value) {
                        values.insert(key.into_inner(), value);
                    }
                }
                self.merge(name.to_owned(), values)
            }
            Err(error) => {
                let line = error.span().map(|span| line_number(text, span.start));
                let place = file_place(name, line);
                findings.push(finding(place, error.message().to_owned(), RULE_TOML));
                self
            }
        }
    }

    /// Adds a layer with the values of this process's environment variables.
    #[must_use]
    pub fn environment(self) -> Self {
        let variables = Env::prefixed(ENVIRONMENT_PREFIX).ignore(&[FILE_VARIABLE_KEY]);
        let values: Dict = variables
            .iter()
            .map(|(key, text)| (key.as_str().to_owned(), Value::from(text)))
            .collect();
        self.merge("environment".to_owned(), values)
    }

    /// Adds a layer with the values of command-line flags; absent flags are left
    /// out.
    #[must_use]
    pub fn flags(self, flags: &impl Serialize, findings: &mut Findings) -> Self {
        let Ok(Value::Dict(_, values)) = Value::serialize(flags) else {
            let place = Place {
                key: Some("flags".to_owned()),
                ..Place::default()
            };
            findings.push(finding(place, "cannot be read".to_owned(), RULE_FLAGS));
            return self;
        };
        self.merge("flags".to_owned(), values)
    }

    /// Every key that at least one layer sets.
    #[must_use]
    pub fn keys(&self) -> Vec<String> {
        match self.figment.extract::<BTreeMap<String, Value>>() {
            Ok(values) => values.into_keys().collect(),
            Err(_) => Vec::new(),
        }
    }

    /// The value of a key, from the last layer that sets it.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Value> {
        self.figment.find_value(key).ok()
    }

    /// The layer and, in the settings file, the line that the value of a key
    /// comes from.
    #[must_use]
    pub fn locate(&self, key: &str) -> Place {
        let source = self.figment.find_metadata(key);
        let name = source.map(|metadata| metadata.name.to_string());
        let is_from_file = name.is_none() || name == self.file_name;
        Place {
            file: if is_from_file {
                self.file_name.clone()
            } else {
                name
            },
            line: self.line_numbers.get(key).copied().filter(|_| is_from_file),
            key: Some(key.to_owned()),
        }
    }

    fn merge(mut self, name: String, values: Dict) -> Self {
        self.figment = self.figment.merge(Layer { name, values });
        self
    }
}

fn file_place(name: &str, line: Option<usize>) -> Place {
    Place {
        file: Some(name.to_owned()),
        line,
        key: None,
    }
}

fn finding(place: Place, problem: String, rule: &'static str) -> Finding {
    Finding {
        place,
        problem,
        rule,
    }
}

/// Number of the line, counted from one, that holds this byte offset.
fn line_number(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().iter().take(offset);
    before.filter(|byte| **byte == b'\n').count() + 1
}
