//! Results of an experiment: targets, a table and plots.

use std::fs;
use std::io;
use std::path::Path;

use eyre::{Result, WrapErr, eyre};
use plotters::prelude::*;
use serde::Serialize;

/// Direction of a bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Limit {
    /// The value must not exceed the bound.
    AtMost,
    /// The value must reach the bound.
    AtLeast,
}

/// A figure that an experiment has to reach.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Target {
    /// What is measured, with its unit.
    pub name: String,
    /// Direction of the bound.
    pub limit: Limit,
    /// Bound.
    pub bound: f64,
    /// Measured value.
    pub value: f64,
    /// Whether the value keeps to the bound.
    pub met: bool,
}

impl Target {
    /// A value that must not exceed `bound`.
    pub fn at_most(name: impl Into<String>, bound: f64, value: f64) -> Self {
        Self {
            name: name.into(),
            limit: Limit::AtMost,
            bound,
            value,
            met: value <= bound,
        }
    }

    /// A value that must reach `bound`.
    pub fn at_least(name: impl Into<String>, bound: f64, value: f64) -> Self {
        Self {
            name: name.into(),
            limit: Limit::AtLeast,
            bound,
            value,
            met: value >= bound,
        }
    }
}

/// A table with a row for each variant that was measured.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Table {
    /// Column heads; the first column names the variant.
    pub columns: Vec<String>,
    /// Cells, as many in each row as there are columns.
    pub rows: Vec<Vec<String>>,
}

/// A line in the plot.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points in order of x.
    pub points: Vec<(f64, f64)>,
}

/// Results of one experiment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub experiment: String,
    /// Seed of all random choices.
    pub seed: u64,
    /// Figures with bounds.
    pub targets: Vec<Target>,
    /// Figures of all variants, baselines included.
    pub table: Table,
    /// Label of the x axis.
    pub x_label: String,
    /// Label of the y axis.
    pub y_label: String,
    /// Lines of the plot.
    pub series: Vec<Series>,
}

impl Report {
    /// Whether every target is met.
    pub fn met(&self) -> bool {
        self.targets.iter().all(|it| it.met)
    }

    /// Writes the table and the targets as text.
    ///
    /// # Errors
    /// The writer's errors.
    pub fn print(&self, out: &mut impl io::Write) -> io::Result<()> {
        writeln!(out, "{} (seed {})", self.experiment, self.seed)?;
        print_table(&self.table, out)?;
        for it in &self.targets {
            let sign = match it.limit {
                Limit::AtMost => "<=",
                Limit::AtLeast => ">=",
            };
            let verdict = if it.met { "met" } else { "MISSED" };
            writeln!(
                out,
                "{verdict:>6}  {}: {:.4} {sign} {:.4}",
                it.name, it.value, it.bound
            )?;
        }
        Ok(())
    }

    /// Writes `EXPERIMENT.json` and `EXPERIMENT.svg` into `dir`.
    ///
    /// # Errors
    /// The directory or a file cannot be written.
    pub fn save(&self, dir: &Path) -> Result<()> {
        fs::create_dir_all(dir).wrap_err("cannot create the output directory")?;
        let json = serde_json::to_vec_pretty(self).wrap_err("cannot encode the report")?;
        fs::write(dir.join(format!("{}.json", self.experiment)), json).wrap_err("cannot write the report")?;
        plot(self, &dir.join(format!("{}.svg", self.experiment)))
    }
}

fn print_table(table: &Table, out: &mut impl io::Write) -> io::Result<()> {
    let width = |idx: usize| {
        let cells = table.rows.iter().filter_map(|row| row.get(idx));
        cells
            .chain(table.columns.get(idx))
            .map(|it| it.chars().count())
            .max()
            .unwrap_or(0)
    };
    for row in std::iter::once(&table.columns).chain(&table.rows) {
        for (idx, cell) in row.iter().enumerate() {
            let width = width(idx);
            write!(out, "{cell:<width$}  ")?;
        }
        writeln!(out)?;
    }
    Ok(())
}

fn plot(report: &Report, path: &Path) -> Result<()> {
    let (xs, ys) = ranges(&report.series);
    let root = SVGBackend::new(path, (900, 540)).into_drawing_area();
    let failed = |err: &dyn std::fmt::Display| eyre!("cannot draw the plot: {err}");
    root.fill(&WHITE).map_err(|err| failed(&err))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(&report.experiment, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(xs, ys)
        .map_err(|err| failed(&err))?;
    chart
        .configure_mesh()
        .x_desc(&report.x_label)
        .y_desc(&report.y_label)
        .draw()
        .map_err(|err| failed(&err))?;
    for (idx, series) in report.series.iter().enumerate() {
        let color = Palette99::pick(idx).to_rgba();
        chart
            .draw_series(LineSeries::new(
                series.points.iter().copied(),
                color.stroke_width(2),
            ))
            .map_err(|err| failed(&err))?
            .label(&series.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
        .map_err(|err| failed(&err))?;
    root.present().map_err(|err| failed(&err))
}

fn ranges(series: &[Series]) -> (std::ops::Range<f64>, std::ops::Range<f64>) {
    let points = || series.iter().flat_map(|it| &it.points);
    let span = |values: &mut dyn Iterator<Item = f64>| {
        let (low, high) = values.fold((f64::MAX, f64::MIN), |(low, high), it| {
            (low.min(it), high.max(it))
        });
        if low < high { low..high } else { 0.0..1.0 }
    };
    let xs = span(&mut points().map(|it| it.0));
    let ys = span(&mut points().map(|it| it.1).chain(std::iter::once(0.0)));
    (xs, ys)
}
