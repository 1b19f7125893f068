//! Layers of settings and where each value comes from.

use std::collections::BTreeMap;
use std::path::Path;

use figment::providers::Env;
use figment::value::{Dict, Map, Value};
use figment::{Figment, Metadata, Profile, Provider};
use serde::Serialize;
use toml::Spanned;
use woodladder_core::finding::{Finding, Findings, Place};

/// Prefix of the environment variables that override settings.
pub const ENVIRONMENT_PREFIX: &str = "WOODLADDER_";

/// Environment variable that names the settings file itself.
const FILE_VARIABLE_KEY: &str = "settings";

const RULE_READABLE: &str = "the settings file must exist and be readable";
const RULE_TOML: &str = "the settings file must be valid TOML";
const RULE_FLAGS: &str = "flags must be representable as settings";

/// All layers of settings, merged.
#[derive(Default)]
pub struct Layers {
    figment: Figment,
    lines: BTreeMap<String, usize>,
    file: Option<String>,
}

/// One layer: a name for messages and its values by key.
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

impl Layers {
    /// No settings at all.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the layer of a TOML file.
    #[must_use]
    pub fn file(self, path: &Path, findings: &mut Findings) -> Self {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => self.toml(&name, &text, findings),
            Err(error) => {
                let place = file_place(&name, None);
                findings.push(fault(place, error.to_string(), RULE_READABLE));
                self
            }
        }
    }

    /// Adds the layer of a TOML text that was read from the file `name`.
    #[must_use]
    pub fn toml(mut self, name: &str, text: &str, findings: &mut Findings) -> Self {
        match toml::from_str::<BTreeMap<Spanned<String>, toml::Value>>(text) {
            Ok(table) => {
                self.file = Some(name.to_owned());
                let mut values = Dict::new();
                for (key, value) in table {
                    let line = line_of(text, key.span().start);
                    self.lines.insert(key.get_ref().clone(), line);
                    if let Ok(value) = Value::serialize(value) {
                        values.insert(key.into_inner(), value);
                    }
                }
                self.merge(name.to_owned(), values)
            }
            Err(error) => {
                let line = error.span().map(|span| line_of(text, span.start));
                let place = file_place(name, line);
                findings.push(fault(place, error.message().to_owned(), RULE_TOML));
                self
            }
        }
    }

    /// Adds the layer of this process's environment variables.
    #[must_use]
    pub fn environment(self) -> Self {
        let variables = Env::prefixed(ENVIRONMENT_PREFIX).ignore(&[FILE_VARIABLE_KEY]);
        let values: Dict = variables
            .iter()
            .map(|(key, text)| (key.as_str().to_owned(), Value::from(text)))
            .collect();
        self.merge("environment".to_owned(), values)
    }

    /// Adds the layer of command-line flags; absent flags are left out.
    #[must_use]
    pub fn flags(self, flags: &impl Serialize, findings: &mut Findings) -> Self {
        let Ok(Value::Dict(_, values)) = Value::serialize(flags) else {
            let place = Place {
                key: Some("flags".to_owned()),
                ..Place::default()
            };
            findings.push(fault(place, "cannot be read".to_owned(), RULE_FLAGS));
            return self;
        };
        self.merge("flags".to_owned(), values)
    }

    /// Every key that some layer sets.
    #[must_use]
    pub fn keys(&self) -> Vec<String> {
        match self.figment.extract::<BTreeMap<String, Value>>() {
            Ok(values) => values.into_keys().collect(),
            Err(_) => Vec::new(),
        }
    }

    /// The value of a key in the topmost layer that sets it.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Value> {
        self.figment.find_value(key).ok()
    }

    /// Where the value of a key comes from.
    #[must_use]
    pub fn place(&self, key: &str) -> Place {
        let source = self.figment.find_metadata(key);
        let name = source.map(|metadata| metadata.name.to_string());
        let from_file = name.is_none() || name == self.file;
        Place {
            file: if from_file { self.file.clone() } else { name },
            line: self.lines.get(key).copied().filter(|_| from_file),
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

fn fault(place: Place, problem: String, rule: &'static str) -> Finding {
    Finding {
        place,
        problem,
        rule,
    }
}

/// Line number, counted from one, of a byte offset.
fn line_of(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().iter().take(offset);
    before.filter(|byte| **byte == b'\n').count() + 1
}
