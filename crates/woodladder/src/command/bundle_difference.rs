//! The difference between two bundles, by service and target.

use std::fmt;

use serde::Serialize;
use woodladder_core::configuration::bundle::{Bundle, Service, Target, TargetState};

/// How something differs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Only in the new bundle.
    Added,
    /// Only in the old bundle.
    Removed,
    /// In both, not the same.
    Changed,
}

/// One service or target that differs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// How it differs.
    pub change: Change,
    /// Name of the service.
    pub service: String,
    /// Identifier of the target; absent when the service itself differs.
    pub target: Option<u32>,
    /// What is different, for people.
    pub details: Vec<String>,
}

/// All that differs between two bundles.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct BundleDifference {
    /// Version of the old bundle.
    pub old_version: u64,
    /// Version of the new bundle.
    pub new_version: u64,
    /// Services and targets that differ.
    pub differences: Vec<Difference>,
}

impl BundleDifference {
    /// What differs between two bundles.
    #[must_use]
    pub fn between(old: &Bundle, new: &Bundle) -> Self {
        let mut differences = Vec::new();
        add_services(old, new, &mut differences);
        add_targets(old, new, &mut differences);
        differences.sort_by(|left, right| {
            (&left.service, left.target).cmp(&(&right.service, right.target))
        });
        Self {
            old_version: old.version,
            new_version: new.version,
            differences,
        }
    }
}

fn add_services(old: &Bundle, new: &Bundle, differences: &mut Vec<Difference>) {
    for service in &new.services {
        match old.service(service.id) {
            None => differences.push(of_service(Change::Added, service, Vec::new())),
            Some(before) if before != service => {
                let details = service_details(before, service);
                differences.push(of_service(Change::Changed, service, details));
            }
            Some(_) => {}
        }
    }
    for service in &old.services {
        if new.service(service.id).is_none() {
            differences.push(of_service(Change::Removed, service, Vec::new()));
        }
    }
}

fn add_targets(old: &Bundle, new: &Bundle, differences: &mut Vec<Difference>) {
    for target in &new.targets {
        match old.target(target.id) {
            None => {
                let details = vec![format!("address {}", target.address)];
                differences.push(of_target(Change::Added, new, target, details));
            }
            Some(before) => {
                let details = target_details(old, before, new, target);
                if !details.is_empty() {
                    differences.push(of_target(Change::Changed, new, target, details));
                }
            }
        }
    }
    for target in &old.targets {
        if new.target(target.id).is_none() {
            differences.push(of_target(Change::Removed, old, target, Vec::new()));
        }
    }
}

fn of_service(change: Change, service: &Service, details: Vec<String>) -> Difference {
    Difference {
        change,
        service: service.name.clone(),
        target: None,
        details,
    }
}

fn of_target(change: Change, bundle: &Bundle, target: &Target, details: Vec<String>) -> Difference {
    Difference {
        change,
        service: service_name(bundle, target),
        target: Some(target.id.0),
        details,
    }
}

fn service_name(bundle: &Bundle, target: &Target) -> String {
    match bundle.service(target.service) {
        Some(service) => service.name.clone(),
        None => target.service.to_string(),
    }
}

fn zone_name(bundle: &Bundle, target: &Target) -> String {
    match bundle.zones.get(usize::from(target.zone.0)) {
        Some(zone) => zone.name.clone(),
        None => target.zone.to_string(),
    }
}

fn service_details(old: &Service, new: &Service) -> Vec<String> {
    let mut details = Vec::new();
    note(&mut details, "name", &old.name, &new.name);
    for address in &new.addresses {
        if !old.addresses.contains(address) {
            details.push(format!("address {address} added"));
        }
    }
    for address in &old.addresses {
        if !new.addresses.contains(address) {
            details.push(format!("address {address} removed"));
        }
    }
    details
}

fn target_details(old: &Bundle, before: &Target, new: &Bundle, after: &Target) -> Vec<String> {
    let mut details = Vec::new();
    note(&mut details, "service", &before.service, &after.service);
    note(&mut details, "address", &before.address, &after.address);
    note(
        &mut details,
        "zone",
        &zone_name(old, before),
        &zone_name(new, after),
    );
    note(&mut details, "slots", &before.slots, &after.slots);
    note(
        &mut details,
        "connections",
        &before.connections,
        &after.connections,
    );
    note(
        &mut details,
        "state",
        &state_word(before.state),
        &state_word(after.state),
    );
    details
}

fn note<T: fmt::Display + PartialEq>(details: &mut Vec<String>, what: &str, old: &T, new: &T) {
    if old != new {
        details.push(format!("{what} {old} -> {new}"));
    }
}

fn state_word(state: TargetState) -> &'static str {
    match state {
        TargetState::Active => "active",
        TargetState::Leaving => "leaving",
    }
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Added => "added",
            Self::Removed => "removed",
            Self::Changed => "changed",
        })
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} service {}", self.change, self.service)?;
        if let Some(target) = self.target {
            write!(formatter, " target {target}")?;
        }
        if !self.details.is_empty() {
            write!(formatter, ": {}", self.details.join(", "))?;
        }
        Ok(())
    }
}

impl fmt::Display for BundleDifference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "version {} -> {}",
            self.old_version, self.new_version
        )?;
        if self.differences.is_empty() {
            writeln!(formatter, "no service or target differs")?;
        }
        for difference in &self.differences {
            writeln!(formatter, "{difference}")?;
        }
        Ok(())
    }
}
