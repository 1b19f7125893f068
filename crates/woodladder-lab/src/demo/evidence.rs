//! Gathers the logs of one deployment and turns them into its report.

use std::collections::BTreeMap;

use woodladder_core::configuration::bundle::Target;
use woodladder_core::identifier::TargetId;

use super::administration::{Administration, AdministrationError};
use super::cluster::Cluster;
use super::imbalance::{BackEndLoad, imbalance};
use super::plan::{BACK_END_ADMIN_PORT, Machine};
use super::report::{DeploymentReport, ServiceReport};
use crate::stand_in::caller::{FeedEnd, OutcomeLog};
use crate::stand_in::execution_log::ExecutionLog;
use crate::stand_in::oracle::{Evidence, OracleSettings, Violation, judge};

/// Time at the surge's start and end that does not count for imbalance, in
/// milliseconds: the load builds up and runs out.
const EDGE_MS: u64 = 1000;

/// Times of a story, in milliseconds since the Unix epoch.
#[derive(Clone, Debug, Default)]
pub struct Times {
    /// Start of the surge.
    pub surge_started: u64,
    /// End of the surge.
    pub surge_ended: u64,
    /// When targets were told to leave.
    pub leaving: BTreeMap<TargetId, u64>,
}

/// The logs of all back ends, in the order of the bundle's targets.
///
/// # Errors
/// [`AdministrationError`] when a log cannot be read.
pub async fn execution_logs(
    cluster: &Cluster,
    client: &Administration,
) -> Result<Vec<ExecutionLog>, AdministrationError> {
    let mut logs = Vec::new();
    for target in &cluster.deployment.bundle.targets {
        let address = Machine::of(target.address).at(BACK_END_ADMIN_PORT);
        logs.push(client.read(address, "/executions").await?);
    }
    Ok(logs)
}

/// The report of a deployment, from its logs.
#[must_use]
pub fn report(
    cluster: &Cluster,
    back_ends: Vec<ExecutionLog>,
    callers: OutcomeLog,
    times: &Times,
    failures: Vec<String>,
) -> DeploymentReport {
    let services = service_reports(cluster, &back_ends, times);
    let feeds = callers.feeds.iter();
    let feeds_not_opened = feeds
        .filter(|feed| matches!(feed.end, FeedEnd::NeverOpened { .. }))
        .count();
    let evidence = Evidence { back_ends, callers };
    let settings = OracleSettings {
        planned_changes_only: true,
        ..OracleSettings::default()
    };
    let judgement = judge(&evidence, &settings);
    let count = |matches: fn(&Violation) -> bool| {
        let violations = judgement.violations.iter();
        violations.filter(|violation| matches(violation)).count()
    };
    DeploymentReport {
        deployment: cluster.deployment.example.name.to_owned(),
        broken_feeds: judgement.totals.broken_feeds,
        feeds_not_opened,
        wrong_service: count(|violation| {
            matches!(
                violation,
                Violation::WrongService { .. } | Violation::WrongServiceTicks { .. }
            )
        }),
        cut_requests: count(|violation| matches!(violation, Violation::RequestCut { .. })),
        double_runs: count(|violation| matches!(violation, Violation::RanMoreThanOnce { .. })),
        totals: judgement.totals,
        violations: judgement.violations,
        failures,
        services,
    }
}

fn service_reports(
    cluster: &Cluster,
    back_ends: &[ExecutionLog],
    times: &Times,
) -> Vec<ServiceReport> {
    let bundle = &cluster.deployment.bundle;
    let mut reports = Vec::new();
    for service in &bundle.services {
        let pairs = bundle.targets.iter().zip(back_ends);
        let own = pairs.filter(|(target, _)| target.service == service.id);
        let loads: Vec<BackEndLoad<'_>> = own
            .map(|(target, log)| back_end_load(target, log, times))
            .collect();
        let from = times.surge_started + EDGE_MS;
        let to = times.surge_ended.saturating_sub(EDGE_MS);
        reports.push(ServiceReport {
            service: service.name.clone(),
            imbalance: imbalance(&loads, from, to),
        });
    }
    reports
}

fn back_end_load<'a>(target: &Target, log: &'a ExecutionLog, times: &Times) -> BackEndLoad<'a> {
    BackEndLoad {
        log,
        slots: target.slots,
        leaving_ms: times.leaving.get(&target.id).copied(),
    }
}
