//! Stage work of a request.

use sequoiacrank_kernel::code;
use sequoiacrank_kernel::edge::stage;

use crate::exchange;
use crate::host;
use crate::refusal;
use crate::stages;

impl exchange::Exchange {
    /// The stage work of the request; `None` if it has no pieces.
    fn stage_work(&self) -> Option<Vec<stage::Work>> {
        let pieces = |stage: usize| self.head.pieces.get(stage).copied().unwrap_or_default();
        let stages = self.route.stages.iter().enumerate();
        let work = stages.map(|(index, it)| stage::Work {
            service: it.service.clone(),
            after: it.after.clone(),
            bytes: it.bytes,
            pieces: pieces(index),
        });
        let work: Vec<_> = work.collect();
        work.iter().any(|it| it.pieces > 0).then_some(work)
    }

    /// Obtains the stage results that the request needs.
    ///
    /// # Errors
    ///
    /// When no endpoint accepts the request, or the stage work is refused or fails.
    pub async fn run_stages(&self) -> Result<(), refusal::Refusal> {
        let Some(stages) = self.stage_work() else { return Ok(()) };
        self.reserve().await?;
        let request_time = self.host.request_times.borrow().get(&self.route.name).copied();
        let job = stage::Job {
            request: self.head.attempt.clone(),
            key: self.head.piece_key.clone(),
            stages,
            target_time: self.target_time,
            deadline: self.deadline,
            rank: self.rank,
            request_time: request_time.unwrap_or(exchange::DEFAULT_REQUEST_TIME),
            zone: self.target_zone(),
        };
        let began = self.host.clock.now();
        let shard = self.host.facts.borrow().shards.choose(job.zone.as_deref(), rand::random());
        let results = stages::obtain(&self.host, &shard, job).await;
        let took = host::millis(self.host.clock.now().saturating_sub(began));
        let id = self.head.attempt.as_str();
        match results {
            Ok(results) => {
                log::info!(target: "request", id, results = results.handles.len(), took; "stages done");
                *self.results.borrow_mut() = Some(results);
                Ok(())
            }
            Err(refusal) => {
                let reason = format!("{refusal:?}");
                log::warn!(target: "request", id, took, reason = reason.as_str(); "stages refused");
                match refusal {
                    stages::Refusal::Late(after) => Err(refusal::Refusal {
                        retry_after: Some(after),
                        ..refusal::Refusal::new(code::Code::TooSlow)
                    }),
                    stages::Refusal::Failed => {
                        Err(refusal::Refusal::retry_soon(code::Code::QueueFull))
                    }
                }
            }
        }
    }
}
