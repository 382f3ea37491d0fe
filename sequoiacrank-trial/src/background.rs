//! Background callers that keep up traffic while changes are made.

use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use sequoiacrank_standin::engine;
use sequoiacrank_standin::plain;

use crate::caller;
use crate::declarations;

/// Number of documents that the retriever finds for a query.
const DOCUMENTS: usize = 4;
/// Number of tokens in each answer.
const TOKENS: u32 = 12;
/// Pause of a caller after each request.
const REQUEST_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Counts over all callers.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests; one that was retried after a refusal by a leaving host counts once.
    pub requests: atomic::AtomicU64,
    /// Complete answers with the expected text.
    pub complete: atomic::AtomicU64,
    /// Attempts that a leaving host refused with `run: no` or by closing its port; each was retried
    /// on the next host.
    pub redirected: atomic::AtomicU64,
    /// Description of the first fault.
    pub first_fault: sync::OnceLock<String>,
}

/// Callers that each send one request after the other.
pub struct Background {
    counts: sync::Arc<Counts>,
    stop: sync::Arc<atomic::AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Background {
    /// Starts `callers` threads, which send to `hosts` in turn.
    pub fn start(callers: usize, hosts: &[String], key: &str) -> Background {
        let counts = sync::Arc::<Counts>::default();
        let stop = sync::Arc::<atomic::AtomicBool>::default();
        let threads = (0..callers).map(|number| {
            let (counts, stop) = (counts.clone(), stop.clone());
            let (hosts, key) = (hosts.to_vec(), key.to_owned());
            thread::spawn(move || {
                let mut round = 0;
                while !stop.load(atomic::Ordering::Relaxed) {
                    send_request(&hosts, &key, number, round, &counts);
                    round += 1;
                    thread::sleep(REQUEST_PAUSE);
                }
            })
        });
        let threads = threads.collect();
        Background { counts, stop, threads }
    }

    /// Counts so far.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Stops the callers after their current requests.
    pub fn stop(self) -> sync::Arc<Counts> {
        self.stop.store(true, atomic::Ordering::Relaxed);
        for thread in self.threads {
            if thread.join().is_err() {
                let _ = self.counts.first_fault.set("a caller panicked".into());
            }
        }
        self.counts
    }
}

/// Sends one request, which is retried on the next host if a host is leaving, and checks the
/// answer.
fn send_request(hosts: &[String], key: &str, number: usize, round: usize, counts: &Counts) {
    let input = format!("block {round} seen by caller {number}");
    let expected = expected_answer(&input, TOKENS);
    counts.requests.fetch_add(1, atomic::Ordering::Relaxed);
    for offset in 0..hosts.len() {
        let answer = caller::call(&caller::Request {
            host: hosts[(number + round + offset) % hosts.len()].clone(),
            key: key.to_owned(),
            pipeline: declarations::APPRAISE.into(),
            input: input.clone(),
            tokens: TOKENS,
            idempotency_key: None,
            stream: true,
        });
        match answer {
            _ if answer.is_complete(&expected) => {
                counts.complete.fetch_add(1, atomic::Ordering::Relaxed);
                return;
            }
            _ if answer.is_host_leaving() => {
                counts.redirected.fetch_add(1, atomic::Ordering::Relaxed);
            }
            _ => {
                let caller::Answer { status, fault, text, events, .. } = answer;
                // Only the first fault is recorded.
                let _ = counts
                    .first_fault
                    .set(format!("{status} {fault:?} after {events} events: {text}"));
                return;
            }
        }
    }
    // Only the first fault is recorded.
    let _ = counts.first_fault.set("all hosts are leaving".into());
}

/// The text that the four stages generate from `input`.
pub fn expected_answer(input: &str, tokens: u32) -> String {
    let mut documents = plain::documents(input, DOCUMENTS);
    documents.sort_by(|a, b| engine::score(input, b).total_cmp(&engine::score(input, a)));
    let prompt = std::iter::once(input.to_owned()).chain(documents).collect::<Vec<_>>();
    engine::expected_text(&prompt.join("\n\n"), tokens)
}
