//! What a host publishes about itself, which other hosts forward.

use std::net;

use sequoiacrank_kernel::edge::crash;
use sequoiacrank_kernel::edge::crash::parts;
use sequoiacrank_kernel::edge::members::statement;

/// What a host publishes about itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Statement {
    /// Address of the host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Number of the process, drawn at its start.
    #[prost(fixed64, tag = "2")]
    pub process: u64,
    /// Orders the processes of the host; a later one has a higher epoch.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// Orders the statements of the process.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// Whether the host is leaving.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Share of a core that the host may use, in thousandths.
    #[prost(uint32, tag = "6")]
    pub cpu: u32,
    /// Short ids of the processes of the neighbours from which heartbeats reach the host.
    #[prost(fixed32, repeated, tag = "7")]
    pub hears: Vec<u32>,
    /// Requests on which endpoints crashed.
    #[prost(message, repeated, tag = "8")]
    pub crashes: Vec<Crash>,
    /// Whether the host does not reach the store.
    #[prost(bool, tag = "9")]
    pub blind: bool,
    /// Parts of prompts on which endpoints crashed, or that were served.
    #[prost(message, repeated, tag = "10")]
    pub parts: Vec<Part>,
    /// Fencing token of the duties that the host holds; 0 if it holds none.
    #[prost(uint64, tag = "11")]
    pub duty: u64,
    /// Whether the host does not reach endpoints that others reach.
    #[prost(bool, tag = "12")]
    pub unlinked: bool,
}

/// A part of a prompt on which endpoints crashed, or that was served.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Part {
    /// Hash that identifies the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Hashes of the endpoint instances that crashed; none if the part was served.
    #[prost(fixed64, repeated, tag = "2")]
    pub ends: Vec<u64>,
    /// Position in the prompt.
    #[prost(uint32, tag = "3")]
    pub position: u32,
    /// Age of the last crash in minutes.
    #[prost(uint32, tag = "4")]
    pub age: u32,
}

impl From<parts::Report> for Part {
    fn from(report: parts::Report) -> Self {
        let parts::Report { part, position, instances, age } = report;
        Part { part, ends: instances, position, age }
    }
}

impl From<Part> for parts::Report {
    fn from(wire: Part) -> Self {
        let Part { part, ends, position, age } = wire;
        parts::Report { part, position, instances: ends, age }
    }
}

/// A request on which endpoints crashed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Crash {
    /// Hash that identifies the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Hashes of the endpoint instances that crashed on the host's calls.
    #[prost(fixed64, repeated, tag = "2")]
    pub ends: Vec<u64>,
}

impl From<crash::Report> for Crash {
    fn from(report: crash::Report) -> Self {
        Crash { fingerprint: report.request, ends: report.instances }
    }
}

impl From<Crash> for crash::Report {
    fn from(wire: Crash) -> Self {
        crash::Report { request: wire.fingerprint, instances: wire.ends }
    }
}

impl From<statement::Statement> for Statement {
    fn from(own: statement::Statement) -> Self {
        Statement {
            host: own.host.to_string(),
            process: own.process,
            epoch: own.epoch,
            version: own.version,
            leaving: own.leaving,
            blind: own.without_store,
            unlinked: own.without_links,
            cpu: own.cpu,
            hears: own.hears,
            crashes: own.crashes.into_iter().map(Crash::from).collect(),
            parts: own.parts.into_iter().map(Part::from).collect(),
            duty: own.duty,
        }
    }
}

impl TryFrom<Statement> for statement::Statement {
    type Error = net::AddrParseError;

    fn try_from(wire: Statement) -> Result<Self, Self::Error> {
        Ok(statement::Statement {
            host: wire.host.parse()?,
            process: wire.process,
            epoch: wire.epoch,
            version: wire.version,
            leaving: wire.leaving,
            without_store: wire.blind,
            without_links: wire.unlinked,
            cpu: wire.cpu,
            hears: wire.hears,
            crashes: wire.crashes.into_iter().map(crash::Report::from).collect(),
            parts: wire.parts.into_iter().map(parts::Report::from).collect(),
            duty: wire.duty,
        })
    }
}
