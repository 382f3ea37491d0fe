//! Signals that stop the process.

use signal_hook::consts;
use signal_hook::iterator;

use crate::exit;

/// Receives SIGTERM and SIGINT.
#[derive(Debug)]
pub struct StopSignals {
    signals: iterator::Signals,
}

impl StopSignals {
    /// Installs handlers, so that the signals no longer end the process.
    pub fn new() -> Result<StopSignals, exit::Error> {
        let signals = iterator::Signals::new([consts::SIGTERM, consts::SIGINT]);
        match signals {
            Ok(signals) => Ok(StopSignals { signals }),
            Err(err) => Err(exit::Error::Failed(format!("can't handle signals: {err}"))),
        }
    }

    /// Blocks until the next signal.
    pub fn wait(&mut self) {
        self.signals.forever().next();
    }
}
