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

/// Time for which no host sends requests to a brittle endpoint that has refused one.
const REFUSAL_PAUSE: time::Duration = time::Duration::from_millis(1100);
/// Mean time between the returns of two hosts to a brittle endpoint, times its bound.
const RETURN_INTERVAL: time::Duration = time::Duration::from_millis(1000);
/// Longest time between a pause and the return of the last host.
const MAX_RETURN_DELAY: time::Duration = time::Duration::from_secs(4);

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
    /// Requests that it can refuse in a second for lack of room, from all hosts together. It falls
    /// over if it has to refuse more.
    pub brittle: Option<u32>,
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

/// What a host that had an answer of an endpoint tells another one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Hearsay {
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// Time for which it wants no requests.
    pub pause: Option<time::Duration>,
    /// Requests that it can refuse in a second for lack of room.
    pub brittle: Option<u32>,
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
    /// Requests that it can refuse in a second, and when it said so.
    brittle: Option<(u32, id::Time)>,
    /// Times until which its limit allows no requests of this host, by rank.
    held_until: [id::Time; RANKS],
    /// When it last sent a notice, or another host reported one.
    last_heard: id::Time,
}

impl State {
    /// Sends it nothing for a time.
    fn pause(&mut self, now: id::Time, pause: time::Duration) -> Option<Change> {
        let pause = pause.min(MAX_PAUSE);
        let is_longer = now + pause > self.paused_until;
        self.paused_until = self.paused_until.max(now + pause);
        is_longer.then_some(Change::Paused(pause))
    }

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

/// Time after the end of a pause at which a host returns to a brittle endpoint. One host at a time
/// finds out whether it has room: until others have heard of a refusal, they may be refused too.
fn return_delay(hosts: usize, bound: u32, draw: f64) -> time::Duration {
    let turns = hosts as f64 / f64::from(bound.max(1));
    RETURN_INTERVAL.mul_f64(turns * draw).min(MAX_RETURN_DELAY)
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
        match notice.brittle {
            Some(bound) => state.brittle = Some((bound, now)),
            None if answer.accepted && state.brittle.is_some_and(|(_, at)| answer.sent > at) => {
                state.brittle = None;
            }
            None => {}
        }
        changes.extend(notice.pause.and_then(|pause| state.pause(now, pause)));
        changes
    }

    /// Records that an endpoint refused a request of this host for lack of room. If it is brittle,
    /// returns what to tell the other hosts; `draw` is random and evenly distributed below 1.
    pub fn record_full(
        &mut self,
        now: id::Time,
        instance: Instance<'_>,
        hosts: usize,
        draw: f64,
    ) -> Option<Hearsay> {
        let (bound, _) = self.get(instance)?.brittle?;
        let state = self.entry(now, instance);
        let pause = REFUSAL_PAUSE + return_delay(hosts, bound, draw);
        state.pause(now, pause);
        Some(Hearsay { pause: Some(REFUSAL_PAUSE), brittle: Some(bound), leaving: false })
    }

    /// Applies what another host was told by an endpoint. Hosts return to a brittle one at
    /// different times; `hosts` and `draw` are as for [`Self::record_full`]. Returns what changed.
    pub fn apply_hearsay(
        &mut self,
        now: id::Time,
        instance: Instance<'_>,
        hearsay: Hearsay,
        hosts: usize,
        draw: f64,
    ) -> Vec<Change> {
        let state = self.entry(now, instance);
        let mut changes = Vec::new();
        if hearsay.leaving && !std::mem::replace(&mut state.leaving, true) {
            changes.push(Change::Leaving);
        }
        let delay = hearsay.brittle.map(|bound| {
            state.brittle = Some((bound, now));
            return_delay(hosts, bound, draw)
        });
        let pause = hearsay.pause.map(|pause| pause + delay.unwrap_or_default());
        // Several hosts may be refused at once, and each tells all others.
        let is_known = now + REFUSAL_PAUSE / 2 < state.paused_until;
        let pause = pause.filter(|_| !(is_known && delay.is_some()));
        changes.extend(pause.and_then(|pause| state.pause(now, pause)));
        changes
    }

    /// Requests that an endpoint can refuse in a second, if it is brittle.
    pub fn brittle(&self, instance: Instance<'_>) -> Option<u32> {
        self.get(instance)?.brittle.map(|(bound, _)| bound)
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
