//! A test site on loopback: stand-ins for endpoints and the platform, and hosts in this process.

use std::collections;
use std::thread;
use std::time;

use quick_error::quick_error;
use sequoiacrank_config::settings;
use sequoiacrank_standin::engine;
use sequoiacrank_standin::hosts;
use sequoiacrank_standin::log;
use sequoiacrank_standin::plain;

use crate::declarations;

/// Names of the availability zones; each has a host and endpoints of each service.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Bearer key of the only workspace.
pub const KEY: &str = "quickstart-key";
/// How long to wait for hosts to become ready.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(20);

quick_error! {
    /// Why a site did not start.
    #[derive(Debug)]
    pub enum Error {
        /// A stand-in did not start.
        Standin(err: sequoiacrank_standin::Error) {
            from()
            display("{err}")
        }
        /// A host did not start.
        Host(err: sequoiacrank_host::Error) {
            from()
            display("{err}")
        }
        /// The settings of a host are invalid.
        Settings(detail: String) {
            display("invalid settings of a host: {detail}")
        }
        /// A host did not become ready in time.
        NotReady(host: String) {
            display("host {host} did not become ready in time")
        }
    }
}

/// A stand-in for an endpoint and its declaration.
#[derive(Debug)]
pub struct Standin<T> {
    /// Declaration.
    pub declaration: declarations::Endpoint,
    /// The running stand-in.
    pub running: T,
}

/// Everything that runs on a site.
pub struct Site {
    /// Stand-in for the platform's log.
    pub log: log::Running,
    /// Stand-in for the platform's host list.
    pub host_list: hosts::Running,
    /// Encoders, rerankers and generating engines.
    pub engines: Vec<Standin<engine::Running>>,
    /// Retrievers and bid services.
    pub plain_services: Vec<Standin<plain::Running>>,
    /// Hosts, one in each availability zone.
    pub hosts: Vec<sequoiacrank_host::Running>,
    /// Current declarations.
    pub declarations: declarations::Declarations,
}

/// Concurrent calls that a cold endpoint sustains.
const COLD: u32 = 4;
/// Concurrent calls that a warm endpoint sustains.
const FULL: u32 = 32;

impl Site {
    /// Starts stand-ins and hosts; no declarations are applied yet.
    pub fn start() -> Result<Site, Error> {
        let mut site = Site::start_standins()?;
        for (i, zone) in ZONES.iter().enumerate() {
            let name = format!("entry-{}", i + 1);
            let text = site.settings(&name, zone);
            let settings = settings::parse(&name, &text).map_err(|problems| {
                let problems: Vec<String> = problems.iter().map(ToString::to_string).collect();
                Error::Settings(problems.join("; "))
            })?;
            site.hosts.push(sequoiacrank_host::start(settings)?);
        }
        Ok(site)
    }

    /// Starts only the stand-ins.
    pub fn start_standins() -> Result<Site, Error> {
        let log = log::start(log::Options::default())?;
        let host_list = hosts::start(hosts::Options::default())?;
        let mut engines = Vec::new();
        let mut plain_services = Vec::new();
        for zone in ZONES {
            for service in ["encoder", "ranker", "model"] {
                engines.push(engine(service, "v1", zone)?);
            }
            for service in ["ranker", "model"] {
                engines.push(engine(service, "v2", zone)?);
            }
            for service in ["catalogue", "desk"] {
                plain_services.push(plain(service, zone)?);
            }
        }
        let declarations = declare(&engines, &plain_services);
        Ok(Site { log, host_list, engines, plain_services, hosts: Vec::new(), declarations })
    }

    /// Settings of a host named `host` in `zone`, as JSON text.
    pub fn settings(&self, host: &str, zone: &str) -> String {
        let text = serde_json::json!({
            "host": host, "zone": zone, "region": "loopback",
            "listen": "127.0.0.1:0", "peer": "127.0.0.1:0",
            "platform": {
                "log": self.log.url(), "hosts": self.host_list.url(), "lag": "1s", "refresh": "250ms",
            },
            "claims": {"shards": 4, "group": "50ms"},
        });
        text.to_string()
    }

    /// Base URLs of all hosts.
    pub fn urls(&self) -> Vec<String> {
        self.hosts.iter().map(|host| format!("http://{}", host.address())).collect()
    }

    /// Waits until all hosts accept requests.
    pub fn wait_ready(&self) -> Result<(), Error> {
        let start = time::Instant::now();
        for host in &self.hosts {
            while !host.ready() {
                if start.elapsed() > READY_TIMEOUT {
                    return Err(Error::NotReady(host.address().to_string()));
                }
                thread::sleep(time::Duration::from_millis(20));
            }
        }
        Ok(())
    }

    /// Number of calls that the endpoints accepted by `filter` received.
    pub fn calls<F>(&self, filter: F) -> u64
    where
        F: Fn(&declarations::Endpoint) -> bool,
    {
        let engines = self.engines.iter().map(|e| (&e.declaration, e.running.stats().calls));
        let plain_services =
            self.plain_services.iter().map(|e| (&e.declaration, e.running.stats().calls));
        engines.chain(plain_services).filter(|(e, _)| filter(e)).map(|(_, calls)| calls).sum()
    }

    /// Number of calls over the capacity of their endpoint.
    pub fn overloads(&self) -> u64 {
        let engines = self.engines.iter().map(|e| e.running.stats().overloads);
        engines.chain(self.plain_services.iter().map(|e| e.running.stats().overloads)).sum()
    }

    /// Number of runs of each idempotency key, on all plain services together.
    pub fn runs(&self) -> collections::BTreeMap<String, u64> {
        let mut keys = collections::BTreeMap::new();
        for standin in &self.plain_services {
            for (key, count) in standin.running.runs().keys {
                *keys.entry(key).or_default() += count;
            }
        }
        keys
    }
}

fn endpoint(service: &str, version: &str, zone: &str) -> declarations::Endpoint {
    declarations::Endpoint {
        id: format!("{service}-{version}-{zone}"),
        service: service.into(),
        version: version.into(),
        zone: zone.into(),
        address: (std::net::Ipv4Addr::LOCALHOST, 0).into(),
    }
}

fn engine(service: &str, version: &str, zone: &str) -> Result<Standin<engine::Running>, Error> {
    let options = engine::Options {
        version: version.into(),
        cold: COLD,
        full: FULL,
        step: time::Duration::from_millis(2),
        ..Default::default()
    };
    let running = engine::start(options)?;
    let address = running.address();
    let declaration = declarations::Endpoint { address, ..endpoint(service, version, zone) };
    Ok(Standin { declaration, running })
}

fn plain(service: &str, zone: &str) -> Result<Standin<plain::Running>, Error> {
    let options = plain::Options { cold: COLD, full: FULL, ..Default::default() };
    let running = plain::start(options)?;
    let address = running.address();
    let declaration = declarations::Endpoint { address, ..endpoint(service, "v1", zone) };
    Ok(Standin { declaration, running })
}

fn declare(
    engines: &[Standin<engine::Running>],
    plain_services: &[Standin<plain::Running>],
) -> declarations::Declarations {
    let service = |id: &str, kind: &str| declarations::Service {
        id: id.into(),
        kind: kind.into(),
        cold: COLD,
        full: FULL,
    };
    let engines = engines.iter().map(|standin| standin.declaration.clone());
    let plain_services = plain_services.iter().map(|standin| standin.declaration.clone());
    declarations::Declarations {
        zones: ZONES.iter().map(|zone| zone.to_string()).collect(),
        out_zones: Vec::new(),
        key: KEY.into(),
        services: vec![
            service("encoder", "embed"),
            service("catalogue", "retrieve"),
            service("ranker", "rerank"),
            service("model", "generate"),
            service("desk", "plain"),
        ],
        endpoints: engines.chain(plain_services).collect(),
        moves: Vec::new(),
    }
}
