//! Rules that concern several values of a bundle.

use std::collections::BTreeMap;
use std::fmt::Display;

use super::reader::{KeyPlace, Located};
use super::{ServiceSource, TargetSource, ZoneSource};
use crate::finding::Findings;

const RULE_ZONE_ONCE: &str = "a zone is named once";
const RULE_ZONE_KNOWN: &str = "a target's zone is among the bundle's zones";
const RULE_ZONES: &str = "a bundle names at least one zone";
const RULE_SERVICES: &str = "a bundle names at least one service";
const RULE_TARGETS: &str = "a service has at least one target";
const RULE_SERVICE_ONCE: &str = "a service's identifier and name are used once";
const RULE_ADDRESS_ONCE: &str = "an address belongs to one service or one target";
const RULE_TARGET_ONCE: &str = "a target identifier is used once, in one service";

/// Checks that each value is used once. A repeated value is reported with the place
/// of its first use.
struct UniqueValues<'a> {
    /// Place of the first use of each value.
    places: BTreeMap<String, &'a KeyPlace>,
    /// The rule that a repeated value breaks, as stated in the finding.
    rule: &'static str,
}

impl<'a> UniqueValues<'a> {
    fn new(rule: &'static str) -> Self {
        Self {
            places: BTreeMap::new(),
            rule,
        }
    }

    fn check<T: Display>(&mut self, item: Option<&'a Located<T>>, findings: &mut Findings) {
        let Some(item) = item else {
            return;
        };
        let text = item.value.to_string();
        let Some(first) = self.places.get(&text) else {
            self.places.insert(text, &item.place);
            return;
        };
        let problem = format!(
            "`{text}` is already used at {} (line {})",
            first.key, first.line
        );
        findings.push(item.place.finding(problem, self.rule));
    }
}

/// Checks that there is a zone and that zone names are unique.
pub(super) fn check_zones(zones: &[ZoneSource], findings: &mut Findings) {
    if zones.is_empty() {
        findings.add("zone", "no zone is named", RULE_ZONES);
    }
    let mut names = UniqueValues::new(RULE_ZONE_ONCE);
    for name in zones.iter().filter_map(|zone| zone.name.as_ref()) {
        names.check(Some(name), findings);
    }
}

/// Checks that there is a service, that each has a target, and that identifiers,
/// names and addresses are unique.
pub(super) fn check_services(services: &[ServiceSource], findings: &mut Findings) {
    if services.is_empty() {
        findings.add("service", "no service is named", RULE_SERVICES);
    }
    let mut identifiers = UniqueValues::new(RULE_SERVICE_ONCE);
    let mut names = UniqueValues::new(RULE_SERVICE_ONCE);
    let mut addresses = UniqueValues::new(RULE_ADDRESS_ONCE);
    for service in services {
        identifiers.check(service.id.as_ref(), findings);
        names.check(service.name.as_ref(), findings);
        for address in &service.addresses {
            addresses.check(Some(address), findings);
        }
        if service.targets.is_empty() {
            let problem = "the service has no target".to_owned();
            findings.push(service.place.finding(problem, RULE_TARGETS));
        }
    }
    for target in services.iter().flat_map(|service| &service.targets) {
        addresses.check(target.address.as_ref(), findings);
    }
}

/// Checks that target identifiers are unique and that their zones exist.
pub(super) fn check_targets(
    services: &[ServiceSource],
    zones: &[ZoneSource],
    findings: &mut Findings,
) {
    let mut identifiers = UniqueValues::new(RULE_TARGET_ONCE);
    for target in services.iter().flat_map(|service| &service.targets) {
        identifiers.check(target.id.as_ref(), findings);
        check_target_zone(target, zones, findings);
    }
}

fn check_target_zone(target: &TargetSource, zones: &[ZoneSource], findings: &mut Findings) {
    let Some(zone) = &target.zone else {
        return;
    };
    if zones.iter().any(|known| known.is_named(&zone.value)) {
        return;
    }
    let problem = format!("zone `{}` is not named", zone.value);
    findings.push(zone.place.finding(problem, RULE_ZONE_KNOWN));
}
