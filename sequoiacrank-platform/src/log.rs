//! Client of the append-only log.

use std::time;

use quick_error::quick_error;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::log;
use serde::Deserialize;

use crate::http;

pub mod wire;

quick_error! {
    /// Why an append or a read failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The call had no effect and never will.
        Refused(reason: String) {
            display("the log refused the call: {reason}")
        }
        /// The call had no effect, since the log's rate limit is reached.
        Limited(retry_after: time::Duration) {
            display("the log's rate limit is reached; retry after {retry_after:?}")
        }
        /// The answer was lost or invalid; the call may have taken effect or may do so later.
        Unclear(reason: String) {
            display("the outcome of the call to the log is unknown: {reason}")
        }
    }
}

impl From<http::Error> for Error {
    fn from(error: http::Error) -> Self {
        match error {
            http::Error::Refused(reason) => Error::Refused(reason),
            http::Error::Limited(retry_after) => Error::Limited(retry_after),
            http::Error::Unclear(reason) => Error::Unclear(reason),
        }
    }
}

/// Consecutive records of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Records as the log returned them, perhaps out of order or duplicated.
    pub records: Vec<log::Record>,
    /// Offset of the first record that the log still keeps. If it is above the requested offset,
    /// records in between have expired.
    pub first: id::Offset,
    /// Offset of the next record that will be appended.
    pub end: id::Offset,
}

#[derive(Deserialize)]
struct Appended {
    offset: id::Offset,
}

#[derive(Deserialize)]
struct WirePage {
    records: Vec<wire::Stored>,
    #[serde(default)]
    first: id::Offset,
    end: id::Offset,
}

/// A client of the log.
#[derive(Clone, Debug)]
pub struct Client {
    options: http::Options,
}

impl Client {
    /// Creates a client; each call opens its own connection.
    pub fn new(options: http::Options) -> Client {
        Client { options }
    }

    /// Appends one record; returns its offset.
    ///
    /// # Errors
    ///
    /// [`Error`], which tells whether the record may have been appended.
    pub fn append(
        &self,
        stream: log::Stream,
        writer: &log::Writer,
        entries: &[log::Entry],
    ) -> Result<id::Offset, Error> {
        let body = wire::Body::new(writer, entries);
        let request = attohttpc::post(self.url(stream))
            .json(&body)
            .map_err(|error| Error::Refused(error.to_string()))?;
        Ok(http::call::<_, Appended>(&self.options, request)?.offset)
    }

    /// Reads at most `limit` records from offset `from` on.
    ///
    /// A record that can't be decoded is returned without entries, so that no offset is missing.
    ///
    /// # Errors
    ///
    /// [`Error`].
    pub fn read(&self, stream: log::Stream, from: id::Offset, limit: usize) -> Result<Page, Error> {
        let request = attohttpc::get(self.url(stream)).param("from", from).param("limit", limit);
        let page: WirePage = http::call(&self.options, request)?;
        let records = page.records.into_iter().map(|stored| decode(stream, stored)).collect();
        Ok(Page { records, first: page.first, end: page.end })
    }

    fn url(&self, stream: log::Stream) -> String {
        http::url(&self.options, &["v1", "streams", &wire::stream_name(stream), "records"])
    }
}

fn decode(stream: log::Stream, stored: wire::Stored) -> log::Record {
    let (offset, at) = (stored.offset, time::Duration::from_millis(stored.at_ms));
    log::Record::try_from(stored).unwrap_or_else(|error| {
        let stream = wire::stream_name(stream);
        ::log::error!(stream:% = stream, offset, error:% = error; "undecodable record in the log");
        let writer = log::Writer { host: String::new(), incarnation: 0, sequence: offset };
        log::Record { offset, at, writer, entries: Vec::new() }
    })
}
