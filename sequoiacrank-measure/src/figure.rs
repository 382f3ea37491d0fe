//! Measured figures, each with its target and its baseline.

use std::fmt;

/// Target of a figure.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The value must be at most this.
    Most(f64),
    /// The value must be at least this.
    Least(f64),
    /// No bound; lower values are better.
    Less,
    /// No bound; higher values are better.
    More,
}

impl Target {
    /// Whether a value is within the bound; `None` without one.
    pub fn is_met(self, value: f64) -> Option<bool> {
        match self {
            Target::Most(bound) => Some(value <= bound),
            Target::Least(bound) => Some(value >= bound),
            Target::Less | Target::More => None,
        }
    }

    /// Whether one value is worse than another.
    pub fn is_worse(self, value: f64, than: f64) -> bool {
        match self {
            Target::Most(_) | Target::Less => value > than,
            Target::Least(_) | Target::More => value < than,
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Target::Most(bound) => write!(f, "<= {}", format_number(*bound)),
            Target::Least(bound) => write!(f, ">= {}", format_number(*bound)),
            Target::Less => f.write_str("less"),
            Target::More => f.write_str("more"),
        }
    }
}

/// A value measured under one policy.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Value {
    /// Name of the policy.
    pub policy: String,
    /// Measured value.
    pub value: f64,
}

/// One measured figure.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Figure {
    /// Scenario.
    pub matter: String,
    /// Quantity that was measured, with its unit.
    pub unit: String,
    /// Value under the default policy.
    pub chosen: Value,
    /// Value under the baseline policy, if there is one.
    pub baseline: Option<Value>,
    /// Target of the value.
    pub target: Target,
    /// Whether the target is met; `None` if it has no bound.
    pub met: Option<bool>,
    /// Whether the value is worse than that of the baseline.
    pub worse: bool,
}

/// Creates a figure from its values and compares them with the target.
pub fn figure(
    matter: &str,
    unit: &str,
    target: Target,
    chosen: (&str, f64),
    baseline: Option<(&str, f64)>,
) -> Figure {
    let to_value = |(policy, value): (&str, f64)| Value { policy: policy.into(), value };
    Figure {
        matter: matter.into(),
        unit: unit.into(),
        met: target.is_met(chosen.1),
        worse: baseline.is_some_and(|(_, value)| target.is_worse(chosen.1, value)),
        chosen: to_value(chosen),
        baseline: baseline.map(to_value),
        target,
    }
}

/// Formats a number with about three significant digits.
pub fn format_number(value: f64) -> String {
    match value.abs() {
        0.0 => "0".into(),
        size if size >= 1e6 => format!("{value:.2e}"),
        size if size >= 100.0 || value.fract() == 0.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        size if size >= 0.001 => format!("{value:.4}"),
        _ => format!("{value:.2e}"),
    }
}
