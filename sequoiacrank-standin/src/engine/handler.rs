//! HTTP interface of the engine.

use std::io;
use std::time;

use parking_lot::Mutex;
use serde::Serialize;

use crate::call;
use crate::engine;
use crate::engine::api;
use crate::engine::cache;
use crate::engine::order;
use crate::engine::runner;
use crate::engine::scheduler;
use crate::engine::stream;
use crate::engine::text;
use crate::server;

const ORDER_KINDS: [&str; 4] = ["load-model", "load-adapter", "version", "role"];

/// Handler of an engine.
pub struct Engine {
    runner: runner::Runner,
    orders: Mutex<order::Orders>,
}

/// Answer with events of the prefix cache.
#[derive(Serialize)]
struct Events {
    events: Vec<cache::Event>,
}

impl server::Handler for Engine {
    fn handle(&self, call: call::Call) {
        server::log_unsent(self.answer(call));
    }

    fn on_crash(&self) {
        self.runner.scheduler.on_crash();
        *self.orders.lock() = order::Orders::default();
    }
}

impl Engine {
    pub(crate) fn new(options: engine::Options, shared: server::Shared) -> Engine {
        Engine { runner: runner::Runner::new(options, shared), orders: Mutex::default() }
    }

    pub(crate) fn stats(&self) -> scheduler::Stats {
        self.runner.scheduler.stats()
    }

    pub(crate) fn make_cold(&self) {
        self.runner.scheduler.make_cold();
    }

    fn answer(&self, call: call::Call) -> io::Result<()> {
        let path = call.path.clone();
        match (&call.method, path.as_str()) {
            (tiny_http::Method::Post, "/v1/completions") => self.complete(call, false),
            (tiny_http::Method::Post, "/v1/chat/completions") => self.complete(call, true),
            (tiny_http::Method::Post, "/v1/embeddings") => self.embed(call),
            (tiny_http::Method::Post, "/v1/rerank") => self.rerank(call),
            (tiny_http::Method::Get, "/v1/cache/events") => self.events(call),
            (tiny_http::Method::Get, "/metrics") => self.runner.metrics(call),
            (tiny_http::Method::Get, "/stats") => call.reply().json(200, &self.stats()),
            (tiny_http::Method::Get, "/orders") => call.reply().json(200, &*self.orders.lock()),
            (tiny_http::Method::Get, "/health") => call.reply().json(200, &self.stats()),
            (tiny_http::Method::Post, "/cold") => {
                self.make_cold();
                call.reply().json(200, &self.stats())
            }
            (tiny_http::Method::Post, path) => match path.strip_prefix("/orders/") {
                Some(kind) if ORDER_KINDS.contains(&kind) => self.order(call, kind),
                _ => call.reply().error(404, "no such path"),
            },
            _ => call.reply().error(404, "no such path"),
        }
    }

    fn complete(&self, call: call::Call, chat: bool) -> io::Result<()> {
        let body: api::Completion = match call.json() {
            Ok(body) => body,
            Err(error) => return call.reply().error(400, &error.to_string()),
        };
        let Some(prompt) = body.prompt() else {
            return call.reply().error(400, "prompt or messages are missing");
        };
        let mut state = self.runner.scheduler.state.lock();
        let cached = state.cache.insert(time::Instant::now(), &prompt);
        state.stats.cached += u64::from(cached);
        let version = state.version.clone();
        drop(state);
        let (prompt_tokens, end) = (text::token_count(&prompt), body.max_tokens());
        let next = body.resume_from.min(end);
        let usage = api::Usage {
            prompt_tokens,
            completion_tokens: end - next,
            cached_tokens: cached.min(prompt_tokens),
        };
        let prompt_hash = text::hash(&prompt);
        let generation = stream::Generation { prompt_hash, chat, version, next, end, usage };
        let prefill =
            self.runner.scheduler.options.prefill * (usage.prompt_tokens - usage.cached_tokens);
        match body.stream {
            true => self.stream(call, generation, prefill),
            false => {
                let service_time =
                    prefill + self.runner.scheduler.step_time(1.0) * usage.completion_tokens;
                self.runner.compute(
                    call,
                    service_time,
                    Box::new(move |id, _| generation.whole_body(&id)),
                )
            }
        }
    }

    fn stream(
        &self,
        call: call::Call,
        generation: stream::Generation,
        prefill: time::Duration,
    ) -> io::Result<()> {
        let effect = self.runner.next_effect(&call);
        let start_delay = (prefill + self.runner.scheduler.options.step).mul_f64(effect.slow);
        self.runner.submit(call, effect, start_delay, move |slot, reply| {
            Box::new(stream::Stream::new(generation, effect.slow, reply, slot))
        })
    }

    fn embed(&self, call: call::Call) -> io::Result<()> {
        let inputs = match call.json::<api::Embed>() {
            Ok(api::Embed { input: api::Input::One(text) }) => vec![text],
            Ok(api::Embed { input: api::Input::Many(texts) }) => texts,
            Err(error) => return call.reply().error(400, &error.to_string()),
        };
        let service_time = self.runner.scheduler.options.call_time;
        let compute = move |id, model| {
            let embed = |(index, text): (usize, &String)| api::Embedding {
                index,
                object: "embedding",
                embedding: text::embedding(text),
            };
            let data = inputs.iter().enumerate().map(embed).collect();
            let answer = api::Embeddings { id, object: "list", model, data };
            Ok(serde_json::to_vec(&answer)?)
        };
        self.runner.compute(call, service_time, Box::new(compute))
    }

    fn rerank(&self, call: call::Call) -> io::Result<()> {
        let body: api::Rerank = match call.json() {
            Ok(body) => body,
            Err(error) => return call.reply().error(400, &error.to_string()),
        };
        let service_time = self.runner.scheduler.options.call_time;
        let compute = move |id, model| {
            let rank = |(index, document): (usize, &String)| api::Ranked {
                index,
                relevance_score: text::score(&body.query, document),
            };
            let mut results: Vec<_> = body.documents.iter().enumerate().map(rank).collect();
            results.sort_by(|a, b| b.relevance_score.total_cmp(&a.relevance_score));
            results.truncate(body.top_n.unwrap_or(usize::MAX));
            Ok(serde_json::to_vec(&api::Ranking { id, model, results })?)
        };
        self.runner.compute(call, service_time, Box::new(compute))
    }

    fn events(&self, call: call::Call) -> io::Result<()> {
        let after = call.query_number("after").unwrap_or(0);
        let now = time::Instant::now();
        let events = self.runner.scheduler.state.lock().cache.events(now, after, self.runner.lag());
        call.reply().json(200, &Events { events })
    }

    fn order(&self, call: call::Call, kind: &str) -> io::Result<()> {
        let order: order::Order = match call.json() {
            Ok(order) => order,
            Err(error) => return call.reply().error(400, &error.to_string()),
        };
        let mut orders = self.orders.lock();
        let accepted = orders.accept(kind, &order, self.runner.scheduler.options.fenced);
        let highest = orders.highest;
        drop(orders);
        if !accepted {
            return call.reply().error(409, &format!("fencing number is below {highest}"));
        }
        if kind == "version" {
            self.load_version(order.name);
        }
        call.reply().json(202, &*self.orders.lock())
    }

    /// Switches to another version after [`engine::Options::load_time`]. The engine is cold then.
    fn load_version(&self, version: String) {
        let scheduler = self.runner.scheduler.clone();
        self.runner.shared.timer.run_after(self.runner.scheduler.options.load_time, move || {
            scheduler.state.lock().version = version;
            scheduler.make_cold();
        });
    }
}
