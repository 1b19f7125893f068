//! Differences between two bundles, by service and target.

use std::fmt;

use serde::Serialize;
use woodladder_core::configuration::bundle::{Bundle, Service, Target, TargetState};

/// Kind of a difference.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Only in the new bundle.
    Added,
    /// Only in the old bundle.
    Removed,
    /// In both bundles, with different content.
    Changed,
}

/// One service or target that differs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// Kind of the difference.
    pub change: Change,
    /// Name of the service.
    pub service: String,
    /// Identifier of the target; absent when the service itself differs.
    pub target: Option<u32>,
    /// Descriptions of what is different, for people.
    pub details: Vec<String>,
}

/// All differences between two bundles.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct BundleDifference {
    /// Version of the old bundle.
    pub old_version: u64,
    /// Version of the new bundle.
    pub new_version: u64,
    /// Services and targets that differ, sorted by service and target.
    pub differences: Vec<Difference>,
}

impl BundleDifference {
    /// Compares two bundles.
    #[must_use]
    pub fn between(old: &Bundle, new: &Bundle) -> Self {
        let mut differences = Vec::new();
        compare_services(old, new, &mut differences);
        compare_targets(old, new, &mut differences);
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

fn compare_services(old: &Bundle, new: &Bundle, differences: &mut Vec<Difference>) {
    for service in &new.services {
        match old.service(service.id) {
            None => differences.push(service_difference(Change::Added, service, Vec::new())),
            Some(before) if before != service => {
                let details = service_details(before, service);
                differences.push(service_difference(Change::Changed, service, details));
            }
            Some(_) => {}
        }
    }
    for service in &old.services {
        if new.service(service.id).is_none() {
            differences.push(service_difference(Change::Removed, service, Vec::new()));
        }
    }
}

fn compare_targets(old: &Bundle, new: &Bundle, differences: &mut Vec<Difference>) {
    for target in &new.targets {
        match old.target(target.id) {
            None => {
                let details = vec![format!("address {}", target.address)];
                differences.push(target_difference(Change::Added, new, target, details));
            }
            Some(before) => {
                let details = target_details(old, before, new, target);
                if !details.is_empty() {
                    differences.push(target_difference(Change::Changed, new, target, details));
                }
            }
        }
    }
    for target in &old.targets {
        if new.target(target.id).is_none() {
            differences.push(target_difference(Change::Removed, old, target, Vec::new()));
        }
    }
}

fn service_difference(change: Change, service: &Service, details: Vec<String>) -> Difference {
    Difference {
        change,
        service: service.name.clone(),
        target: None,
        details,
    }
}

fn target_difference(
    change: Change,
    bundle: &Bundle,
    target: &Target,
    details: Vec<String>,
) -> Difference {
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
    push_if_changed(&mut details, "name", &old.name, &new.name);
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
    push_if_changed(&mut details, "service", &before.service, &after.service);
    push_if_changed(&mut details, "address", &before.address, &after.address);
    push_if_changed(
        &mut details,
        "zone",
        &zone_name(old, before),
        &zone_name(new, after),
    );
    push_if_changed(&mut details, "slots", &before.slots, &after.slots);
    push_if_changed(
        &mut details,
        "connections",
        &before.connections,
        &after.connections,
    );
    push_if_changed(
        &mut details,
        "state",
        &state_name(before.state),
        &state_name(after.state),
    );
    details
}

/// Adds a description when the two values differ.
fn push_if_changed<T: fmt::Display + PartialEq>(
    details: &mut Vec<String>,
    name: &str,
    old: &T,
    new: &T,
) {
    if old != new {
        details.push(format!("{name} {old} -> {new}"));
    }
}

fn state_name(state: TargetState) -> &'static str {
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
