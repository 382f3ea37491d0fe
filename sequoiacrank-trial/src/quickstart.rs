//! The quickstart: shows and checks the main features on one machine in under two minutes.

use std::fmt;
use std::sync::atomic;
use std::thread;
use std::time;

use quick_error::quick_error;
use sequoiacrank_kernel::code;
use sequoiacrank_standin::Faults;
use serde::Serialize;

use crate::background;
use crate::caller;
use crate::declarations;
use crate::operator;
use crate::site;

/// Number of background callers.
const CALLERS: usize = 8;
/// Number of four-stage requests in the first step.
const FIRST_REQUESTS: usize = 30;
/// Number of bids; each is sent by two callers concurrently and then once more.
const BIDS: usize = 20;
/// Time within which a move must be done.
const MOVE_TIME: time::Duration = time::Duration::from_secs(24);
/// Largest share of requests on the new version before it is judged good, in thousandths.
const EARLY_PER_MILLE: u32 = 100;
/// Time after which a zone that was taken out of service must get no new call.
const ZONE_EXIT_BOUND: time::Duration = time::Duration::from_secs(3);
/// How long calls are counted while a zone is out, and again after it is back.
const ZONE_OBSERVATION: time::Duration = time::Duration::from_secs(3);
/// How long to wait for a configuration to be in force on all hosts.
const IN_FORCE_TIMEOUT: time::Duration = time::Duration::from_secs(7);
/// Interval at which the state of hosts is read.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

quick_error! {
    /// Why the quickstart was aborted.
    #[derive(Debug)]
    pub enum Error {
        /// The site did not start.
        Site(err: site::Error) {
            from()
            display("{err}")
        }
        /// An operator's call failed.
        Operator(err: operator::Error) {
            from()
            display("{err}")
        }
        /// A state was not reached in time.
        Timeout(what: String) {
            display("timed out waiting for {what}")
        }
    }
}

/// Result of one step.
#[derive(Clone, Debug, Serialize)]
pub struct Step {
    /// What was checked.
    pub name: &'static str,
    /// Whether the check passed.
    #[serde(rename = "held")]
    pub passed: bool,
    /// Measured figures, as text.
    pub detail: String,
}

/// Result of the quickstart.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Steps in the order in which they ran.
    pub steps: Vec<Step>,
}

impl Outcome {
    /// Whether every step passed.
    pub fn passed(&self) -> bool {
        !self.steps.is_empty() && self.steps.iter().all(|step| step.passed)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in &self.steps {
            let sign = if step.passed { "ok  " } else { "FAIL" };
            writeln!(f, "{sign} {:<28} {}", step.name, step.detail)?;
        }
        Ok(())
    }
}

/// Receives a line of text before each step.
pub type Progress<'a> = &'a dyn Fn(&str);

/// Runs the quickstart.
pub fn run(progress: Progress<'_>) -> Result<Outcome, Error> {
    progress("starting stand-ins and three hosts on loopback");
    let mut run = Run { site: site::Site::start()?, outcome: Outcome::default() };
    run.apply()?;
    run.site.wait_ready()?;
    progress("sending four-stage requests through each host");
    run.check_requests();
    progress("sending bids that may run at most once, three times each");
    run.check_bids();
    let background = background::Background::start(CALLERS, &run.site.urls(), site::KEY);
    progress("moving to a good version under traffic");
    run.check_good_move()?;
    progress("moving to a bad version, which fails half of its calls, under traffic");
    run.check_bad_move()?;
    progress("taking an availability zone out of service and back in under traffic");
    run.check_zone()?;
    progress("stopping a host under traffic");
    run.check_stop();
    run.check_background(background);
    run.check_cold_starts();
    Ok(run.outcome)
}

struct Run {
    site: site::Site,
    outcome: Outcome,
}

impl Run {
    fn record(&mut self, name: &'static str, passed: bool, detail: String) {
        self.outcome.steps.push(Step { name, passed, detail });
    }

    /// Applies the declarations and waits until they are in force on all hosts; returns the time it
    /// took.
    fn apply(&mut self) -> Result<time::Duration, Error> {
        let hosts = self.site.urls();
        let start = time::Instant::now();
        let revision = operator::apply(&hosts[0], &self.site.declarations.text())?;
        wait(IN_FORCE_TIMEOUT, "a configuration in force on all hosts", || {
            hosts.iter().all(|host| operator::revision(host) >= revision)
        })?;
        Ok(start.elapsed())
    }

    fn check_requests(&mut self) {
        let hosts = self.site.urls();
        let mut complete = 0;
        let mut first = Vec::new();
        let mut fault = String::new();
        for number in 0..FIRST_REQUESTS {
            let input = format!("dossier of block {number}");
            let request = caller::Request {
                host: hosts[number % hosts.len()].clone(),
                key: site::KEY.into(),
                pipeline: declarations::APPRAISE.into(),
                input: input.clone(),
                tokens: 40,
                idempotency_key: None,
                stream: true,
            };
            let answer = caller::call(&request);
            match answer.is_complete(&background::expected_answer(&input, 40)) {
                true => complete += 1,
                false => fault = format!("; {} {:?} {}", answer.status, answer.fault, answer.text),
            }
            first.extend(answer.first_text);
        }
        first.sort_unstable();
        let median = first.get(first.len() / 2).copied().unwrap_or_default();
        let detail = format!(
            "{complete} of {FIRST_REQUESTS} complete; first token {median:.1?} (median){fault}"
        );
        self.record("four-stage requests", complete == FIRST_REQUESTS, detail);
    }

    fn check_bids(&mut self) {
        let hosts = self.site.urls();
        let mut agreed = 0;
        let mut fault = String::new();
        let start = time::Instant::now();
        for number in 0..BIDS {
            let request = |host: usize| caller::Request {
                host: hosts[host % hosts.len()].clone(),
                key: site::KEY.into(),
                pipeline: declarations::BID.into(),
                input: format!("bid {number}"),
                tokens: 1,
                idempotency_key: None,
                stream: false,
            };
            let key = Some(uuid::Uuid::now_v7());
            let keyed = |host| caller::Request { idempotency_key: key, ..request(host) };
            let second = thread::spawn({
                let request = keyed(number + 1);
                move || caller::call(&request)
            });
            let first = caller::call(&keyed(number));
            // A panic of the thread counts as no answer.
            let second = second.join().unwrap_or_default();
            let third = caller::call(&keyed(number + 2));
            match third.status == 200 && have_same_answer(&[&first, &second], &third) {
                true => agreed += 1,
                false => {
                    fault = format!(
                        "; {} {} {}: {}",
                        first.status, second.status, third.status, third.text
                    )
                }
            }
        }
        let per_bid = start.elapsed() / BIDS as u32;
        let keys = self.site.runs();
        let runs: u64 = keys.values().sum();
        let repeated = keys.values().filter(|count| **count > 1).count();
        let passed = agreed == BIDS && runs == BIDS as u64 && repeated == 0;
        let detail = format!(
            "{runs} runs for {BIDS} keys, {repeated} more than once, \
             {agreed} with consistent answers; {per_bid:.0?} for three calls{fault}"
        );
        self.record("at-most-once bids", passed, detail);
    }

    fn start_move(&mut self, service: &str) -> Result<String, Error> {
        let start = time::SystemTime::now();
        let id = format!("{service}-v2");
        self.site.declarations.moves.push(declarations::Move {
            id: id.clone(),
            service: service.into(),
            start,
            finish: start + MOVE_TIME,
            early_share: EARLY_PER_MILLE,
        });
        self.apply()?;
        Ok(id)
    }

    /// Waits for the end of a move; returns the state that hosts report, or several joined by `/`,
    /// and the time it took.
    fn wait_move_end(&self, id: &str) -> (String, time::Duration) {
        let hosts = self.site.urls();
        let start = time::Instant::now();
        let state = || {
            let mut states: Vec<String> =
                hosts.iter().map(|host| operator::move_state(host, id)).collect();
            states.dedup();
            states.join("/")
        };
        let ended = |state: &str| matches!(state, "done" | "taken_back");
        // A move that does not end in time is reported with its current state.
        let _ = wait(MOVE_TIME + IN_FORCE_TIMEOUT, "the end of a move", || ended(&state()));
        (state(), start.elapsed())
    }

    fn check_good_move(&mut self) -> Result<(), Error> {
        let id = self.start_move("model")?;
        let (state, elapsed) = self.wait_move_end(&id);
        let calls = self.site.calls(|e| e.service == "model" && e.version == "v2");
        let detail = format!(
            "{state} after {elapsed:.1?} of {MOVE_TIME:?}; {calls} calls of the new version"
        );
        self.record("good version", state == "done" && elapsed <= MOVE_TIME, detail);
        Ok(())
    }

    fn check_bad_move(&mut self) -> Result<(), Error> {
        for standin in &self.site.engines {
            if standin.declaration.service == "ranker" && standin.declaration.version == "v2" {
                let call = Some(sequoiacrank_standin::CallFault::Fail);
                standin.running.set_faults(Faults { call, share: 0.5, ..Default::default() });
            }
        }
        let id = self.start_move("ranker")?;
        let (state, elapsed) = self.wait_move_end(&id);
        let calls = |site: &site::Site| site.calls(|e| e.service == "ranker" && e.version == "v2");
        let received = calls(&self.site);
        thread::sleep(time::Duration::from_secs(1));
        let later = calls(&self.site) - received;
        let passed = state == "taken_back" && later == 0;
        let detail = format!(
            "{state} after {elapsed:.1?}; {received} calls of the new version, \
             {later} in the next second"
        );
        self.record("bad version", passed, detail);
        Ok(())
    }

    fn check_zone(&mut self) -> Result<(), Error> {
        let zone = site::ZONES[1];
        let calls = |site: &site::Site| site.calls(|e| e.zone == zone);
        self.site.declarations.out_zones = vec![zone.into()];
        let elapsed = self.apply()?;
        thread::sleep(ZONE_EXIT_BOUND.saturating_sub(elapsed));
        let before = calls(&self.site);
        thread::sleep(ZONE_OBSERVATION);
        let during = calls(&self.site) - before;
        self.site.declarations.out_zones.clear();
        self.apply()?;
        thread::sleep(ZONE_OBSERVATION);
        let after = calls(&self.site) - before - during;
        let detail = format!(
            "in force after {elapsed:.1?}; \
             {during} new calls in {ZONE_OBSERVATION:?} out of service, \
             {after} in {ZONE_OBSERVATION:?} back in service"
        );
        self.record("availability zone out and back", during == 0 && after > 0, detail);
        Ok(())
    }

    fn check_stop(&mut self) {
        let start = time::Instant::now();
        if let Some(host) = self.site.hosts.pop() {
            host.stop();
            let outcome = host.wait();
            let passed = outcome == sequoiacrank_host::Outcome::Clean;
            self.record(
                "planned stop",
                passed,
                format!("{outcome:?} after {:.1?}", start.elapsed()),
            );
        }
    }

    fn check_background(&mut self, background: background::Background) {
        thread::sleep(time::Duration::from_secs(1));
        let counts = background.stop();
        let count = |counter: &atomic::AtomicU64| counter.load(atomic::Ordering::Relaxed);
        let (requests, complete) = (count(&counts.requests), count(&counts.complete));
        let fault = counts.first_fault.get().map(|fault| format!("; {fault}")).unwrap_or_default();
        let detail = format!(
            "{complete} of {requests} complete, {} refusals by a leaving host{fault}",
            count(&counts.redirected)
        );
        self.record("answers during all changes", requests > 0 && complete == requests, detail);
    }

    fn check_cold_starts(&mut self) {
        let overloads = self.site.overloads();
        self.record(
            "cold starts",
            overloads == 0,
            format!("{overloads} calls over the capacity of their endpoint"),
        );
    }
}

/// Whether each of `answers` either equals the last one or says that the key is still pending.
fn have_same_answer(answers: &[&caller::Answer], last: &caller::Answer) -> bool {
    let body = |answer: &caller::Answer| answer.problem()["answer"].clone();
    answers.iter().all(|answer| match answer.status {
        200 => body(answer) == body(last),
        _ => answer.problem()["code"] == code::Code::KeyPending.number(),
    })
}

fn wait<F>(timeout: time::Duration, what: &str, mut done: F) -> Result<(), Error>
where
    F: FnMut() -> bool,
{
    let start = time::Instant::now();
    while !done() {
        if start.elapsed() > timeout {
            return Err(Error::Timeout(what.into()));
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
