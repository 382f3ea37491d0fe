//! `standin`: runs one simulated service as a process.

use std::net;

use sequoiacrank_standin::Error;
use sequoiacrank_standin::engine;
use sequoiacrank_standin::hosts;
use sequoiacrank_standin::log;
use sequoiacrank_standin::plain;

use crate::args;
use crate::exit;
use crate::signals;

/// Runs the stand-in until a signal stops it.
pub fn run(args: &args::Standin) -> Result<(), exit::Error> {
    let mut signals = signals::StopSignals::new()?;
    let (listen, version) = (args.listen, args.version.clone());
    match args.kind {
        args::StandinKind::Engine => {
            let default = engine::Options::default();
            let cold = args.cold.unwrap_or(default.cold);
            let full = args.full.unwrap_or(default.full);
            let step = args.step_ms.map_or(default.step, std::time::Duration::from_millis);
            let slope = args.slope_us.map_or(default.slope, std::time::Duration::from_micros);
            let options = engine::Options { listen, version, cold, full, step, slope, ..default };
            run_until_signal(engine::start(options), |running| running.address(), &mut signals)
        }
        args::StandinKind::Plain => {
            let options = plain::Options { listen, version, ..Default::default() };
            run_until_signal(plain::start(options), |running| running.address(), &mut signals)
        }
        args::StandinKind::Log => {
            let options = log::Options { listen, ..Default::default() };
            run_until_signal(log::start(options), |running| running.address(), &mut signals)
        }
        args::StandinKind::Hosts => {
            let options = hosts::Options { listen, ..Default::default() };
            run_until_signal(hosts::start(options), |running| running.address(), &mut signals)
        }
    }
}

/// Prints the address of a started stand-in and keeps it running until a signal arrives.
fn run_until_signal<T, F>(
    started: Result<T, Error>,
    address: F,
    signals: &mut signals::StopSignals,
) -> Result<(), exit::Error>
where
    F: FnOnce(&T) -> net::SocketAddr,
{
    let running = started.map_err(|err| exit::Error::Failed(err.to_string()))?;
    println!("listening {}", address(&running));
    signals.wait();
    Ok(())
}
