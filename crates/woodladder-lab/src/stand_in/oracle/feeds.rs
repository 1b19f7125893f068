//! Checks of feeds.

use super::{Evidence, OracleSettings, Violation};
use crate::stand_in::caller::{FeedEnd, FeedRecord};
use crate::stand_in::execution_log::FeedOpening;

pub(super) fn check(
    evidence: &Evidence,
    settings: &OracleSettings,
    violations: &mut Vec<Violation>,
) {
    for opening in evidence.back_ends.iter().flat_map(|log| &log.feed_openings) {
        check_opening(opening, settings, violations);
    }
    for feed in &evidence.callers.feeds {
        check_feed(feed, settings, violations);
    }
}

fn check_opening(
    opening: &FeedOpening,
    settings: &OracleSettings,
    violations: &mut Vec<Violation>,
) {
    if let Some(leaving_for_ms) = opening.leaving_for_ms
        && leaving_for_ms > settings.leaving_limit_ms
    {
        violations.push(Violation::NewWorkWhileLeaving {
            back_end: opening.back_end.clone(),
            operation: None,
            leaving_for_ms,
        });
    }
}

fn check_feed(feed: &FeedRecord, settings: &OracleSettings, violations: &mut Vec<Violation>) {
    if feed.wrong_service_ticks > 0 {
        violations.push(Violation::WrongServiceTicks {
            intended: feed.service.clone(),
            ticks: feed.wrong_service_ticks,
        });
    }
    if feed.gaps > 0 {
        violations.push(Violation::FeedGap {
            service: feed.service.clone(),
            gaps: feed.gaps,
        });
    }
    if let FeedEnd::Broken { reason } = feed.end
        && settings.planned_changes_only
    {
        violations.push(Violation::FeedBroken {
            service: feed.service.clone(),
            reason,
        });
    }
}
