//! A running generation, which sends one token per step.

use std::io;
use std::sync;
use std::time;

use crate::call;
use crate::engine::api;
use crate::engine::scheduler;
use crate::engine::text;
use crate::fault;
use crate::timer;

const STALL_TIME: time::Duration = time::Duration::from_secs(60);
const GARBAGE_EVENT: &str = "{\"choices\":[{\"te\u{fffd}";
const DONE_EVENT: &str = "[DONE]";

/// Text to generate: tokens from `next` up to but not including `end`.
pub(crate) struct Generation {
    pub(crate) prompt_hash: u64,
    pub(crate) chat: bool,
    pub(crate) version: String,
    pub(crate) next: u32,
    pub(crate) end: u32,
    pub(crate) usage: api::Usage,
}

impl Generation {
    /// Body of one event.
    fn chunk(&self, id: &str, token: &str, last: bool) -> io::Result<String> {
        let mut choice =
            api::Choice { finish_reason: last.then_some("length"), ..Default::default() };
        let object = match self.chat {
            true => {
                choice.delta = Some(api::Delta { role: "assistant", content: token });
                "chat.completion.chunk"
            }
            false => {
                choice.text = Some(token);
                "text_completion"
            }
        };
        let usage = last.then_some(self.usage);
        let chunk = api::Chunk { id, object, model: &self.version, choices: [choice], usage };
        Ok(serde_json::to_string(&chunk)?)
    }

    /// Body of an answer that is not streamed.
    pub(crate) fn whole_body(&self, id: &str) -> io::Result<Vec<u8>> {
        let text: String =
            (self.next..self.end).map(|index| text::token(self.prompt_hash, index)).collect();
        let mut choice = api::Choice { finish_reason: Some("length"), ..Default::default() };
        let object = match self.chat {
            true => {
                choice.message = Some(api::Delta { role: "assistant", content: &text });
                "chat.completion"
            }
            false => {
                choice.text = Some(&text);
                "text_completion"
            }
        };
        let usage = Some(self.usage);
        let chunk = api::Chunk { id, object, model: &self.version, choices: [choice], usage };
        Ok(serde_json::to_vec(&chunk)?)
    }
}

/// A generation that is streamed while it holds a slot.
pub(crate) struct Stream {
    generation: Generation,
    slow: f64,
    /// `None` once the answer has ended.
    reply: Option<call::Reply>,
    /// Released just before the client can see that the answer has ended.
    slot: Option<scheduler::Slot>,
    scheduler: sync::Arc<scheduler::Scheduler>,
    started: bool,
    stalled: bool,
    /// Index of the token at which a fault takes effect.
    fault_at: u32,
}

/// What follows a step.
enum Next {
    Step,
    Stall,
    End,
}

impl Stream {
    pub(crate) fn new(
        generation: Generation,
        slow: f64,
        reply: call::Reply,
        slot: scheduler::Slot,
    ) -> Stream {
        let fault_at = generation.next + generation.end.saturating_sub(generation.next) / 2;
        let (scheduler, slot) = (slot.scheduler.clone(), Some(slot));
        Stream {
            generation,
            slow,
            reply: Some(reply),
            slot,
            scheduler,
            started: false,
            stalled: false,
            fault_at,
        }
    }

    /// Sends the next token, or applies the fault that is due instead.
    fn send_token(&mut self) -> io::Result<Next> {
        let Some(reply) = &mut self.reply else { return Ok(Next::End) };
        match reply.fault {
            _ if self.stalled => return Ok(Next::End),
            Some(fault::CallFault::Lost) => return Ok(self.close()),
            _ if !self.started => {
                reply.resume_from = self.generation.next;
                reply.begin_stream()?;
            }
            _ => {}
        }
        self.started = true;
        match reply.fault.filter(|_| self.generation.next == self.fault_at) {
            Some(fault::CallFault::Stall) => {
                self.stalled = true;
                return Ok(Next::Stall);
            }
            Some(fault::CallFault::Truncate) => return Ok(self.close()),
            Some(fault::CallFault::Garbage) => {
                reply.send_event(GARBAGE_EVENT)?;
                return Ok(self.close());
            }
            _ => {}
        }
        self.send_next()
    }

    fn send_next(&mut self) -> io::Result<Next> {
        let Some(reply) = &mut self.reply else { return Ok(Next::End) };
        let last = self.generation.next + 1 >= self.generation.end;
        if self.generation.next < self.generation.end {
            let token = text::token(self.generation.prompt_hash, self.generation.next);
            reply.send_event(&self.generation.chunk(&reply.attempt, token, last)?)?;
            self.generation.next += 1;
            self.scheduler.state.lock().stats.tokens += 1;
        }
        match last {
            true => self.end(),
            false => Ok(Next::Step),
        }
    }

    /// Ends the stream.
    fn end(&mut self) -> io::Result<Next> {
        if let Some(mut reply) = self.reply.take() {
            self.release_slot(scheduler::Slot::record_finished);
            reply.send_event(DONE_EVENT)?;
            if reply.fault == Some(fault::CallFault::Twice) {
                let first = self.generation.chunk(
                    &reply.attempt,
                    text::token(self.generation.prompt_hash, 0),
                    true,
                )?;
                reply.send_event(&first)?;
                reply.send_event(DONE_EVENT)?;
            }
            reply.end_stream()?;
        }
        Ok(Next::End)
    }

    /// Closes the connection without ending the stream.
    fn close(&mut self) -> Next {
        self.release_slot(scheduler::Slot::record_finished);
        self.reply = None;
        Next::End
    }

    /// Releases the slot after `record` has counted the call.
    fn release_slot(&mut self, record: fn(&scheduler::Slot)) {
        if let Some(slot) = self.slot.take() {
            record(&slot);
        }
    }
}

impl timer::Task for Stream {
    fn step(&mut self, now: time::Instant) -> Option<time::Instant> {
        match self.send_token() {
            Ok(Next::Step) => Some(now + self.scheduler.step_time(self.slow)),
            Ok(Next::Stall) => Some(now + STALL_TIME),
            Ok(Next::End) => None,
            Err(_) => {
                self.release_slot(scheduler::Slot::record_cancelled);
                None
            }
        }
    }
}
