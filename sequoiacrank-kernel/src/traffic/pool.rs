//! State of one service: its endpoints, queues and waiting calls.

use std::collections;
use std::time;

use rand::SeedableRng as _;
use xxhash_rust::xxh3;

use crate::id;
use crate::map;
use crate::plan;
use crate::policy;
use crate::traffic;
use crate::traffic::endpoint;
use crate::traffic::estimate;
use crate::traffic::loan;
use crate::traffic::members;
use crate::traffic::share;
use crate::traffic::status;

/// Number of waiting calls of one service on one host at which urgent calls are refused.
const MAX_URGENT: usize = 5_000;
/// Number of waiting calls at which normal calls are refused.
const MAX_NORMAL: usize = 4_500;
/// Number of waiting calls at which patient calls are refused.
const MAX_PATIENT: usize = 4_000;
/// Time added to the longest call before its slot counts as free.
const HOLD_MARGIN: time::Duration = time::Duration::from_secs(1);

/// Data of a waiting call that the queue policy doesn't need.
pub(crate) struct Queued {
    pub(crate) pipeline: id::PipelineId,
    pub(crate) stage: usize,
    pub(crate) route: id::RouteId,
    pub(crate) fingerprint: id::Fingerprint,
    pub(crate) deadline: id::Time,
    pub(crate) prefix: Vec<u64>,
    /// Endpoints that this stage was already sent to; avoided while there are others.
    pub(crate) tried: Vec<id::EndpointId>,
}

/// State of one service on this host.
pub(crate) struct Pool {
    pub(crate) service: id::ServiceId,
    pub(crate) conf: plan::Service,
    pub(crate) revision: id::Revision,
    pub(crate) policies: plan::Policies,
    pub(crate) endpoints: collections::BTreeMap<id::EndpointId, endpoint::Endpoint>,
    pub(crate) queues: collections::BTreeMap<id::VersionId, Box<dyn policy::Queue>>,
    /// Calls taken from a queue while only endpoints that they had tried were free.
    pub(crate) parked: Vec<(id::VersionId, policy::Waiting)>,
    pub(crate) queued: map::FastMap<id::RequestId, Queued>,
    pub(crate) placement: Box<dyn policy::Placement>,
    pub(crate) retry: Option<Box<dyn policy::Retry>>,
    pub(crate) times: map::FastMap<(id::PipelineId, usize), estimate::Times>,
    pub(crate) costs: collections::BTreeMap<(id::PipelineId, usize), status::StageCost>,
    /// Moving average of the time of a call on any endpoint.
    pub(crate) latency: time::Duration,
    pub(crate) rate: estimate::Rate,
    pub(crate) borrowed: loan::Borrowed,
    pub(crate) rng: rand_chacha::ChaCha8Rng,
    /// Whether both urgent and other pipelines use the service.
    pub(crate) mixed_classes: bool,
    /// Longest deadline of any pipeline that has ever used the service, which bounds each call.
    pub(crate) longest_deadline: time::Duration,
    /// Longest time for which a host may use an outdated host list.
    pub(crate) view_lifetime: time::Duration,
}

/// Inputs that pools are updated from.
pub(crate) struct Inputs<'a> {
    pub(crate) plan: &'a plan::Plan,
    pub(crate) view: &'a members::View,
    pub(crate) options: &'a traffic::Options,
    pub(crate) latched_leaving: &'a collections::BTreeSet<id::EndpointId>,
    pub(crate) banned: &'a collections::BTreeSet<(id::ServiceId, id::VersionId)>,
}

/// Creates the queue policy `name`, or the default one if there is none of that name.
fn make_queue(name: &str) -> Option<Box<dyn policy::Queue>> {
    let fallback = plan::Policies::default().queue;
    policy::queue(name).or_else(|| policy::queue(&fallback)).map(|plugin| (plugin.make)())
}

fn make_placement(name: &str) -> Option<Box<dyn policy::Placement>> {
    let fallback = plan::Policies::default().placement;
    policy::placement(name).or_else(|| policy::placement(&fallback)).map(|p| (p.make)())
}

fn make_limit(name: &str, service: &plan::Service) -> Option<Box<dyn policy::Limit>> {
    let fallback = plan::Policies::default().limit;
    policy::limit(name).or_else(|| policy::limit(&fallback)).map(|p| (p.make)(service))
}

impl Pool {
    pub(crate) fn new(
        service: &str,
        conf: &plan::Service,
        inputs: &Inputs<'_>,
        view_lifetime: time::Duration,
    ) -> Option<Pool> {
        let policies = inputs.plan.policies.clone();
        // Attempt ids must differ between hosts even if their configured seeds are equal.
        let options = inputs.options;
        let origin = format!("{} {} {service}", options.host, options.incarnation);
        let seed = xxh3::xxh3_64_with_seed(origin.as_bytes(), options.seed);
        Some(Pool {
            service: service.into(),
            conf: conf.clone(),
            revision: 0,
            endpoints: Default::default(),
            queues: Default::default(),
            parked: Vec::new(),
            queued: Default::default(),
            placement: make_placement(&policies.placement)?,
            retry: policy::retry(&policies.retry).map(|plugin| (plugin.make)()),
            times: Default::default(),
            costs: Default::default(),
            latency: time::Duration::ZERO,
            rate: Default::default(),
            borrowed: Default::default(),
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            mixed_classes: false,
            longest_deadline: time::Duration::ZERO,
            policies,
            view_lifetime,
        })
    }

    /// How long the host list must be unchanged before a share may grow.
    pub(crate) fn hold_time(&self) -> time::Duration {
        self.view_lifetime + self.longest_deadline + loan::TERM_MARGIN + HOLD_MARGIN
    }

    /// How long after a change of the host list an idle endpoint proves that no call of an older
    /// list is left.
    pub(crate) fn quiet_time(&self) -> time::Duration {
        self.view_lifetime + loan::START_WINDOW + loan::TERM_MARGIN
    }

    /// Updates endpoints, shares and policies from the configuration, the hosts and the latches.
    pub(crate) fn refresh(&mut self, now: id::Time, inputs: &Inputs<'_>) {
        if inputs.plan.revision < self.revision {
            return;
        }
        self.revision = inputs.plan.revision;
        if let Some(conf) = inputs.plan.services.get(&self.service) {
            self.apply_settings(conf, &inputs.plan.policies);
        }
        let uses = |p: &&plan::Pipeline| p.stages.iter().any(|s| s.service == self.service);
        let users = || inputs.plan.pipelines.values().filter(uses);
        let urgent = users().filter(|p| p.class == plan::Class::Urgent).count();
        self.mixed_classes = urgent > 0 && urgent < users().count();
        let longest = users().map(|p| p.deadline).max();
        self.longest_deadline = self.longest_deadline.max(longest.unwrap_or_default());
        let known: Vec<id::EndpointId> = self.endpoints.keys().cloned().collect();
        for endpoint in known {
            let in_service = |conf: &plan::Endpoint| conf.service == self.service;
            if !inputs.plan.endpoints.get(&endpoint).is_some_and(in_service) {
                self.drop_endpoint(now, &endpoint);
            }
        }
        for (endpoint, conf) in &inputs.plan.endpoints {
            if conf.service == self.service {
                self.update_endpoint(now, endpoint, conf, inputs);
            }
        }
    }

    /// Removes an endpoint that is no longer declared once its calls and loans have ended.
    fn drop_endpoint(&mut self, now: id::Time, endpoint: &str) {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        state.usable = false;
        if state.in_flight == 0 && state.lent.total(now) == 0 {
            self.endpoints.remove(endpoint);
        }
    }

    /// Adds an endpoint or updates it from its declaration.
    fn update_endpoint(
        &mut self,
        now: id::Time,
        endpoint: &str,
        conf: &plan::Endpoint,
        inputs: &Inputs<'_>,
    ) {
        let Some(limit) = make_limit(&inputs.plan.policies.limit, &self.conf) else {
            return;
        };
        let region = members::region(inputs.plan, &conf.zone);
        let hosts = members::hosts_in_region(inputs.plan, &inputs.view.members, region);
        let part =
            share::part(hosts.iter().copied(), &inputs.options.host, endpoint, self.conf.cold);
        let hold_time = self.hold_time();
        let new_state = || {
            let share = share::Share::new(inputs.view.changed, part);
            endpoint::Endpoint::new(now, conf.clone(), limit, share)
        };
        let state = self.endpoints.entry(endpoint.into()).or_insert_with(new_state);
        state.share.update(inputs.view.changed, part);
        state.share.settle(now, hold_time);
        state.serving = share::serving(hosts.into_iter(), endpoint, self.conf.cold)
            .into_iter()
            .filter(|host| *host != inputs.options.host)
            .map(String::from)
            .collect();
        state.distance = distance(inputs, conf, region);
        let replaced = state.conf.address != conf.address || state.conf.version != conf.version;
        state.conf = conf.clone();
        let usable_before = state.usable;
        state.usable = usable(inputs, endpoint, conf);
        if replaced || (state.usable && !usable_before && state.was_usable) {
            // An endpoint may have been restarted while it was out of service.
            state.mark_cold(now, state.generation + 1);
        }
        state.was_usable |= state.usable;
    }

    /// Applies the service's settings and replaces the policies that changed.
    fn apply_settings(&mut self, conf: &plan::Service, policies: &plan::Policies) {
        let limits_changed = conf.cold != self.conf.cold || conf.full != self.conf.full;
        self.conf = conf.clone();
        if limits_changed || policies.limit != self.policies.limit {
            for state in self.endpoints.values_mut() {
                if let Some(limit) = make_limit(&policies.limit, conf) {
                    state.limit = limit;
                }
            }
        }
        if let Some(new) = make_placement(&policies.placement)
            && policies.placement != self.policies.placement
        {
            self.placement = new;
        }
        if policies.retry != self.policies.retry {
            self.retry = policy::retry(&policies.retry).map(|plugin| (plugin.make)());
        }
        if policies.queue != self.policies.queue {
            self.replace_queues(&policies.queue);
        }
        self.policies = policies.clone();
    }

    /// Moves waiting calls into queues of another policy.
    fn replace_queues(&mut self, name: &str) {
        for old in self.queues.values_mut() {
            let Some(mut new) = make_queue(name) else {
                return;
            };
            while let Some(call) = old.pop(id::Time::ZERO) {
                new.push(call);
            }
            *old = new;
        }
    }

    /// Whether the queue is full for calls of a class. The lower limits for less urgent classes
    /// leave room for urgent calls behind a long queue of patient ones.
    pub(crate) fn full(&self, class: plan::Class) -> bool {
        let max = match class {
            plan::Class::Urgent => MAX_URGENT,
            plan::Class::Normal => MAX_NORMAL,
            plan::Class::Patient => MAX_PATIENT,
        };
        self.queued.len() >= max
    }

    /// Queues a call; returns false if the queue is full for its class.
    pub(crate) fn push(&mut self, version: &str, call: policy::Waiting, queued: Queued) -> bool {
        if self.full(call.class) {
            return false;
        }
        if !self.queues.contains_key(version) {
            let Some(queue) = make_queue(&self.policies.queue) else {
                return false;
            };
            self.queues.insert(version.into(), queue);
        }
        if let Some(queue) = self.queues.get_mut(version) {
            self.queued.insert(call.request, queued);
            queue.push(call);
        }
        true
    }

    /// Removes a waiting call.
    pub(crate) fn remove(&mut self, request: id::RequestId) {
        if self.queued.remove(&request).is_none() {
            return;
        }
        self.parked.retain(|(_, call)| call.request != request);
        for queue in self.queues.values_mut() {
            queue.remove(request);
        }
    }

    /// Removes and returns the calls of versions that no endpoint in service runs.
    pub(crate) fn take_unserved(&mut self) -> Vec<id::RequestId> {
        let unserved: Vec<id::VersionId> =
            self.queues.keys().filter(|version| !self.serves(version)).cloned().collect();
        let mut calls = Vec::new();
        for version in unserved {
            if let Some(mut queue) = self.queues.remove(&version) {
                while let Some(call) = queue.pop(id::Time::ZERO) {
                    calls.push(call.request);
                }
            }
            let parked = self.parked.extract_if(.., |(v, _)| *v == version);
            calls.extend(parked.map(|(_, call)| call.request));
        }
        for request in &calls {
            self.queued.remove(request);
        }
        calls
    }

    /// Whether any endpoint in service runs `version`.
    pub(crate) fn serves(&self, version: &str) -> bool {
        self.endpoints.values().any(|state| state.usable && state.conf.version == version)
    }

    /// Least time and planned time of a stage; zero while unknown.
    pub(crate) fn times(
        &self,
        now: id::Time,
        pipeline: &str,
        stage: usize,
    ) -> (time::Duration, time::Duration) {
        match self.times.get(&(pipeline.to_owned(), stage)) {
            Some(times) => (times.least(now), times.planned(now)),
            None => Default::default(),
        }
    }

    /// Expected wait of a call like this one in the longest queue of the service.
    pub(crate) fn longest_wait(&self, call: &policy::Waiting) -> time::Duration {
        self.queues
            .keys()
            .map(|version| self.expected_wait(version, call))
            .max()
            .unwrap_or_default()
    }

    /// Expected wait of a call like this one in the queue of `version`.
    pub(crate) fn expected_wait(&self, version: &str, call: &policy::Waiting) -> time::Duration {
        match self.queues.get(version) {
            Some(queue) if !queue.is_empty() => self.rate.time_for(queue.tokens_ahead(call)),
            _ => time::Duration::ZERO,
        }
    }
}

fn usable(inputs: &Inputs<'_>, endpoint: &str, conf: &plan::Endpoint) -> bool {
    let out = inputs.plan.zones.get(&conf.zone).is_some_and(|zone| zone.out);
    let version = (conf.service.clone(), conf.version.clone());
    !(out
        || conf.leaving
        || inputs.latched_leaving.contains(endpoint)
        || inputs.banned.contains(&version))
}

fn distance(inputs: &Inputs<'_>, conf: &plan::Endpoint, region: Option<&str>) -> policy::Distance {
    match members::region(inputs.plan, &inputs.options.zone) {
        _ if conf.zone == inputs.options.zone => policy::Distance::Zone,
        own if own == region => policy::Distance::Region,
        _ => policy::Distance::Far,
    }
}
