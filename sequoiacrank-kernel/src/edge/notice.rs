//! Notices: what endpoints report about themselves in the headers of their answers.
//!
//! The registration of an overloaded or leaving endpoint may be seconds old and still list it as
//! ready. Its answers report at once that it is leaving, how many requests it takes, or that it
//! wants none for a while. A notice holds for one instance of the endpoint, whatever its
//! registration says later.

use std::time;

use crate::id;
use crate::map;

/// Lower bound on a limit, in requests per second. An endpoint with a lower limit still gets
/// requests at this rate, since only an answer can report that the limit has changed.
const MIN_RATE: f64 = 0.1;
/// Upper bound on a limit, in requests per second: more than all hosts send. Multiples of a limit
/// stay finite.
const MAX_RATE: f64 = 1e9;
/// Relative change of a limit above which it is reported as a change.
const CHANGE_RATIO: f64 = 0.1;
/// Longest pause that an endpoint is granted.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(3600);
/// Time for which notices are kept after the last one. It is longer than a lapsed registration, or
/// an old copy of it, may take to reappear.
const RETENTION: time::Duration = time::Duration::from_secs(600);

/// Number of distinct ranks of requests.
pub const RANKS: usize = 4;

/// Array index of a rank; 0 is the most urgent. All ranks from `RANKS - 1` on share an index.
pub fn rank_index(rank: u32) -> usize {
    (rank as usize).min(RANKS - 1)
}

/// Requests per second that an endpoint takes from all hosts together.
pub type Rate = f64;

/// The limit in the headers of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Limit {
    /// No limit is given.
    #[default]
    Unnamed,
    /// Requests per second from all hosts together.
    Named(Rate),
    /// A limit is given that can't be parsed.
    Unreadable,
}

/// What the headers of an answer report about its endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// How many requests it takes.
    pub limit: Limit,
    /// Time for which it wants no requests from this host.
    pub pause: Option<time::Duration>,
    /// Whether a part of the headers could not be parsed.
    pub unclear: bool,
}

/// The answer that a notice came with.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// When its request was sent.
    pub sent: id::Time,
    /// Whether the endpoint accepted the request: only then does a missing limit mean that there is
    /// none.
    pub accepted: bool,
}

/// What a host knows of an endpoint's limit, as exchanged between hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownLimit {
    /// The limit, or `None` if the endpoint no longer has one.
    pub rate: Option<Rate>,
    /// When the endpoint reported it, by the clock of this host.
    pub at: id::Time,
}

/// One instance (process) of an endpoint: its id, and its start in milliseconds of its own clock.
pub type Instance<'a> = (&'a str, u64);

/// A change of what is known of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// It is leaving.
    Leaving,
    /// It has a limit, or another one than before.
    Limited {
        /// The limit before.
        before: Option<Rate>,
        /// The limit now.
        rate: Rate,
    },
    /// It no longer has a limit.
    Lifted {
        /// The limit before.
        before: Rate,
    },
    /// It wants no requests from this host for this time.
    Paused(time::Duration),
}

/// What one instance of an endpoint has reported.
#[derive(Clone, Debug, Default)]
struct State {
    started_at: u64,
    leaving: bool,
    /// The limit, and when it was set or lifted.
    limit: Option<Rate>,
    limit_at: id::Time,
    /// Time until which it wants no requests from this host.
    paused_until: id::Time,
    /// Times until which its limit allows no requests of this host, by rank.
    held_until: [id::Time; RANKS],
    /// When it last sent a notice, or another host reported one.
    last_heard: id::Time,
}

impl State {
    /// Sets or lifts the limit. Reports arrive out of order, and this one was made between `sent`
    /// and `at`. A new or lower limit counts if it may be later than the known report; a higher
    /// one, or none, only if it surely is.
    fn set_limit(&mut self, rate: Option<Rate>, at: id::Time, sent: id::Time) -> Option<Change> {
        let rate = rate.map(|rate| rate.clamp(MIN_RATE, MAX_RATE));
        let before = self.limit;
        let order = match (before, rate) {
            (Some(old), Some(rate)) if rate <= old => at,
            (None, Some(_)) => at,
            _ => sent,
        };
        if order < self.limit_at {
            return None;
        }
        self.limit_at = order;
        self.limit = rate;
        match (before, rate) {
            (Some(before), None) => {
                self.held_until = Default::default();
                Some(Change::Lifted { before })
            }
            (before, Some(rate))
                if before.is_none_or(|it| (it - rate).abs() > CHANGE_RATIO * it) =>
            {
                Some(Change::Limited { before, rate })
            }
            _ => None,
        }
    }
}

/// The notices of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    states: map::FastMap<id::EndpointId, State>,
}

impl Notices {
    /// The state of an instance of an endpoint; replaces the state of another instance.
    fn entry(&mut self, now: id::Time, (id, started_at): Instance<'_>) -> &mut State {
        let state = self.states.entry(id.to_owned()).or_default();
        if state.started_at != started_at {
            *state = State { started_at, ..State::default() };
        }
        state.last_heard = now;
        state
    }

    fn get(&self, (id, started_at): Instance<'_>) -> Option<&State> {
        self.states.get(id).filter(|state| state.started_at == started_at)
    }

    /// Applies the notice of an answer. Returns what changed.
    pub fn apply(
        &mut self,
        now: id::Time,
        instance: Instance<'_>,
        notice: &Notice,
        answer: Answer,
    ) -> Vec<Change> {
        let empty = *notice == Notice::default();
        if empty && (!answer.accepted || self.get(instance).is_none()) {
            return Vec::new();
        }
        let state = self.entry(now, instance);
        let mut changes = Vec::new();
        if notice.leaving && !state.leaving {
            state.leaving = true;
            changes.push(Change::Leaving);
        }
        changes.extend(match notice.limit {
            Limit::Named(rate) => state.set_limit(Some(rate), now, answer.sent),
            Limit::Unnamed if answer.accepted && state.limit.is_some() => {
                state.set_limit(None, answer.sent, answer.sent)
            }
            Limit::Unnamed | Limit::Unreadable => None,
        });
        if let Some(pause) = notice.pause {
            let pause = pause.min(MAX_PAUSE);
            if now + pause > state.paused_until {
                state.paused_until = now + pause;
                changes.push(Change::Paused(pause));
            }
        }
        changes
    }

    /// Merges what another host knows of a limit. Returns what changed.
    pub fn merge(
        &mut self,
        now: id::Time,
        instance: Instance<'_>,
        known: KnownLimit,
    ) -> Option<Change> {
        if known.rate.is_none() && self.get(instance).is_none() {
            return None;
        }
        self.entry(now, instance).set_limit(known.rate, known.at, known.at)
    }

    /// Holds back this host's requests of `rank`, and less urgent ones, until a time, as the limit
    /// does not allow them before.
    pub fn hold(&mut self, now: id::Time, instance: Instance<'_>, rank: u32, until: id::Time) {
        for held in &mut self.entry(now, instance).held_until[rank_index(rank)..] {
            *held = until.max(*held);
        }
    }

    /// Whether the endpoint has reported that it is leaving.
    pub fn is_leaving(&self, instance: Instance<'_>) -> bool {
        self.get(instance).is_some_and(|state| state.leaving)
    }

    /// The endpoint's limit.
    pub fn limit(&self, instance: Instance<'_>) -> Option<Rate> {
        self.get(instance)?.limit
    }

    /// What is known of the endpoint's limit and since when, including that it was lifted.
    pub fn known_limit(&self, instance: Instance<'_>) -> Option<KnownLimit> {
        self.get(instance).map(|state| KnownLimit { rate: state.limit, at: state.limit_at })
    }

    /// Time until which the endpoint wants no requests from this host.
    pub fn paused(&self, instance: Instance<'_>) -> id::Time {
        self.get(instance).map_or(id::Time::ZERO, |state| state.paused_until)
    }

    /// Time until this host may send a request of `rank` to the endpoint; zero if it may now.
    pub fn wait(&self, now: id::Time, instance: Instance<'_>, rank: u32) -> time::Duration {
        let until = |state: &State| state.paused_until.max(state.held_until[rank_index(rank)]);
        self.get(instance).map_or(time::Duration::ZERO, |state| until(state).saturating_sub(now))
    }

    /// Whether the endpoint accepts requests of this host, its limit aside.
    pub fn accepts(&self, now: id::Time, instance: Instance<'_>) -> bool {
        self.get(instance).is_none_or(|state| !state.leaving && now >= state.paused_until)
    }

    /// Drops the state of endpoints that have not been heard of for long.
    pub fn expire(&mut self, now: id::Time) {
        self.states.retain(|_, state| now < state.last_heard.max(state.paused_until) + RETENTION);
    }
}
