//! Moves to good and bad versions: calls of a bad one before it is taken back, and false alarms.

use std::thread;

use sequoiacrank_kernel::log;

use crate::decisions;
use crate::decisions::fleet;
use crate::figure;

/// Number of threads that run trials.
const THREADS: u32 = 4;
/// Compared policies, the default one first.
const JUDGES: [&str; 2] = ["sequential", "threshold"];

/// Kinds of bad versions, each with the target for the calls it gets before it is taken back.
const BAD_VERSIONS: [(fleet::Behavior, Option<f64>); 8] = [
    (fleet::Behavior::FailsHalf, Some(30.0)),
    (fleet::Behavior::FailsTenth, None),
    (fleet::Behavior::FailsLater, Some(30.0)),
    (fleet::Behavior::FailsUnderLoad, Some(30.0)),
    (fleet::Behavior::FailsOnRoute, Some(30.0)),
    (fleet::Behavior::Slow, Some(100.0)),
    (fleet::Behavior::SlowLater, Some(100.0)),
    (fleet::Behavior::SlowUnderLoad, Some(100.0)),
];

/// Measures all figures of this module.
pub fn run(options: &decisions::Options) -> Vec<figure::Figure> {
    let bad =
        BAD_VERSIONS.iter().flat_map(|&(behavior, bound)| bad_figures(options, behavior, bound));
    let mut figures: Vec<_> = bad.collect();
    for behavior in
        [fleet::Behavior::Good, fleet::Behavior::GoodLoadRises, fleet::Behavior::GoodEndpointResets]
    {
        figures.extend(good_figures(options, behavior));
    }
    figures
}

fn bad_figures(
    options: &decisions::Options,
    behavior: fleet::Behavior,
    bound: Option<f64>,
) -> [figure::Figure; 3] {
    let results = JUDGES.map(|judge| trials(options, judge, behavior, options.bad_moves));
    let target = bound.map_or(figure::Target::Less, figure::Target::Most);
    let compare = |unit, target, measure| compare_judges(behavior, &results, unit, target, measure);
    [
        compare("calls met bad, worst of 99%", target, bad_calls_p99),
        compare("share of requests met bad, mean", figure::Target::Less, bad_share),
        compare("share of moves taken back", figure::Target::Least(1.0), taken_back),
    ]
}

fn good_figures(options: &decisions::Options, behavior: fleet::Behavior) -> [figure::Figure; 2] {
    let count =
        if behavior == fleet::Behavior::Good { options.good_moves } else { options.bad_moves };
    let results = JUDGES.map(|judge| trials(options, judge, behavior, count));
    let (alarms, done) = match behavior {
        fleet::Behavior::Good => (figure::Target::Most(0.001), figure::Target::Least(0.999)),
        _ => (figure::Target::Less, figure::Target::More),
    };
    let compare = |unit, target, measure| compare_judges(behavior, &results, unit, target, measure);
    [
        compare("share of moves taken back", alarms, taken_back),
        compare("share of moves done in time", done, done_in_time),
    ]
}

/// A number taken from the trials of one judge.
type Measure = fn(&[fleet::Trial]) -> f64;

/// Compares the judges by one measure; `results` has the trials of each.
fn compare_judges(
    behavior: fleet::Behavior,
    results: &[Vec<fleet::Trial>; 2],
    unit: &str,
    target: figure::Target,
    measure: Measure,
) -> figure::Figure {
    let [chosen, baseline] = [0, 1].map(|index| (JUDGES[index], measure(&results[index])));
    figure::figure(&format!("version {}", behavior.title()), unit, target, chosen, Some(baseline))
}

/// 99th percentile over trials of the calls of the version while it was bad.
fn bad_calls_p99(trials: &[fleet::Trial]) -> f64 {
    let mut calls: Vec<_> = trials.iter().map(|trial| trial.bad_calls).collect();
    calls.sort_unstable();
    calls
        .get((calls.len() * 99).div_ceil(100).saturating_sub(1))
        .map_or(f64::NAN, |&calls| calls as f64)
}

/// Share of all requests that called the version while it was bad.
fn bad_share(trials: &[fleet::Trial]) -> f64 {
    let bad: u64 = trials.iter().map(|trial| trial.bad_calls).sum();
    let all: u64 = trials.iter().map(|trial| trial.requests).sum();
    bad as f64 / all as f64
}

/// Share of trials for which `holds` is true.
fn share_of_trials<P>(trials: &[fleet::Trial], holds: P) -> f64
where
    P: Fn(&fleet::Trial) -> bool,
{
    trials.iter().filter(|trial| holds(trial)).count() as f64 / trials.len() as f64
}

fn taken_back(trials: &[fleet::Trial]) -> f64 {
    share_of_trials(trials, |trial| matches!(trial.end, Some((_, log::Latch::TakenBack(_)))))
}

fn done_in_time(trials: &[fleet::Trial]) -> f64 {
    share_of_trials(
        trials,
        |trial| matches!(&trial.end, Some((at, log::Latch::Done(_))) if *at <= fleet::FINISH),
    )
}

/// Simulates `count` moves on several threads.
fn trials(
    options: &decisions::Options,
    judge: &str,
    behavior: fleet::Behavior,
    count: u32,
) -> Vec<fleet::Trial> {
    let seed = options.seed;
    let run_part = move |thread: u32| {
        let numbers = (0..count).filter(|number| number % THREADS == thread);
        numbers.map(|number| fleet::run(seed, number.into(), judge, behavior)).collect::<Vec<_>>()
    };
    thread::scope(|scope| {
        let run_part = &run_part;
        let threads: Vec<_> =
            (0..THREADS).map(|thread| scope.spawn(move || run_part(thread))).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
    })
}
