//! Policies: traits whose implementations are plug-ins, each registered under a name.
//!
//! A module that implements a policy calls `inventory::submit!` with its plug-in; declarations
//! select policies by name (see [`crate::plan::Policies`]). Each trait also has a simple baseline
//! implementation.

use std::time;

use crate::id;
use crate::log;
use crate::message;
use crate::plan;
use crate::traffic;

/// Limits the concurrent calls that one endpoint gets from all hosts together.
pub trait Limit: Send {
    /// Concurrent calls that the endpoint is estimated to handle.
    fn allowed(&self) -> u32;
    /// Records that a call succeeded after `taken`, while `in_flight` calls were in flight.
    fn record_success(&mut self, now: id::Time, taken: time::Duration, tokens: u32, in_flight: u32);
    /// Records that a call failed.
    fn record_failure(&mut self, now: id::Time, fault: traffic::Fault);
    /// Records that the endpoint is cold again: it restarted or suddenly slowed down.
    fn mark_cold(&mut self, now: id::Time);
    /// Records that another host estimates `limit` for the same generation of the endpoint.
    fn learn(&mut self, now: id::Time, limit: u32);
}

/// An endpoint that could take a call now.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Endpoint.
    pub endpoint: id::EndpointId,
    /// Concurrent calls that it is estimated to handle.
    pub limit: u32,
    /// Calls in flight on it, as far as this host knows.
    pub in_flight: u32,
    /// Recent duration of a call.
    pub latency: time::Duration,
    /// Age of the information about its load.
    pub age: time::Duration,
    /// Estimated share of the prompt's prefix that is in its cache, 0 to 1.
    pub cached: f64,
    /// Network distance.
    pub distance: Distance,
}

/// Network distance to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same availability zone.
    Zone,
    /// Same region.
    Region,
    /// Another region.
    Far,
}

/// Chooses the endpoint for a call.
pub trait Placement: Send {
    /// Index of the chosen candidate and the reason; `None` if there are no candidates. `random` is
    /// uniform.
    fn choose(&mut self, candidates: &[Candidate], random: u64) -> Option<(usize, &'static str)>;
}

/// A call that waits for an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting {
    /// Request.
    pub request: id::RequestId,
    /// Workspace.
    pub workspace: id::WorkspaceId,
    /// Weight of the workspace.
    pub weight: u32,
    /// Class of the pipeline.
    pub class: plan::Class,
    /// Latest start of this stage that keeps the deadline.
    pub due: id::Time,
    /// When it began to wait.
    pub since: id::Time,
    /// Work in tokens.
    pub tokens: u32,
}

/// Orders the waiting calls of one service.
pub trait Queue: Send {
    /// Adds a call.
    fn push(&mut self, call: Waiting);
    /// Removes and returns the next call.
    fn pop(&mut self, now: id::Time) -> Option<Waiting>;
    /// Removes and returns the call of a request.
    fn remove(&mut self, request: id::RequestId) -> Option<Waiting>;
    /// Removes and returns all calls whose `due` has passed.
    fn expired(&mut self, now: id::Time) -> Vec<Waiting>;
    /// Number of waiting calls.
    fn len(&self) -> usize;
    /// Whether no calls wait.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
    /// Whether an urgent call waits.
    fn has_urgent(&self) -> bool;
    /// One in this many slots is reserved for urgent calls; 0 reserves none.
    fn urgent_reserve(&self) -> u32 {
        0
    }
    /// Tokens that would be served before `call` if it were pushed now.
    fn tokens_ahead(&self, call: &Waiting) -> u64;
}

/// Decides whether a failed attempt is retried. One instance serves all calls of a service on a
/// host.
pub trait Retry: Send {
    /// Records that a first attempt is dispatched.
    fn record_first(&mut self, now: id::Time);
    /// Whether a stage that had `attempts` attempts may have another one; takes it from the budget
    /// if so.
    ///
    /// The caller must already have checked that a repeat is safe.
    fn allow_retry(&mut self, now: id::Time, fault: traffic::Fault, attempts: u32) -> bool;
}

/// Calls of one version on one route, summed over hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Calls that succeeded.
    pub good: u64,
    /// Calls whose failure is attributed to the version.
    pub bad: u64,
    /// Sum of the natural logarithms of the seconds per unit of work of good calls.
    pub log_sum: f64,
    /// Sum of the squares of those logarithms.
    pub log_squares: f64,
}

/// Result of comparing two versions on one route so far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Not enough evidence.
    Wait,
    /// Enough evidence that it is no worse than the old version.
    Good,
    /// Fails more often than the old version.
    Failing,
    /// Slower than the old version.
    Slow,
}

/// Compares a new version with the old one on one route. May be called at any time and any number
/// of times.
pub trait Judge: Send {
    /// Compares the samples.
    fn judge(&self, old: &Sample, new: &Sample) -> Verdict;
}

/// The state of all moves, as far as one host knows. Implemented by [`crate::rollout::Rollout`].
pub trait Moves: Send {
    /// Applies the configuration that is in force now.
    fn apply_plan(&mut self, now: id::Time, plan: &plan::Plan);
    /// Applies a latch that was set.
    fn apply_latch(&mut self, now: id::Time, latch: &log::Latch);
    /// Version to which a request's calls to `service` go.
    fn version(
        &self,
        now: id::Time,
        service: &str,
        request: id::RequestId,
    ) -> Option<id::VersionId>;
    /// Version for a retry after a failure of `version` of `service`: the old version, as long as
    /// `version` is the new one of a move that has not ended and the old one is still in service.
    fn fallback(&self, service: &str, version: &str) -> Option<id::VersionId>;
    /// Whether no call may go to this version of `service` any more, including retries and loans.
    fn is_banned(&self, service: &str, version: &str) -> bool;
    /// Records that a call ended. Calls that ended with a fault of the network or overload are not
    /// reported here, see [`crate::rollout::is_version_fault`].
    fn record_end(&mut self, now: id::Time, call: &Call<'_>);
    /// Applies evidence from a peer, cumulative since that peer's start.
    fn learn(&mut self, now: id::Time, from: &str, evidence: &[message::Evidence]);
    /// This host's own evidence, cumulative since its start.
    fn evidence(&self) -> Vec<message::Evidence>;
    /// Latches to set now, each with the reason.
    fn tick(&mut self, now: id::Time) -> Vec<(log::Latch, String)>;
}

/// A call that ended, as evidence about its version.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Service.
    pub service: &'a str,
    /// Version that ran the call.
    pub version: &'a str,
    /// Route of the request.
    pub route: &'a str,
    /// Whether it succeeded.
    pub good: bool,
    /// Time per unit of work.
    pub taken: time::Duration,
}

macro_rules! plugin {
    ($plugin:ident, $policy:ident, $find:ident, $all:ident, $what:literal, ($($arg:ident: $kind:ty),*)) => {
        #[doc = concat!("A named ", $what, " policy.")]
        pub struct $plugin {
            /// Name that declarations use.
            pub name: &'static str,
            /// What it does, in one line.
            pub about: &'static str,
            /// Creates an instance.
            pub make: fn($($kind),*) -> Box<dyn $policy>,
        }

        inventory::collect!($plugin);

        #[doc = concat!("The ", $what, " policy registered under `name`.")]
        pub fn $find(name: &str) -> Option<&'static $plugin> {
            inventory::iter::<$plugin>.into_iter().find(|plugin| plugin.name == name)
        }

        #[doc = concat!("Names of all ", $what, " policies, sorted.")]
        pub fn $all() -> Vec<&'static str> {
            let mut names: Vec<_> =
                inventory::iter::<$plugin>.into_iter().map(|plugin| plugin.name).collect();
            names.sort_unstable();
            names
        }
    };
}

plugin!(LimitPlugin, Limit, limit, limits, "limit", (service: &plan::Service));
plugin!(PlacementPlugin, Placement, placement, placements, "placement", ());
plugin!(QueuePlugin, Queue, queue, queues, "queue", ());
plugin!(RetryPlugin, Retry, retry, retries, "retry", ());
plugin!(JudgePlugin, Judge, judge, judges, "judge", ());
