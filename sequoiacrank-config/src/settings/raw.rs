//! Decoded settings before validation.

use std::net;
use std::time;

use sequoiacrank_kernel::code;

use crate::read;
use crate::tree;

/// All settings of a host.
pub struct Settings {
    host: read::Located<String>,
    zone: String,
    region: String,
    listen: read::Located<net::SocketAddr>,
    peer: read::Located<net::SocketAddr>,
    operator_token: Option<read::Located<String>>,
    platform: Platform,
    log: Log,
    bounds: Bounds,
    claims: Claims,
    grace: time::Duration,
}

struct Platform {
    log: read::Located<String>,
    hosts: read::Located<String>,
    lag: time::Duration,
    refresh: time::Duration,
}

struct Log {
    level: String,
    format: super::Format,
}

struct Bounds {
    connections: read::Located<u32>,
    requests: read::Located<u32>,
    head_bytes: read::Located<u32>,
    body_bytes: read::Located<u32>,
    idle: time::Duration,
}

struct Claims {
    shards: read::Located<u32>,
    group: time::Duration,
    window: read::Located<time::Duration>,
    retention: read::Located<time::Duration>,
}

/// Minimum length of an operator token, in bytes.
const MIN_TOKEN_BYTES: usize = 16;
/// Largest number of claim shards.
const MAX_SHARDS: u32 = 64;
/// Largest value of each of the [`Bounds`].
const MAX_BOUND: u32 = 1 << 30;

impl Settings {
    /// Validates the settings and adds problems to `sink`; the result is valid if there are none.
    pub fn check(self, sink: &mut read::Sink) -> super::Settings {
        if let Some(token) =
            self.operator_token.as_ref().filter(|token| token.value.len() < MIN_TOKEN_BYTES)
        {
            let detail =
                format!("found a shorter token; expected at least {MIN_TOKEN_BYTES} bytes");
            sink.add_at(code::Code::OutOfRange, token, detail);
        }
        if self.operator_token.is_none() && !self.listen.value.ip().is_loopback() {
            let detail = "an address other than loopback needs an \"operator_token\"".to_owned();
            sink.add_at(code::Code::MissingField, &self.listen, detail);
        }
        if self.host.value.is_empty() {
            let detail = "found an empty name; expected one such as \"entry-1\"".to_owned();
            sink.add_at(code::Code::OutOfRange, &self.host, detail);
        }
        if self.peer.value.ip().is_unspecified() {
            let detail =
                "found an unspecified address; expected one that other hosts can connect to".into();
            sink.add_at(code::Code::OutOfRange, &self.peer, detail);
        }
        super::Settings {
            host: self.host.value,
            zone: self.zone,
            region: self.region,
            listen: self.listen.value,
            peer: self.peer.value,
            operator_token: self.operator_token.map(|token| token.value),
            platform: self.platform.check(sink),
            log: super::Log { level: self.log.level, format: self.log.format },
            bounds: self.bounds.check(sink),
            claims: self.claims.check(sink),
            grace: self.grace,
        }
    }
}

impl Platform {
    fn check(self, sink: &mut read::Sink) -> super::Platform {
        for url in [&self.log, &self.hosts] {
            if !url.value.starts_with("http://") {
                let detail = format!("found {:?}; expected an http:// URL", url.value);
                sink.add_at(code::Code::OutOfRange, url, detail);
            }
        }
        super::Platform {
            log: self.log.value,
            hosts: self.hosts.value,
            lag: self.lag,
            refresh: self.refresh,
        }
    }
}

impl Bounds {
    fn check(self, sink: &mut read::Sink) -> super::Bounds {
        let mut bound = |at: &read::Located<u32>| {
            if !(1..=MAX_BOUND).contains(&at.value) {
                let detail = format!("found {}; expected 1 to {MAX_BOUND}", at.value);
                sink.add_at(code::Code::OutOfRange, at, detail);
            }
            at.value as usize
        };
        super::Bounds {
            connections: bound(&self.connections),
            requests: bound(&self.requests),
            head_bytes: bound(&self.head_bytes),
            body_bytes: bound(&self.body_bytes),
            idle: self.idle,
        }
    }
}

impl Claims {
    fn check(self, sink: &mut read::Sink) -> super::Claims {
        if !(1..=MAX_SHARDS).contains(&self.shards.value) {
            let detail = format!("found {}; expected 1 to {MAX_SHARDS}", self.shards.value);
            sink.add_at(code::Code::OutOfRange, &self.shards, detail);
        }
        if self.retention.value < 2 * self.window.value {
            let window = humantime::format_duration(self.window.value);
            let detail =
                format!("found a shorter time; expected at least twice the window of {window}");
            sink.add_at(code::Code::OutOfRange, &self.retention, detail);
        }
        super::Claims {
            shards: self.shards.value,
            group: self.group,
            window: self.window.value,
            retention: self.retention.value,
        }
    }
}

/// Gives a default value the location of the object that it belongs to.
fn located<T>(node: &tree::Node, value: T) -> read::Located<T> {
    read::Located { location: node.location.clone(), path: node.path.clone(), value }
}

const fn secs(secs: u64) -> time::Duration {
    time::Duration::from_secs(secs)
}

const fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

impl read::Decode for Settings {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let empty = tree::Node { value: tree::Value::Object(Vec::new()), ..node.clone() };
        let mut fields = read::Reader::new(node, sink)?;
        let host = fields.required("host");
        let zone = fields.required("zone");
        let region = fields.required("region");
        let listen = fields.required("listen");
        let peer = fields.required("peer");
        let operator_token = fields.optional("operator_token");
        let platform = fields.required("platform");
        let log = fields.optional("log");
        let bounds = fields.optional("bounds");
        let claims = fields.optional("claims");
        let grace = fields.with_default("grace", secs(30));
        fields.finish();
        Some(Settings {
            host: host?,
            zone: zone?,
            region: region?,
            listen: listen?,
            peer: peer?,
            operator_token: operator_token?,
            platform: platform?,
            log: log?.or_else(|| Log::decode(&empty, sink))?,
            bounds: bounds?.or_else(|| Bounds::decode(&empty, sink))?,
            claims: claims?.or_else(|| Claims::decode(&empty, sink))?,
            grace: grace?,
        })
    }
}

impl read::Decode for Platform {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let mut fields = read::Reader::new(node, sink)?;
        let log = fields.required("log");
        let hosts = fields.required("hosts");
        let lag = fields.with_default("lag", secs(5));
        let refresh = fields.with_default("refresh", secs(1));
        fields.finish();
        Some(Platform { log: log?, hosts: hosts?, lag: lag?, refresh: refresh? })
    }
}

impl read::Decode for Log {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let mut fields = read::Reader::new(node, sink)?;
        let level = fields.with_default("level", Level("info".into()));
        let format = fields.with_default("format", super::Format::Json);
        fields.finish();
        Some(Log { level: level?.0, format: format? })
    }
}

struct Level(String);

impl read::Decode for Level {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let expected = "\"error\", \"warn\", \"info\", \"debug\" or \"trace\"";
        read::parse_string(node, sink, expected, |text| match text {
            "error" | "warn" | "info" | "debug" | "trace" => Some(Level(text.to_owned())),
            _ => None,
        })
    }
}

impl read::Decode for super::Format {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        read::parse_string(node, sink, "\"text\" or \"json\"", |text| match text {
            "text" => Some(super::Format::Text),
            "json" => Some(super::Format::Json),
            _ => None,
        })
    }
}

impl read::Decode for Bounds {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let mut fields = read::Reader::new(node, sink)?;
        let connections = fields.with_default("connections", located(node, 4_096));
        let requests = fields.with_default("requests", located(node, 1_024));
        let head_bytes = fields.with_default("head_bytes", located(node, 16 << 10));
        let body_bytes = fields.with_default("body_bytes", located(node, 4 << 20));
        let idle = fields.with_default("idle", secs(10));
        fields.finish();
        Some(Bounds {
            connections: connections?,
            requests: requests?,
            head_bytes: head_bytes?,
            body_bytes: body_bytes?,
            idle: idle?,
        })
    }
}

impl read::Decode for Claims {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let mut fields = read::Reader::new(node, sink)?;
        let shards = fields.with_default("shards", located(node, 16));
        let group = fields.with_default("group", millis(100));
        let window = fields.with_default("window", located(node, secs(600)));
        let retention = fields.with_default("retention", located(node, secs(3_600)));
        fields.finish();
        Some(Claims { shards: shards?, group: group?, window: window?, retention: retention? })
    }
}
