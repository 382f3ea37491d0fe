//! Applies new inputs: configurations, host lists, latches, endpoint reports and cache events.

use std::collections;
use std::sync;

use crate::id;
use crate::log;
use crate::plan;
use crate::policy::Moves as _;
use crate::traffic;
use crate::traffic::members;
use crate::traffic::pool;

impl traffic::Traffic {
    /// Applies a configuration unless its revision is older than the current one.
    pub(crate) fn apply_plan(
        &self,
        now: id::Time,
        plan: sync::Arc<plan::Plan>,
        out: &mut Vec<traffic::Command>,
    ) {
        {
            let mut current = self.plan.write();
            if current.as_ref().is_some_and(|current| current.revision > plan.revision) {
                return;
            }
            *current = Some(plan.clone());
        }
        self.moves.lock().apply_plan(now, &plan);
        self.refresh(now, out);
    }

    /// Applies a latch.
    pub(crate) fn apply_latch(
        &self,
        now: id::Time,
        latch: &log::Latch,
        out: &mut Vec<traffic::Command>,
    ) {
        self.moves.lock().apply_latch(now, latch);
        if let log::Latch::Leaving(endpoint) = latch {
            self.latched_leaving.lock().insert(endpoint.clone());
        }
        self.refresh(now, out);
    }

    /// Applies the platform's host list.
    pub(crate) fn apply_hosts(
        &self,
        now: id::Time,
        list: Vec<traffic::Host>,
        out: &mut Vec<traffic::Command>,
    ) {
        let changed = {
            let mut members = self.members.lock();
            members.set_list(now, list);
            members.update_view(now)
        };
        if changed {
            self.refresh(now, out);
        }
    }

    /// Updates all services from the configuration, the hosts, latches and moves, and queues calls
    /// again whose version is no longer in service.
    pub(crate) fn refresh(&self, now: id::Time, out: &mut Vec<traffic::Command>) {
        let unserved = self.rebuild(now);
        for request in unserved {
            self.enter_stage(now, request, out);
        }
        for pool in self.all_pools() {
            self.schedule(now, &pool, out);
        }
    }

    /// Updates all services and returns the requests whose version is no longer in service.
    fn rebuild(&self, now: id::Time) -> Vec<id::RequestId> {
        // Inputs are collected and applied under one lock, so that older ones can't overwrite newer
        // ones.
        let _guard = self.rebuilding.lock();
        let Some(plan) = self.plan() else {
            return Vec::new();
        };
        let view = self.members.lock().view();
        let latched_leaving = self.latched_leaving.lock().clone();
        let banned = self.banned(&plan);
        let inputs = pool::Inputs {
            plan: &plan,
            view: &view,
            options: &self.options,
            latched_leaving: &latched_leaving,
            banned: &banned,
        };
        self.add_pools(&inputs);
        let mut unserved = Vec::new();
        for pool in self.all_pools() {
            let mut pool = pool.lock();
            pool.refresh(now, &inputs);
            unserved.extend(pool.take_unserved());
        }
        unserved
    }

    fn add_pools(&self, inputs: &pool::Inputs<'_>) {
        let view_lifetime = members::view_lifetime(self.options.lag);
        let mut pools = self.pools.write();
        for (service, conf) in &inputs.plan.services {
            if pools.contains_key(service) {
                continue;
            }
            if let Some(pool) = pool::Pool::new(service, conf, inputs, view_lifetime) {
                pools.insert(service.clone(), sync::Arc::new(pool.into()));
            }
        }
    }

    /// Versions that get no more calls.
    fn banned(&self, plan: &plan::Plan) -> collections::BTreeSet<(id::ServiceId, id::VersionId)> {
        let moves = self.moves.lock();
        plan.endpoints
            .values()
            .filter(|endpoint| moves.is_banned(&endpoint.service, &endpoint.version))
            .map(|endpoint| (endpoint.service.clone(), endpoint.version.clone()))
            .collect()
    }

    /// Applies an endpoint's load report; `None` means that it could not be reached.
    pub(crate) fn apply_report(
        &self,
        now: id::Time,
        endpoint: &str,
        report: Option<traffic::Report>,
        out: &mut Vec<traffic::Command>,
    ) {
        let Some(pool) = self.pool_of(endpoint) else {
            return;
        };
        let cold = pool.lock().apply_report(now, endpoint, report);
        if let Some(digest) = cold {
            self.announce_cold(digest, out);
        }
        self.schedule(now, &pool, out);
    }

    /// Records prefixes that an endpoint has cached.
    pub(crate) fn add_prefixes(&self, endpoint: &str, prefixes: &[u64]) {
        if let Some(pool) = self.pool_of(endpoint)
            && let Some(state) = pool.lock().endpoints.get_mut(endpoint)
        {
            state.prefixes.add(prefixes);
        }
    }

    /// The pool of the service that an endpoint belongs to.
    pub(crate) fn pool_of(
        &self,
        endpoint: &str,
    ) -> Option<sync::Arc<parking_lot::Mutex<pool::Pool>>> {
        let plan = self.plan()?;
        self.pool(&plan.endpoints.get(endpoint)?.service)
    }
}
