//! Runs the calls of an engine or plain service under its limits and fault switches.

use std::io;
use std::sync;
use std::time;

use parking_lot::Mutex;

use crate::call;
use crate::engine;
use crate::engine::scheduler;
use crate::fault;
use crate::server;
use crate::timer;

const PRIORITY_HEADER: &str = "Sequoiacrank-Priority";
const DEFAULT_PRIORITY: u8 = 100;

/// Computes a whole answer from the attempt id and the version.
pub(crate) type Compute = Box<dyn FnOnce(String, String) -> io::Result<Vec<u8>> + Send>;

/// Runs the calls of one stand-in.
pub(crate) struct Runner {
    pub(crate) scheduler: sync::Arc<scheduler::Scheduler>,
    pub(crate) shared: server::Shared,
}

impl Runner {
    pub(crate) fn new(options: engine::Options, shared: server::Shared) -> Runner {
        Runner { scheduler: scheduler::Scheduler::new(options, shared.timer.clone()), shared }
    }

    /// Answers after `service_time` with the result of `compute`.
    pub(crate) fn compute(
        &self,
        call: call::Call,
        service_time: time::Duration,
        compute: Compute,
    ) -> io::Result<()> {
        self.compute_with_hook(call, service_time, || (), compute)
    }

    /// Like [`Runner::compute`], and calls `on_start` when the call gets a slot.
    pub(crate) fn compute_with_hook<F>(
        &self,
        call: call::Call,
        service_time: time::Duration,
        on_start: F,
        compute: Compute,
    ) -> io::Result<()>
    where
        F: FnOnce() + Send + 'static,
    {
        let effect = self.next_effect(&call);
        let start_delay = service_time.mul_f64(effect.slow);
        let version = self.scheduler.state.lock().version.clone();
        self.submit(call, effect, start_delay, move |slot, reply| {
            on_start();
            Box::new(timer::Once::new(move || {
                slot.record_finished();
                drop(slot);
                let answer = compute(reply.attempt.clone(), version);
                server::log_unsent(answer.and_then(|answer| reply.json_bytes(200, &answer)));
            }))
        })
    }

    /// Submits a call to the scheduler, and answers it with an error if it is refused. Otherwise
    /// `create_task` creates the task that answers it once it has a slot.
    pub(crate) fn submit<F>(
        &self,
        call: call::Call,
        effect: fault::Effect,
        start_delay: time::Duration,
        create_task: F,
    ) -> io::Result<()>
    where
        F: FnOnce(scheduler::Slot, call::Reply) -> Box<dyn timer::Task> + Send + 'static,
    {
        self.scheduler.state.lock().stats.calls += 1;
        let priority = call
            .header(PRIORITY_HEADER)
            .and_then(|text| text.parse().ok())
            .unwrap_or(DEFAULT_PRIORITY);
        let mut reply = call.reply();
        if effect.fault == Some(fault::CallFault::Fail) {
            return reply.error(effect.status, "failed");
        }
        reply.apply(effect);
        // The reply is shared so that it can still be sent if the call is refused.
        let reply = sync::Arc::new(Mutex::new(Some(reply)));
        let shared_reply = reply.clone();
        let create_task = move |slot| match shared_reply.lock().take() {
            Some(reply) => create_task(slot, reply),
            None => Box::new(timer::Once::new(|| ())),
        };
        match (
            self.scheduler.submit(scheduler::Job {
                priority,
                start_delay,
                create_task: Box::new(create_task),
            }),
            reply,
        ) {
            (Ok(()), _) => Ok(()),
            (Err(refusal), reply) => match (refusal, reply.lock().take()) {
                (scheduler::Refusal::Overload, _)
                    if self.scheduler.options.overload == engine::Overload::Crash =>
                {
                    self.shared.crash();
                    Ok(())
                }
                (_, Some(reply)) => reply.error(503, "overloaded"),
                (_, None) => Ok(()),
            },
        }
    }

    /// Decides what the fault switches do to a call.
    pub(crate) fn next_effect(&self, call: &call::Call) -> fault::Effect {
        self.shared.switches.next_effect(call.route(), self.scheduler.load())
    }

    /// Delay in force: the fault switch if it is set, else the option.
    pub(crate) fn lag(&self) -> time::Duration {
        let set = self.shared.switches.get().lag_ms.map(time::Duration::from_millis);
        set.unwrap_or(self.scheduler.options.lag)
    }

    /// Answers with the load report in the text format of Prometheus.
    pub(crate) fn metrics(&self, call: call::Call) -> io::Result<()> {
        let report = self.scheduler.report(self.lag());
        let seconds = |at: time::SystemTime| {
            at.duration_since(time::UNIX_EPOCH).unwrap_or_default().as_secs_f64()
        };
        let at = (seconds(report.at) * 1e3) as u64;
        let text = format!(
            "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running {} {at}\n\
             # TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting {} {at}\n\
             # TYPE vllm:kv_cache_usage_perc gauge\nvllm:kv_cache_usage_perc {} {at}\n\
             # TYPE process_start_time_seconds gauge\nprocess_start_time_seconds {} {at}\n\
             # TYPE engine_version_info gauge\nengine_version_info{{version=\"{}\"}} 1 {at}\n",
            report.running,
            report.waiting,
            report.cache_usage,
            seconds(report.started),
            report.version,
        );
        call.reply().send(200, "text/plain; version=0.0.4", text.as_bytes(), &[])
    }
}
