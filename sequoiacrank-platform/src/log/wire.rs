//! Wire types of records. Field names are short, since each append carries them.

use std::time;

use quick_error::quick_error;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::log;
use serde::Deserialize;
use serde::Serialize;

/// Format version that this build writes, and the highest that it reads.
pub const FORMAT: u32 = 1;

quick_error! {
    /// Why a record can't be decoded.
    #[derive(Debug)]
    pub enum Error {
        /// The record has a newer format.
        Format(found: u32) {
            display("format {found} is newer than the supported {FORMAT}")
        }
        /// The record is not valid JSON of the expected form.
        Json(error: serde_json::Error) {
            from()
            display("{error}")
            source(error)
        }
    }
}

/// Name of a stream in the log.
pub fn stream_name(stream: log::Stream) -> String {
    match stream {
        log::Stream::Config => "config".into(),
        log::Stream::Claims(shard) => format!("claims-{shard}"),
    }
}

/// A record as the log stores it.
#[derive(Clone, Debug, Deserialize)]
pub struct Stored {
    /// Position in the stream.
    pub offset: id::Offset,
    /// Time at which the log accepted it, in ms since the Unix epoch.
    pub at_ms: u64,
    /// Body as the writer sent it.
    pub body: serde_json::Value,
}

/// Body of a record, as a writer sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// Format version.
    #[serde(rename = "v")]
    format: u32,
    #[serde(rename = "h")]
    host: id::HostId,
    #[serde(rename = "i")]
    incarnation: id::Incarnation,
    #[serde(rename = "s")]
    sequence: u64,
    #[serde(rename = "e")]
    entries: Vec<Entry>,
}

/// Decodes only the format version, before the rest of the body.
#[derive(Deserialize)]
struct Format {
    v: u32,
}

impl Body {
    /// Encodes a record.
    pub fn new(writer: &log::Writer, entries: &[log::Entry]) -> Body {
        Body {
            format: FORMAT,
            host: writer.host.clone(),
            incarnation: writer.incarnation,
            sequence: writer.sequence,
            entries: entries.iter().cloned().map(Into::into).collect(),
        }
    }
}

impl TryFrom<Stored> for log::Record {
    type Error = Error;

    fn try_from(stored: Stored) -> Result<Self, Self::Error> {
        let Format { v } = Format::deserialize(&stored.body)?;
        if v > FORMAT {
            return Err(Error::Format(v));
        }
        let Body { host, incarnation, sequence, entries, .. } =
            serde_json::from_value(stored.body)?;
        Ok(log::Record {
            offset: stored.offset,
            at: time::Duration::from_millis(stored.at_ms),
            writer: log::Writer { host, incarnation, sequence },
            entries: entries.into_iter().map(Into::into).collect(),
        })
    }
}

/// [`log::Entry`] on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Entry {
    #[serde(rename = "cfg")]
    Config {
        #[serde(rename = "b")]
        base: id::Revision,
        #[serde(rename = "d")]
        document: String,
        #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
        renewed: Option<id::Revision>,
    },
    #[serde(rename = "lat")]
    Latch(Latch),
    #[serde(rename = "ep")]
    Epoch {
        #[serde(rename = "n")]
        epoch: id::Epoch,
        #[serde(rename = "o")]
        owner: id::HostId,
        #[serde(rename = "i")]
        incarnation: id::Incarnation,
    },
    #[serde(rename = "cl")]
    Claim {
        #[serde(rename = "n")]
        epoch: id::Epoch,
        #[serde(rename = "k")]
        key: id::Key,
        #[serde(rename = "f")]
        fingerprint: id::Fingerprint,
        #[serde(rename = "q")]
        request: id::RequestId,
        #[serde(rename = "o")]
        holder: id::HostId,
        #[serde(rename = "i")]
        incarnation: id::Incarnation,
    },
    #[serde(rename = "out")]
    Outcome {
        #[serde(rename = "k")]
        key: id::Key,
        #[serde(rename = "q")]
        request: id::RequestId,
        #[serde(rename = "z")]
        end: End,
    },
}

/// [`log::End`] on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum End {
    #[serde(rename = "no")]
    NotRun,
    #[serde(rename = "a")]
    Answer(String),
    #[serde(rename = "yes")]
    Ran,
    #[serde(rename = "unk")]
    Unknown,
}

/// [`log::Latch`] on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Latch {
    #[serde(rename = "done")]
    Done(id::MoveId),
    #[serde(rename = "back")]
    TakenBack(id::MoveId),
    #[serde(rename = "leave")]
    Leaving(id::EndpointId),
}

impl From<log::Entry> for Entry {
    fn from(entry: log::Entry) -> Self {
        match entry {
            log::Entry::Config { base, document, renewed } => {
                Entry::Config { base, document, renewed }
            }
            log::Entry::Latch(latch) => Entry::Latch(latch.into()),
            log::Entry::Epoch { epoch, owner, incarnation } => {
                Entry::Epoch { epoch, owner, incarnation }
            }
            log::Entry::Claim { epoch, key, fingerprint, request, holder, incarnation } => {
                Entry::Claim { epoch, key, fingerprint, request, holder, incarnation }
            }
            log::Entry::Outcome { key, request, end } => {
                Entry::Outcome { key, request, end: end.into() }
            }
        }
    }
}

impl From<Entry> for log::Entry {
    fn from(entry: Entry) -> Self {
        match entry {
            Entry::Config { base, document, renewed } => {
                log::Entry::Config { base, document, renewed }
            }
            Entry::Latch(latch) => log::Entry::Latch(latch.into()),
            Entry::Epoch { epoch, owner, incarnation } => {
                log::Entry::Epoch { epoch, owner, incarnation }
            }
            Entry::Claim { epoch, key, fingerprint, request, holder, incarnation } => {
                log::Entry::Claim { epoch, key, fingerprint, request, holder, incarnation }
            }
            Entry::Outcome { key, request, end } => {
                log::Entry::Outcome { key, request, end: end.into() }
            }
        }
    }
}

impl From<log::End> for End {
    fn from(end: log::End) -> Self {
        match end {
            log::End::NotRun => End::NotRun,
            log::End::Answer(text) => End::Answer(text),
            log::End::Ran => End::Ran,
            log::End::Unknown => End::Unknown,
        }
    }
}

impl From<End> for log::End {
    fn from(end: End) -> Self {
        match end {
            End::NotRun => log::End::NotRun,
            End::Answer(text) => log::End::Answer(text),
            End::Ran => log::End::Ran,
            End::Unknown => log::End::Unknown,
        }
    }
}

impl From<log::Latch> for Latch {
    fn from(latch: log::Latch) -> Self {
        match latch {
            log::Latch::Done(name) => Latch::Done(name),
            log::Latch::TakenBack(name) => Latch::TakenBack(name),
            log::Latch::Leaving(name) => Latch::Leaving(name),
        }
    }
}

impl From<Latch> for log::Latch {
    fn from(latch: Latch) -> Self {
        match latch {
            Latch::Done(name) => log::Latch::Done(name),
            Latch::TakenBack(name) => log::Latch::TakenBack(name),
            Latch::Leaving(name) => log::Latch::Leaving(name),
        }
    }
}
