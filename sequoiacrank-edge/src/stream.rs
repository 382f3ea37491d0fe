//! Streams of server-sent events. They are forwarded to the caller event by event. If one breaks,
//! another endpoint continues it after the last complete event.

mod events;

use std::rc;
use std::time;

use http_body_util::BodyExt as _;
use sequoiacrank_kernel::code;
use sequoiacrank_kernel::edge::fleet;
use tokio::sync::mpsc;
use tokio::task;

use crate::body::Body;
use crate::body::StreamError;
use crate::clock;
use crate::exchange;
use crate::exchange::handover;
use crate::host;
use crate::memory::blocks;
use crate::memory::queue;
use crate::stop;

/// Maximum number of events that are buffered until the caller reads them.
const QUEUE_EVENTS: usize = 16;
/// Time without an event after which a resumable stream goes to another endpoint: callers
/// disconnect after a pause of two seconds.
const STALL_TIMEOUT: time::Duration = time::Duration::from_millis(1000);
/// Pause before a broken stream is sent once more if its last send reached no endpoint.
const RESUME_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Reason in the logs for a stream that has stalled.
const NO_EVENT: &str = "no event in time";
/// Reason in the logs for a stream for which there was no memory until its deadline.
const NO_MEMORY: &str = "no memory";
/// How an endpoint's part of a stream ended.
enum End<'a> {
    /// The endpoint ended the stream.
    Complete,
    /// The caller disconnected.
    CallerGone,
    /// The process ends.
    Exit,
    /// Another endpoint continues the stream while this one is silent.
    Moved(Box<exchange::Upstream>),
    /// The stream broke, or the endpoint is silent: how the call ended, why, and the send to
    /// another endpoint if one was begun.
    Broken(fleet::End, &'static str, Option<handover::Send<'a>>),
}

/// Starts a task that forwards a stream; returns the body that receives it.
pub fn start(exchange: rc::Rc<exchange::Exchange>, upstream: exchange::Upstream) -> Body {
    let (sender, receiver) = mpsc::channel(QUEUE_EVENTS);
    task::spawn_local(forward(exchange, upstream, sender));
    Body::stream(receiver)
}

/// Forwards a stream to its end, from as many endpoints as it takes.
async fn forward(
    exchange: rc::Rc<exchange::Exchange>,
    mut upstream: exchange::Upstream,
    sender: mpsc::Sender<Result<blocks::Chunk, StreamError>>,
) {
    let status = upstream.head.status;
    let first_byte = exchange.host.clock.now().saturating_sub(exchange.began);
    let mut events = events::Events::after(exchange.head.resume);
    let mut queue = queue::Queue::new(&exchange.host.memory);
    let id = exchange.head.attempt.as_str();
    loop {
        let end = tokio::select! {
            biased;
            end = forward_events(&exchange, &mut upstream, &mut events, &mut queue, &sender) => end,
            () = exchange.host.stop.reached(stop::Phase::Ending) => End::Exit,
        };
        match end {
            End::Complete => {
                upstream.call.end(fleet::End::Good);
                if let Some(keep_alive) =
                    upstream.decoded.keep_alive.filter(|_| exchange.route.is_repeatable())
                {
                    exchange.host.pool.put(upstream.connection, keep_alive);
                }
                exchange.record_answered(status, first_byte);
                return;
            }
            End::CallerGone => return log_caller_gone(&exchange),
            End::Exit => return end_early(&exchange, &sender).await,
            End::Moved(next) => {
                events.switch_endpoint();
                log_resumed(&exchange, &next, events.last_id());
                exchange.end_silent(std::mem::replace(&mut upstream, *next).call);
            }
            End::Broken(end, reason, send) => {
                let endpoint = upstream.call.endpoint.clone();
                log::info!(target: "request", id, endpoint = endpoint.as_str(), last = events.last_id(), reason; "stream broken");
                if end == fleet::End::Broken {
                    exchange.record_broken(&endpoint);
                }
                if end == fleet::End::Silent {
                    exchange.record_left(&endpoint);
                }
                upstream.call.end(end);
                // Cancels the work at this endpoint before another one continues the stream.
                drop(upstream.connection);
                events.switch_endpoint();
                let resumed = tokio::select! {
                    biased;
                    () = sender.closed() => return log_caller_gone(&exchange),
                    resumed = resume(&exchange, &events, send) => resumed,
                };
                match resumed {
                    Some(next) => upstream = next,
                    None => return end_early(&exchange, &sender).await,
                }
            }
        }
    }
}

/// Ends a stream before its last event, so that it does not look complete.
async fn end_early(
    exchange: &exchange::Exchange,
    sender: &mpsc::Sender<Result<blocks::Chunk, StreamError>>,
) {
    let id = exchange.head.attempt.as_str();
    exchange.host.metrics.unanswered.with_label_values(&["truncated"]).inc();
    log::warn!(target: "request", id, code = code::Code::OutcomeLost.number(); "stream ended early");
    // This fails only if the caller has disconnected too.
    let _ = sender.send(Err(StreamError::Truncated)).await;
}

fn log_caller_gone(exchange: &exchange::Exchange) {
    let id = exchange.head.attempt.as_str();
    let took = host::millis(exchange.host.clock.now().saturating_sub(exchange.began));
    log::info!(target: "request", id, took, code = code::Code::Cancelled.number(); "caller gone");
}

fn log_resumed(exchange: &exchange::Exchange, upstream: &exchange::Upstream, last: Option<u64>) {
    let status = upstream.head.status.as_u16();
    let id = exchange.head.attempt.as_str();
    log::info!(target: "request", id, endpoint = upstream.call.endpoint.as_str(), last, status; "stream resumed");
}

/// Waits for the endpoint that continues a broken stream after its last event: that of `send`, or
/// another one. Endpoints that cannot be reached do not end the stream.
async fn resume(
    exchange: &exchange::Exchange,
    events: &events::Events,
    mut send: Option<handover::Send<'_>>,
) -> Option<exchange::Upstream> {
    let last = events.last_id();
    if !events.is_resumable() {
        let id = exchange.head.attempt.as_str();
        log::info!(target: "request", id, last; "last event has no id");
        return None;
    }
    let mut permit = None;
    for _ in 0..exchange::MAX_UNREACHED {
        let next = match send.take() {
            Some(send) => send,
            None => {
                let granted = permit.take().filter(|_| exchange.may_repeat());
                let granted = granted.or_else(|| exchange.retry_permit("stream broken"));
                let next = match granted {
                    Some(granted) => Some(exchange.hand_over(last, granted).into_send()),
                    None => exchange.send_back(last),
                };
                let Some(next) = next else {
                    let id = exchange.head.attempt.as_str();
                    log::info!(target: "request", id, last, sends = exchange.send_count(); "no repeat granted");
                    return None;
                };
                next
            }
        };
        match next.await {
            Ok(upstream) if upstream.head.status.is_success() => {
                log_resumed(exchange, &upstream, last);
                return Some(*upstream);
            }
            result => permit = exchange.record_not_taken(result),
        }
        if permit.is_some() {
            tokio::time::sleep(RESUME_PAUSE).await;
        }
    }
    None
}

/// Forwards the events of one endpoint until its answer ends or stalls.
async fn forward_events<'a>(
    exchange: &'a exchange::Exchange,
    upstream: &mut exchange::Upstream,
    events: &mut events::Events,
    queue: &mut queue::Queue,
    sender: &mpsc::Sender<Result<blocks::Chunk, StreamError>>,
) -> End<'a> {
    // Only complete events that are not comments reset this time. A stream that sends other bytes
    // can still stall.
    let mut last_event = exchange.host.clock.now();
    // The endpoint keeps the stream until another one has begun to continue it.
    let mut handover = None;
    let mut permit = None;
    loop {
        let wait_start = exchange.host.clock.now();
        let idle = wait_start.saturating_sub(last_event);
        let may_move = exchange.may_repeat() && events.is_resumable();
        let timeout = match may_move {
            true => STALL_TIMEOUT.saturating_sub(idle).min(exchange.time_left()),
            false => exchange.time_left(),
        };
        if timeout.is_zero() && handover.is_none() {
            if !may_move {
                return End::Broken(fleet::End::Silent, NO_EVENT, None);
            }
            let granted = permit.take().or_else(|| exchange.switch_permit("stream stalled"));
            handover = granted.map(|granted| exchange.hand_over(events.last_id(), granted));
            last_event = wait_start;
            continue;
        }
        let frame = tokio::select! {
            biased;
            () = sender.closed() => return End::CallerGone,
            frame = upstream.body.frame() => Some(frame),
            step = handover::step(&mut handover) => match (step, handover.take()) {
                (handover::Step::Ended(Ok(next)), _) if next.head.status.is_success() => {
                    return End::Moved(next);
                }
                (handover::Step::Ended(result), _) => {
                    permit = exchange.record_not_taken(result);
                    last_event = exchange.host.clock.now();
                    continue;
                }
                (handover::Step::Overlapped, handover) => {
                    let send = handover.map(handover::Handover::into_send);
                    return End::Broken(fleet::End::Silent, NO_EVENT, send);
                }
            },
            () = tokio::time::sleep(timeout), if handover.is_none() => None,
        };
        if exchange.host.clock.now() > wait_start + timeout + clock::MAX_TIMER_DELAY {
            // The process was paused, so events may have arrived but not been read yet.
            last_event = exchange.host.clock.now();
        }
        let bytes = match frame {
            // The next pass finds that the timeout has expired, unless the process was paused.
            None => continue,
            Some(Some(Err(_))) => {
                let send = handover.map(handover::Handover::into_send);
                return End::Broken(fleet::End::Broken, "connection lost", send);
            }
            Some(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Some(None) => {
                let fault = match events.end_fault(upstream.decoded.framed) {
                    None if !upstream.decoded.framed => {
                        let has_crashed = exchange.has_crashed(&upstream.call).await;
                        has_crashed.then_some("ended in a crash")
                    }
                    fault => fault,
                };
                if let Some(fault) = fault {
                    let send = handover.map(handover::Handover::into_send);
                    return End::Broken(fleet::End::Broken, fault, send);
                }
                let rest = events.take_rest();
                if rest.is_empty() {
                    return End::Complete;
                }
                let written = write(exchange, queue, sender, &rest).await;
                return written.err().unwrap_or(End::Complete);
            }
        };
        let held = tokio::select! {
            biased;
            () = sender.closed() => return End::CallerGone,
            held = queue.hold_buffer(events.allocation_for(bytes.len())) => held,
            () = tokio::time::sleep(exchange.time_left()) => {
                let send = handover.map(handover::Handover::into_send);
                return End::Broken(fleet::End::Cancelled, NO_MEMORY, send);
            }
        };
        if held.has_waited {
            // The endpoint was not read meanwhile.
            last_event = exchange.host.clock.now();
        }
        events.push(&bytes);
        while let Some(event) = events.next() {
            // The first event shows that the endpoint has read its inputs, so the stage results can
            // be released.
            exchange.results.borrow_mut().take();
            let comment_only = events::is_comment(&event);
            if let Some(usage) = exchange.usage.as_ref().filter(|_| !comment_only) {
                usage.record_event();
            }
            if let Err(end) = write(exchange, queue, sender, &event).await {
                return end;
            }
            if !comment_only {
                handover = None;
                // Taken after the send, which waits for a slow caller.
                last_event = exchange.host.clock.now();
            }
        }
        events.shrink();
        queue.shrink_buffer(events.allocated());
        if let Some(fault) = events.fault() {
            let send = handover.map(handover::Handover::into_send);
            return End::Broken(fleet::End::Bad, fault, send);
        }
    }
}

/// Queues bytes for the caller once there is memory for them. Streams that hold a buffer and wait
/// here may wait for each other, so the deadline of the request bounds the time.
///
/// # Errors
///
/// How the stream ends if the caller is gone, or there is no memory until the deadline.
async fn write(
    exchange: &exchange::Exchange,
    queue: &queue::Queue,
    sender: &mpsc::Sender<Result<blocks::Chunk, StreamError>>,
    bytes: &[u8],
) -> Result<(), End<'static>> {
    let chunk = tokio::select! {
        biased;
        () = sender.closed() => return Err(End::CallerGone),
        chunk = queue.event(bytes) => chunk,
        () = tokio::time::sleep(exchange.time_left()) => {
            return Err(End::Broken(fleet::End::Cancelled, NO_MEMORY, None));
        }
    };
    sender.send(Ok(chunk)).await.map_err(|_| End::CallerGone)
}
