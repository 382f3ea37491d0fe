//! Calls to the platform's API, which only the holder of the lease makes.

use std::cell;
use std::rc;
use std::time;

use bytes::Bytes;
use quick_error::quick_error;
use sequoiacrank_adapter::duty;
use sequoiacrank_config::edge;
use sequoiacrank_kernel::edge::memory as account;
use sequoiacrank_kernel::edge::pace;
use sequoiacrank_kernel::id;

use crate::client;
use crate::duties;
use crate::host;
use crate::memory::blocks;

/// Part of the rate of the API that a holder uses. Its successor may call within the same second.
const RATE_PART: f64 = 0.5;
/// Time within which a call has to be answered. A planned stop waits this long for calls in flight.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Answers that take longer delay the next call by the time that they took.
const SLOW_ANSWER: time::Duration = time::Duration::from_millis(400);
/// Time without calls after a failed one, doubled with each further failure in a row.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(250);
/// Maximum number of doublings of [`FIRST_PAUSE`].
const MAX_PAUSE_DOUBLINGS: u32 = 3;
/// Time after which a call that waits for its turn checks again whether the lease is held.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

quick_error! {
    /// Why a call was not carried out, or is not known to be.
    #[derive(Debug)]
    pub enum Error {
        /// This host may not act now. Nothing was sent.
        NotHeld {
            display("the lease is not held")
        }
        /// The API has seen a higher token; this host has dropped the lease.
        Fenced {
            display("a higher token was seen")
        }
        /// The API accepts no calls at the moment. The call was not carried out.
        Busy(status: u16) {
            display("status {status}")
        }
        /// The API could not be reached. Nothing was sent.
        Unsent(error: client::Error) {
            display("{error}")
            source(error)
        }
        /// There is no answer. The call may have been carried out, or may yet be.
        Unknown(error: client::Error) {
            display("{error}")
            source(error)
        }
        /// The status has no defined meaning. The call may have been carried out.
        Odd(status: u16) {
            display("unexpected status {status}")
        }
        /// The request cannot be built. Nothing was sent.
        Request(error: serde_json::Error) {
            from()
            display("request cannot be encoded: {error}")
            source(error)
        }
    }
}

impl Error {
    /// Name of the outcome in metrics.
    fn outcome(&self) -> &'static str {
        match self {
            Error::NotHeld => "not_held",
            Error::Fenced => "fenced",
            Error::Busy(_) => "busy",
            Error::Unsent(_) => "unsent",
            Error::Unknown(_) | Error::Odd(_) => "unknown",
            Error::Request(_) => "invalid",
        }
    }
}

/// Rate and failures of this host's calls to the API.
#[derive(Default)]
pub struct Api {
    pace: cell::RefCell<pace::Pace>,
    /// Failures in a row.
    failures: cell::Cell<u32>,
    /// Time until which no call is sent.
    paused_until: cell::Cell<id::Time>,
    in_flight: cell::Cell<usize>,
}

/// Counts a call as in flight until it is dropped.
struct InFlight<'a>(&'a Api);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get().saturating_sub(1));
    }
}

impl Api {
    /// Number of calls in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    fn begin(&self) -> InFlight<'_> {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(self)
    }

    /// Records that a call was carried out; `took` is the time from its send to its answer.
    fn record_done(&self, now: id::Time, took: time::Duration) {
        self.failures.set(0);
        let pause = if took > SLOW_ANSWER { took } else { time::Duration::ZERO };
        // A call that failed meanwhile may have set a later time.
        self.paused_until.set(self.paused_until.get().max(now + pause));
    }

    /// Records a failed call. Returns how long no call is sent.
    fn record_failure(&self, now: id::Time) -> time::Duration {
        let pause = FIRST_PAUSE * (1 << self.failures.get().min(MAX_PAUSE_DOUBLINGS));
        self.failures.set(self.failures.get().saturating_add(1));
        self.paused_until.set(now + pause);
        pause
    }

    /// Time until a call may be sent at `rate` calls per second. Zero reserves the turn.
    fn take_turn(&self, now: id::Time, rate: f64) -> time::Duration {
        let mut pace = self.pace.borrow_mut();
        let paused = self.paused_until.get().saturating_sub(now);
        let wait = pace.wait(now, rate).max(paused);
        if wait.is_zero() {
            pace.record(now);
        }
        wait
    }
}

/// Makes a call with the fencing token of the lease. It waits until the rate of the API allows the
/// call; `build` makes the request right before it is sent. `name` is logged.
///
/// # Errors
///
/// When this host does not hold the lease, or the API has not answered that the call is done.
pub async fn call<F>(host: &rc::Rc<host::Host>, name: &'static str, build: F) -> Result<(), Error>
where
    F: FnOnce(duty::Holder<'_>) -> Result<http::Request<Bytes>, serde_json::Error>,
{
    let Some(settings) = &host.settings.platform_api else { return Err(Error::NotHeld) };
    let mut token = 0;
    let result = match wait_turn(host, settings).await {
        Ok(()) => attempt(host, settings, &mut token, build).await,
        Err(err) => Err(err),
    };
    let outcome = result.as_ref().err().map_or("done", Error::outcome);
    host.metrics.duty_calls.with_label_values(&[name, outcome]).inc();
    match &result {
        Ok(()) => record_answer(host),
        Err(err) => record_error(host, name, token, err),
    }
    result
}

/// Waits until the rate and earlier failures allow a call.
async fn wait_turn(host: &rc::Rc<host::Host>, settings: &edge::PlatformApi) -> Result<(), Error> {
    loop {
        if host.duties.token() == 0 {
            return Err(Error::NotHeld);
        }
        let wait = host.duties.api.take_turn(duties::steady_now(), settings.rate * RATE_PART);
        if wait.is_zero() {
            return Ok(());
        }
        tokio::time::sleep(wait.min(CHECK_INTERVAL)).await;
    }
}

/// Sends one request. Stores the token that it carries in `token`.
async fn attempt<F>(
    host: &rc::Rc<host::Host>,
    settings: &edge::PlatformApi,
    token: &mut u64,
    build: F,
) -> Result<(), Error>
where
    F: FnOnce(duty::Holder<'_>) -> Result<http::Request<Bytes>, serde_json::Error>,
{
    let api = &host.duties.api;
    // Answers do not name their request, so each call has a connection of its own.
    let mut connection = host.pool.connect_direct(settings.address).await.map_err(Error::Unsent)?;
    let _in_flight = api.begin();
    *token = host.duties.token();
    if *token == 0 {
        return Err(Error::NotHeld);
    }
    let request = build(duty::Holder { host: &host.settings.host, token: *token })?;
    let request = request.map(blocks::Blocks::from);
    let sent = duties::steady_now();
    let exchange = async {
        let (head, body) = connection.send(request).await?.into_parts();
        if let Err(err) = client::read_body(&host.memory, account::Class::Control, body).await {
            // The status counts nevertheless.
            log::debug!(target: "duties", err = err.to_string().as_str(); "body of an answer lost");
        }
        Ok::<_, client::Error>(head.status)
    };
    let status = match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
        Ok(Ok(status)) => status,
        Ok(Err(err)) if err.is_unsent() => return Err(Error::Unsent(err)),
        Ok(Err(err)) => return Err(Error::Unknown(err)),
        Err(_) => return Err(Error::Unknown(client::Error::Timeout)),
    };
    match duty::outcome(status) {
        duty::Outcome::Done => {
            let now = duties::steady_now();
            api.record_done(now, now.saturating_sub(sent));
            Ok(())
        }
        duty::Outcome::Fenced => Err(Error::Fenced),
        duty::Outcome::Busy => Err(Error::Busy(status.as_u16())),
        duty::Outcome::Unknown => Err(Error::Odd(status.as_u16())),
    }
}

fn record_answer(host: &host::Host) {
    if let Some(lease) = &host.duties.lease {
        lease.borrow_mut().record_answer();
    }
}

/// Records and logs a failed call.
fn record_error(host: &host::Host, name: &'static str, token: u64, err: &Error) {
    let Some(lease) = &host.duties.lease else { return };
    let now = duties::steady_now();
    match err {
        Error::NotHeld => {
            log::debug!(target: "duties", call = name; "not sent without the lease");
            return;
        }
        Error::Request(err) => {
            log::error!(target: "duties", call = name, err = err.to_string().as_str(); "call cannot be encoded");
            return;
        }
        Error::Fenced => {
            let holder = host.settings.host.as_str();
            log::warn!(target: "duties", holder, token, call = name; "fenced");
            lease.borrow_mut().record_answer();
            lease.borrow_mut().record_fenced(now, token);
            host.duties.changed.notify_one();
            return;
        }
        Error::Busy(_) => lease.borrow_mut().record_answer(),
        Error::Unsent(_) | Error::Unknown(_) | Error::Odd(_) => {
            lease.borrow_mut().record_silence(now);
        }
    }
    let next = host::millis(host.duties.api.record_failure(now));
    log::warn!(target: "duties", call = name, token, err = err.to_string().as_str(), next; "call failed");
}
