//! Writes the results of runs as JSON and SVG files.

use std::path::Path;

use anyhow::Context;
use plotters::prelude::*;
use serde::Serialize;

use crate::plan::Plan;
use crate::report::policy_name;
use crate::run::Outcome;
use crate::tally::End;
use crate::tally::Tally;

/// Width and height of a drawing, in pixels.
const DRAWING_SIZE: (u32, u32) = (960, 720);
/// Number of time slices for which a percentile is drawn.
const SLICES: u32 = 60;
/// Colors of the policies, in the order of the runs.
const COLORS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(90, 90, 90),
];

/// One run of a plan.
pub struct Run {
    /// Figures of the run.
    pub outcome: Outcome,
    /// Results of the calls that count, that is, those after the warm-up.
    pub tally: Tally,
}

/// The JSON report.
#[derive(Serialize)]
struct Report<'a> {
    plan: &'a Plan,
    outcomes: Vec<&'a Outcome>,
}

/// Writes the reports of `runs` of `plan` into `directory`, which is created if
/// needed. The files are named after the plan and its load.
pub fn write(directory: &Path, plan: &Plan, runs: &[Run]) -> anyhow::Result<()> {
    std::fs::create_dir_all(directory)
        .with_context(|| format!("cannot create {}", directory.display()))?;
    let name = format!("{}-{}", plan.name, plan.load);
    let report = Report {
        plan,
        outcomes: runs.iter().map(|run| &run.outcome).collect(),
    };
    let json = directory.join(format!("{name}.json"));
    std::fs::write(&json, serde_json::to_vec_pretty(&report)?)
        .with_context(|| format!("cannot write {}", json.display()))?;
    let svg = directory.join(format!("{name}.svg"));
    draw(&svg, plan, runs)
        .map_err(|error| anyhow::anyhow!("cannot draw {}: {error}", svg.display()))?;
    println!("wrote {} and {}", json.display(), svg.display());
    Ok(())
}

type DrawResult = Result<(), Box<dyn std::error::Error>>;

fn draw(path: &Path, plan: &Plan, runs: &[Run]) -> DrawResult {
    let root = SVGBackend::new(path, DRAWING_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (over_time, tails) = root.split_vertically(DRAWING_SIZE.1 / 2);
    draw_over_time(&over_time, plan, runs)?;
    draw_tails(&tails, runs)?;
    root.present()?;
    Ok(())
}

/// Draws the 99th percentile of latency over time, with a vertical line at each
/// event.
fn draw_over_time(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    plan: &Plan,
    runs: &[Run],
) -> DrawResult {
    let slice = plan.time / SLICES;
    let points = |run: &Run| -> Vec<(f64, f64)> {
        let point = |n: u32| {
            let from = plan.warmup + slice * n;
            let latency = run.tally.between(from, from + slice).latency();
            ((slice * n).as_secs_f64(), latency.p99)
        };
        (0..SLICES).map(point).collect()
    };
    let lines: Vec<Vec<(f64, f64)>> = runs.iter().map(points).collect();
    let highest = lines
        .iter()
        .flatten()
        .map(|(_, ms)| *ms)
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(
            format!("{} at load {}: p99 over time", plan.name, plan.load),
            ("sans-serif", 18),
        )
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..plan.time.as_secs_f64(), 0.0..highest * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("p99, ms")
        .draw()?;
    for (run, (line, color)) in runs.iter().zip(lines.into_iter().zip(COLORS)) {
        chart
            .draw_series(LineSeries::new(line, color))?
            .label(policy_name(&run.outcome))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    for event in &plan.events {
        let at = event.at.as_secs_f64();
        let line = [(at, 0.0), (at, highest * 1.1)];
        chart.draw_series(std::iter::once(PathElement::new(line, BLACK.mix(0.4))))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    Ok(())
}

/// Draws for each policy the share of calls that took longer than a given time,
/// on a logarithmic scale.
fn draw_tails(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    runs: &[Run],
) -> DrawResult {
    let curve = |run: &Run| -> Vec<(f64, f64)> {
        let served = run.tally.samples.iter().filter(|s| s.end == End::Served);
        let mut times: Vec<f64> = served.map(|s| s.latency.as_secs_f64() * 1e3).collect();
        times.sort_unstable_by(f64::total_cmp);
        let count = times.len().max(1) as f64;
        let step = (times.len() / 400).max(1);
        let share = |index: usize| 1.0 - (index as f64 + 0.5) / count;
        let indexes = (0..times.len()).step_by(step);
        indexes.map(|i| (times[i], share(i).max(1e-5))).collect()
    };
    let curves: Vec<Vec<(f64, f64)>> = runs.iter().map(curve).collect();
    let longest = curves
        .iter()
        .flatten()
        .map(|(ms, _)| *ms)
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption("share of calls that took longer", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..longest * 1.05, (1e-4..1.0).log_scale())?;
    chart.configure_mesh().x_desc("ms").y_desc("share").draw()?;
    for (curve, color) in curves.into_iter().zip(COLORS) {
        chart.draw_series(LineSeries::new(curve, color))?;
    }
    Ok(())
}
