//! Polls the load reports and cache events of the endpoints that this host is responsible for.

use std::sync;
use std::time;

use crossbeam::channel;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::map;
use sequoiacrank_kernel::plan;
use sequoiacrank_kernel::traffic;
use serde::Deserialize;
use xxhash_rust::xxh3;

use crate::engine;
use crate::exposition;
use crate::pool;

/// Interval between polls of an endpoint.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Number of hosts that poll each endpoint.
const HOSTS_PER_ENDPOINT: usize = 2;
/// Most threads that poll.
const MAX_POLL_THREADS: usize = 8;
const STACK_BYTES: usize = 256 * 1024;
/// Timeout of a poll.
const POLL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Polls until `stop` closes.
pub fn run(engine: &sync::Arc<engine::Engine>, stop: &channel::Receiver<()>) {
    let options = pool::Options {
        name: "poll".into(),
        max_threads: MAX_POLL_THREADS,
        stack_bytes: STACK_BYTES,
    };
    let pool = pool::Pool::new(options);
    let busy = sync::Arc::new(parking_lot::Mutex::new(map::FastSet::default()));
    let last_events = sync::Arc::new(parking_lot::Mutex::new(LastEvents::default()));
    let ticks = channel::tick(POLL_INTERVAL);
    loop {
        channel::select! {
            recv(ticks) -> _ => {}
            recv(stop) -> _ => return,
        }
        for target in targets(engine) {
            if !busy.lock().insert(target.endpoint.clone()) {
                continue;
            }
            let (engine, busy) = (sync::Arc::clone(engine), sync::Arc::clone(&busy));
            let last_events = sync::Arc::clone(&last_events);
            pool.run(move || {
                poll(&engine, &target, &last_events);
                busy.lock().remove(&target.endpoint);
            });
        }
    }
}

/// An endpoint to poll.
struct Target {
    endpoint: id::EndpointId,
    base_url: String,
    has_cache: bool,
}

fn targets(engine: &engine::Engine) -> Vec<Target> {
    let plan = engine.plan();
    let hosts: Vec<id::HostId> =
        engine.peers.hosts().into_iter().filter(|host| !host.leaving).map(|host| host.id).collect();
    let own = &engine.settings.host;
    let own_endpoints = plan.endpoints.iter().filter(|(name, _)| is_responsible(own, &hosts, name));
    own_endpoints
        .map(|(name, endpoint)| Target {
            endpoint: name.clone(),
            base_url: format!("http://{}", endpoint.address),
            has_cache: plan
                .services
                .get(&endpoint.service)
                .is_some_and(|service| service.kind == plan::Kind::Generate),
        })
        .collect()
}

/// Whether `own` is among the hosts that poll an endpoint: the highest-ranked ones by rendezvous
/// hashing.
pub fn is_responsible(own: &str, hosts: &[id::HostId], endpoint: &str) -> bool {
    let rank =
        |host: &str| xxh3::xxh3_64_with_seed(host.as_bytes(), xxh3::xxh3_64(endpoint.as_bytes()));
    let own_rank = rank(own);
    hosts.iter().filter(|host| *host != own && rank(host) > own_rank).count() < HOSTS_PER_ENDPOINT
}

/// Number of the last cache event received of each endpoint, and the start time of the process that
/// numbered it.
type LastEvents = map::FastMap<id::EndpointId, (u64, id::Time)>;

fn poll(engine: &engine::Engine, target: &Target, last_events: &parking_lot::Mutex<LastEvents>) {
    let text = fetch(&format!("{}/metrics", target.base_url));
    match text {
        Ok(Some(text)) => match exposition::report(&text, engine.clock.now()) {
            Some(report) => {
                reset_if_restarted(target, report.started, last_events);
                engine.record_report(target.endpoint.clone(), Some(report));
            }
            None => log::debug!(endpoint = target.endpoint; "a load report is malformed"),
        },
        // Endpoints need not offer load reports.
        Ok(None) => {}
        Err(error) => {
            log::debug!(endpoint = target.endpoint, error:% = error; "fetching a load report failed");
            engine.record_report(target.endpoint.clone(), None);
        }
    }
    if target.has_cache {
        poll_cache(engine, target, last_events);
    }
}

/// Resets the number of the last event after a restart, since a new process counts from the start.
fn reset_if_restarted(
    target: &Target,
    started: id::Time,
    last_events: &parking_lot::Mutex<LastEvents>,
) {
    let mut last_events = last_events.lock();
    let entry = last_events.entry(target.endpoint.clone()).or_insert((0, started));
    if entry.1 != started {
        *entry = (0, started);
    }
}

fn fetch(url: &str) -> Result<Option<String>, attohttpc::Error> {
    let response = attohttpc::get(url)
        .connect_timeout(POLL_TIMEOUT)
        .read_timeout(POLL_TIMEOUT)
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .send()?;
    match response.is_success() {
        true => response.text().map(Some),
        false => Ok(None),
    }
}

/// Events of a prefix cache in the format of inference engines.
#[derive(Deserialize)]
struct Events {
    events: Vec<CacheEvent>,
}

#[derive(Deserialize)]
struct CacheEvent {
    number: u64,
    prefix: String,
}

fn poll_cache(
    engine: &engine::Engine,
    target: &Target,
    last_events: &parking_lot::Mutex<LastEvents>,
) {
    let Some((after, started)) = last_events.lock().get(&target.endpoint).copied() else {
        return;
    };
    let url = format!("{}/v1/cache/events?after={after}", target.base_url);
    let Ok(Some(text)) = fetch(&url) else { return };
    let Ok(Events { events }) = serde_json::from_str(&text) else { return };
    let Some(last) = events.iter().map(|event| event.number).max() else { return };
    last_events.lock().insert(target.endpoint.clone(), (last, started));
    let prefixes: Vec<u64> =
        events.iter().filter_map(|event| u64::from_str_radix(&event.prefix, 16).ok()).collect();
    engine.handle_traffic(traffic::Event::Cached { endpoint: target.endpoint.clone(), prefixes });
}
