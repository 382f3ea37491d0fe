//! Steps of a request on a connection of the gate, from its head to the end of its response.

use std::io;
use std::sync::atomic;
use std::time;

use sequoiacrank_kernel::code;

use crate::gate::connection;
use crate::gate::head;
use crate::gate::poll;
use crate::problem;

/// Most concurrent requests that neither run a pipeline nor follow a request, such as health
/// checks.
const MAX_CONTROL_REQUESTS: usize = 32;
/// Largest body that does not count against [`MAX_BUFFERED_BYTES`].
const MAX_SMALL_BODY_BYTES: usize = 4 * 1024;
/// Most bytes of larger bodies that are buffered at a time, in all connections.
const MAX_BUFFERED_BYTES: usize = 64 * 1024 * 1024;

impl poll::Loop {
    /// Enters the next phase if the head or body of the request is complete; returns whether more
    /// can be done at once.
    pub(super) fn advance(&mut self, slot: usize, now: time::Instant) -> bool {
        let Some(connection) = self.connections[slot].as_mut() else { return false };
        match &connection.phase {
            connection::Phase::Head if connection.input.is_empty() => false,
            connection::Phase::Head => {
                match head::parse(connection.input.bytes(), &self.options.bounds) {
                    Ok(None) => false,
                    Ok(Some(head)) => self.head_received(slot, head, now),
                    Err(problem) => self.refuse(slot, &problem, now),
                }
            }
            connection::Phase::Body(head) if connection.input.len() >= head.body_bytes => {
                self.forward(slot, now)
            }
            _ => false,
        }
    }

    fn head_received(&mut self, slot: usize, head: head::Head, now: time::Instant) -> bool {
        if head.body_bytes > MAX_SMALL_BODY_BYTES
            && self.buffered_bytes + head.body_bytes > MAX_BUFFERED_BYTES
        {
            let full =
                problem::Problem::refused(code::Code::QueueFull, "too many bodies are under way");
            return self.refuse(slot, &full, now);
        }
        if head.body_bytes > MAX_SMALL_BODY_BYTES {
            self.buffered_bytes += head.body_bytes;
        }
        let deadline = now + self.options.bounds.idle;
        self.update(slot, |connection| {
            connection.input.skip(head.head_bytes);
            if head.expect_continue && connection.input.len() < head.body_bytes {
                connection.send_continue();
            }
            connection.enter(connection::Phase::Body(head), Some(deadline));
        });
        true
    }

    pub(super) fn refuse(
        &mut self,
        slot: usize,
        problem: &problem::Problem,
        now: time::Instant,
    ) -> bool {
        self.counters.refused.fetch_add(1, atomic::Ordering::Relaxed);
        self.end_request(slot, true);
        self.update(slot, |connection| connection.refuse(problem, now));
        true
    }

    fn forward(&mut self, slot: usize, now: time::Instant) -> bool {
        let Some(connection) = self.connections[slot].as_mut() else { return false };
        let connection::Phase::Body(head) = &connection.phase else { return false };
        let full = match head.long_running {
            true => self.long_running >= self.options.bounds.requests,
            false => self.control_requests >= MAX_CONTROL_REQUESTS,
        };
        if full {
            let mut full =
                problem::Problem::refused(code::Code::QueueFull, "too many requests are running");
            full.retry_after = Some(time::Duration::from_secs(1));
            return self.refuse(slot, &full, now);
        }
        let head = head.clone();
        match self.relay(slot, &head) {
            Ok(relay) => {
                self.release_body(slot);
                self.update(slot, |connection| {
                    connection.enter(connection::Phase::Relay(relay), None);
                });
                self.update_counters(head.long_running, true);
                true
            }
            Err(error) => {
                log::error!(error:% = error; "connecting to the internal HTTP server failed");
                let down = problem::Problem::refused(code::Code::NotReady, "the host is stopping");
                self.refuse(slot, &down, now)
            }
        }
    }

    fn relay(&mut self, slot: usize, head: &head::Head) -> io::Result<connection::Relay> {
        let mut internal = mio::net::TcpStream::connect(self.options.internal)?;
        internal.set_nodelay(true)?;
        self.register(&mut internal, slot, 1)?;
        self.last_number += 1;
        let number = self.last_number;
        let gate_header = head::GateHeader { secret: self.options.secret.clone(), number };
        let mut request = head.lines.clone();
        let last_lines =
            format!("{}: {}\r\nConnection: close\r\n\r\n", head::GATE_HEADER, gate_header.value());
        request.extend_from_slice(last_lines.as_bytes());
        if let Some(connection) = self.connections[slot].as_mut() {
            request.extend_from_slice(&connection.input.bytes()[..head.body_bytes]);
            connection.input.skip(head.body_bytes);
        }
        self.callers.add(number);
        Ok(connection::Relay::new(internal, number, head, &request))
    }

    pub(super) fn response_sent(&mut self, slot: usize, now: time::Instant) {
        self.end_request(slot, true);
        let deadline = now + self.options.bounds.idle;
        let stamp = self.next_stamp();
        self.update(slot, |connection| {
            connection.enter(connection::Phase::Head, Some(deadline));
            connection.stamp = stamp;
        });
        self.idle_queue.push_back((slot, stamp));
    }

    fn update_counters(&mut self, long_running: bool, started: bool) {
        let count = if long_running { &mut self.long_running } else { &mut self.control_requests };
        *count = if started { *count + 1 } else { count.saturating_sub(1) };
        let relayed = self.long_running + self.control_requests;
        self.counters.relayed.store(relayed, atomic::Ordering::Relaxed);
    }

    /// Subtracts the body of a connection from the buffered bytes.
    fn release_body(&mut self, slot: usize) {
        let phase = self.connections[slot].as_ref().map(|connection| &connection.phase);
        if let Some(connection::Phase::Body(head)) = phase
            && head.body_bytes > MAX_SMALL_BODY_BYTES
        {
            self.buffered_bytes = self.buffered_bytes.saturating_sub(head.body_bytes);
        }
    }

    /// Ends the current request of a connection.
    pub(super) fn end_request(&mut self, slot: usize, completed: bool) {
        self.release_body(slot);
        let Some(connection) = self.connections[slot].as_mut() else { return };
        let connection::Phase::Relay(relay) = &mut connection.phase else { return };
        let (long_running, number) = (relay.long_running, relay.number);
        // Errors are ignored, since the registration ends with the socket, which is dropped with the
        // phase.
        let _ = self.poll.registry().deregister(&mut relay.internal);
        match completed {
            true => self.callers.remove(number),
            false => self.callers.notify_disconnect(number),
        }
        self.update_counters(long_running, false);
    }

    pub(super) fn close(&mut self, slot: usize) {
        self.end_request(slot, false);
        let Some(mut connection) = self.connections[slot].take() else { return };
        let _ = self.poll.registry().deregister(&mut connection.caller);
        self.free_slots.push(slot);
        self.counters.open.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
