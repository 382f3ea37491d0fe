//! The data path of a host on one event loop: callers, endpoints, streams, stage work and planned
//! stops.
//!
//! `sequoiacrank-kernel` makes all decisions, and `sequoiacrank-adapter` has all names of the
//! platform. One thread runs everything; only logs are written by a second one.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod batcher;
mod body;
mod client;
mod clock;
mod dial;
mod duties;
mod exchange;
mod facts;
mod front;
mod host;
mod idle;
mod in_flight;
pub mod logs;
mod memory;
mod metrics;
mod moves;
mod notices;
mod peer;
mod refusal;
mod relay;
mod socket;
mod stages;
mod stop;
mod store;
mod stream;

use std::io;

use quick_error::quick_error;
use sequoiacrank_config::edge;
use tokio::runtime;
use tokio::task;

pub use host::SettingsSource;

quick_error! {
    /// Why a host could not start.
    #[derive(Debug)]
    pub enum Error {
        /// An address cannot be listened on, or the event loop cannot be created.
        Io(what: &'static str, error: io::Error) {
            display("{what}: {error}")
            source(error)
        }
    }
}

/// Runs a host until it is asked to stop by SIGTERM or SIGINT and its requests have ended. On
/// SIGHUP, and every few seconds, it reads the settings from `source` and applies those that may
/// change.
///
/// # Errors
///
/// When an address of `settings` cannot be listened on or the event loop cannot be created.
pub fn run(settings: edge::Settings, source: SettingsSource) -> Result<(), Error> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|err| Error::Io("event loop", err))?;
    let local = task::LocalSet::new();
    let result = local.block_on(&runtime, host::run(settings, source));
    logs::flush();
    result
}
