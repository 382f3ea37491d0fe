//! The thread that runs the agreement state machine: it handles events one at a time and executes
//! the resulting commands in order.

use std::sync;
use std::time;

use crossbeam::channel;
use sequoiacrank_config::declare;
use sequoiacrank_kernel::agree;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::log;
use sequoiacrank_kernel::message;
use sequoiacrank_kernel::plan;
use sequoiacrank_kernel::traffic;

use crate::engine;
use crate::follower;

/// Interval between tick events to the state machine.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Name of the document in parse errors.
const DOCUMENT: &str = "-";

/// Runs the agreement state machine and executes its commands.
pub struct Agreement {
    engine: sync::Arc<engine::Engine>,
    state_machine: agree::StateMachine,
    follower: sync::Arc<follower::Follower>,
}

/// Options of the state machine, taken from the settings.
pub fn options(
    settings: &sequoiacrank_config::settings::Settings,
    incarnation: id::Incarnation,
) -> agree::Options {
    agree::Options {
        host: settings.host.clone(),
        incarnation,
        shards: settings.claims.shards,
        retention: settings.claims.retention,
        window: settings.claims.window,
        batch_interval: settings.claims.group,
        check: sync::Arc::new(check),
    }
}

/// Validates a document of declarations; the error lists all problems, one a line.
fn check(document: &str) -> Result<(), String> {
    match declare::parse(DOCUMENT, document) {
        Ok(_) => Ok(()),
        Err(problems) => {
            let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
            Err(lines.join("\n"))
        }
    }
}

impl Agreement {
    /// Creates the state machine and executes its first commands.
    pub fn new(
        engine: sync::Arc<engine::Engine>,
        follower: sync::Arc<follower::Follower>,
    ) -> Agreement {
        let options = options(&engine.settings, engine.incarnation);
        let (state_machine, commands) = agree::StateMachine::new(options, engine.clock.now());
        let mut agreement = Agreement { engine, state_machine, follower };
        agreement.execute(commands);
        agreement
    }

    /// Handles events until `stop` closes.
    pub fn run(mut self, events: &channel::Receiver<agree::Event>, stop: &channel::Receiver<()>) {
        let ticks = channel::tick(TICK_INTERVAL);
        loop {
            let event = channel::select! {
                recv(events) -> event => event,
                recv(ticks) -> _ => Ok(agree::Event::Tick),
                recv(stop) -> _ => return,
            };
            let Ok(event) = event else { return };
            let commands = self.state_machine.handle(self.engine.clock.now(), event);
            self.execute(commands);
        }
    }

    fn execute(&mut self, commands: Vec<agree::Command>) {
        for command in commands {
            match command {
                agree::Command::Append { ticket, stream, writer, entries } => {
                    self.follower.append(ticket, stream, writer, entries);
                }
                agree::Command::Follow { stream, from } => self.follower.follow(stream, from),
                agree::Command::Unfollow(stream) => self.follower.unfollow(stream),
                agree::Command::Claimed { key, request, answer } => {
                    self.handle_claim_answer(key, request, answer)
                }
                agree::Command::Applied { ticket, verdict } => {
                    self.engine.finish_apply(ticket, verdict);
                }
                agree::Command::InForce { revision, document } => {
                    self.engine.activate(revision, &document);
                }
                agree::Command::Latched(latch) => self.engine.apply_latch(latch),
                agree::Command::Send { to, message } => self.engine.peers.send(&to, message),
                agree::Command::Left => {
                    self.engine.has_left.store(true, sync::atomic::Ordering::Release);
                }
            }
        }
    }

    fn handle_claim_answer(
        &self,
        key: id::Key,
        request: id::RequestId,
        answer: message::ClaimAnswer,
    ) {
        let granted = answer == message::ClaimAnswer::Granted;
        let session = self.engine.sessions.get(request);
        let still_running = granted && session.is_some_and(|session| session.record_grant());
        match granted {
            // The request ended before its claim was granted, so it never runs.
            true if !still_running => {
                let end = log::End::NotRun;
                self.engine.notify_agreement(agree::Event::Ended { key, request, end });
            }
            _ => self.engine.handle_traffic(traffic::Event::Claimed { request, answer }),
        }
    }
}

impl engine::Engine {
    fn finish_apply(&self, ticket: id::Ticket, result: engine::ApplyResult) {
        if let Some(sender) = self.pending_applies.lock().remove(&ticket) {
            // The caller may have stopped waiting.
            let _ = sender.send(result);
        }
    }

    fn activate(&self, revision: id::Revision, document: &str) {
        let mut plan: plan::Plan = match declare::parse(DOCUMENT, document) {
            Ok(plan) => plan,
            Err(problems) => {
                ::log::error!(revision, problems = problems.len(); "the accepted declarations are invalid");
                return;
            }
        };
        plan.revision = revision;
        let plan = sync::Arc::new(plan);
        let mut configuration = self.configuration.write();
        if configuration.plan.revision >= revision {
            return;
        }
        let event = traffic::Event::Plan(sync::Arc::clone(&plan));
        let commands = self.traffic.handle(self.clock.now(), event);
        *configuration = engine::Configuration { plan, document: document.into() };
        drop(configuration);
        let plan = self.plan();
        self.reports.lock().retain(|endpoint, _| plan.endpoints.contains_key(endpoint));
        ::log::info!(host = self.settings.host, revision; "configuration in force");
        self.execute(commands);
    }

    fn apply_latch(&self, latch: log::Latch) {
        ::log::info!(host = self.settings.host, latch:? = latch; "latched");
        self.latches.lock().insert(latch.clone());
        self.handle_traffic(traffic::Event::Latched(latch));
    }
}
