//! Determines which part of a prompt identifies the session of a request.
//!
//! A prompt is a list of parts, from the most widely shared to the least. On some routes the last
//! part belongs to the session. On others it is unique to the request; then the part before it
//! identifies where the prompt was processed before. Each host learns this for each route from its
//! own requests.

use std::collections;

use crate::id;
use crate::map;

/// Maximum number of last parts remembered for each route.
const MAX_PARTS: usize = 512;
/// Number of requests of a route before the last part may be taken for that of the session.
const MIN_REQUESTS: u32 = 16;
/// If the last parts of at least this share of requests were seen before, the last part belongs to
/// the session. It is far below one because a host sees only some requests of a session.
const MIN_REPEATED: f64 = 0.1;
/// Number of requests at which the counts are halved, so that the result follows changes.
const HALVE_AT: u32 = 400;

/// Last parts of the requests of one route.
#[derive(Clone, Debug, Default)]
struct RouteParts {
    recent: collections::VecDeque<u64>,
    known: map::FastSet<u64>,
    requests: u32,
    repeated: u32,
}

/// Last parts of the requests of all routes.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    routes: map::FastMap<id::RouteId, RouteParts>,
}

impl Sessions {
    /// Records a request with these parts and returns the hash that identifies its session.
    pub fn key(&mut self, route: &str, parts: &[u64]) -> Option<u64> {
        let (&last, shared) = parts.split_last()?;
        let seen = match self.routes.get_mut(route) {
            Some(seen) => seen,
            None => self.routes.entry(route.to_owned()).or_default(),
        };
        seen.requests += 1;
        match seen.known.insert(last) {
            true => seen.recent.push_back(last),
            false => seen.repeated += 1,
        }
        if seen.recent.len() > MAX_PARTS {
            seen.recent.pop_front().map(|part| seen.known.remove(&part));
        }
        if seen.requests >= HALVE_AT {
            seen.requests /= 2;
            seen.repeated /= 2;
        }
        let is_session = seen.requests >= MIN_REQUESTS
            && f64::from(seen.repeated) >= MIN_REPEATED * f64::from(seen.requests);
        match (is_session, shared.last()) {
            (false, Some(&part)) => Some(part),
            _ => Some(last),
        }
    }
}
