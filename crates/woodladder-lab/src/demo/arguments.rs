//! Arguments of a process, put together one after another.

use std::ffi::{OsStr, OsString};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Arguments so far.
#[derive(Clone, Debug)]
pub(super) struct Arguments {
    list: Vec<OsString>,
}

impl Arguments {
    pub(super) fn new(first: &[&str]) -> Self {
        Self {
            list: first.iter().map(OsString::from).collect(),
        }
    }

    pub(super) fn value(mut self, value: &OsStr) -> Self {
        self.list.push(value.to_owned());
        self
    }

    pub(super) fn text(self, flag: &str, value: &str) -> Self {
        self.value(flag.as_ref()).value(value.as_ref())
    }

    pub(super) fn path(self, flag: &str, value: &Path) -> Self {
        self.value(flag.as_ref()).value(value.as_os_str())
    }

    pub(super) fn address(self, flag: &str, value: SocketAddr) -> Self {
        self.text(flag, &value.to_string())
    }

    pub(super) fn duration(self, flag: &str, value: Duration) -> Self {
        self.text(flag, &format!("{}ms", value.as_millis()))
    }

    pub(super) fn flags(mut self, flags: &[Flag]) -> Self {
        for flag in flags {
            self = self.text(flag.name, &flag.value);
        }
        self
    }

    /// The arguments of a stand-in.
    pub(super) fn stand_in(self) -> Vec<OsString> {
        self.list
    }

    /// Arguments that make the laboratory's program act as the product's.
    pub(super) fn product(self) -> Vec<OsString> {
        let mut list = vec![OsString::from("product")];
        list.extend(self.list);
        list
    }
}

/// A flag with its value, given to a node besides those that each node gets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Flag {
    /// Name with its dashes.
    pub name: &'static str,
    /// Value.
    pub value: String,
}

impl Flag {
    /// A flag.
    #[must_use]
    pub fn new(name: &'static str, value: &str) -> Self {
        Self {
            name,
            value: value.to_owned(),
        }
    }
}
