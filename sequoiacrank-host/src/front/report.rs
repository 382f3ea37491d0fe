//! Reports for operators: moves, status, readiness and metrics.

use std::io;

use crate::engine;
use crate::front::access;
use crate::front::exchange;

/// `GET /v1/moves`.
pub fn moves(engine: &engine::Engine, exchange: exchange::Exchange) -> io::Result<()> {
    match access::operator(&engine.settings, &exchange) {
        Ok(()) => exchange.json(200, &engine.status().moves().to_string()),
        Err(problem) => exchange.problem(&problem),
    }
}

/// `GET /v1/status`.
pub fn status(engine: &engine::Engine, exchange: exchange::Exchange) -> io::Result<()> {
    match access::operator(&engine.settings, &exchange) {
        Ok(()) => exchange.json(200, &engine.status().all().to_string()),
        Err(problem) => exchange.problem(&problem),
    }
}

/// `GET /readyz`.
pub fn ready(engine: &engine::Engine, exchange: exchange::Exchange) -> io::Result<()> {
    match engine.ready() {
        true => exchange.text(200, "ready\n"),
        false => exchange.text(503, "not ready\n"),
    }
}

/// `GET /metrics`.
pub fn metrics(engine: &engine::Engine, exchange: exchange::Exchange) -> io::Result<()> {
    let text = engine.metrics_text();
    exchange.answer(200, "text/plain; version=0.0.4", &[], &text)
}
