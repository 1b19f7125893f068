//! Writes a bundle in the TOML form that operators use.

use serde::Serialize;

use crate::configuration::bundle::{Bundle, Service, Target, TargetState};

/// A small bundle for operators to start from, accepted by [`super::parse`].
pub const EXAMPLE: &str = r#"# Version of this bundle: any number; a later bundle need not have a greater one.
version = 1
deployment = "example"

[[zone]]
name = "north-a"
region = "north"

[[service]]
id = 1
name = "orders"
# Addresses that callers send to.
addresses = ["192.0.2.10:443"]

[[service.target]]
# Never reused for another service.
id = 101
# Data address of the agent beside the back end.
address = "192.0.2.101:7001"
zone = "north-a"
# Requests that the back end runs at the same time.
slots = 7
# Connections that the back end holds at the same time.
connections = 2000
# "active", or "leaving" to give it no new work.
state = "active"
"#;

#[derive(Serialize)]
struct BundleText<'a> {
    version: u64,
    deployment: &'a str,
    zone: Vec<ZoneText<'a>>,
    service: Vec<ServiceText<'a>>,
}

#[derive(Serialize)]
struct ZoneText<'a> {
    name: &'a str,
    region: &'a str,
}

#[derive(Serialize)]
struct ServiceText<'a> {
    id: u32,
    name: &'a str,
    addresses: Vec<String>,
    target: Vec<TargetText<'a>>,
}

#[derive(Serialize)]
struct TargetText<'a> {
    id: u32,
    address: String,
    zone: &'a str,
    slots: u16,
    connections: u32,
    state: &'static str,
}

/// A bundle as TOML, accepted by [`super::parse`].
///
/// # Errors
/// Returns an error when a number does not fit TOML's signed 64-bit integers.
pub fn render(bundle: &Bundle) -> Result<String, toml::ser::Error> {
    let zones = bundle.zones.iter().map(|zone| ZoneText {
        name: &zone.name,
        region: &zone.region,
    });
    let text = BundleText {
        version: bundle.version,
        deployment: &bundle.deployment,
        zone: zones.collect(),
        service: bundle
            .services
            .iter()
            .map(|service| service_text(bundle, service))
            .collect(),
    };
    toml::to_string(&text)
}

fn service_text<'a>(bundle: &'a Bundle, service: &'a Service) -> ServiceText<'a> {
    let targets = bundle.targets.iter();
    let targets = targets.filter(|target| target.service == service.id);
    ServiceText {
        id: service.id.0,
        name: &service.name,
        addresses: service.addresses.iter().map(ToString::to_string).collect(),
        target: targets.map(|target| target_text(bundle, target)).collect(),
    }
}

fn target_text<'a>(bundle: &'a Bundle, target: &Target) -> TargetText<'a> {
    let zone = bundle.zones.get(usize::from(target.zone.0));
    TargetText {
        id: target.id.0,
        address: target.address.to_string(),
        zone: zone.map_or("", |zone| zone.name.as_str()),
        slots: target.slots,
        connections: target.connections,
        state: match target.state {
            TargetState::Active => "active",
            TargetState::Leaving => "leaving",
        },
    }
}
