//! One host: its state and its tasks.

use std::cell;
use std::net;
use std::rc;
use std::time;

use sequoiacrank_adapter::store as topics;
use sequoiacrank_config::edge;
use sequoiacrank_kernel::edge::budget;
use sequoiacrank_kernel::edge::catalog;
use sequoiacrank_kernel::edge::members;
use sequoiacrank_kernel::edge::members::statement;
use sequoiacrank_kernel::edge::moves;
use sequoiacrank_kernel::edge::pace;
use sequoiacrank_kernel::edge::records;
use sequoiacrank_kernel::edge::records::order;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::map;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task;

use crate::Error;
use crate::batcher;
use crate::client;
use crate::clock;
use crate::dial;
use crate::duties;
use crate::facts;
use crate::front;
use crate::memory;
use crate::metrics;
use crate::notices;
use crate::peer;
use crate::peer::wire;
use crate::stages;
use crate::stop;
use crate::store;

pub use crate::clock::millis;

/// Time between two reads of the settings, which may change without a signal.
const RELOAD_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Maximum number of requests per second from one host to one warm endpoint. If each of many hosts
/// kept to its share of the rate for a cold endpoint, a session with two requests within a second
/// would be sent to another endpoint.
const MAX_WARM_RATE: f64 = 4.0;
/// Reason in the logs for a periodic read of the settings, which is logged only if they changed.
const PERIODIC: &str = "time";
/// Minimum time between two reads of the store by one reader that are forwarded to other hosts.
const MIN_RELAY_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time between two checks for entries that have expired.
const HOUSEKEEPING_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Reads the settings again; `None` if they cannot be read or are not valid.
pub type SettingsSource = Box<dyn Fn() -> Option<edge::Settings>>;

/// Settings that a reload changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Reloadable {
    /// Addresses of a few other hosts, through which this one finds the rest.
    pub seeds: Vec<net::SocketAddr>,
    /// Bound on requests that are sent again, over all hosts.
    pub retries: budget::Bound,
    /// Bound on requests to a cold endpoint, over all hosts.
    pub cold: edge::ColdBound,
    /// Bound on requests to a version on trial, over all hosts.
    pub moves: moves::Bound,
    /// Time from SIGTERM to SIGKILL.
    pub grace: time::Duration,
}

impl From<&edge::Settings> for Reloadable {
    fn from(settings: &edge::Settings) -> Self {
        Reloadable {
            seeds: settings.seeds.clone(),
            retries: settings.retries,
            cold: settings.cold,
            moves: settings.moves,
            grace: settings.grace,
        }
    }
}

/// The state of a host.
pub struct Host {
    /// Random number that identifies this process to other hosts.
    pub process: id::Incarnation,
    /// Settings as of the start. Their addresses and names stay in force until the process ends.
    pub settings: edge::Settings,
    /// Settings that a reload changes.
    pub reloadable: cell::RefCell<Reloadable>,
    source: SettingsSource,
    /// Clock of the process.
    pub clock: clock::Clock,
    /// Memory that connections hold.
    pub memory: rc::Rc<memory::Memory>,
    /// Connections to endpoints and to the store.
    pub pool: client::Pool,
    /// What this host knows from the store.
    pub facts: cell::RefCell<facts::Facts>,
    /// Limits on callers of the newest configuration.
    pub limits: watch::Sender<catalog::Limits>,
    /// Jobs of stage work that this host forms into calls.
    pub batcher: batcher::Batcher,
    /// Jobs of stage work that this host submitted to others.
    pub pending_jobs: stages::PendingJobs,
    /// Grants of requests to endpoints with a rate limit.
    pub grants: notices::Grants,
    /// Membership and connections to other hosts.
    pub peers: peer::Peers,
    /// Duties that one host performs for all.
    pub duties: duties::Duties,
    /// Metrics of this host.
    pub metrics: metrics::Metrics,
    /// State of a planned stop.
    pub stop: stop::Stop,
    /// Whether this host does not reach the store.
    pub without_store: cell::Cell<bool>,
    /// When the records that were forwarded last were read from the store, by reader.
    relayed_at: cell::RefCell<map::FastMap<net::SocketAddr, id::Time>>,
    /// Expected time of requests after their stages, by route.
    pub request_times: cell::RefCell<map::FastMap<id::RouteId, time::Duration>>,
}

impl Host {
    fn new(settings: edge::Settings, source: SettingsSource) -> Self {
        let clock = clock::Clock::new();
        let process = rand::random();
        let memory = memory::Memory::new(clock, &settings);
        let dialer = dial::Dialer::new(clock, settings.source, (settings.peer, process));
        let own = statement::Statement::first(
            settings.peer,
            process,
            clock::unix_millis(),
            settings.cpu_share,
        );
        Host {
            clock,
            process,
            pool: client::Pool::new(clock, memory.clone(), rc::Rc::new(dialer)),
            memory,
            facts: cell::RefCell::new(facts::Facts::with_seed(rand::random())),
            limits: watch::Sender::new(front::DEFAULT_LIMITS),
            batcher: batcher::Batcher::default(),
            pending_jobs: stages::PendingJobs::default(),
            grants: notices::Grants::default(),
            peers: peer::Peers::new(own),
            duties: duties::Duties::new(&settings, process),
            metrics: metrics::Metrics::new(),
            stop: stop::Stop::default(),
            without_store: cell::Cell::new(false),
            relayed_at: cell::RefCell::default(),
            request_times: cell::RefCell::default(),
            reloadable: cell::RefCell::new(Reloadable::from(&settings)),
            source,
            settings,
        }
    }

    /// Reads the settings again and applies those that a reload changes; `why` is logged.
    pub fn reload(&self, why: &str) {
        let Some(settings) = (self.source)() else {
            log::error!(target: "process", why; "settings cannot be read, the old ones hold");
            return;
        };
        let next = Reloadable::from(&settings);
        let changed = *self.reloadable.borrow() != next;
        if changed || why != PERIODIC {
            log::info!(target: "process", why, changed; "settings read");
        }
        *self.reloadable.borrow_mut() = next;
    }

    /// Applies records of the store.
    pub fn apply_records(self: &rc::Rc<Self>, topic: topics::Topic, update: facts::Update) {
        let now = self.clock.now();
        let end = self.facts.borrow().records(topic).end();
        let changed = self.facts.borrow_mut().apply_records(now, topic, update);
        if changed {
            front::update_limits(self);
            self.batcher.update(self);
        }
        let is_operators = topic == topics::Topic::Operators;
        if is_operators && self.facts.borrow().records(topic).end() > end {
            // Hosts that do not reach the store learn of the new records from heartbeats, over
            // several hops.
            self.peers.send_heartbeats(self);
        }
    }

    /// The part of a heartbeat that is the same for all neighbours.
    pub fn heartbeat(&self) -> wire::Pulse {
        let facts = self.facts.borrow();
        let operators = facts.records(topics::Topic::Operators);
        let endpoints = facts.records(topics::Topic::Endpoints);
        let age = endpoints.current_at().map(|at| self.clock.now().saturating_sub(at));
        wire::Pulse {
            operators: operators.end().offset,
            operators_era: operators.end().era,
            operators_digest: Some(operators.digest()),
            endpoints: endpoints.end().offset,
            endpoints_era: endpoints.end().era,
            endpoints_digest: Some(endpoints.digest()),
            fresh: age.map(millis),
            moves: self.move_phases(),
            ..wire::Pulse::default()
        }
    }

    /// Handles the message `Pulse`, the heartbeat of another host.
    pub fn receive_heartbeat(self: &rc::Rc<Self>, sender: peer::Sender, heartbeat: &wire::Pulse) {
        let from = sender.address;
        self.peers.record_heartbeat(self, from, members::heartbeat::Header::from(heartbeat));
        self.receive_digests(sender, &heartbeat.moves);
        let operators = order::Position::new(heartbeat.operators_era, heartbeat.operators);
        let endpoints = order::Position::new(heartbeat.endpoints_era, heartbeat.endpoints);
        if let Some(age) = heartbeat.fresh {
            let now = self.clock.now();
            let at = now.saturating_sub(time::Duration::from_millis(age));
            self.facts.borrow_mut().confirm_current(now, endpoints, at);
        }
        // This host follows both topics in the store as well. If another host has newer records,
        // the store cannot be reached from here or answers late.
        self.request_records(from, topics::Topic::Operators, operators, heartbeat.operators_digest);
        self.request_records(from, topics::Topic::Endpoints, endpoints, heartbeat.endpoints_digest);
    }

    /// Requests records up to `end` from another host, if they are missing and were not requested
    /// just now, or if the digests show that this host has others.
    fn request_records(
        self: &rc::Rc<Self>,
        from: net::SocketAddr,
        topic: topics::Topic,
        end: order::Position,
        digest: Option<u64>,
    ) {
        let now = self.clock.now();
        let request = self.facts.borrow_mut().records_mut(topic).request(now, end, digest);
        let first = match request {
            None => return,
            Some(records::Request::From(first)) => first,
            Some(records::Request::Compare) => {
                let (other, topic_name) = (from.to_string(), format!("{topic:?}"));
                log::info!(target: "store", other = other.as_str(), topic = topic_name.as_str(); "records differ");
                task::spawn_local(store::reload(self.clone(), topic));
                order::Position::START
            }
        };
        let fetch = wire::records::Fetch::new(topic, first);
        self.peers.send(self, from, wire::Body::Fetch(fetch));
    }

    /// Handles the message `Fetch`: sends records to another host.
    pub fn receive_fetch(&self, to: net::SocketAddr, fetch: &wire::records::Fetch) {
        let topic = wire::records::topic(fetch.endpoints);
        let (facts, now) = (self.facts.borrow(), self.clock.now());
        let records = wire::records::Records::since(&facts, now, topic, fetch.from());
        self.peers.send(self, to, wire::Body::Records(records));
    }

    /// Announces changes in the endpoints' records that this host just read, if it is a `reader`.
    /// In an outage all hosts read the records themselves, and all would announce the same.
    pub fn announce_records(&self, reader: bool) {
        let changes = {
            let mut facts = self.facts.borrow_mut();
            let end = facts.records(topics::Topic::Endpoints).end();
            let from = std::mem::replace(&mut facts.announced, end);
            if !reader {
                return;
            }
            let root = self.settings.peer.to_string();
            wire::records::Records::announcement(&facts, from, root)
        };
        self.relay(self.settings.peer, &changes);
    }

    /// Sends records that the reader `root` announces to this host's children in the broadcast tree
    /// of `root`.
    fn relay(&self, root: net::SocketAddr, records: &wire::records::Records) {
        for other in self.peers.members().children(root) {
            self.metrics.records_told.inc_by(records.records.len() as u64);
            self.peers.send(self, other, wire::Body::Records(records.clone()));
        }
    }

    /// Forwards records that a reader announces, unless they were read less than
    /// [`MIN_RELAY_INTERVAL`] after the last ones that were forwarded. Hosts that disagree about
    /// which hosts are reachable may otherwise forward the same records in a circle.
    fn forward(&self, records: &wire::records::Records) {
        let Some(root) = records.root.as_ref().and_then(|root| root.parse().ok()) else { return };
        let at = self.clock.now().saturating_sub(time::Duration::from_millis(records.age));
        let mut relayed_at = self.relayed_at.borrow_mut();
        let last = relayed_at.entry(root).or_insert(id::Time::ZERO);
        if at < *last + MIN_RELAY_INTERVAL {
            return;
        }
        *last = at;
        drop(relayed_at);
        self.relay(root, records);
    }

    /// Handles the message `Records`: applies records of another host, and forwards those of a
    /// reader.
    pub fn receive_records(
        self: &rc::Rc<Self>,
        from: net::SocketAddr,
        records: wire::records::Records,
    ) {
        let topic = wire::records::topic(records.endpoints);
        self.forward(&records);
        if records.leaves_gap(self.facts.borrow().records(topic).end()) {
            return self.request_records(from, topic, records.end(), None);
        }
        self.apply_records(topic, records.into_update(self.clock.now()));
    }

    /// Requests per second that this host may send to an endpoint of a service; `None` if there is
    /// no bound.
    pub fn rate(&self, cold_rate: f64) -> Option<pace::Rate> {
        let cold = self.reloadable.borrow().cold;
        let (now, members) = (self.clock.now(), self.peers.members());
        let bound = cold_rate * cold.overshoot + cold.slack;
        (cold_rate > 0.0).then(|| pace::Rate {
            cold: bound / members.sharing_hosts(now) as f64,
            defer_cold: members.share(now, pace::SPAN).earned < 1.0,
            warm: MAX_WARM_RATE,
        })
    }
}

/// Listens on an address; `what` names it in the error.
async fn listen(what: &'static str, address: net::SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|err| Error::Io(what, err))
}

/// Runs a host until it has stopped.
///
/// # Errors
///
/// When an address cannot be listened on or signals cannot be received.
pub async fn run(settings: edge::Settings, source: SettingsSource) -> Result<(), Error> {
    let callers = listen("address for callers", settings.listen).await?;
    let readiness = listen("address for readiness", settings.readiness).await?;
    let hosts = listen("address for hosts", settings.peer).await?;
    let metrics = listen("address for metrics", settings.metrics).await?;
    let host = rc::Rc::new(Host::new(settings, source));
    let zone = host.settings.zone.as_str();
    log::info!(target: "process", zone, version = env!("CARGO_PKG_VERSION"); "started");
    task::spawn_local(dial::probe(host.pool.dialer.clone()));
    task::spawn_local(front::callers(host.clone(), callers));
    task::spawn_local(front::readiness(host.clone(), readiness));
    task::spawn_local(front::metrics(host.clone(), metrics));
    task::spawn_local(peer::listen(host.clone(), hosts));
    task::spawn_local(store::follow(host.clone(), topics::Topic::Operators));
    task::spawn_local(store::follow(host.clone(), topics::Topic::Endpoints));
    task::spawn_local(store::discover_hosts(host.clone()));
    task::spawn_local(heartbeats(host.clone()));
    task::spawn_local(crate::moves::follow(host.clone()));
    task::spawn_local(duties::follow(host.clone()));
    task::spawn_local(batcher::poll_schedulers(host.clone()));
    task::spawn_local(housekeeping(host.clone()));
    task::spawn_local(memory::pressure::follow(host.memory.clone()));
    stop::wait(&host).await.map_err(|err| Error::Io("signals", err))?;
    log::info!(target: "process", "stopped");
    Ok(())
}

/// Sends heartbeats and reports on moves, and abandons the runs of hosts that have ended, for as
/// long as the host runs.
async fn heartbeats(host: rc::Rc<Host>) {
    loop {
        let seeds = host.reloadable.borrow().seeds.clone();
        for seed in seeds {
            host.peers.add(&host, seed);
        }
        host.peers.send_heartbeats(&host);
        host.send_digests();
        host.batcher.abandon_ended(&host);
        let interval = host.peers.members().heartbeat_interval(host.clock.now());
        tokio::time::sleep(interval).await;
    }
}

/// Reloads settings and removes expired entries, for as long as the host runs.
async fn housekeeping(host: rc::Rc<Host>) {
    let mut reloaded = host.clock.now();
    loop {
        tokio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        if host.clock.now() > reloaded + RELOAD_INTERVAL {
            reloaded = host.clock.now();
            host.reload(PERIODIC);
        }
        host.pool.close_expired();
        host.facts.borrow_mut().fleet.notices.expire(host.clock.now());
        host.grants.expire(host.clock.now());
        let removed = host.facts.borrow_mut().expire();
        if removed {
            host.batcher.update(&host);
        }
    }
}
