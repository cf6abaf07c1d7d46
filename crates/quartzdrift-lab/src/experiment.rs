//! Experiments: days, variants and seeds from one TOML file, played over all cores; a table with intervals, CSV, JSON and
//! plots. The same file gives the same bytes.
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

/// Of intervals: nineteen in twenty hold the mean.
const SURE: f64 = 0.975;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioEntry {
    pub name: String,
    /// A script of a day, in the notation of `script`.
    pub script: String,
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
    pub seeds: u64,
    #[serde(rename = "days")]
    pub scenarios: Vec<ScenarioEntry>,
    /// The first is what the others are compared with.
    pub variants: Vec<NamedVariant>,
}

/// One run.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    #[serde(rename = "day")]
    pub scenario: String,
    pub variant: String,
    pub seed: u64,
    pub figures: Figures,
}

pub fn parse(text: &str) -> Result<(Experiment, Vec<Scenario>), String> {
    let experiment: Experiment = toml::from_str(text).map_err(|e| e.to_string())?;
    if experiment.seeds < 2 || experiment.variants.is_empty() || experiment.scenarios.is_empty() {
        return Err("an experiment needs two seeds, a variant and a day at least".to_owned());
    }
    let scripts = experiment
        .scenarios
        .iter()
        .map(|day| scenario::read(&day.script).map_err(|why| format!("day '{}': {why}", day.name)));
    let scripts = scripts.collect::<Result<Vec<_>, _>>()?;
    Ok((experiment, scripts))
}

/// Plays all of it; rows in the order of days, variants and seeds whatever ended first.
pub fn run(experiment: &Experiment, scripts: &[Scenario], shown: bool) -> Vec<Row> {
    let mut plan = Vec::new();
    for day in 0..experiment.scenarios.len() {
        for variant in 0..experiment.variants.len() {
            plan.extend((1..=experiment.seeds).map(|seed| (day, variant, seed)));
        }
    }
    let bar = if shown {
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
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    let Some(&(day, variant, seed)) = plan.get(at) else {
                        return;
                    };
                    let arrivals = traffic::generate_arrivals(&scripts[day], seed);
                    let of = &experiment.variants[variant];
                    let figures = simulation::run(&scripts[day], &arrivals, &of.variant, seed);
                    let (day, variant) = (experiment.scenarios[day].name.clone(), of.name.clone());
                    if let Ok(mut rows) = rows.lock() {
                        rows[at] = Some(Row {
                            scenario: day,
                            variant,
                            seed,
                            figures,
                        });
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

/// What the table and the plots tell of a run.
type Figure = (&'static str, fn(&Figures) -> f64);

pub const REPORTED_FIGURES: [Figure; 20] = [
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

/// Mean and half the width of its interval.
pub fn interval(values: &[f64]) -> (f64, f64) {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n;
    let spread = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    let t = StudentsT::new(0.0, 1.0, (n - 1.0).max(1.0)).map_or(2.0, |t| t.inverse_cdf(SURE));
    (mean, t * (spread / n).sqrt())
}

fn values(rows: &[Row], day: &str, variant: &str, of: fn(&Figures) -> f64) -> Vec<f64> {
    rows.iter()
        .filter(|row| row.scenario == day && row.variant == variant)
        .map(|row| of(&row.figures))
        .collect()
}

/// A Markdown table for each day: means with their intervals, and against the first variant seed by seed.
pub fn markdown_table(experiment: &Experiment, rows: &[Row]) -> String {
    let mut text = String::new();
    let first = &experiment.variants[0].name;
    for day in &experiment.scenarios {
        // Writing into a string cannot fail.
        let _ = writeln!(text, "## {}\n", day.name);
        let names: Vec<&str> = experiment.variants.iter().map(|v| v.name.as_str()).collect();
        let _ = writeln!(text, "| | {} |", names.join(" | "));
        let _ = writeln!(text, "| --- |{}", " --- |".repeat(names.len()));
        for (name, of) in REPORTED_FIGURES {
            let _ = write!(text, "| {name} |");
            let before = values(rows, &day.name, first, of);
            for variant in &names {
                let own = values(rows, &day.name, variant, of);
                let (mean, half) = interval(&own);
                let _ = write!(text, " {mean:.2} ± {half:.2}");
                if *variant != first {
                    let differences: Vec<f64> = own.iter().zip(&before).map(|(a, b)| a - b).collect();
                    let (mean, half) = interval(&differences);
                    let _ = write!(text, " ({mean:+.2} ± {half:.2})");
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
        scenario: day,
        variant,
        seed,
        figures: f,
    } in rows
    {
        let _ = writeln!(
            text,
            "{day},{variant},{seed},{},{},{},{},{},{},{},{},{:.6},{:.4},{:.4},{:.6},{},{},{},{},{:.4},{},{:.6},{:.6},{:.6}",
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

/// One figure over days and variants, with intervals.
fn plot(
    experiment: &Experiment,
    rows: &[Row],
    figure: &Figure,
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let (name, of) = figure;
    let points: Vec<(usize, usize, f64, f64)> = (0..experiment.scenarios.len())
        .flat_map(|day| (0..experiment.variants.len()).map(move |variant| (day, variant)))
        .map(|(day, variant)| {
            let of = values(
                rows,
                &experiment.scenarios[day].name,
                &experiment.variants[variant].name,
                *of,
            );
            let (mean, half) = interval(&of);
            (day, variant, mean, half)
        })
        .collect();
    let most = points.iter().map(|p| p.2 + p.3).fold(f64::MIN_POSITIVE, f64::max) * 1.1;
    let area = SVGBackend::new(path, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let days = experiment.scenarios.len();
    let mut chart = ChartBuilder::on(&area)
        .caption(name, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(-0.5..days as f64 - 0.5, 0.0..most)?;
    let day = |at: &f64| {
        let near = at.round();
        let of = experiment
            .scenarios
            .get(near as usize)
            .filter(|_| near >= 0.0 && (at - near).abs() < 0.01);
        of.map_or(String::new(), |day| day.name.clone())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(days * 2 + 1)
        .x_label_formatter(&day)
        .draw()?;
    let variants = experiment.variants.len() as f64;
    for (n, variant) in experiment.variants.iter().enumerate() {
        let colour = Palette99::pick(n).to_rgba();
        let own = points.iter().filter(move |p| p.1 == n);
        let place = move |p: &(usize, usize, f64, f64)| p.0 as f64 + (n as f64 + 0.5) / variants * 0.6 - 0.3;
        let bars = own.map(|p| {
            ErrorBar::new_vertical(place(p), (p.2 - p.3).max(0.0), p.2, p.2 + p.3, colour.filled(), 8)
        });
        chart
            .draw_series(bars)?
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

/// Writes table, rows and plots into a folder.
pub fn write_results(experiment: &Experiment, rows: &[Row], folder: &Path) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("table.md"), markdown_table(experiment, rows))?;
    std::fs::write(folder.join("rows.csv"), csv(rows))?;
    std::fs::write(folder.join("rows.json"), serde_json::to_vec_pretty(rows)?)?;
    for figure in &REPORTED_FIGURES {
        let name: String = figure
            .0
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
    fn an_interval_is_the_published_one() {
        // Five values, t at 0.975 with 4 degrees of freedom: 2.776.
        let (mean, half) = interval(&[1.0, 2.0, 3.0, 4.0, 5.0]);
        assert!((mean - 3.0).abs() < 1e-9 && (half - 2.776 * (2.5f64 / 5.0).sqrt()).abs() < 1e-3);
    }

    #[test]
    fn the_same_file_gives_the_same_bytes() {
        let text = "name = 'x'\nseeds = 2\n[[days]]\nname = 'a'\nscript = '''\nlength 5s\n\
            workload q restartable rate=20 functions=3\n'''\n[[variants]]\nname = 'without'\n\
            [[variants]]\nname = 'with'\nis = { forecasting = 'on' }\n";
        let (experiment, scripts) = parse(text).unwrap();
        let (one, two) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
        for folder in [&one, &two] {
            let rows = run(&experiment, &scripts, false);
            assert_eq!(rows.len(), 4);
            write_results(&experiment, &rows, folder.path()).unwrap();
        }
        for entry in std::fs::read_dir(one.path()).unwrap() {
            let name = entry.unwrap().file_name();
            let read = |folder: &tempfile::TempDir| std::fs::read(folder.path().join(&name)).unwrap();
            assert!(read(&one) == read(&two), "{name:?}");
        }
        assert!(parse("name = 'x'\nseeds = 2\nvariants = []\n[[days]]\nname='a'\nscript='wrong'").is_err());
    }
}
