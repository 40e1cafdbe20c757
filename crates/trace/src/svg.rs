use std::fmt::Write;

use crate::{EventKind, Record};

const LABEL_WIDTH_PX: u64 = 140;
const PLOT_WIDTH_PX: u64 = 1_000;
const ROW_HEIGHT_PX: u64 = 28;
const HEADER_HEIGHT_PX: u64 = 30;
const TICKS: u64 = 10;

/// Renders merged records as an SVG image: a row for each process, a mark with a tooltip for each event.
pub fn to_svg(records: &[Record]) -> String {
    let mut processes: Vec<&str> = records.iter().map(|record| record.process.as_str()).collect();
    processes.sort_unstable();
    processes.dedup();
    let start_ms = records.iter().map(|record| record.at_unix_ms).min().unwrap_or(0);
    let end_ms = records.iter().map(|record| record.at_unix_ms).max().unwrap_or(0);
    let span_ms = (end_ms - start_ms).max(1);
    let height = HEADER_HEIGHT_PX + ROW_HEIGHT_PX * (processes.len() as u64 + 1);
    let width = LABEL_WIDTH_PX + PLOT_WIDTH_PX + 40;

    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    for tick in 0..=TICKS {
        let x = LABEL_WIDTH_PX + PLOT_WIDTH_PX * tick / TICKS;
        let seconds = (span_ms * tick / TICKS) as f64 / 1_000.0;
        let _ = writeln!(
            svg,
            "<line x1=\"{x}\" y1=\"{HEADER_HEIGHT_PX}\" x2=\"{x}\" y2=\"{height}\" stroke=\"#eee\"/>\
             <text x=\"{x}\" y=\"18\" text-anchor=\"middle\">{seconds:.1} s</text>"
        );
    }
    for (row, process) in processes.iter().enumerate() {
        let y = row_centre_px(row);
        let x_end = LABEL_WIDTH_PX + PLOT_WIDTH_PX;
        let _ = writeln!(
            svg,
            "<text x=\"4\" y=\"{}\">{process}</text><line x1=\"{LABEL_WIDTH_PX}\" y1=\"{y}\" x2=\"{x_end}\" y2=\"{y}\" \
             stroke=\"#ccc\"/>",
            y + 4
        );
    }
    for record in records {
        let row = processes.partition_point(|process| *process < record.process.as_str());
        let x = LABEL_WIDTH_PX + (record.at_unix_ms - start_ms) * PLOT_WIDTH_PX / span_ms;
        let y = row_centre_px(row);
        let title = escape(crate::to_text(std::slice::from_ref(record)).trim());
        let _ = writeln!(
            svg,
            "<circle cx=\"{x}\" cy=\"{y}\" r=\"4\" fill=\"{}\"><title>{title}</title></circle>",
            colour(record.event.kind)
        );
    }
    svg.push_str("</svg>\n");
    svg
}

fn row_centre_px(row: usize) -> u64 {
    HEADER_HEIGHT_PX + ROW_HEIGHT_PX * row as u64 + ROW_HEIGHT_PX / 2
}

/// Returns the colour of an event's group: faults red, configuration blue, scheduling orange, work green.
const fn colour(kind: EventKind) -> &'static str {
    match kind {
        EventKind::WorkerDown
        | EventKind::PeerDown
        | EventKind::StoreDown
        | EventKind::GuaranteeLost
        | EventKind::WorkerQuarantined
        | EventKind::RequestRefused
        | EventKind::RequestIndeterminate => "#c0392b",
        EventKind::ConfigAccepted | EventKind::ConfigInForce | EventKind::DataCentreOut | EventKind::DataCentreIn => {
            "#2c6fbb"
        }
        EventKind::SchedulerElected | EventKind::SchedulerDeposed | EventKind::SchedulerRecovered => "#e08e0b",
        EventKind::JobStarted | EventKind::JobEnded | EventKind::RequestAnswered => "#2e8b57",
        _ => "#777777",
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
