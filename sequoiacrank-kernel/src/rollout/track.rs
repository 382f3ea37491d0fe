//! One move on one host, from its start to its end.

use crate::id;
use crate::log;
use crate::message;
use crate::plan;
use crate::policy;
use crate::rollout::comparison;
use crate::rollout::ramp;

/// Where a move stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Not ended.
    Moving,
    /// The new version is in full service.
    Done,
    /// The old version is back in full service.
    TakenBack,
}

/// A move for people to look at.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// Move.
    pub id: id::MoveId,
    /// Where it stands.
    pub phase: Phase,
    /// Share of requests on the new version, in thousandths.
    pub share: u32,
    /// Calls of the old version over all hosts since its start.
    pub old: u64,
    /// Calls of the new version over all hosts since its start.
    pub new: u64,
    /// Why it stands there.
    pub why: String,
}

/// One move.
pub(crate) struct Track {
    pub(crate) id: id::MoveId,
    pub(crate) spec: plan::Move,
    phase: Phase,
    why: String,
    ramp: ramp::Ramp,
    sides: comparison::Comparison,
    /// Whether the old version still has endpoints.
    standby: bool,
    /// When this host first knew of the move.
    joined: id::Time,
    /// Whether this host found the end and has not reported it.
    unreported: bool,
}

impl Track {
    pub(crate) fn new(now: id::Time, id: &str, spec: &plan::Move) -> Self {
        Track {
            id: id.into(),
            spec: spec.clone(),
            phase: Phase::Moving,
            why: "waiting for evidence".into(),
            ramp: ramp::Ramp { step: 0, since: now.max(spec.start) },
            sides: comparison::Comparison::default(),
            standby: true,
            joined: now,
            unreported: false,
        }
    }

    /// Whether a declaration speaks of the same versions.
    pub(crate) fn same(&self, spec: &plan::Move) -> bool {
        let known = &self.spec;
        (&known.service, &known.from, &known.to) == (&spec.service, &spec.from, &spec.to)
    }

    pub(crate) fn declare(&mut self, spec: &plan::Move, standby: bool) {
        self.spec = spec.clone();
        self.ramp.since = self.ramp.since.max(spec.start);
        self.standby = standby;
    }

    pub(crate) fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether it has not ended and the old version can still take calls.
    pub(crate) fn open(&self) -> bool {
        self.phase == Phase::Moving && self.standby
    }

    pub(crate) fn banned(&self) -> bool {
        self.phase == Phase::TakenBack
    }

    /// Takes over an end that is known elsewhere; taken back is final, done is not.
    pub(crate) fn end(&mut self, _now: id::Time, phase: Phase, why: &str) {
        if self.phase == phase || self.phase == Phase::TakenBack {
            return;
        }
        self.phase = phase;
        self.why = why.into();
        self.unreported = false;
    }

    /// Version for a request that would go to `current` without this move.
    pub(crate) fn choose(
        &self,
        now: id::Time,
        current: id::VersionId,
        request: id::RequestId,
    ) -> id::VersionId {
        match self.phase {
            Phase::Done if current == self.spec.from => self.spec.to.clone(),
            Phase::TakenBack if current == self.spec.to => self.spec.from.clone(),
            Phase::Moving if now < self.spec.start || now >= self.spec.finish => current,
            Phase::Moving if self.bucket(request) < ramp::share(&self.spec, &self.ramp, now) => {
                self.spec.to.clone()
            }
            _ => current,
        }
    }

    fn bucket(&self, request: id::RequestId) -> u32 {
        let salt = xxhash_rust::xxh3::xxh3_64(self.id.as_bytes());
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(request.as_bytes(), salt);
        (hash % u64::from(ramp::WHOLE)) as u32
    }

    /// Counts a call of this host.
    pub(crate) fn ended(
        &mut self,
        now: id::Time,
        call: &policy::Call<'_>,
        judge: &dyn policy::Judge,
    ) {
        let new = call.version == self.spec.to;
        if !self.watched(now) || !(new || call.version == self.spec.from) {
            return;
        }
        if self.sides.ended(new, call) {
            self.compare(Some(call.route), judge);
            self.compare(None, judge);
        }
    }

    /// Counts a peer's calls.
    pub(crate) fn learn(&mut self, now: id::Time, from: &str, told: &message::Evidence) {
        if !self.watched(now) {
            return;
        }
        self.sides.learn(from, told);
    }

    /// This host's calls, cumulative.
    pub(crate) fn evidence(&self) -> Vec<message::Evidence> {
        self.sides.told(&self.id)
    }

    /// Compares all routes, goes on to the next step, or ends the move.
    pub(crate) fn tick(&mut self, now: id::Time, judge: &dyn policy::Judge) {
        if !self.watched(now) {
            return;
        }
        let news = self.sides.take_news(now);
        if news && let Some(why) = self.sides.news_fault(judge, self.phase == Phase::Done) {
            self.found(Phase::TakenBack, why);
        }
        let late = self.joined >= ramp::give_up(&self.spec);
        let limit = if late { self.joined + super::LATE } else { ramp::give_up(&self.spec) };
        match self.phase {
            Phase::Moving if now >= limit => {
                let why = format!("not enough evidence by the deadline: {}", self.why);
                self.found(Phase::TakenBack, why);
            }
            Phase::Moving if news && now < ramp::last_done(&self.spec) => self.advance(now, judge),
            _ => {}
        }
    }

    /// The end that this host found, once.
    pub(crate) fn latch(&mut self) -> Option<(log::Latch, String)> {
        if !std::mem::take(&mut self.unreported) {
            return None;
        }
        let latch = match self.phase {
            Phase::Moving => return None,
            Phase::Done => log::Latch::Done(self.id.clone()),
            Phase::TakenBack => log::Latch::TakenBack(self.id.clone()),
        };
        Some((latch, self.why.clone()))
    }

    pub(crate) fn status(&self, now: id::Time) -> Status {
        let (old, new) = self.sides.calls();
        let share = match self.phase {
            Phase::Done => ramp::WHOLE,
            Phase::TakenBack => 0,
            Phase::Moving if now < self.spec.start => 0,
            Phase::Moving => ramp::share(&self.spec, &self.ramp, now),
        };
        Status { id: self.id.clone(), phase: self.phase, share, old, new, why: self.why.clone() }
    }

    pub(crate) fn samples(&self) -> usize {
        self.sides.samples()
    }

    /// Whether calls count: from the start until the move's own time has passed once more after its
    /// end, and only while there is a version to go back to.
    fn watched(&self, now: id::Time) -> bool {
        let until = self.spec.finish + ramp::span(&self.spec);
        match self.phase {
            Phase::TakenBack => false,
            Phase::Moving => now >= self.spec.start,
            Phase::Done => self.standby && now < until,
        }
    }

    /// Compares one route, or all together.
    fn compare(&mut self, route: Option<&str>, judge: &dyn policy::Judge) {
        if let Some(why) = self.sides.fault(route, judge, self.phase == Phase::Done) {
            self.found(Phase::TakenBack, why);
        }
    }

    fn advance(&mut self, now: id::Time, judge: &dyn policy::Judge) {
        if now < self.ramp.since + ramp::dwell(&self.spec) {
            return;
        }
        if let Err(missing) = self.sides.enough(judge) {
            self.why = missing;
            return;
        }
        let shares = ramp::shares(self.spec.early);
        if self.ramp.step + 1 >= shares.len() {
            let (_, calls) = self.sides.calls();
            return self.found(Phase::Done, format!("good over {calls} calls"));
        }
        self.ramp = ramp::Ramp { step: self.ramp.step + 1, since: now };
        self.sides.begin_step();
        self.why = format!("good so far, share {} of {}", shares[self.ramp.step], ramp::WHOLE);
    }

    fn found(&mut self, phase: Phase, why: String) {
        if self.phase == Phase::TakenBack || self.phase == phase {
            return;
        }
        self.phase = phase;
        self.why = why;
        self.unreported = true;
    }
}
