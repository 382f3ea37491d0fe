//! Choice of the batcher for the stage work of a request.
//!
//! A single batcher for all endpoints forms the fullest calls, which suits few endpoints per zone.
//! With more endpoints its host would become the bottleneck, while the work of one zone is enough
//! to fill calls. Then each availability zone has its own batcher, and results stay in their zone.

use std::collections;

use crate::edge::catalog;
use crate::edge::endpoint;
use crate::id;
use crate::map;

/// Name of a batcher: an availability zone, or empty for the batcher of all endpoints.
pub type Shard = String;

/// Mean number of endpoints per zone that every stage service needs for zones to have their own
/// batchers.
const MIN_ENDPOINTS: usize = 2;

/// The batchers of all stage work: one per zone, or a single one for all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Shards {
    zones: Vec<id::ZoneId>,
}

impl Shards {
    /// Derives the batchers from all usable endpoints.
    pub fn new<'a, I>(catalog: &catalog::Catalog, entries: I) -> Self
    where
        I: Iterator<Item = &'a endpoint::Endpoint>,
    {
        let services = catalog.services().filter(|it| it.batch.is_some());
        let mut counts: map::FastMap<&str, collections::BTreeMap<&str, usize>> =
            services.map(|it| (it.name.as_str(), collections::BTreeMap::new())).collect();
        let mut zones = collections::BTreeSet::new();
        for entry in entries {
            if let Some(count) = counts.get_mut(entry.service.as_str()) {
                *count.entry(entry.zone.as_str()).or_default() += 1;
                zones.insert(entry.zone.as_str());
            }
        }
        let enough = |count: &collections::BTreeMap<&str, usize>| {
            count.values().sum::<usize>() >= MIN_ENDPOINTS * zones.len()
        };
        if counts.is_empty() || zones.len() < 2 || !counts.values().all(enough) {
            return Shards::default();
        }
        let in_all = |zone: &&str| counts.values().all(|count| count.contains_key(zone));
        Shards { zones: zones.iter().copied().filter(in_all).map(str::to_owned).collect() }
    }

    /// Chooses the batcher for a request whose results will be read in `zone`. If that zone has no
    /// batcher, `draw` picks one at random.
    pub fn choose(&self, zone: Option<&str>, draw: u64) -> Shard {
        let own = zone.and_then(|zone| self.zones.iter().find(|it| *it == zone));
        let any = || self.zones.get((draw % self.zones.len().max(1) as u64) as usize);
        own.or_else(any).cloned().unwrap_or_default()
    }
}

/// Whether an endpoint belongs to the batcher `shard`.
pub fn contains(shard: &str, entry: &endpoint::Endpoint) -> bool {
    shard.is_empty() || shard == entry.zone
}
