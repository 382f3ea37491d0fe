//! Statistics behind the comparison of two versions.
//!
//! Failures are compared by universal inference: the statistic is the marginal likelihood of the
//! samples under a Beta mixture, divided by the largest likelihood that any pair of rates in the
//! null hypothesis gives them. Under the null hypothesis that ratio is bounded by a martingale that
//! starts at 1, so it may be evaluated after every call. Latencies are compared by confidence
//! sequences of the mean logarithm.

use crate::policy;

/// Steps of bisection; each halves the error of a failure rate.
const BISECTIONS: u32 = 24;
/// Lower bound on the standard deviation of log latencies, so that a few equal samples are not
/// taken as proof.
const MIN_DEVIATION: f64 = 0.05;
/// Inverse of the number of calls at which a confidence sequence is tightest.
const TIGHTEST_INVERSE: f64 = 1.0 / 40.0;

/// Calls in a sample.
pub fn calls(sample: &policy::Sample) -> u64 {
    sample.good + sample.bad
}

/// Share of failed calls; 0 for an empty sample.
pub fn rate(sample: &policy::Sample) -> f64 {
    match calls(sample) {
        0 => 0.0,
        calls => sample.bad as f64 / calls as f64,
    }
}

/// Mean log latency of good calls; 0 without any.
pub fn mean(sample: &policy::Sample) -> f64 {
    match sample.good {
        0 => 0.0,
        good => sample.log_sum / good as f64,
    }
}

/// The sample with each log latency reduced by `by`.
pub fn faster(sample: &policy::Sample, by: f64) -> policy::Sample {
    let good = sample.good as f64;
    policy::Sample {
        log_sum: sample.log_sum - by * good,
        log_squares: sample.log_squares - 2.0 * by * sample.log_sum + by * by * good,
        ..*sample
    }
}

/// Standard deviation of the log latency of good calls.
fn deviation(sample: &policy::Sample) -> f64 {
    if sample.good < 2 {
        return MIN_DEVIATION;
    }
    let mean = mean(sample);
    let variance = (sample.log_squares - sample.log_sum * mean) / (sample.good - 1) as f64;
    variance.max(0.0).sqrt().max(MIN_DEVIATION)
}

/// Log evidence against the hypothesis that the new failure rate is at most the old one plus
/// `margin`.
///
/// If the hypothesis holds, it ever exceeds `x` with a probability of at most `exp(-x)`, however
/// often it is evaluated.
pub fn failing(old: &policy::Sample, new: &policy::Sample, margin: f64) -> f64 {
    let gap = rate(new) - rate(old) - margin;
    if calls(old) == 0 || gap <= 0.0 {
        return 0.0;
    }
    let low = rate(old);
    marginal(old) + marginal(new) - boundary(old, new, margin, low, low + gap)
}

/// Log likelihood ratio against the hypothesis that the new failure rate is at least the old one
/// plus `margin`.
pub fn noninferior(old: &policy::Sample, new: &policy::Sample, margin: f64) -> f64 {
    let gap = rate(old) + margin - rate(new);
    if gap <= 0.0 {
        return 0.0;
    }
    let high = rate(old).min(1.0 - margin);
    let unconstrained = likelihood(old, rate(old)) + likelihood(new, rate(new));
    unconstrained - boundary(old, new, margin, (rate(new) - margin).max(0.0), high)
}

/// Lower and upper bound of the new mean log latency minus the old one.
///
/// The true difference stays above the lower bound at all times with a probability of about
/// `1 - alpha`, as long as the shares of the versions stay the same. The upper bound is `quantile`
/// standard errors above the estimate and holds at a single time.
pub fn slowdown(
    old: &policy::Sample,
    new: &policy::Sample,
    alpha: f64,
    quantile: f64,
) -> (f64, f64) {
    let gap = mean(new) - mean(old);
    let deviation = deviation(old).max(deviation(new));
    let (m, n) = (old.good.max(1) as f64, new.good.max(1) as f64);
    let effective_size = m * n / (m + n);
    (
        gap - deviation * width(effective_size, alpha),
        gap + quantile * deviation / effective_size.sqrt(),
    )
}

/// Half-width of a one-sided confidence sequence for the mean of `n` values of deviation 1.
fn width(n: f64, alpha: f64) -> f64 {
    let scaled = n * TIGHTEST_INVERSE + 1.0;
    (2.0 * scaled / (n * n * TIGHTEST_INVERSE) * (scaled.sqrt() / alpha).ln()).sqrt()
}

/// Log marginal likelihood of a sample when its rate is drawn from Beta(1/2, 1/2).
fn marginal(sample: &policy::Sample) -> f64 {
    let (good, bad) = (sample.good as f64, sample.bad as f64);
    beta(bad + 0.5, good + 0.5) - beta(0.5, 0.5)
}

/// Logarithm of the Beta function.
fn beta(a: f64, b: f64) -> f64 {
    libm::lgamma(a) + libm::lgamma(b) - libm::lgamma(a + b)
}

/// Log likelihood of a sample at a failure rate.
fn likelihood(sample: &policy::Sample, rate: f64) -> f64 {
    log_term(sample.bad, rate) + log_term(sample.good, 1.0 - rate)
}

/// Log likelihood of `count` independent events of the same probability.
fn log_term(count: u64, probability: f64) -> f64 {
    match count {
        0 => 0.0,
        _ => count as f64 * probability.max(f64::MIN_POSITIVE).ln(),
    }
}

/// Largest log likelihood with the new rate exactly `margin` above the old one, which lies between
/// `low` and `high`.
fn boundary(old: &policy::Sample, new: &policy::Sample, margin: f64, low: f64, high: f64) -> f64 {
    let (mut low, mut high) = (low, high);
    for _ in 0..BISECTIONS {
        let middle = (low + high) / 2.0;
        match slope(old, middle) + slope(new, middle + margin) > 0.0 {
            true => low = middle,
            false => high = middle,
        }
    }
    let rate = (low + high) / 2.0;
    likelihood(old, rate) + likelihood(new, rate + margin)
}

/// Derivative of [`likelihood`] with respect to the rate.
fn slope(sample: &policy::Sample, rate: f64) -> f64 {
    let part = |count: u64, probability: f64| match count {
        0 => 0.0,
        _ => count as f64 / probability.max(f64::MIN_POSITIVE),
    };
    part(sample.bad, rate) - part(sample.good, 1.0 - rate)
}
