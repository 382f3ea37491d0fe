//! `serve`: runs one host until a signal stops it.

use std::io;
use std::io::Write as _;
use std::path;
use std::sync;
use std::thread;

use sequoiacrank_config::settings;
use sequoiacrank_host::logs;

use crate::args;
use crate::exit;
use crate::signals;

/// Runs the host with the settings in `file`. Fails with [`exit::Error::Failed`] if it stopped with
/// requests in flight.
pub fn run(file: &path::Path) -> Result<(), exit::Error> {
    let source = super::read(file)?;
    let settings = match settings::parse(&source.file, &source.text) {
        Ok(settings) => settings,
        Err(problems) => {
            super::check::report(&problems, args::Format::Text);
            return Err(exit::Error::Invalid);
        }
    };
    let failed = |detail: String| exit::Error::Failed(detail);
    logs::setup(&settings.log).map_err(|err| failed(err.to_string()))?;
    let mut signals = signals::StopSignals::new()?;
    let host = sequoiacrank_host::start(settings).map_err(|err| failed(err.to_string()))?;
    // The host serves even if nobody reads its standard output.
    let _ = writeln!(io::stdout(), "callers {}\npeers {}", host.address(), host.peer());
    let host = sync::Arc::new(host);
    let stopping = host.clone();
    thread::spawn(move || {
        loop {
            signals.wait();
            stopping.stop();
        }
    });
    match host.wait() {
        sequoiacrank_host::Outcome::Clean => Ok(()),
        sequoiacrank_host::Outcome::Cut => Err(failed("stopped with requests in flight".into())),
    }
}
