//! The measures as SVG charts.

use plotters::prelude::*;
use plotters::style::FontFamily;
use wasabicrank_workload::replay_measure::BUCKETS;

use super::Run;

/// The width and height of a chart, in pixels.
const SIZE: (u32, u32) = (900, 540);

/// The scenario whose times to first token are plotted.
const CHART_LOAD: &str = "load 70%";

/// The line colours of the routers, in the order of their runs.
const COLOURS: [RGBColor; 3] = [BLUE, RED, BLACK];

/// One line of a chart.
struct Series<'a> {
    name: &'a str,
    points: Vec<(f64, f64)>,
}

/// Plots the 95th percentile of time to first token by prompt length, at `CHART_LOAD`.
pub(super) fn first_token(runs: &[Run]) -> Result<String, String> {
    let plotted = runs.iter().filter(|run| run.scenario == CHART_LOAD);
    let series = plotted.map(|run| {
        let pairs = BUCKETS.iter().zip(&run.measures.first);
        let measured = pairs.filter(|(_, first)| first.count > 0);
        let points = measured.map(|(bucket, first)| (f64::from(bucket.to), first.p95)).collect();
        Series { name: run.contender, points }
    });
    let axes = AxisLabels { x: "prompt tokens, up to", y: "p95 of time to first token, s" };
    draw("Time to first token at 70% load", &axes, &series.collect::<Vec<_>>())
}

/// Plots the slowdown of short requests by load.
pub(super) fn slowdown(runs: &[Run]) -> Result<String, String> {
    let loads = [("load 50%", 50.0), ("load 70%", 70.0), ("load 85%", 85.0), ("load 100%", 100.0)];
    let mut series: Vec<Series> = Vec::new();
    for run in runs {
        let Some((_, load)) = loads.iter().find(|(name, _)| *name == run.scenario) else {
            continue;
        };
        let point = (*load, run.measures.slowdown());
        match series.iter_mut().find(|series| series.name == run.contender) {
            Some(series) => series.points.push(point),
            None => series.push(Series { name: run.contender, points: vec![point] }),
        }
    }
    let axes = AxisLabels { x: "load, %", y: "p99 of prompts up to 4k over alone" };
    draw("Slowdown of short requests", &axes, &series)
}

/// The labels of the axes.
struct AxisLabels {
    x: &'static str,
    y: &'static str,
}

/// Renders the series as an SVG chart with logarithmic axes.
fn draw(title: &str, axes: &AxisLabels, series: &[Series]) -> Result<String, String> {
    let mut text = String::new();
    let root = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
    draw_chart(&root, title, axes, series).map_err(|error| error.to_string())?;
    drop(root);
    Ok(text)
}

fn draw_chart(
    root: &DrawingArea<SVGBackend, plotters::coord::Shift>,
    title: &str,
    axes: &AxisLabels,
    series: &[Series],
) -> Result<(), Box<dyn std::error::Error>> {
    root.fill(&WHITE)?;
    let points = || series.iter().flat_map(|series| &series.points);
    let x = bounds(points().map(|point| point.0));
    let y = bounds(points().map(|point| point.1));
    let mut chart = ChartBuilder::on(root)
        .caption(title, (FontFamily::SansSerif, 20))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(64)
        .build_cartesian_2d((x.0..x.1).log_scale(), (y.0..y.1).log_scale())?;
    chart.configure_mesh().x_desc(axes.x).y_desc(axes.y).draw()?;
    for (series, colour) in series.iter().zip(COLOURS) {
        let key = move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour);
        let line = LineSeries::new(series.points.iter().copied(), colour.stroke_width(2));
        chart.draw_series(line)?.label(series.name).legend(key);
        let dots = series.points.iter().map(|point| Circle::new(*point, 3, colour.filled()));
        chart.draw_series(dots)?;
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

/// Returns the range of an axis, with a margin below and above `values`.
fn bounds(values: impl Iterator<Item = f64>) -> (f64, f64) {
    let (low, high) = values.fold((f64::MAX, f64::MIN_POSITIVE), |(low, high), value| {
        (low.min(value), high.max(value))
    });
    (low.min(high) * 0.8, high * 1.25)
}
