//! Settings of a host that runs as `sequoiacrank edge`.

use std::net;
use std::time;

use sequoiacrank_kernel::code;
use sequoiacrank_kernel::edge::budget;
use sequoiacrank_kernel::edge::memory;
use sequoiacrank_kernel::edge::moves;

use crate::problem;
use crate::read;
use crate::tree;

/// All settings of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address that callers connect to.
    pub listen: net::SocketAddr,
    /// Address at which the load balancer checks readiness.
    pub readiness: net::SocketAddr,
    /// Address that other hosts connect to.
    pub peer: net::SocketAddr,
    /// Address that serves metrics.
    pub metrics: net::SocketAddr,
    /// Addresses of a few other hosts to contact first; some may be outdated.
    pub seeds: Vec<net::SocketAddr>,
    /// Address of the platform's store.
    pub store: net::SocketAddr,
    /// Address from which the host connects to endpoints; if not set, the system chooses it.
    pub source: Option<net::IpAddr>,
    /// Share of a core that the process may use, in thousandths.
    pub cpu_share: u32,
    /// Time from SIGTERM to SIGKILL.
    pub grace: time::Duration,
    /// Bound on requests that are sent again, over all hosts.
    pub retries: budget::Bound,
    /// Bound on requests to a cold endpoint, over all hosts.
    pub cold: ColdBound,
    /// Bound on requests to a version that a move has not yet proven, over all hosts.
    pub moves: moves::Bound,
    /// Calls to the platform that one host makes for all; `None` if the platform has no such calls.
    pub platform_api: Option<PlatformApi>,
    /// Memory of the machine in megabytes, if known.
    pub memory: Option<u32>,
    /// Number of file descriptors that the process may have open, if known.
    pub descriptors: Option<u32>,
    /// Which lines are logged.
    pub log: Log,
}

/// Calls to the platform's API that one host makes for all hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformApi {
    /// Address of the API.
    pub address: net::SocketAddr,
    /// Names of the duties that the deployment asks for.
    pub duties: Vec<String>,
    /// Calls per second that the API accepts from all hosts together.
    pub rate: f64,
    /// Whether the API rejects calls with an outdated fencing token.
    pub fenced: bool,
    /// Time for which a host holds the duties without renewing its lease.
    pub lease: time::Duration,
    /// Length of a usage window; zero if usage is not reported.
    pub window: time::Duration,
    /// Time after the end of a usage window within which its report is due.
    pub late: time::Duration,
    /// Number of availability zones that may be lost at the same time.
    pub zones_lost: u32,
}

/// Which lines are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// Least severe level that is logged.
    pub level: log::LevelFilter,
    /// Limit of lines per second, warnings and errors excepted. Dropped lines are counted.
    pub lines: u32,
}

/// Bound on requests per second to a cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Multiple of the rate, in requests per second, that the endpoint sustains.
    pub overshoot: f64,
    /// Requests per second allowed in addition.
    pub slack: f64,
}

/// A decimal number of seconds or milliseconds, such as "6.7s" or "250ms".
struct DecimalTime(time::Duration);

impl read::Decode for DecimalTime {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        read::parse_string(node, sink, "a time such as \"250ms\" or \"6.7s\"", |text| {
            let (number, unit) = match text.strip_suffix("ms") {
                Some(number) => (number, 0.001),
                None => (text.strip_suffix('s')?, 1.0),
            };
            let seconds = number.trim().parse::<f64>().ok()? * unit;
            time::Duration::try_from_secs_f64(seconds).ok().map(DecimalTime)
        })
    }
}

impl read::Decode for budget::Bound {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let mut fields = read::Reader::new(node, sink)?;
        // For platforms that set no bound; as strict as the bounds that other platforms set.
        let ratio = fields.with_default("ratio", 0.2);
        let slack = fields.with_default("slack", 20.0);
        let span = fields.with_default("span", DecimalTime(time::Duration::from_secs(10)));
        fields.finish();
        Some(budget::Bound { ratio: ratio?, slack: slack?, span: span?.0 })
    }
}

impl read::Decode for ColdBound {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let mut fields = read::Reader::new(node, sink)?;
        let overshoot = fields.with_default("overshoot", 1.0);
        let slack = fields.with_default("slack", 0.0);
        fields.finish();
        Some(ColdBound { overshoot: overshoot?, slack: slack? })
    }
}

/// Bound on requests to an unproven version for platforms that set none; as strict as the bounds
/// that other platforms set.
const DEFAULT_MOVE_BOUND: moves::Bound = moves::Bound { share: 0.1, slack: 20.0 };

impl read::Decode for moves::Bound {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let mut fields = read::Reader::new(node, sink)?;
        let share = fields.with_default("share", DEFAULT_MOVE_BOUND.share);
        let slack = fields.with_default("slack", DEFAULT_MOVE_BOUND.slack);
        fields.finish();
        Some(moves::Bound { share: share?, slack: slack? })
    }
}

/// A log level, decoded from its name.
struct Level(log::LevelFilter);

impl read::Decode for Level {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let names = "\"off\", \"error\", \"warn\", \"info\" or \"debug\"";
        read::parse_string(node, sink, names, |text| text.parse().ok().map(Level))
    }
}

impl Default for Log {
    /// Allows several lines for each request of a host under its highest load.
    fn default() -> Self {
        Log { level: log::LevelFilter::Info, lines: 2000 }
    }
}

impl read::Decode for Log {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let mut fields = read::Reader::new(node, sink)?;
        let default = Log::default();
        let level = fields.with_default("level", Level(default.level));
        let lines = fields.with_default("lines", default.lines);
        fields.finish();
        Some(Log { level: level?.0, lines: lines? })
    }
}

/// Name of the duty that reports usage.
pub const USAGE_DUTY: &str = "usage_report";
/// Name of the duty that sets the number of endpoints.
pub const SCALING_DUTY: &str = "autoscale";

impl read::Decode for PlatformApi {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let zero = || DecimalTime(time::Duration::ZERO);
        let mut fields = read::Reader::new(node, sink)?;
        let address = fields.required("address");
        let duties = fields.required::<Vec<String>>("duties");
        let rate = fields.required::<f64>("rate");
        let fenced = fields.with_default("fenced", false);
        let lease = fields.required::<DecimalTime>("lease");
        let window = fields.with_default("window", zero());
        let late = fields.with_default("late", zero());
        let zones_lost = fields.with_default("zones_lost", 0);
        fields.finish();
        let api = PlatformApi {
            address: address?,
            duties: duties?,
            rate: rate?,
            fenced: fenced?,
            lease: lease?.0,
            window: window?.0,
            late: late?.0,
            zones_lost: zones_lost?,
        };
        match api.contradiction() {
            Some(detail) => {
                sink.add(code::Code::OutOfRange, &node.location, &node.path, detail);
                None
            }
            None => Some(api),
        }
    }
}

impl PlatformApi {
    /// Whether the deployment asks for a duty.
    pub fn has_duty(&self, name: &str) -> bool {
        self.duties.iter().any(|it| it == name)
    }

    /// Describes the first pair of settings that contradict each other.
    fn contradiction(&self) -> Option<String> {
        let reports = self.has_duty(USAGE_DUTY);
        match () {
            () if self.lease.is_zero() => Some("`lease` is zero, so no duty can be held".into()),
            () if self.rate <= 0.0 && !self.duties.is_empty() => {
                Some("`rate` is not above zero although `duties` names some".into())
            }
            () if reports && self.window.is_zero() => {
                Some(format!("`duties` names {USAGE_DUTY:?} but `window` is zero"))
            }
            () if reports && self.late.is_zero() => {
                Some(format!("`duties` names {USAGE_DUTY:?} but `late` is zero"))
            }
            () if reports && self.lease > self.late / 2 => {
                Some("`lease` is over half of `late`, so a takeover would end too late".into())
            }
            () => None,
        }
    }
}

/// Descriptors that are left to listeners, endpoints, the store and other hosts in any case.
const OTHER_DESCRIPTORS: u32 = 200;
/// Fewest connections of callers with which a host works.
pub const MIN_CALLERS: u32 = 16;
/// Smallest memory of a machine in megabytes. A process takes about 8 MB at rest, and a quarter of
/// the memory has to hold an answer of several megabytes.
const MIN_MEMORY: u32 = 32;

/// Maximum number of connections of callers for a number of file descriptors.
pub fn caller_connections(descriptors: u32) -> u32 {
    descriptors.saturating_sub(OTHER_DESCRIPTORS) / 2
}

/// Describes why a host cannot work with these settings `memory` and `descriptors`.
fn resource_problem(memory: Option<u32>, descriptors: Option<u32>) -> Option<String> {
    let by_descriptors = descriptors.map_or(u32::MAX, caller_connections);
    let budget = memory::Account::new(memory::budget(memory));
    let connections = budget.max_connections().min(by_descriptors as usize);
    let text = |value: Option<u32>| value.map_or("not set".to_owned(), |value| value.to_string());
    let both = format!("`memory` ({}) and `descriptors` ({})", text(memory), text(descriptors));
    match () {
        () if memory.is_some_and(|memory| memory < MIN_MEMORY) => {
            Some(format!("{both}: `memory` has to be at least {MIN_MEMORY} megabytes"))
        }
        () if connections < MIN_CALLERS as usize => Some(format!(
            "{both} leave {connections} connections to callers, fewer than {MIN_CALLERS}; \
             {OTHER_DESCRIPTORS} descriptors and half of the others are for endpoints and hosts"
        )),
        () => None,
    }
}

impl read::Decode for Settings {
    fn decode(node: &tree::Node, sink: &mut read::Sink) -> Option<Self> {
        let mut fields = read::Reader::new(node, sink)?;
        let host = fields.required("host");
        let zone = fields.required("zone");
        let listen = fields.required("listen");
        let readiness = fields.required("readiness");
        let peer = fields.required("peer");
        let metrics = fields.required("metrics");
        let seeds = fields.with_default("seeds", Vec::new());
        let store = fields.required("store");
        let source = fields.optional("source");
        let cpu_share = fields.with_default("cpu_share", 1.0);
        let grace = fields.required::<DecimalTime>("grace");
        let retries = fields.required("retries");
        let cold = fields.required("cold");
        let moves = fields.with_default("moves", DEFAULT_MOVE_BOUND);
        let platform_api = fields.optional("platform_api");
        let memory = fields.optional("memory");
        let descriptors = fields.optional("descriptors");
        let log = fields.with_default("log", Log::default());
        fields.finish();
        if let Some(detail) = memory
            .zip(descriptors)
            .and_then(|(memory, descriptors)| resource_problem(memory, descriptors))
        {
            sink.add(code::Code::OutOfRange, &node.location, &node.path, detail);
            return None;
        }
        Some(Settings {
            host: host?,
            zone: zone?,
            listen: listen?,
            readiness: readiness?,
            peer: peer?,
            metrics: metrics?,
            seeds: seeds?,
            store: store?,
            source: source?,
            cpu_share: (cpu_share? * 1000.0) as u32,
            grace: grace?.0,
            retries: retries?,
            cold: cold?,
            moves: moves?,
            platform_api: platform_api?,
            memory: memory?,
            descriptors: descriptors?,
            log: log?,
        })
    }
}

/// Decodes settings that were read from `file`; returns all problems on failure.
pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<problem::Problem>> {
    let node = tree::parse(file, text).map_err(|problem| vec![problem])?;
    let mut sink = read::Sink::default();
    let settings = <Settings as read::Decode>::decode(&node, &mut sink);
    sink.finish(settings)
}
