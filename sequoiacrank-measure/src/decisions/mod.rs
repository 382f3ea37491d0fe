//! Measures what the kernel's decisions achieve under load and faults, compared with baselines.
//!
//! Small simulations drive the kernel's code under logical time. A run with the same seed gives the
//! same figures.

mod endpoint;
mod fleet;
mod load;
mod retries;
mod simulation;
mod versions;

use std::fmt;

use crate::figure;
use crate::table;

/// Options of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of simulated moves to a good version, to count false alarms.
    pub good_moves: u32,
    /// Number of simulated moves to each kind of bad version.
    pub bad_moves: u32,
}

impl Default for Options {
    fn default() -> Self {
        Options { seed: 1, good_moves: 1_000, bad_moves: 200 }
    }
}

/// All figures of a run.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Outcome {
    /// Seed of the run.
    pub seed: u64,
    /// Figures, grouped by scenario.
    pub figures: Vec<figure::Figure>,
}

impl Outcome {
    /// Whether every figure that has a bound meets it.
    pub fn is_met(&self) -> bool {
        self.figures.iter().all(|figure| figure.met != Some(false))
    }
}

/// Measures all scenarios.
pub fn run(options: Options) -> Outcome {
    let mut figures = versions::run(&options);
    figures.extend(retries::run(&options));
    figures.extend(load::run(&options));
    Outcome { seed: options.seed, figures }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let header =
            ["matter", "unit", "policy", "value", "baseline", "value", "target", "verdict"];
        let rows: Vec<_> = self.figures.iter().map(row).collect();
        table::write(f, &header, &rows)?;
        let missed = self.figures.iter().filter(|figure| figure.met == Some(false)).count();
        let worse = self.figures.iter().filter(|figure| figure.worse).count();
        writeln!(
            f,
            "seed {}: {} figures, {missed} below target, {worse} worse than the baseline",
            self.seed,
            self.figures.len()
        )
    }
}

fn row(figure: &figure::Figure) -> Vec<String> {
    let verdict = match figure.met {
        Some(true) => "met",
        Some(false) => "NOT MET",
        None => "-",
    };
    let worse = if figure.worse { ", worse than baseline" } else { "" };
    let (name, value) = match &figure.baseline {
        Some(baseline) => (baseline.policy.clone(), figure::format_number(baseline.value)),
        None => ("-".into(), "-".into()),
    };
    vec![
        figure.matter.clone(),
        figure.unit.clone(),
        figure.chosen.policy.clone(),
        figure::format_number(figure.chosen.value),
        name,
        value,
        figure.target.to_string(),
        format!("{verdict}{worse}"),
    ]
}
