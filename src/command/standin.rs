//! `standin`: one stand-in as a process.

use std::net;

use sequoiacrank_standin::Error;
use sequoiacrank_standin::engine;
use sequoiacrank_standin::hosts;
use sequoiacrank_standin::log;
use sequoiacrank_standin::plain;

use crate::args;
use crate::exit;
use crate::signals;

/// Runs the stand-in until it is asked to stop.
pub fn run(args: &args::Standin) -> Result<(), exit::Error> {
    let mut stops = signals::Stops::new()?;
    let (listen, version) = (args.listen, args.version.clone());
    match args.kind {
        args::StandinKind::Engine => {
            let usual = engine::Options::default();
            let cold = args.cold.unwrap_or(usual.cold);
            let full = args.full.unwrap_or(usual.full);
            let step = args.step_ms.map_or(usual.step, std::time::Duration::from_millis);
            let slope = args.slope_us.map_or(usual.slope, std::time::Duration::from_micros);
            let options = engine::Options { listen, version, cold, full, step, slope, ..usual };
            hold(engine::start(options), |running| running.address(), &mut stops)
        }
        args::StandinKind::Plain => {
            let options = plain::Options { listen, version, ..Default::default() };
            hold(plain::start(options), |running| running.address(), &mut stops)
        }
        args::StandinKind::Log => {
            let options = log::Options { listen, ..Default::default() };
            hold(log::start(options), |running| running.address(), &mut stops)
        }
        args::StandinKind::Hosts => {
            let options = hosts::Options { listen, ..Default::default() };
            hold(hosts::start(options), |running| running.address(), &mut stops)
        }
    }
}

/// Tells where a started stand-in listens and keeps it until a signal comes.
fn hold<T, F>(
    started: Result<T, Error>,
    address: F,
    stops: &mut signals::Stops,
) -> Result<(), exit::Error>
where
    F: FnOnce(&T) -> net::SocketAddr,
{
    let running = started.map_err(|err| exit::Error::Failed(err.to_string()))?;
    println!("listening {}", address(&running));
    stops.wait();
    Ok(())
}
