//! Traits for the services of the platform that a host uses, and their clients.

use std::sync;
use std::thread;
use std::time;

use sequoiacrank_config::settings;
use sequoiacrank_kernel::agree;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::log;
use sequoiacrank_platform::hosts;
use sequoiacrank_platform::log as log_client;

/// Most records in a page.
const MAX_PAGE_RECORDS: usize = 1000;
/// Longest pause after an append that exceeded the rate limit of the log.
const MAX_LIMITED_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Records of a stream, read from an offset on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Records, possibly out of order or duplicated.
    pub records: Vec<log::Record>,
    /// Offset of the oldest record kept.
    pub first: id::Offset,
    /// Offset of the next record that will be appended.
    pub end: id::Offset,
}

/// The platform's log.
pub trait Log: Send + Sync {
    /// Appends one record; returns whether it took effect.
    fn append(
        &self,
        stream: log::Stream,
        writer: &log::Writer,
        entries: &[log::Entry],
    ) -> agree::AppendResult;
    /// Reads a page from an offset.
    ///
    /// # Errors
    ///
    /// A description of the failure.
    fn read(&self, stream: log::Stream, from: id::Offset) -> Result<Page, String>;
}

/// The platform's list of hosts.
pub trait Roster: Send + Sync {
    /// Adds this host to the list or renews its entry.
    ///
    /// # Errors
    ///
    /// A description of the failure.
    fn register(&self, own: &hosts::Entry) -> Result<(), String>;
    /// Removes this host from the list.
    ///
    /// # Errors
    ///
    /// A description of the failure.
    fn deregister(&self, own: &str) -> Result<(), String>;
    /// All hosts.
    ///
    /// # Errors
    ///
    /// A description of the failure.
    fn list(&self) -> Result<Vec<hosts::Entry>, String>;
}

/// The services of the platform.
pub struct Services {
    /// Log.
    pub log: sync::Arc<dyn Log>,
    /// List of hosts.
    pub roster: sync::Arc<dyn Roster>,
}

/// Clients of the services in the settings, which connect on first use.
pub fn connect(settings: &settings::Platform) -> Services {
    let log = log_client::Client::new(sequoiacrank_platform::Options::new(settings.log.clone()));
    let roster = hosts::Client::new(sequoiacrank_platform::Options::new(settings.hosts.clone()));
    Services { log: sync::Arc::new(log), roster: sync::Arc::new(roster) }
}

impl Log for log_client::Client {
    fn append(
        &self,
        stream: log::Stream,
        writer: &log::Writer,
        entries: &[log::Entry],
    ) -> agree::AppendResult {
        match log_client::Client::append(self, stream, writer, entries) {
            Ok(_) => agree::AppendResult::Yes,
            Err(log_client::Error::Refused(why)) => {
                ::log::warn!(why; "the log refused an append");
                agree::AppendResult::No
            }
            Err(log_client::Error::Limited(after)) => {
                // Delays further appends of this thread too.
                thread::sleep(after.min(MAX_LIMITED_PAUSE));
                agree::AppendResult::No
            }
            Err(log_client::Error::Unclear(why)) => {
                ::log::warn!(why; "the outcome of an append is unknown");
                agree::AppendResult::Unclear
            }
        }
    }

    fn read(&self, stream: log::Stream, from: id::Offset) -> Result<Page, String> {
        let page = log_client::Client::read(self, stream, from, MAX_PAGE_RECORDS);
        let log_client::Page { records, first, end } = page.map_err(|error| error.to_string())?;
        Ok(Page { records, first, end })
    }
}

impl Roster for hosts::Client {
    fn register(&self, own: &hosts::Entry) -> Result<(), String> {
        hosts::Client::register(self, own).map_err(|error| error.to_string())
    }

    fn deregister(&self, own: &str) -> Result<(), String> {
        self.remove(own).map_err(|error| error.to_string())
    }

    fn list(&self) -> Result<Vec<hosts::Entry>, String> {
        hosts::Client::list(self).map_err(|error| error.to_string())
    }
}
