//! The choice of an endpoint for a send, and the refusal if there is none.

use std::net;
use std::time;

use sequoiacrank_kernel::code;
use sequoiacrank_kernel::edge::fleet;
use sequoiacrank_kernel::edge::moves;
use sequoiacrank_kernel::id;

use crate::duties;
use crate::exchange;
use crate::facts;
use crate::notices;
use crate::refusal;

/// Refused callers are told to retry at random times after an endpoint accepts requests again.
/// These times are spread over this fraction of the wait for that endpoint.
const RETRY_SPREAD: f64 = 0.5;
/// Time for which an endpoint that was acquired before the stage work stays reserved.
const RESERVATION_TIME: time::Duration = time::Duration::from_secs(2);
/// Maximum number of endpoints that are checked against their limits for one send.
const MAX_LIMIT_CHECKS: usize = 4;

/// An endpoint with its address and zone.
pub(super) type Target = (id::EndpointId, net::SocketAddr, id::ZoneId);

impl exchange::Exchange {
    /// Chooses the best endpoint for the next send; `unlimited` excludes endpoints with a limit.
    pub(super) fn choose(&self, unlimited: bool) -> Option<Target> {
        let facts = self.host.facts.borrow();
        let service = facts.catalog.as_ref().and_then(|it| it.service(&self.service).cloned());
        let tried = self.tried.borrow();
        let criteria = fleet::Criteria {
            session: self.session,
            excluded: &tried,
            zone: Some(&self.host.settings.zone),
            rank: self.rank,
            unlimited,
            rate: service.and_then(|service| self.host.rate(service.cold_rate)),
            hosts: self.host.peers.members().alive().len() + 1,
            versions: self.version_filter(&facts),
        };
        let now = self.host.clock.now();
        let entry = facts.fleet.choose(now, &self.service, &criteria, rand::random())?;
        Some((entry.id.clone(), entry.address, entry.zone.clone()))
    }

    /// Chooses the endpoint for the next send and counts this request against its limit, if it has
    /// one. An endpoint whose limit is used up is skipped.
    pub(super) async fn acquire(&self) -> Option<Target> {
        let reserved = self.reserved.borrow_mut().take();
        if let Some((target, _)) = reserved.filter(|it| self.is_reservation_valid(it)) {
            return Some(target);
        }
        for _ in 0..MAX_LIMIT_CHECKS {
            let target = self.choose(false)?;
            if notices::acquire(&self.host, &target.0, &self.head.attempt, self.rank).await {
                return Some(target);
            }
        }
        self.choose(true)
    }

    /// Whether a reserved endpoint may still be used. Availability zones, registrations and moves
    /// may have changed since.
    fn is_reservation_valid(&self, ((id, ..), at): &(Target, id::Time)) -> bool {
        let (now, facts) = (self.host.clock.now(), self.host.facts.borrow());
        let accepts =
            facts.fleet.get(id).is_some_and(|it| facts.fleet.notices.accepts(now, it.instance()));
        now < *at + RESERVATION_TIME
            && accepts
            && facts.stage_endpoints().any(|entry| entry.id == *id)
    }

    /// Reserves an endpoint if all endpoints of the service have limits, so that stage work is not
    /// done for a request that no endpoint accepts.
    ///
    /// # Errors
    ///
    /// When no endpoint accepts the request.
    pub(super) async fn reserve(&self) -> Result<(), refusal::Refusal> {
        let now = self.host.clock.now();
        if !self.host.facts.borrow().fleet.all_limited(now, &self.service) {
            return Ok(());
        }
        let target = self.acquire().await.ok_or_else(|| self.no_endpoint())?;
        *self.reserved.borrow_mut() = Some((target, self.host.clock.now()));
        Ok(())
    }

    /// Availability zone of the endpoint to which the request will probably go.
    pub(super) fn target_zone(&self) -> Option<id::ZoneId> {
        let reserved = self.reserved.borrow().as_ref().map(|((_, _, zone), _)| zone.clone());
        reserved.or_else(|| self.choose(false).map(|(_, _, zone)| zone))
    }

    /// The refusal if there is no endpoint for the next send. If the endpoints accept requests
    /// again after a known time, it tells the caller when to retry. That time is partly random, so
    /// that callers do not all retry at once.
    pub(super) fn no_endpoint(&self) -> refusal::Refusal {
        duties::record_refused(&self.host, &self.service);
        let wait =
            self.host.facts.borrow().fleet.wait(self.host.clock.now(), &self.service, self.rank);
        match wait {
            Some(wait) => refusal::Refusal {
                retry_after: Some(wait + wait.mul_f64(rand::random::<f64>() * RETRY_SPREAD)),
                ..refusal::Refusal::new(code::Code::QueueFull)
            },
            None => refusal::Refusal::retry_soon(code::Code::NoEndpoint),
        }
    }

    /// The versions to which the request may go while the service moves to a new one.
    fn version_filter(&self, facts: &facts::Facts) -> Option<moves::Filter> {
        if facts.moves.is_empty() {
            return None;
        }
        let hosts = self.host.peers.members().sharing_hosts(self.host.clock.now());
        let bound = self.host.reloadable.borrow().moves;
        facts.moves.filter(&self.service, hosts, &bound, rand::random())
    }
}
