//! The state of one move on one host.

use crate::id;
use crate::log;
use crate::message;
use crate::plan;
use crate::policy;
use crate::rollout::comparison;
use crate::rollout::ramp;

/// Progress of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// It has not ended.
    Moving,
    /// The new version is in full service.
    Done,
    /// The old version is back in full service.
    TakenBack,
}

/// The state of a move, for display.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// Move.
    pub id: id::MoveId,
    /// Progress.
    pub phase: Phase,
    /// Share of requests on the new version, in thousandths.
    pub share: u32,
    /// Calls of the old version over all hosts since the start of the move.
    pub old: u64,
    /// Calls of the new version over all hosts since the start of the move.
    pub new: u64,
    /// Reason for the phase, or what evidence is missing.
    pub why: String,
}

/// One move.
pub(crate) struct Track {
    pub(crate) id: id::MoveId,
    pub(crate) spec: plan::Move,
    phase: Phase,
    why: String,
    ramp: ramp::Ramp,
    comparison: comparison::Comparison,
    /// Whether the old version still has endpoints.
    old_available: bool,
    /// When this host learned of the move.
    known_since: id::Time,
    /// Whether this host has decided the outcome and not reported it yet.
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
            comparison: comparison::Comparison::default(),
            old_available: true,
            known_since: now,
            unreported: false,
        }
    }

    /// Whether a declaration is about the same versions.
    pub(crate) fn same_versions(&self, spec: &plan::Move) -> bool {
        let known = &self.spec;
        (&known.service, &known.from, &known.to) == (&spec.service, &spec.from, &spec.to)
    }

    /// Applies a changed declaration.
    pub(crate) fn update(&mut self, spec: &plan::Move, old_available: bool) {
        self.spec = spec.clone();
        self.ramp.since = self.ramp.since.max(spec.start);
        self.old_available = old_available;
    }

    pub(crate) fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether it has not ended and the old version can still take calls.
    pub(crate) fn can_fall_back(&self) -> bool {
        self.phase == Phase::Moving && self.old_available
    }

    pub(crate) fn is_banned(&self) -> bool {
        self.phase == Phase::TakenBack
    }

    /// Applies an outcome that was decided elsewhere. Taken back is final; done is not.
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

    /// Position of a request, below `ramp::FULL_SHARE`; the same on all hosts.
    fn bucket(&self, request: id::RequestId) -> u32 {
        let salt = xxhash_rust::xxh3::xxh3_64(self.id.as_bytes());
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(request.as_bytes(), salt);
        (hash % u64::from(ramp::FULL_SHARE)) as u32
    }

    /// Counts a call of this host.
    pub(crate) fn record(
        &mut self,
        now: id::Time,
        call: &policy::Call<'_>,
        judge: &dyn policy::Judge,
    ) {
        let new = call.version == self.spec.to;
        if !self.is_counting(now) || !(new || call.version == self.spec.from) {
            return;
        }
        if self.comparison.record(new, call) {
            self.compare(Some(call.route), judge);
            self.compare(None, judge);
        }
    }

    /// Counts a peer's calls.
    pub(crate) fn learn(&mut self, now: id::Time, from: &str, report: &message::Evidence) {
        if !self.is_counting(now) {
            return;
        }
        self.comparison.learn(from, report);
    }

    /// This host's calls, cumulative.
    pub(crate) fn evidence(&self) -> Vec<message::Evidence> {
        self.comparison.evidence(&self.id)
    }

    /// Compares all routes, then advances to the next step or ends the move if it is time.
    pub(crate) fn tick(&mut self, now: id::Time, judge: &dyn policy::Judge) {
        if !self.is_counting(now) {
            return;
        }
        let changed = self.comparison.take_changed(now);
        if changed
            && let Some(why) = self.comparison.changed_fault(judge, self.phase == Phase::Done)
        {
            self.decide(Phase::TakenBack, why);
        }
        let late = self.known_since >= ramp::give_up(&self.spec);
        let limit =
            if late { self.known_since + super::LATE_WAIT } else { ramp::give_up(&self.spec) };
        match self.phase {
            Phase::Moving if now >= limit => {
                let why = format!("not enough evidence by the deadline: {}", self.why);
                self.decide(Phase::TakenBack, why);
            }
            Phase::Moving if changed && now < ramp::last_done(&self.spec) => {
                self.advance(now, judge)
            }
            _ => {}
        }
    }

    /// The outcome that this host decided, returned only once.
    pub(crate) fn take_latch(&mut self) -> Option<(log::Latch, String)> {
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
        let (old, new) = self.comparison.calls();
        let share = match self.phase {
            Phase::Done => ramp::FULL_SHARE,
            Phase::TakenBack => 0,
            Phase::Moving if now < self.spec.start => 0,
            Phase::Moving => ramp::share(&self.spec, &self.ramp, now),
        };
        Status { id: self.id.clone(), phase: self.phase, share, old, new, why: self.why.clone() }
    }

    pub(crate) fn samples(&self) -> usize {
        self.comparison.samples()
    }

    /// Whether calls count as evidence: from the start of the move, and once it is done until its
    /// total time has passed again after its deadline, but only while the old version can take
    /// calls.
    fn is_counting(&self, now: id::Time) -> bool {
        let until = self.spec.finish + ramp::span(&self.spec);
        match self.phase {
            Phase::TakenBack => false,
            Phase::Moving => now >= self.spec.start,
            Phase::Done => self.old_available && now < until,
        }
    }

    /// Compares one route, or all combined.
    fn compare(&mut self, route: Option<&str>, judge: &dyn policy::Judge) {
        if let Some(why) = self.comparison.fault(route, judge, self.phase == Phase::Done) {
            self.decide(Phase::TakenBack, why);
        }
    }

    /// Goes to the next step, or declares the move done, once this step has lasted long enough and
    /// has enough evidence.
    fn advance(&mut self, now: id::Time, judge: &dyn policy::Judge) {
        if now < self.ramp.since + ramp::dwell(&self.spec) {
            return;
        }
        if let Err(missing) = self.comparison.check_step(judge) {
            self.why = missing;
            return;
        }
        let shares = ramp::shares(self.spec.early);
        if self.ramp.step + 1 >= shares.len() {
            let (_, calls) = self.comparison.calls();
            return self.decide(Phase::Done, format!("good over {calls} calls"));
        }
        self.ramp = ramp::Ramp { step: self.ramp.step + 1, since: now };
        self.comparison.begin_step();
        self.why = format!("good so far, share {} of {}", shares[self.ramp.step], ramp::FULL_SHARE);
    }

    /// Sets an outcome that this host decided.
    fn decide(&mut self, phase: Phase, why: String) {
        if self.phase == Phase::TakenBack || self.phase == phase {
            return;
        }
        self.phase = phase;
        self.why = why;
        self.unreported = true;
    }
}
