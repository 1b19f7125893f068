//! The flow-level comparison: what it must show, and that it repeats.

use std::num::NonZeroUsize;

use woodladder_lab::measure::change::ChangeKind;
use woodladder_lab::measure::experiment::{Experiment, SeedRange, SeedRangeError};
use woodladder_lab::measure::figures::Figures;
use woodladder_lab::measure::way::Way;
use woodladder_lab::measure::workload::Workload;

const SEEDS: SeedRange = SeedRange { first: 3, end: 4 };

fn experiment(workload: Workload, ways: &[Way], threads: usize) -> Figures {
    let threads = NonZeroUsize::new(threads).unwrap_or(NonZeroUsize::MIN);
    let experiment = Experiment {
        workloads: vec![workload],
        changes: vec![ChangeKind::Together],
        ways: ways.to_vec(),
        ..Experiment::complete(SEEDS, threads)
    };
    Figures::new(SEEDS, &experiment.run())
}

fn p99(figures: &Figures, service: &str, way: Way) -> f64 {
    let mut found = figures.planned_imbalance();
    let figure = found.find(|figure| figure.service == service && figure.way == way);
    figure.and_then(|figure| figure.p99).unwrap_or(f64::NAN)
}

#[test]
fn planned_changes_break_flows_by_hash_and_none_by_token() {
    for workload in [Workload::MenuSurge, Workload::Telethon] {
        let figures = experiment(workload, &[Way::Chosen, Way::Hash], 2);
        assert_eq!(figures.broken_as_planned(), 0, "{workload}");
        let hash = figures.broken.iter().find(|row| row.way == Way::Hash);
        assert!(hash.is_some_and(|row| row.broken_feeds > 0), "{workload}");
    }
}

#[test]
fn the_donation_desk_is_balanced_near_the_bound() {
    let ways = [Way::Chosen, Way::Hash, Way::RandomTwoStale, Way::Omniscient];
    let figures = experiment(Workload::Telethon, &ways, 2);
    let chosen = p99(&figures, "donation-desk", Way::Chosen);
    let bound = p99(&figures, "donation-desk", Way::Omniscient);
    assert!(chosen <= 1.25 * bound, "{chosen} against {bound}");
    assert!(chosen < p99(&figures, "donation-desk", Way::Hash));
    assert!(chosen < p99(&figures, "donation-desk", Way::RandomTwoStale));
}

#[test]
fn a_seed_gives_the_same_figures_on_any_number_of_threads() {
    let ways = [Way::Chosen, Way::PolledLeastLoad];
    let first = experiment(Workload::SteadyAlmaty, &ways, 1);
    let second = experiment(Workload::SteadyAlmaty, &ways, 3);
    let encode = |figures: &Figures| serde_json::to_string(figures).unwrap_or_default();
    assert_eq!(encode(&first), encode(&second));
}

#[test]
fn seed_ranges_are_checked() {
    assert_eq!("2..9".parse(), Ok(SeedRange { first: 2, end: 9 }));
    assert_eq!("9..2".parse::<SeedRange>(), Err(SeedRangeError::Empty));
    assert_eq!("5".parse::<SeedRange>(), Err(SeedRangeError::Form));
}
