use std::path::Path;

use hdrhistogram::Histogram;
use plotters::prelude::*;
use thiserror::Error;

use crate::{Metrics, Sample};

/// Error for a plot that could not be written.
#[derive(Debug, Error)]
#[error("plot {file} could not be written: {reason}")]
pub struct PlotError {
    /// Name of the file.
    pub file: String,
    /// What the plotting library reported.
    pub reason: String,
}

/// Line of a plot.
type Line = (&'static str, Vec<(f64, f64)>);

const COLOURS: [RGBColor; 4] = [
    RGBColor(0, 90, 160),
    RGBColor(200, 80, 0),
    RGBColor(0, 130, 80),
    RGBColor(120, 60, 140),
];
/// Maximum number of points of a line over time; more would only make the file larger.
const MAX_POINTS: usize = 600;

/// Writes the plots of several policies on the same arrivals into a directory.
///
/// # Errors
///
/// Returns [`PlotError`] for the first file that cannot be written.
pub fn write_plots(directory: &Path, title: &str, policies: &[(&'static str, &Metrics)]) -> Result<(), PlotError> {
    let per_policy = |points: fn(&Metrics) -> Vec<(f64, f64)>| -> Vec<Line> {
        policies
            .iter()
            .map(|(name, metrics)| (*name, points(metrics)))
            .collect()
    };
    let completion = per_policy(|metrics| distribution(&metrics.deferred_completion_ms()));
    let fragmentation = per_policy(|metrics| over_time(metrics, |sample| sample.waiting_fragmentation));
    let running = per_policy(|metrics| over_time(metrics, |sample| f64::from(sample.running_accelerators)));
    let plots = [
        (
            "completion",
            "log10 of completion time in s",
            "share of deferred jobs",
            completion,
        ),
        (
            "fragmentation",
            "minutes",
            "share of free accelerators unusable",
            fragmentation,
        ),
        ("running", "minutes", "accelerators at work", running),
    ];
    for (name, x, y, lines) in plots {
        let file = format!("{title}-{name}.svg");
        draw(&directory.join(&file), &format!("{title}: {name}"), (x, y), &lines).map_err(|error| PlotError {
            file,
            reason: error.to_string(),
        })?;
    }
    Ok(())
}

fn distribution(histogram: &Histogram<u64>) -> Vec<(f64, f64)> {
    let total = histogram.len().max(1) as f64;
    let mut seen = 0;
    let point = |value: hdrhistogram::iterators::IterationValue<u64>| {
        seen += value.count_since_last_iteration();
        (
            (value.value_iterated_to() as f64 / 1_000.0).log10(),
            seen as f64 / total,
        )
    };
    histogram.iter_log(10, 1.1).map(point).collect()
}

fn over_time(metrics: &Metrics, figure: impl Fn(&Sample) -> f64) -> Vec<(f64, f64)> {
    let chunk = metrics.samples.len().div_ceil(MAX_POINTS).max(1);
    let mean = |samples: &[Sample]| {
        let sum: f64 = samples.iter().map(&figure).sum();
        (samples[0].at_ms as f64 / 60_000.0, sum / samples.len() as f64)
    };
    metrics.samples.chunks(chunk).map(mean).collect()
}

fn draw(path: &Path, title: &str, (x, y): (&str, &str), lines: &[Line]) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|(_, points)| points);
    let range = |of: fn(&(f64, f64)) -> f64| {
        let values = || points().map(of).filter(|value| value.is_finite());
        let (low, high) = (values().fold(0.0, f64::min), values().fold(0.0, f64::max));
        low..high.max(low + 1e-3) * 1.02
    };
    let area = SVGBackend::new(path, (900, 500)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(range(|point| point.0), range(|point| point.1))?;
    chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
    for ((name, points), colour) in lines.iter().zip(COLOURS) {
        let finite = points.iter().copied().filter(|point| point.0.is_finite());
        chart
            .draw_series(LineSeries::new(finite, colour.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
