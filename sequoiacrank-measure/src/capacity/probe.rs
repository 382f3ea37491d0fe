//! Costs at several sizes and the slope of their regression line.

use std::time;

/// Cost at one size.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Point {
    /// Size, in the unit of its series.
    pub size: f64,
    /// Cost, in the unit of its series.
    pub cost: f64,
}

/// Costs of one mechanism at growing sizes.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Series {
    /// Name of the mechanism.
    pub name: String,
    /// Unit of the cost.
    pub cost: String,
    /// Unit of the size.
    pub size: String,
    /// Measured points, by ascending size.
    pub points: Vec<Point>,
    /// Cost per unit of size, from a linear least-squares fit.
    pub slope: f64,
    /// Exponent of the cost as a power of the size: 0 is constant, 1 linear.
    pub growth: f64,
}

/// Measures the cost at each size.
pub fn series<C>(name: &str, cost: &str, size: &str, sizes: &[usize], mut measure: C) -> Series
where
    C: FnMut(usize) -> f64,
{
    let point = |&size: &usize| Point { size: size as f64, cost: measure(size) };
    let points: Vec<_> = sizes.iter().map(point).collect();
    let values: Vec<_> = points.iter().map(|point| (point.size, point.cost)).collect();
    let logs: Vec<_> =
        values.iter().map(|(size, cost)| (size.ln(), cost.max(f64::MIN_POSITIVE).ln())).collect();
    Series {
        name: name.into(),
        cost: cost.into(),
        size: size.into(),
        slope: slope(&values),
        growth: slope(&logs),
        points,
    }
}

/// Slope of the least-squares line through points.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let cross: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
    let square: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    cross / square
}

/// Minimum time of `work` in microseconds over `repeats` runs, divided by `count`.
pub fn min_time<W>(repeats: u32, count: usize, mut work: W) -> f64
where
    W: FnMut(),
{
    let time_once = |_| {
        let start = time::Instant::now();
        work();
        start.elapsed().as_secs_f64() * 1e6
    };
    (0..repeats).map(time_once).fold(f64::INFINITY, f64::min) / count as f64
}
