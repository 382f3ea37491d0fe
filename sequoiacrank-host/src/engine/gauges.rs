//! Gauges of a host, set whenever metrics are requested.

use std::sync;
use std::sync::atomic;

use sequoiacrank_kernel::log;

use crate::engine;
use crate::gate;
use crate::pool;

/// Parts of the front whose state is shown in gauges.
pub struct Front {
    /// Counters of the gate.
    pub counters: sync::Arc<gate::Counters>,
    /// Pool of threads that serve requests.
    pub pool: sync::Arc<pool::Pool>,
}

impl engine::Engine {
    /// Sets the front whose state is shown in gauges; calls after the first have no effect.
    pub fn set_front(&self, front: Front) {
        // A host has one front, so a second one is ignored.
        let _ = self.front.set(front);
    }

    /// All metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        // Gauges are reset and set again, so concurrent callers would see partial values.
        let _guard = self.render_lock.lock();
        self.metrics.reset_gauges();
        self.set_host_gauges();
        self.set_traffic_gauges();
        self.set_move_gauges();
        self.metrics.render()
    }

    fn set_host_gauges(&self) {
        let host = &self.settings.host;
        let set = |name, value| self.metrics.set_gauge(name, host, value);
        set("revision", self.plan().revision as i64);
        set("ready", i64::from(self.ready()));
        set("requests_running", self.sessions.running() as i64);
        self.metrics.set_gauge("threads", "call", self.runner.threads() as i64);
        if let Some(front) = self.front.get() {
            set("connections", front.counters.open.load(atomic::Ordering::Relaxed) as i64);
            self.metrics.set_gauge("threads", "request", front.pool.threads() as i64);
        }
    }

    fn set_traffic_gauges(&self) {
        let metrics = &self.metrics;
        for status in self.traffic.endpoints(self.clock.now()) {
            let set = |name, value| metrics.set_gauge(name, &status.endpoint, value);
            set("endpoint_limit", status.limit.into());
            set("endpoint_slots", status.slots.into());
            set("endpoint_calls", i64::from(status.in_flight) + i64::from(status.borrowed));
            set("endpoint_lent", status.lent.into());
            set("endpoint_usable", status.usable.into());
        }
        for status in self.traffic.services() {
            metrics.set_gauge("queue_length", &status.service, status.waiting as i64);
        }
    }

    fn set_move_gauges(&self) {
        let latches = self.latches.lock().clone();
        for status in self.traffic.moves(self.clock.now()) {
            let ended = match () {
                () if latches.contains(&log::Latch::TakenBack(status.id.clone())) => -1,
                () if latches.contains(&log::Latch::Done(status.id.clone())) => 1,
                () => 0,
            };
            self.metrics.set_gauge("move_share_per_mille", &status.id, status.share.into());
            self.metrics.set_gauge("move_ended", &status.id, ended);
        }
    }
}
