//! The stages of one request and the state of their pieces.

use std::time;

use crate::edge::stage;
use crate::id;

/// One stage of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// Service whose endpoints run the stage.
    pub service: id::ServiceId,
    /// Indices of the stages whose results it needs.
    pub after: Vec<usize>,
    /// Approximate size of one result, in bytes.
    pub bytes: u64,
    /// Number of pieces; 0 skips the stage.
    pub pieces: u32,
}

/// The stage work that a request needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Id of the request.
    pub request: String,
    /// Input key of the pieces that need no other results.
    pub key: String,
    /// Stages of the request.
    pub stages: Vec<Work>,
    /// Target time for the end of the whole request.
    pub target_time: id::Time,
    /// Time after which the caller no longer waits for the answer.
    pub deadline: id::Time,
    /// Priority rank of the request; 0 is the most urgent.
    pub rank: u32,
    /// Expected time of the request after its stages.
    pub request_time: time::Duration,
    /// Availability zone in which the final results will be read, if known.
    pub zone: Option<id::ZoneId>,
}

#[derive(Clone, Debug)]
enum Piece {
    Missing,
    Stored { endpoint: id::EndpointId, handle: stage::Handle },
    Released,
}

/// The state of a job that the scheduler accepted.
pub struct Run {
    /// The job.
    pub job: Job,
    /// Whether it is expected to miss its target time.
    pub late: bool,
    /// Whether its results were reported to the submitter.
    pub reported: bool,
    /// Availability zone of the stages whose combined results are large.
    pub home_zone: Option<id::ZoneId>,
    pieces: Vec<Vec<Piece>>,
    started: Vec<bool>,
    /// When the pieces of each stage were queued, and the expected time from then to their results.
    queued_at: Vec<Option<(id::Time, time::Duration)>>,
    /// Number of failed or overdue attempts of each piece.
    failures: Vec<Vec<u32>>,
}

/// Indices of the stages that need the results of `stage`.
pub fn followers(stages: &[Work], stage: usize) -> impl Iterator<Item = usize> + '_ {
    let needs = move |next: &usize| stages[*next].after.contains(&stage);
    (0..stages.len()).filter(needs)
}

/// Time of the longest chain of stages that begins with `stage`; `time` gives the time of a stage.
pub fn critical_path<F>(stages: &[Work], stage: usize, time: F) -> time::Duration
where
    F: Fn(&Work) -> time::Duration + Copy,
{
    let own = match stages[stage].pieces {
        0 => time::Duration::ZERO,
        _ => time(&stages[stage]),
    };
    let rest = followers(stages, stage).map(|next| critical_path(stages, next, time)).max();
    own + rest.unwrap_or_default()
}

/// A stored result: service, endpoint, handle and size in bytes.
pub type StoredResult = (id::ServiceId, id::EndpointId, stage::Handle, u64);

impl Run {
    /// Creates a run of which no stage has started.
    pub fn new(job: Job, late: bool) -> Self {
        let pieces: Vec<Vec<Piece>> =
            job.stages.iter().map(|work| vec![Piece::Missing; work.pieces as usize]).collect();
        let failures = pieces.iter().map(|pieces| vec![0; pieces.len()]).collect();
        let started = vec![false; pieces.len()];
        let queued_at = vec![None; pieces.len()];
        Run { job, late, reported: false, home_zone: None, pieces, started, queued_at, failures }
    }

    /// Number of pieces of a stage.
    pub fn count(&self, stage: usize) -> u32 {
        self.job.stages[stage].pieces
    }

    /// Whether a stage has started, so that its pieces were queued.
    pub fn is_started(&self, stage: usize) -> bool {
        self.started[stage]
    }

    /// Whether a piece has no result yet.
    pub fn is_missing(&self, stage: usize, piece: u32) -> bool {
        let piece = self.pieces.get(stage).and_then(|pieces| pieces.get(piece as usize));
        matches!(piece, Some(Piece::Missing))
    }

    fn is_complete(&self, stage: usize) -> bool {
        self.pieces[stage].iter().all(|piece| !matches!(piece, Piece::Missing))
    }

    /// Whether no other stage needs the results of a stage.
    pub fn is_leaf(&self, stage: usize) -> bool {
        followers(&self.job.stages, stage).next().is_none()
    }

    /// Whether a leaf stage has to wait for the stages that are not leaves. Large results occupy
    /// the memory of their endpoint until the request runs, so they are made last, together with
    /// the other leaves.
    fn is_deferred(&self, stage: usize) -> bool {
        let is_pending =
            |&other: &usize| other != stage && !self.is_leaf(other) && !self.is_complete(other);
        let work = &self.job.stages[stage];
        work.bytes >= stage::LARGE_BYTES
            && work.pieces > 0
            && self.is_leaf(stage)
            && (0..self.pieces.len()).any(|other| is_pending(&other))
    }

    /// Returns the stages that can start now, and marks them as started.
    pub fn take_startable(&mut self) -> Vec<usize> {
        let ready = |stage: &usize| {
            let after = &self.job.stages[*stage].after;
            !self.started[*stage]
                && after.iter().all(|&before| self.is_complete(before))
                && !self.is_deferred(*stage)
        };
        let stages: Vec<usize> = (0..self.pieces.len()).filter(ready).collect();
        for &stage in &stages {
            self.started[stage] = true;
        }
        stages
    }

    /// Records that the pieces of a stage were queued at `now`.
    pub fn mark_queued(&mut self, stage: usize, now: id::Time, expected: time::Duration) {
        self.queued_at[stage] = Some((now, expected));
    }

    /// Real and expected time of a stage whose last piece ended at `now`; `None` while it is
    /// incomplete.
    pub fn stage_time(
        &self,
        stage: usize,
        now: id::Time,
    ) -> Option<(time::Duration, time::Duration)> {
        let (at, expected) = self.queued_at[stage].filter(|_| self.is_complete(stage))?;
        Some((now.saturating_sub(at), expected))
    }

    /// Indices of the stages that lack results.
    pub fn incomplete(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.pieces.len()).filter(|&stage| !self.is_complete(stage))
    }

    /// Whether all pieces have results.
    pub fn is_done(&self) -> bool {
        (0..self.pieces.len()).all(|stage| self.is_complete(stage))
    }

    /// Stores the handle of a result and the endpoint that holds it.
    pub fn set_result(
        &mut self,
        stage: usize,
        piece: u32,
        endpoint: id::EndpointId,
        handle: stage::Handle,
    ) {
        if let Some(slot) = self.pieces[stage].get_mut(piece as usize) {
            *slot = Piece::Stored { endpoint, handle };
        }
    }

    fn handles(&self, stage: usize) -> impl Iterator<Item = stage::Handle> + '_ {
        self.pieces[stage].iter().filter_map(|piece| match piece {
            Piece::Stored { handle, .. } => Some(handle.clone()),
            _ => None,
        })
    }

    /// Input of each piece of a stage.
    pub fn input(&self, stage: usize) -> stage::Input {
        let after = &self.job.stages[stage].after;
        let results: Vec<_> = after.iter().flat_map(|&before| self.handles(before)).collect();
        match results.is_empty() {
            true => stage::Input::Key(self.job.key.clone()),
            false => stage::Input::Results(results),
        }
    }

    /// Results of the leaf stages.
    pub fn results(&self) -> Vec<stage::Handle> {
        (0..self.pieces.len())
            .filter(|&stage| self.is_leaf(stage))
            .flat_map(|stage| self.handles(stage))
            .collect()
    }

    fn take_stage(&mut self, stage: usize, into: &mut Vec<StoredResult>) {
        let work = &self.job.stages[stage];
        for slot in &mut self.pieces[stage] {
            if let Piece::Stored { endpoint, handle } = slot {
                let (endpoint, handle) = (std::mem::take(endpoint), std::mem::take(handle));
                into.push((work.service.clone(), endpoint, handle, work.bytes));
                *slot = Piece::Released;
            }
        }
    }

    /// Takes the results that no stage needs any more, and marks them as released.
    pub fn take_used(&mut self) -> Vec<StoredResult> {
        let mut results = Vec::new();
        for stage in 0..self.pieces.len() {
            let used = followers(&self.job.stages, stage).all(|next| self.is_complete(next));
            if used && !self.is_leaf(stage) {
                self.take_stage(stage, &mut results);
            }
        }
        results
    }

    /// Takes all results, and marks them as released.
    pub fn take_all(&mut self) -> Vec<StoredResult> {
        let mut results = Vec::new();
        for stage in 0..self.pieces.len() {
            self.take_stage(stage, &mut results);
        }
        results
    }

    /// Counts a failed or overdue attempt of a piece. Returns the number of such attempts so far.
    pub fn count_failure(&mut self, stage: usize, piece: u32) -> u32 {
        match self.failures[stage].get_mut(piece as usize) {
            Some(count) => {
                *count += 1;
                *count
            }
            None => 0,
        }
    }
}
