//! What a host knows from the store, read by itself or received from other hosts.

use std::sync;
use std::time;

use bytes::Bytes;
use sequoiacrank_adapter::operator;
use sequoiacrank_adapter::registration;
use sequoiacrank_adapter::store;
use sequoiacrank_adapter::values;
use sequoiacrank_kernel::edge::budget;
use sequoiacrank_kernel::edge::catalog;
use sequoiacrank_kernel::edge::crash;
use sequoiacrank_kernel::edge::endpoint;
use sequoiacrank_kernel::edge::fleet;
use sequoiacrank_kernel::edge::moves;
use sequoiacrank_kernel::edge::records;
use sequoiacrank_kernel::edge::records::order;
use sequoiacrank_kernel::edge::session;
use sequoiacrank_kernel::edge::stage::shard;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::map;

/// Age of the endpoints' records from which on the store counts as having had an outage. Entries
/// that are missing afterwards may have lapsed only because they could not be renewed during it.
const OUTAGE_AGE: time::Duration = time::Duration::from_millis(1500);
/// Time after an outage within which live endpoints renew their entries. What operators wrote and a
/// restored store has lost is written again within it as well.
const RENEWAL_TIME: time::Duration = time::Duration::from_secs(2);

/// Records of the topics that hosts follow.
struct Topics {
    operators: records::Records<Bytes>,
    endpoints: records::Records<Bytes>,
}

impl Default for Topics {
    fn default() -> Self {
        Topics {
            operators: records::Records::new(&values::Operators, Some(RENEWAL_TIME)),
            endpoints: records::Records::new(&values::Endpoints, None),
        }
    }
}

/// A list of records from the store or from another host.
pub struct Update {
    /// The records.
    pub records: Vec<store::Record>,
    /// Position up to which the list reaches.
    pub end: order::Position,
    /// What it covers.
    pub scope: records::Scope,
    /// Time as of which these were the newest records in the store.
    pub at: id::Time,
}

/// The newest records of the store and the state that is derived from them.
#[derive(Default)]
pub struct Facts {
    /// Configuration in force.
    pub catalog: Option<sync::Arc<catalog::Catalog>>,
    /// Endpoints to which requests may go.
    pub fleet: fleet::Fleet,
    /// Budgets for repeats, by service.
    pub budgets: map::FastMap<id::ServiceId, budget::Budget>,
    /// Requests on which endpoints crashed.
    pub crashes: crash::Crashes,
    /// Moves of services to new versions.
    pub moves: moves::Moves,
    /// Which part of a prompt identifies the session of a request.
    pub sessions: session::Sessions,
    /// Batchers that form the calls of stage work.
    pub shards: shard::Shards,
    /// Position of the endpoints' records up to which changes were announced to other hosts.
    pub announced: order::Position,
    /// Position of the last record that changed an endpoint, by endpoint. Records that only renew an
    /// entry do not count.
    change_positions: map::FastMap<id::EndpointId, order::Position>,
    topics: Topics,
    /// Endpoints whose entry lapsed during an outage, with the time at which they are removed.
    lapsed: map::FastMap<id::EndpointId, id::Time>,
    /// When the last outage ended.
    outage_end: Option<id::Time>,
}

impl Facts {
    /// Creates the state of a host that knows nothing; `seed` is drawn evenly from all values.
    pub fn with_seed(seed: u64) -> Self {
        Facts { fleet: fleet::Fleet::with_seed(seed), ..Facts::default() }
    }

    /// Records of a topic.
    pub fn records(&self, topic: store::Topic) -> &records::Records<Bytes> {
        match topic {
            store::Topic::Operators => &self.topics.operators,
            _ => &self.topics.endpoints,
        }
    }

    /// Records of a topic, for recording what is requested from other hosts.
    pub fn records_mut(&mut self, topic: store::Topic) -> &mut records::Records<Bytes> {
        match topic {
            store::Topic::Operators => &mut self.topics.operators,
            _ => &mut self.topics.endpoints,
        }
    }

    /// Applies records of a topic. Returns whether the configuration or the endpoints that may be
    /// used may have changed.
    pub fn apply_records(&mut self, now: id::Time, topic: store::Topic, update: Update) -> bool {
        let Update { records: list, end, scope, at } = update;
        let known = self.records(topic).current_at().is_some();
        let is_restored = known && end.era > self.records(topic).end().era;
        match topic {
            store::Topic::Endpoints if is_restored => self.outage_end = Some(now),
            store::Topic::Endpoints => self.detect_outage(now, at),
            _ if is_restored => self.moves.forget_stored(),
            _ => {}
        }
        if is_restored {
            let known = self.records(topic).end().to_string();
            let (topic, position) = (format!("{topic:?}"), end.to_string());
            log::info!(target: "store", topic = topic.as_str(), position = position.as_str(), known = known.as_str(); "restored");
        }
        let changed = self.records_mut(topic).apply(now, list, end, at, scope);
        let has_changes = match topic {
            store::Topic::Operators => self.apply_operators(now, &changed, known),
            _ => self.apply_endpoints(now, &changed),
        };
        if has_changes {
            self.reshard();
        }
        has_changes
    }

    /// Records that the endpoints' records up to `end` were the newest ones at the time `at`.
    pub fn confirm_current(&mut self, now: id::Time, end: order::Position, at: id::Time) {
        let known = &self.topics.endpoints;
        if known.current_at().is_some_and(|current| at > current) && end <= known.end() {
            self.detect_outage(now, at);
            self.topics.endpoints.confirm_current(at);
        }
    }

    /// Detects the end of an outage when records as of the time `at` arrive.
    fn detect_outage(&mut self, now: id::Time, at: id::Time) {
        let current_at = self.topics.endpoints.current_at();
        if current_at.is_some_and(|current| at > current + OUTAGE_AGE) {
            self.outage_end = Some(now);
        }
    }

    /// Assigns the endpoints to which stage work may go to batchers again, after a change of the
    /// configuration, the endpoints or the moves.
    pub fn reshard(&mut self) {
        if let Some(catalog) = self.catalog.clone() {
            let shards = shard::Shards::new(&catalog, self.stage_endpoints());
            self.shards = shards;
        }
    }

    /// Applies changed records of the operators; `known` if the topic was read before. Returns
    /// whether there are any.
    fn apply_operators(&mut self, now: id::Time, changed: &[String], known: bool) -> bool {
        let mut zones_changed = false;
        let mut moves_changed = false;
        for key in changed {
            match operator::Key::parse(key) {
                operator::Key::Configuration => self.update_catalog(),
                operator::Key::ZoneOut(_) => zones_changed = true,
                operator::Key::Move(_) => moves_changed = true,
                operator::Key::Other => {}
            }
        }
        if moves_changed {
            self.update_orders(now, known);
        }
        if zones_changed {
            let out: map::FastSet<id::ZoneId> = self.out_zones().collect();
            let names = out.iter().cloned().collect::<Vec<_>>().join(",");
            log::info!(target: "operators", zones = names.as_str(), position = self.topics.operators.end().to_string().as_str(); "zones out of service");
            self.fleet.set_out_zones(now, out);
        }
        !changed.is_empty()
    }

    /// The availability zones that operators have taken out of service.
    pub fn out_zones(&self) -> impl Iterator<Item = id::ZoneId> {
        self.topics.operators.iter().filter_map(|(key, _)| match operator::Key::parse(key) {
            operator::Key::ZoneOut(zone) => Some(zone),
            _ => None,
        })
    }

    /// Applies the operators' orders to move services to new versions.
    fn update_orders(&mut self, now: id::Time, known: bool) {
        let mut orders = map::FastMap::default();
        for (key, value) in self.topics.operators.iter() {
            let operator::Key::Move(service) = operator::Key::parse(key) else { continue };
            let position = self.topics.operators.position(key).unwrap_or_default();
            match operator::decode_order(value, position) {
                Ok(order) => drop(orders.insert(service, order)),
                Err(err) => {
                    let (position, err) = (position.to_string(), err.to_string());
                    log::error!(target: "operators", key = key.as_str(), position = position.as_str(), err = err.as_str(); "move order cannot be decoded");
                }
            }
        }
        self.moves.set_orders(now, orders, known);
    }

    /// Applies the operators' configuration, unless it is older than the one in force.
    fn update_catalog(&mut self) {
        let Some(value) = self.topics.operators.get("config") else { return };
        let version = self.catalog.as_ref().map_or(0, |catalog| catalog.version);
        match operator::decode_configuration(value) {
            Ok(catalog) if catalog.version >= version => {
                let version = catalog.version;
                let (position, bytes) = (self.topics.operators.end().to_string(), value.len());
                log::info!(target: "operators", version, position = position.as_str(), bytes; "configuration in force");
                self.catalog = Some(sync::Arc::new(catalog));
            }
            Ok(catalog) => {
                log::info!(target: "operators", version = catalog.version, now = version; "older configuration ignored");
            }
            Err(err) => {
                log::error!(target: "operators", err = err.to_string().as_str(); "configuration cannot be decoded");
            }
        }
    }

    /// Applies changed records of endpoints. Returns whether the endpoints that may be used have
    /// changed.
    fn apply_endpoints(&mut self, now: id::Time, changed: &[String]) -> bool {
        let mut has_changes = false;
        for id in changed {
            let position = self.topics.endpoints.position(id).unwrap_or_default();
            let entry = self.topics.endpoints.get(id).map(|value| registration::decode(id, value));
            match entry {
                Some(Some(entry)) => {
                    // Other hosts have marked it as lapsed as well.
                    let renewed = self.lapsed.remove(id).is_some();
                    let same = self.fleet.get(id).is_some_and(|it| it.is_equivalent(&entry));
                    let leaving = entry.leaving;
                    let service = entry.service.clone();
                    let started = self.fleet.register(now, entry);
                    if started {
                        self.crashes.record_down(now, id);
                    }
                    if !same || renewed {
                        self.change_positions.insert(id.clone(), position);
                    }
                    if !same {
                        has_changes = true;
                        let position = position.to_string();
                        log::info!(target: "endpoints", endpoint = id.as_str(), service = service.as_str(), started, leaving, position = position.as_str(); "registered");
                    }
                }
                Some(None) => has_changes |= self.reject_entry(id, position),
                None => {
                    self.change_positions.insert(id.clone(), position);
                    has_changes |= self.remove_endpoint(now, id);
                }
            }
        }
        has_changes
    }

    /// Removes the endpoint of an entry that is malformed, as an entry of another writer may be.
    /// Returns whether it was known.
    fn reject_entry(&mut self, id: &str, position: order::Position) -> bool {
        self.lapsed.remove(id);
        let known = self.fleet.remove(id);
        // Only the first malformed entry of a key is a change for other hosts.
        if known || !self.change_positions.contains_key(id) {
            self.change_positions.insert(id.to_owned(), position);
        }
        if known {
            let position = position.to_string();
            log::warn!(target: "endpoints", endpoint = id, position = position.as_str(); "entry malformed");
        }
        known
    }

    /// Removes an endpoint whose entry was deleted, or marks it as lapsed after an outage. Returns
    /// whether it was removed.
    fn remove_endpoint(&mut self, now: id::Time, id: &str) -> bool {
        match self.outage_end.filter(|&end| now < end + RENEWAL_TIME) {
            Some(end) if self.fleet.get(id).is_some_and(|entry| !entry.leaving) => {
                self.lapsed.insert(id.to_owned(), end + RENEWAL_TIME);
                log::info!(target: "endpoints", endpoint = id; "entry lapsed during a store outage");
                false
            }
            _ => {
                let known = self.fleet.remove(id);
                self.crashes.record_down(now, id);
                if known {
                    let position = self.topics.endpoints.position(id).unwrap_or_default();
                    let position = position.to_string();
                    log::info!(target: "endpoints", endpoint = id, position = position.as_str(); "gone");
                }
                known
            }
        }
    }

    /// Endpoints to which calls of stage work may go.
    pub fn stage_endpoints(&self) -> impl Iterator<Item = &endpoint::Endpoint> {
        self.fleet.usable().filter(|entry| !self.moves.excludes(entry))
    }

    /// The endpoints' records from a position on that changed an endpoint.
    pub fn changed_since(&self, from: order::Position) -> Vec<store::Record> {
        let is_change = |record: &store::Record| {
            self.change_positions.get(&record.key).is_some_and(|&position| position >= from)
        };
        self.topics.endpoints.since(from).into_iter().filter(is_change).collect()
    }

    /// Removes endpoints whose entry lapsed during an outage, and had not been renewed when the
    /// records were read after the time for that. Returns whether there were any.
    pub fn expire(&mut self) -> bool {
        let current_at = self.topics.endpoints.current_at().unwrap_or_default();
        let is_over = |(_, at): &(&id::EndpointId, &id::Time)| current_at >= **at;
        let expired: Vec<id::EndpointId> =
            self.lapsed.iter().filter(is_over).map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.lapsed.remove(id);
            self.fleet.remove(id);
            log::info!(target: "endpoints", endpoint = id.as_str(); "removed after a store outage");
        }
        if !expired.is_empty() {
            self.reshard();
        }
        !expired.is_empty()
    }

    /// Whether the host can serve requests: it has a configuration and knows an endpoint.
    pub fn ready(&self) -> bool {
        self.catalog.is_some() && self.fleet.entries().next().is_some()
    }
}
