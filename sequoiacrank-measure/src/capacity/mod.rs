//! Measures the cost of the kernel's mechanisms at growing sizes, and the slope of each.
//!
//! Times are elapsed times of one thread. The minimum of several repetitions is used, which reduces
//! the effect of other load on the machine. Memory is the growth of the process's resident pages.

mod claims;
mod config;
mod digests;
mod document;
mod memory;
mod probe;
mod rollout;
mod traffic;

use std::fmt;

use crate::figure;
use crate::table;

pub use probe::{Point, Series};

/// Options of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Repetitions of each timing, of which the minimum is used.
    pub repeats: u32,
}

impl Default for Options {
    fn default() -> Self {
        Options { repeats: 5 }
    }
}

/// All series of a run.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Outcome {
    /// Costs by size, at least one series for each mechanism.
    pub series: Vec<Series>,
}

/// Measures all mechanisms. Memory comes first, while the process is still small.
pub fn run(options: Options) -> Outcome {
    let mut series = memory::run();
    series.extend(traffic::run(&options));
    series.extend(digests::run(&options));
    series.extend(config::run(&options));
    series.extend(claims::run(&options));
    series.extend(rollout::run(&options));
    Outcome { series }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let header = ["mechanism", "cost", "size", "at size: cost", "slope", "growth"];
        let rows: Vec<_> = self.series.iter().map(row).collect();
        table::write(f, &header, &rows)?;
        writeln!(f, "slope: cost per unit of size; growth: exponent of the cost in the size")
    }
}

fn row(series: &Series) -> Vec<String> {
    let points = series.points.iter().map(|point| {
        format!("{}: {}", figure::format_number(point.size), figure::format_number(point.cost))
    });
    vec![
        series.name.clone(),
        series.cost.clone(),
        series.size.clone(),
        points.collect::<Vec<_>>().join(" | "),
        figure::format_number(series.slope),
        format!("{:.2}", series.growth),
    ]
}
