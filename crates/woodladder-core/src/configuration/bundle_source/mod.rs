//! The TOML form in which operators write a bundle, and its rules.
//!
//! Reading collects every fault with its file, line and key path, so that an
//! operator can correct all of them at once. [`parse`] checks one text by
//! itself; [`crate::configuration::snapshot::Snapshot::following`] checks a
//! bundle against the snapshot in force.

mod check;
mod document;
mod lines;
mod reader;
mod render;

use std::net::SocketAddr;

use crate::configuration::bundle::{Bundle, Service, Target, TargetState, Zone};
use crate::finding::Findings;
use crate::identifier::{ServiceId, TargetId, ZoneIndex};

use document::Document;
use reader::{Located, TableReader};

pub use render::{EXAMPLE, render};

/// Greatest version that fits a TOML integer, which is signed.
const MAXIMUM_VERSION: u64 = i64::MAX as u64;

/// A service as written; a value with a fault is `None`.
struct ServiceSource {
    id: Option<Located<u32>>,
    name: Option<Located<String>>,
    addresses: Vec<Located<SocketAddr>>,
    targets: Vec<TargetSource>,
    place: reader::KeyPlace,
}

/// A target as written; a value with a fault is `None`.
struct TargetSource {
    id: Option<Located<u32>>,
    address: Option<Located<SocketAddr>>,
    zone: Option<Located<String>>,
    slots: Option<Located<u16>>,
    connections: Option<Located<u32>>,
    state: Option<Located<TargetState>>,
}

/// A zone as written; a value with a fault is `None`.
struct ZoneSource {
    name: Option<Located<String>>,
    region: Option<Located<String>>,
}

/// Reads and checks a bundle; `file` is the file name in findings.
///
/// # Errors
/// Every fault found, each with its file, line, key path and rule.
pub fn parse(file: &str, text: &str) -> Result<Bundle, Findings> {
    read(text).map_err(|findings| findings.in_file(file))
}

fn read(text: &str) -> Result<Bundle, Findings> {
    let mut findings = Findings::new();
    let document = Document::parse(text, &mut findings);
    if !findings.is_empty() {
        return Err(findings);
    }
    let mut root = document.root();
    let version = root.integer::<u64>("version", 1, MAXIMUM_VERSION);
    let deployment = root.name("deployment");
    let mut zones: Vec<ZoneSource> = Vec::new();
    for table in root.tables("zone") {
        zones.push(read_zone(table, &mut findings));
    }
    let mut services: Vec<ServiceSource> = Vec::new();
    for table in root.tables("service") {
        services.push(read_service(table, &mut findings));
    }
    root.finish(&mut findings);
    check::check_zones(&zones, &mut findings);
    check::check_services(&services, &mut findings);
    check::check_targets(&services, &zones, &mut findings);
    findings.sort_by_line();
    match assemble(version, deployment, &zones, &services) {
        Some(bundle) => findings.into_result(bundle),
        None => Err(findings),
    }
}

fn read_zone(mut table: TableReader<'_>, findings: &mut Findings) -> ZoneSource {
    let zone = ZoneSource {
        name: table.name("name"),
        region: table.name("region"),
    };
    table.finish(findings);
    zone
}

fn read_service(mut table: TableReader<'_>, findings: &mut Findings) -> ServiceSource {
    let mut service = ServiceSource {
        id: table.integer("id", 1, u64::from(u32::MAX)),
        name: table.name("name"),
        addresses: table.addresses("addresses"),
        targets: Vec::new(),
        place: table.place(),
    };
    for target in table.tables("target") {
        service.targets.push(read_target(target, findings));
    }
    table.finish(findings);
    service
}

fn read_target(mut table: TableReader<'_>, findings: &mut Findings) -> TargetSource {
    let target = TargetSource {
        id: table.integer("id", 1, u64::from(u32::MAX)),
        address: table.address("address"),
        zone: table.name("zone"),
        slots: table.integer("slots", 1, u64::from(u16::MAX)),
        connections: table.integer("connections", 1, u64::from(u32::MAX)),
        state: table.state("state"),
    };
    table.finish(findings);
    target
}

/// The bundle, or `None` when a value in it has a fault.
fn assemble(
    version: Option<Located<u64>>,
    deployment: Option<Located<String>>,
    zones: &[ZoneSource],
    services: &[ServiceSource],
) -> Option<Bundle> {
    let mut targets = Vec::new();
    for service in services {
        for target in &service.targets {
            targets.push(assemble_target(service, target, zones)?);
        }
    }
    let bundle = Bundle {
        version: version?.value,
        deployment: deployment?.value,
        zones: zones.iter().map(assemble_zone).collect::<Option<_>>()?,
        services: services
            .iter()
            .map(assemble_service)
            .collect::<Option<_>>()?,
        targets,
    };
    Some(bundle.canonical())
}

fn assemble_zone(zone: &ZoneSource) -> Option<Zone> {
    Some(Zone {
        name: zone.name.as_ref()?.value.clone(),
        region: zone.region.as_ref()?.value.clone(),
    })
}

fn assemble_service(service: &ServiceSource) -> Option<Service> {
    Some(Service {
        id: ServiceId(service.id.as_ref()?.value),
        name: service.name.as_ref()?.value.clone(),
        addresses: service.addresses.iter().map(|item| item.value).collect(),
    })
}

fn assemble_target(
    service: &ServiceSource,
    target: &TargetSource,
    zones: &[ZoneSource],
) -> Option<Target> {
    let zone = &target.zone.as_ref()?.value;
    let position = zones.iter().position(|known| known.is_named(zone))?;
    Some(Target {
        id: TargetId(target.id.as_ref()?.value),
        service: ServiceId(service.id.as_ref()?.value),
        address: target.address.as_ref()?.value,
        zone: ZoneIndex(u16::try_from(position).ok()?),
        slots: target.slots.as_ref()?.value,
        connections: target.connections.as_ref()?.value,
        state: target.state.as_ref()?.value,
    })
}

impl ZoneSource {
    fn is_named(&self, name: &str) -> bool {
        self.name.as_ref().is_some_and(|known| known.value == name)
    }
}
