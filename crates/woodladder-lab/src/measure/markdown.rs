//! The report as one Markdown page, which is also what a terminal shows.

use std::fmt::Write as _;

use super::change::ChangeKind;
use super::decision::DecisionFigures;
use super::figures::{AnswerFigure, BrokenFigure, Figures, ImbalanceFigure};
use super::packets::PacketFigures;
use super::way::Way;
use super::workload::Workload;

/// The tables of the flow-level comparison.
#[must_use]
pub fn balance(figures: &Figures) -> String {
    let mut page = String::new();
    imbalance_table(&mut page, figures);
    answer_table(&mut page, figures);
    broken_table(&mut page, figures);
    page
}

/// The table of the balancer's decision.
#[must_use]
pub fn decision(figures: &DecisionFigures) -> String {
    let DecisionFigures {
        seeds,
        targets,
        addresses,
        decisions,
        ..
    } = figures;
    let mut page = String::new();
    line(
        &mut page,
        &format!("\n## Cost of a balancer's decision (seeds {seeds})\n"),
    );
    line(
        &mut page,
        &format!(
            "{targets} targets behind {addresses} addresses, random access; the median round, \
             each of {decisions} decisions.\n"
        ),
    );
    line(&mut page, "| packet | ns | ns with its envelope written |");
    line(&mut page, "| --- | ---: | ---: |");
    line(
        &mut page,
        &format!(
            "| established flow | {:.0} | {:.0} |",
            figures.established, figures.established_enveloped
        ),
    );
    line(
        &mut page,
        &format!(
            "| first of a new flow | {:.0} | {:.0} |",
            figures.new_flow, figures.new_flow_enveloped
        ),
    );
    page
}

/// The table of the packet path.
#[must_use]
pub fn packets(figures: &PacketFigures) -> String {
    let mut page = String::new();
    let (least, most) = figures.ratio_range;
    line(
        &mut page,
        &format!(
            "\n## Packet path of one balancer process (seeds {})\n",
            figures.seeds
        ),
    );
    line(
        &mut page,
        &format!(
            "Datagrams of {} bytes of established flows on loopback; medians of {} rounds each, \
             alternating with a bare relay.\n",
            figures.datagram_length, figures.rounds
        ),
    );
    line(&mut page, "| | packets per second of processor time |");
    line(&mut page, "| --- | ---: |");
    line(
        &mut page,
        &format!("| balancer | {:.0} |", figures.balancer),
    );
    line(&mut page, &format!("| bare relay | {:.0} |", figures.relay));
    line(
        &mut page,
        &format!("| ratio | {:.2} ({least:.2} to {most:.2}) |", figures.ratio),
    );
    page
}

fn imbalance_table(page: &mut String, figures: &Figures) {
    heading(page, "Imbalance", figures);
    line(
        page,
        &format!(
            "Maximum over mean of busy slots over slots among the active targets of a service, \
             sampled every 10 ms of the surge over all planned changes; samples with a mean \
             below {} are left out.\n",
            figures.imbalance_floor
        ),
    );
    line(
        page,
        "| workload | service | way | median | p99 | p99 over bound | samples | below floor |",
    );
    line(
        page,
        "| --- | --- | --- | ---: | ---: | ---: | ---: | ---: |",
    );
    for figure in figures.planned_imbalance() {
        imbalance_row(page, figure);
    }
}

fn imbalance_row(page: &mut String, figure: &ImbalanceFigure) {
    let ImbalanceFigure {
        workload,
        service,
        way,
        samples,
        below_floor,
        ..
    } = figure;
    let median = optional(figure.median);
    let p99 = optional(figure.p99);
    let ratio = optional(figure.p99_over_bound);
    line(
        page,
        &format!(
            "| {workload} | {service} | {way} | {median} | {p99} | {ratio} | {samples} | {below_floor} |"
        ),
    );
}

fn answer_table(page: &mut String, figures: &Figures) {
    heading(page, "Time to the first answer", figures);
    line(
        page,
        "From a caller's first attempt, refused attempts included, over all planned changes.\n",
    );
    line(
        page,
        "| workload | way | answers | median ms | p99 ms | refusals | abandoned | repeated packets | hand-ons per flow |",
    );
    line(
        page,
        "| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |",
    );
    for figure in &figures.answers {
        answer_row(page, figure);
    }
}

fn answer_row(page: &mut String, figure: &AnswerFigure) {
    let AnswerFigure {
        workload,
        way,
        answers,
        median,
        p99,
        refusals,
        abandoned,
        retransmitted,
        handed_on_per_flow,
    } = figure;
    line(
        page,
        &format!(
            "| {workload} | {way} | {answers} | {median:.1} | {p99:.1} | {refusals} | {abandoned} | {retransmitted} | {handed_on_per_flow:.2} |"
        ),
    );
}

fn broken_table(page: &mut String, figures: &Figures) {
    heading(page, "Broken established flows", figures);
    line(
        page,
        "Broken feeds + broken flows of one request, by change. A flow is broken when no packet \
         of it arrives for 16 s; a feed that reconnects counts again when it breaks again.\n",
    );
    let ways: Vec<String> = Way::ALL.iter().map(ToString::to_string).collect();
    line(
        page,
        &format!("| workload | change | established | {} |", ways.join(" | ")),
    );
    let rules = vec!["---:"; ways.len() + 1].join(" | ");
    line(page, &format!("| --- | --- | {rules} |"));
    for workload in Workload::ALL {
        for change in ChangeKind::ALL {
            broken_row(page, figures, workload, change);
        }
    }
}

fn broken_row(page: &mut String, figures: &Figures, workload: Workload, change: ChangeKind) {
    let find = |way| {
        figures.broken.iter().find(|figure| {
            figure.workload == workload && figure.change == change && figure.way == way
        })
    };
    let Some(chosen) = find(Way::Chosen) else {
        return;
    };
    let cells: Vec<String> = Way::ALL.iter().map(|way| broken_cell(find(*way))).collect();
    let unplanned = if chosen.planned { "" } else { " (unplanned)" };
    line(
        page,
        &format!(
            "| {workload} | {change}{unplanned} | {} + {} | {} |",
            chosen.feeds,
            chosen.requests,
            cells.join(" | ")
        ),
    );
}

fn broken_cell(figure: Option<&BrokenFigure>) -> String {
    figure.map_or_else(
        || "-".to_owned(),
        |figure| format!("{} + {}", figure.broken_feeds, figure.broken_requests),
    )
}

fn heading(page: &mut String, title: &str, figures: &Figures) {
    line(page, &format!("\n## {title} (seeds {})\n", figures.seeds));
}

/// Adds a line; writing to a string cannot fail.
pub(super) fn line(page: &mut String, text: &str) {
    let _ = writeln!(page, "{text}");
}

fn optional(value: Option<f64>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.2}"))
}
