//! A parsed TOML document with its line numbers.

use toml::Spanned;
use toml::de::DeTable;

use super::lines::Lines;
use super::reader::{KeyPlace, TableReader};
use crate::finding::{Finding, Findings, Place};

const RULE_SYNTAX: &str = "a bundle is a TOML document";

/// A parsed TOML document.
pub(super) struct Document<'a> {
    table: Spanned<DeTable<'a>>,
    lines: Lines,
}

impl<'a> Document<'a> {
    /// Parses a text; syntax errors become findings.
    pub(super) fn parse(text: &'a str, findings: &mut Findings) -> Self {
        let lines = Lines::new(text);
        let (table, errors) = DeTable::parse_recoverable(text);
        for error in errors {
            let line = error.span().map(|span| lines.line(&span));
            findings.push(Finding {
                place: Place {
                    line,
                    ..Place::default()
                },
                problem: error.message().to_owned(),
                rule: RULE_SYNTAX,
            });
        }
        Self { table, lines }
    }

    /// Reader of the root table.
    pub(super) fn root(&self) -> TableReader<'_> {
        let place = KeyPlace {
            key: String::new(),
            line: 1,
        };
        TableReader::new(self.table.get_ref(), place, &self.lines)
    }
}
