//! `measure`: measures routing decisions, capacity, or hosts under load.

use std::time;

use sequoiacrank_measure::capacity;
use sequoiacrank_measure::decisions;
use sequoiacrank_trial::load;

use crate::args;
use crate::exit;

/// Runs a measurement and prints its result. Fails with [`exit::Error::Failed`] if an answer under
/// load was not complete.
pub fn run(what: &args::Measure) -> Result<(), exit::Error> {
    match what {
        args::Measure::Load(args) => self::load(args),
        args::Measure::Decisions { seed, format } => {
            let options = decisions::Options { seed: *seed, ..Default::default() };
            super::print(&decisions::run(options), *format)
        }
        args::Measure::Capacity { format } => {
            super::print(&capacity::run(capacity::Options::default()), *format)
        }
    }
}

fn load(args: &args::Load) -> Result<(), exit::Error> {
    let options = load::Options {
        hosts: args.to.clone(),
        engine: args.engine.clone(),
        pid: args.pid,
        key: args.key.clone(),
        pipeline: args.pipeline.clone(),
        rate: args.rate,
        tokens: args.tokens,
        duration: time::Duration::from_secs(args.seconds),
    };
    let outcome = load::run(&options).map_err(|err| exit::Error::Failed(err.to_string()))?;
    super::print(&outcome, args.format)?;
    match outcome.is_complete() {
        true => Ok(()),
        false => Err(exit::Error::Failed("not every answer was complete".into())),
    }
}
