//! `quickstart`: demonstration of the system in one process.

use std::time;

use sequoiacrank_trial::quickstart;

use crate::args;
use crate::exit;

/// Runs the demonstration and prints its figures. Fails with [`exit::Error::Failed`] if a step
/// failed.
pub fn run(format: args::Format) -> Result<(), exit::Error> {
    let start = time::Instant::now();
    let progress = |what: &str| eprintln!("{:6.1} s  {what}", start.elapsed().as_secs_f64());
    let outcome = quickstart::run(&progress).map_err(|err| exit::Error::Failed(err.to_string()))?;
    super::print(&outcome, format)?;
    match outcome.passed() {
        true => Ok(()),
        false => Err(exit::Error::Failed("a step failed".into())),
    }
}
