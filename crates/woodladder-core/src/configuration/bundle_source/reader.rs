//! Reads typed values from a TOML table and collects findings.

use std::net::SocketAddr;
use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::lines::Lines;
use crate::configuration::bundle::TargetState;
use crate::finding::{Finding, Findings, Place};

const RULE_KNOWN_KEYS: &str = "only known keys are allowed";
const RULE_REQUIRED: &str = "the key is required";
const RULE_INTEGER: &str = "the value is an integer in its range";
const RULE_NAME: &str = "a name has 1 to 64 letters, digits, dots, dashes or underscores";
const RULE_ADDRESS: &str = "an address is an IP number and a port other than zero";
const RULE_LIST: &str = "the value is a list with at least one entry";
const RULE_TABLES: &str = "the value is a list of tables";
const RULE_STATE: &str = "a state is \"active\" or \"leaving\"";
const MAXIMUM_NAME_LENGTH: usize = 64;

/// Key path and line of a value in the text.
#[derive(Clone, Debug)]
pub(super) struct KeyPlace {
    /// Key path, empty for the root table.
    pub(super) key: String,
    /// Line, counted from one.
    pub(super) line: usize,
}

/// A value with its place in the text.
#[derive(Clone, Debug)]
pub(super) struct Located<T> {
    /// The value.
    pub(super) value: T,
    /// Place of the value.
    pub(super) place: KeyPlace,
}

/// Reads the keys of one table; keys that no method has read are reported as
/// unknown.
pub(super) struct TableReader<'a> {
    table: &'a DeTable<'a>,
    place: KeyPlace,
    lines: &'a Lines,
    read_keys: Vec<&'static str>,
    findings: Findings,
}

impl KeyPlace {
    /// A finding at this place.
    pub(super) fn finding(&self, problem: String, rule: &'static str) -> Finding {
        Finding {
            place: Place {
                file: None,
                line: Some(self.line),
                key: Some(self.key.clone()),
            },
            problem,
            rule,
        }
    }
}

impl<'a> TableReader<'a> {
    /// A reader of one table.
    pub(super) fn new(table: &'a DeTable<'a>, place: KeyPlace, lines: &'a Lines) -> Self {
        Self {
            table,
            place,
            lines,
            read_keys: Vec::new(),
            findings: Findings::new(),
        }
    }

    /// Place of the table.
    pub(super) fn place(&self) -> KeyPlace {
        self.place.clone()
    }

    /// Adds the findings of this table, including unknown keys, to `findings`.
    pub(super) fn finish(mut self, findings: &mut Findings) {
        let table = self.table;
        for (key, _) in table {
            let name = key.get_ref().as_ref();
            if !self.read_keys.contains(&name) {
                let place = self.place_of(name, &key.span());
                let finding = place.finding(format!("unknown key `{name}`"), RULE_KNOWN_KEYS);
                self.findings.push(finding);
            }
        }
        findings.append(self.findings);
    }

    /// Reads an integer from `minimum` to `maximum`.
    pub(super) fn integer<T: TryFrom<u64>>(
        &mut self,
        key: &'static str,
        minimum: u64,
        maximum: u64,
    ) -> Option<Located<T>> {
        let value = self.required(key)?;
        let place = self.place_of(key, &value.span());
        let number = match value.get_ref() {
            DeValue::Integer(integer) => parse_integer(integer.as_str(), integer.radix()),
            _ => None,
        };
        let in_range = number.filter(|number| (minimum..=maximum).contains(number));
        let Some(value) = in_range.and_then(|number| T::try_from(number).ok()) else {
            let problem = format!("not an integer from {minimum} to {maximum}");
            self.findings.push(place.finding(problem, RULE_INTEGER));
            return None;
        };
        Some(Located { value, place })
    }

    /// Reads a name.
    pub(super) fn name(&mut self, key: &'static str) -> Option<Located<String>> {
        let value = self.required(key)?;
        let place = self.place_of(key, &value.span());
        let text = value.get_ref().as_str().unwrap_or_default();
        if is_name(text) {
            let value = text.to_owned();
            return Some(Located { value, place });
        }
        let problem = format!("`{text}` is not a name");
        self.findings.push(place.finding(problem, RULE_NAME));
        None
    }

    /// Reads a target's state; a missing key means active.
    pub(super) fn state(&mut self, key: &'static str) -> Option<Located<TargetState>> {
        self.read_keys.push(key);
        let Some(value) = self.table.get(key) else {
            return Some(Located {
                value: TargetState::Active,
                place: self.place(),
            });
        };
        let place = self.place_of(key, &value.span());
        let state = match value.get_ref().as_str() {
            Some("active") => TargetState::Active,
            Some("leaving") => TargetState::Leaving,
            _ => {
                let finding = place.finding("not a state".to_owned(), RULE_STATE);
                self.findings.push(finding);
                return None;
            }
        };
        Some(Located {
            value: state,
            place,
        })
    }

    /// Reads an address.
    pub(super) fn address(&mut self, key: &'static str) -> Option<Located<SocketAddr>> {
        let value = self.required(key)?;
        let place = self.place_of(key, &value.span());
        self.parse_address(value.get_ref().as_str().unwrap_or_default(), place)
    }

    /// Reads a list of addresses with at least one entry.
    pub(super) fn addresses(&mut self, key: &'static str) -> Vec<Located<SocketAddr>> {
        let Some(value) = self.required(key) else {
            return Vec::new();
        };
        let place = self.place_of(key, &value.span());
        let Some(list) = value.get_ref().as_array().filter(|list| !list.is_empty()) else {
            let problem = "not a list with an entry".to_owned();
            self.findings.push(place.finding(problem, RULE_LIST));
            return Vec::new();
        };
        let mut addresses = Vec::new();
        for (index, item) in list.iter().enumerate() {
            let place = KeyPlace {
                key: format!("{}[{index}]", place.key),
                line: self.lines.line(&item.span()),
            };
            let text = item.get_ref().as_str().unwrap_or_default();
            addresses.extend(self.parse_address(text, place));
        }
        addresses
    }

    /// Readers of a list of tables; none when the key is missing.
    pub(super) fn tables(&mut self, key: &'static str) -> Vec<TableReader<'a>> {
        self.read_keys.push(key);
        let Some(value) = self.table.get(key) else {
            return Vec::new();
        };
        let place = self.place_of(key, &value.span());
        let Some(list) = value.get_ref().as_array() else {
            let problem = "not a list of tables".to_owned();
            self.findings.push(place.finding(problem, RULE_TABLES));
            return Vec::new();
        };
        let mut readers = Vec::new();
        for (index, item) in list.iter().enumerate() {
            let place = KeyPlace {
                key: format!("{}[{index}]", place.key),
                line: self.lines.line(&item.span()),
            };
            match item.get_ref().as_table() {
                Some(table) => readers.push(TableReader::new(table, place, self.lines)),
                None => {
                    let finding = place.finding("not a table".to_owned(), RULE_TABLES);
                    self.findings.push(finding);
                }
            }
        }
        readers
    }

    fn required(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.read_keys.push(key);
        let value = self.table.get(key);
        if value.is_none() {
            let mut place = self.place();
            place.key = join_key(&place.key, key);
            let finding = place.finding(format!("`{key}` is missing"), RULE_REQUIRED);
            self.findings.push(finding);
        }
        value
    }

    fn parse_address(&mut self, text: &str, place: KeyPlace) -> Option<Located<SocketAddr>> {
        let address: Option<SocketAddr> = text.parse().ok();
        match address.filter(|address| address.port() != 0) {
            Some(value) => Some(Located { value, place }),
            None => {
                let problem = format!("`{text}` is not an address");
                self.findings.push(place.finding(problem, RULE_ADDRESS));
                None
            }
        }
    }

    fn place_of(&self, key: &str, span: &Range<usize>) -> KeyPlace {
        KeyPlace {
            key: join_key(&self.place.key, key),
            line: self.lines.line(span),
        }
    }
}

fn join_key(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

fn parse_integer(text: &str, radix: u32) -> Option<u64> {
    u64::from_str_radix(text, radix).ok()
}

fn is_name(text: &str) -> bool {
    let allowed = |letter: char| letter.is_alphanumeric() || matches!(letter, '.' | '-' | '_');
    !text.is_empty() && text.chars().count() <= MAXIMUM_NAME_LENGTH && text.chars().all(allowed)
}
