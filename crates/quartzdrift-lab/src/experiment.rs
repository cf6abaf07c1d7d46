//! Experiments: every scenario, variant and seed of a TOML file, simulated on all cores.
//!
//! The results are a table of means with confidence intervals, CSV, JSON and plots. The same file gives the
//! same bytes.
use crate::scenario::{self, Scenario};
use crate::simulation::{self, Figures, Variant};
use crate::traffic;
use indicatif::{ProgressBar, ProgressStyle};
use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::fmt::Write as _;
use std::io;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Quantile of Student's t distribution for two-sided 95 % confidence intervals.
const CONFIDENCE_QUANTILE: f64 = 0.975;
/// Least number of seeds for a confidence interval.
const MIN_SEEDS: u64 = 2;
/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (900, 420);
/// Width that the points of all variants take up within a scenario's unit of the horizontal axis.
const VARIANTS_WIDTH: f64 = 0.6;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioEntry {
    pub name: String,
    /// Scenario in the notation of [`scenario::read`].
    #[serde(rename = "script")]
    pub text: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NamedVariant {
    pub name: String,
    #[serde(default, rename = "is")]
    pub variant: Variant,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub name: String,
    /// Number of seeds; each scenario and variant runs with the seeds from 1 to this number.
    pub seeds: u64,
    #[serde(rename = "days")]
    pub scenarios: Vec<ScenarioEntry>,
    /// Variants to compare; the first one is the baseline.
    pub variants: Vec<NamedVariant>,
}

/// Result of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    #[serde(rename = "day")]
    pub scenario: String,
    pub variant: String,
    pub seed: u64,
    pub figures: Figures,
}

/// Parses an experiment file, and its scenarios in their order.
pub fn parse(text: &str) -> Result<(Experiment, Vec<Scenario>), String> {
    let experiment: Experiment = toml::from_str(text).map_err(|e| e.to_string())?;
    let (scenarios, variants) = (experiment.scenarios.len(), experiment.variants.len());
    if experiment.seeds < MIN_SEEDS || variants == 0 || scenarios == 0 {
        return Err(format!(
            "experiment '{}' has {} seeds, {variants} variants and {scenarios} scenarios; \
             it needs at least {MIN_SEEDS} seeds, 1 variant and 1 scenario",
            experiment.name, experiment.seeds
        ));
    }
    let scenarios = experiment
        .scenarios
        .iter()
        .map(|entry| {
            scenario::read(&entry.text).map_err(|error| format!("scenario '{}': {error}", entry.name))
        })
        .collect::<Result<Vec<_>, _>>()?;
    Ok((experiment, scenarios))
}

/// Runs all scenarios, variants and seeds on all cores and returns the rows in that order; `show_progress`
/// draws a progress bar.
pub fn run(experiment: &Experiment, scenarios: &[Scenario], show_progress: bool) -> Vec<Row> {
    let mut plan = Vec::new();
    for scenario in 0..experiment.scenarios.len() {
        for variant in 0..experiment.variants.len() {
            plan.extend((1..=experiment.seeds).map(|seed| (scenario, variant, seed)));
        }
    }
    let bar = if show_progress {
        ProgressBar::new(plan.len() as u64)
    } else {
        ProgressBar::hidden()
    };
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} left") {
        bar.set_style(style);
    }
    let (next, rows) = (AtomicUsize::new(0), Mutex::new(vec![None; plan.len()]));
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(&(scenario, variant, seed)) = plan.get(index) else {
                        return;
                    };
                    let arrivals = traffic::generate_arrivals(&scenarios[scenario], seed);
                    let named_variant = &experiment.variants[variant];
                    let figures =
                        simulation::run(&scenarios[scenario], &arrivals, &named_variant.variant, seed);
                    let row = Row {
                        scenario: experiment.scenarios[scenario].name.clone(),
                        variant: named_variant.name.clone(),
                        seed,
                        figures,
                    };
                    if let Ok(mut rows) = rows.lock() {
                        rows[index] = Some(row);
                    }
                    bar.inc(1);
                }
            });
        }
    });
    bar.finish_and_clear();
    rows.into_inner()
        .unwrap_or_default()
        .into_iter()
        .flatten()
        .collect()
}

/// Label of a figure in the table and the plots, and its value for a run.
type ReportedFigure = (&'static str, fn(&Figures) -> f64);

/// Figures that the table and the plots report. The file names of the plots derive from the labels.
pub const REPORTED_FIGURES: [ReportedFigure; 20] = [
    ("waited for a load, % of finished", |f| {
        100.0 * f.waited_for_load as f64 / f.succeeded.max(1) as f64
    }),
    ("store fetches", |f| f.fetches as f64),
    ("in time, %", |f| 100.0 * f.on_time_share),
    ("wait p50, ms", |f| f.wait_p50_ms),
    ("wait p95, ms", |f| f.wait_p95_ms),
    ("idle memory, %", |f| 100.0 * f.idle_memory),
    ("orders", |f| f.load_commands as f64),
    ("orders unused", |f| f.load_commands_unused as f64),
    ("forecast score", |f| f.forecast_score),
    ("score of as the last time", |f| f.last_gap_score),
    ("score of always near", |f| f.always_near_score),
    ("fell over", |f| f.overload_crashes as f64),
    ("largest share of the cold limit, %", |f| {
        100.0 * f.max_overload_share
    }),
    ("restart to as before, s", |f| f.restart_recovery_s),
    ("a kill known to the first, s", |f| f.first_detection_s),
    ("a kill known to all, s", |f| f.last_detection_s),
    ("thought dead and was there", |f| f.false_dead as f64),
    ("bytes a second of a member", |f| f.member_bytes_per_s),
    ("schedulers counted, least share", |f| f.min_scheduler_count_share),
    ("schedulers counted, most", |f| f.max_scheduler_count_share),
];

/// Mean and half the width of its 95 % confidence interval.
pub fn interval(values: &[f64]) -> (f64, f64) {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n;
    let degrees_of_freedom = (n - 1.0).max(1.0);
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / degrees_of_freedom;
    let t = StudentsT::new(0.0, 1.0, degrees_of_freedom).map_or(2.0, |t| t.inverse_cdf(CONFIDENCE_QUANTILE));
    (mean, t * (variance / n).sqrt())
}

/// Values of a figure over the seeds of a scenario and variant.
fn values(rows: &[Row], scenario: &str, variant: &str, value: fn(&Figures) -> f64) -> Vec<f64> {
    rows.iter()
        .filter(|row| row.scenario == scenario && row.variant == variant)
        .map(|row| value(&row.figures))
        .collect()
}

/// Markdown table for each scenario: means with their confidence intervals, and the paired differences from
/// the first variant by seed.
pub fn markdown_table(experiment: &Experiment, rows: &[Row]) -> String {
    let mut text = String::new();
    let baseline = &experiment.variants[0].name;
    for scenario in &experiment.scenarios {
        // Writing into a string cannot fail.
        let _ = writeln!(text, "## {}\n", scenario.name);
        let names: Vec<&str> = experiment.variants.iter().map(|v| v.name.as_str()).collect();
        let _ = writeln!(text, "| | {} |", names.join(" | "));
        let _ = writeln!(text, "| --- |{}", " --- |".repeat(names.len()));
        for (label, value) in REPORTED_FIGURES {
            let _ = write!(text, "| {label} |");
            let baseline_values = values(rows, &scenario.name, baseline, value);
            for variant in &names {
                let variant_values = values(rows, &scenario.name, variant, value);
                let (mean, half_width) = interval(&variant_values);
                let _ = write!(text, " {mean:.2} ± {half_width:.2}");
                if *variant != baseline {
                    let pairs = variant_values.iter().zip(&baseline_values);
                    let differences: Vec<f64> = pairs.map(|(a, b)| a - b).collect();
                    let (mean, half_width) = interval(&differences);
                    let _ = write!(text, " ({mean:+.2} ± {half_width:.2})");
                }
                let _ = write!(text, " |");
            }
            let _ = writeln!(text);
        }
        let _ = writeln!(text);
    }
    text
}

fn csv(rows: &[Row]) -> String {
    let mut text = "day,variant,seed,calls,finished,pushed_back,killed,no_answer,executions,waited_for_load,fetches,\
                    in_time,wait_p50_ms,wait_p95_ms,idle_memory,orders,orders_used,orders_unused,fell_over,ration_most,\
                    gaps,score,score_last,score_always\n"
        .to_owned();
    for Row {
        scenario,
        variant,
        seed,
        figures: f,
    } in rows
    {
        let _ = writeln!(
            text,
            "{scenario},{variant},{seed},{},{},{},{},{},{},{},{},{:.6},{:.4},{:.4},{:.6},{},{},{},{},{:.4},{},{:.6},{:.6},{:.6}",
            f.requests,
            f.succeeded,
            f.rejected,
            f.failed,
            f.unanswered,
            f.attempts,
            f.waited_for_load,
            f.fetches,
            f.on_time_share,
            f.wait_p50_ms,
            f.wait_p95_ms,
            f.idle_memory,
            f.load_commands,
            f.load_commands_used,
            f.load_commands_unused,
            f.overload_crashes,
            f.max_load_quota_share,
            f.scored_gaps,
            f.forecast_score,
            f.last_gap_score,
            f.always_near_score
        );
    }
    text
}

/// Mean of a figure for one scenario and variant, given by their index.
struct Point {
    scenario: usize,
    variant: usize,
    mean: f64,
    half_width: f64,
}

/// Plots a figure over scenarios and variants, with confidence intervals.
fn plot(
    experiment: &Experiment,
    rows: &[Row],
    figure: &ReportedFigure,
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let (label, value) = figure;
    let points: Vec<Point> = (0..experiment.scenarios.len())
        .flat_map(|scenario| (0..experiment.variants.len()).map(move |variant| (scenario, variant)))
        .map(|(scenario, variant)| {
            let values = values(
                rows,
                &experiment.scenarios[scenario].name,
                &experiment.variants[variant].name,
                *value,
            );
            let (mean, half_width) = interval(&values);
            Point {
                scenario,
                variant,
                mean,
                half_width,
            }
        })
        .collect();
    let top = points
        .iter()
        .map(|point| point.mean + point.half_width)
        .fold(f64::MIN_POSITIVE, f64::max)
        * 1.1;
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let scenarios = experiment.scenarios.len();
    let mut chart = ChartBuilder::on(&area)
        .caption(label, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(-0.5..scenarios as f64 - 0.5, 0.0..top)?;
    let scenario_label = |x: &f64| {
        let nearest = x.round();
        let scenario = experiment
            .scenarios
            .get(nearest as usize)
            .filter(|_| nearest >= 0.0 && (x - nearest).abs() < 0.01);
        scenario.map_or(String::new(), |scenario| scenario.name.clone())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(scenarios * 2 + 1)
        .x_label_formatter(&scenario_label)
        .draw()?;
    let variants = experiment.variants.len() as f64;
    for (n, variant) in experiment.variants.iter().enumerate() {
        let colour = Palette99::pick(n).to_rgba();
        let x = move |point: &Point| {
            let offset = (n as f64 + 0.5) / variants * VARIANTS_WIDTH;
            point.scenario as f64 + offset - VARIANTS_WIDTH / 2.0
        };
        let variant_points = points.iter().filter(move |point| point.variant == n);
        let error_bars = variant_points.map(|point| {
            ErrorBar::new_vertical(
                x(point),
                (point.mean - point.half_width).max(0.0),
                point.mean,
                point.mean + point.half_width,
                colour.filled(),
                8,
            )
        });
        chart
            .draw_series(error_bars)?
            .label(&variant.name)
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, colour.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Writes `table.md`, `rows.csv`, `rows.json` and a plot for each reported figure into a folder.
pub fn write_results(experiment: &Experiment, rows: &[Row], folder: &Path) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("table.md"), markdown_table(experiment, rows))?;
    std::fs::write(folder.join("rows.csv"), csv(rows))?;
    std::fs::write(folder.join("rows.json"), serde_json::to_vec_pretty(rows)?)?;
    for figure in &REPORTED_FIGURES {
        let (label, _) = figure;
        let name: String = label
            .chars()
            .map(|c| if c.is_ascii_alphanumeric() { c } else { '-' })
            .collect();
        let path = folder.join(format!("{}.svg", name.trim_matches('-')));
        plot(experiment, rows, figure, &path).map_err(|e| io::Error::other(e.to_string()))?;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_interval_matches_the_published_quantile() {
        // Published quantile of the t distribution at 0.975 with 4 degrees of freedom: 2.776.
        let (mean, half_width) = interval(&[1.0, 2.0, 3.0, 4.0, 5.0]);
        assert!((mean - 3.0).abs() < 1e-9 && (half_width - 2.776 * (2.5f64 / 5.0).sqrt()).abs() < 1e-3);
    }

    #[test]
    fn the_same_file_gives_the_same_bytes() {
        let text = "name = 'x'\nseeds = 2\n[[days]]\nname = 'a'\nscript = '''\nlength 5s\n\
            workload q restartable rate=20 functions=3\n'''\n[[variants]]\nname = 'without'\n\
            [[variants]]\nname = 'with'\nis = { forecasting = 'on' }\n";
        let (experiment, scenarios) = parse(text).unwrap();
        let (first, second) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
        for folder in [&first, &second] {
            let rows = run(&experiment, &scenarios, false);
            assert_eq!(rows.len(), 4);
            write_results(&experiment, &rows, folder.path()).unwrap();
        }
        for entry in std::fs::read_dir(first.path()).unwrap() {
            let name = entry.unwrap().file_name();
            let read = |folder: &tempfile::TempDir| std::fs::read(folder.path().join(&name)).unwrap();
            assert!(read(&first) == read(&second), "{name:?}");
        }
        assert!(parse("name = 'x'\nseeds = 2\nvariants = []\n[[days]]\nname='a'\nscript='wrong'").is_err());
    }
}
