//! Structured logs on standard output. They go through a bounded queue; lines that do not fit are
//! dropped and counted.

use std::fmt;
use std::io;
use std::io::Write as _;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use crossbeam::channel;
use logforth::append;
use logforth::kv;
use logforth::record;
use quick_error::quick_error;
use sequoiacrank_config::edge;

/// Capacity of the queue in lines.
const QUEUE_LINES: usize = 4096;
/// Number of queued lines above which only warnings and errors are accepted.
const ROUTINE_LINES: usize = QUEUE_LINES / 4 * 3;
/// Time between two writes. The writer sleeps in between, as each wake-up costs processor time.
const WRITE_INTERVAL: time::Duration = time::Duration::from_millis(200);

quick_error! {
    /// Why logs could not be set up.
    #[derive(Debug)]
    pub enum Error {
        /// The logs of this process are already set up.
        AlreadySetUp {
            display("logs are set up already")
        }
        /// The writer thread can't be started.
        Thread(error: io::Error) {
            from()
            display("can't start the log writer thread: {error}")
            source(error)
        }
    }
}

static DROPPED: atomic::AtomicU64 = atomic::AtomicU64::new(0);
/// Number of routine lines, which are below the level of warnings, since the last write.
static RECENT_ROUTINE: atomic::AtomicU64 = atomic::AtomicU64::new(0);
static LINES: sync::OnceLock<(channel::Sender<String>, channel::Receiver<String>)> =
    sync::OnceLock::new();

/// Number of lines dropped because the queue was full or too many lines came at once.
pub fn dropped() -> u64 {
    DROPPED.load(atomic::Ordering::Relaxed)
}

#[derive(Debug)]
struct Queue {
    host: String,
    /// Maximum number of routine lines between two writes.
    max_routine: u64,
}

struct Fields(serde_json::Map<String, serde_json::Value>);

impl kv::Visitor for Fields {
    fn visit(
        &mut self,
        key: kv::KeyView<'_>,
        value: kv::ValueView<'_>,
    ) -> Result<(), logforth::Error> {
        let value: serde_json::Value = match () {
            () if let Some(number) = value.to_u64() => number.into(),
            () if let Some(number) = value.to_i64() => number.into(),
            () if let Some(number) = value.to_f64() => number.into(),
            () if let Some(flag) = value.to_bool() => flag.into(),
            () => value.to_string().into(),
        };
        // An `Option` that is `None`.
        if value == "<none>" {
            return Ok(());
        }
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

impl append::Append for Queue {
    fn append(
        &self,
        record: &record::Record<'_>,
        _: &[Box<dyn logforth::Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let Some((lines, _)) = LINES.get() else { return Ok(()) };
        // Refusals, failures and losses are logged as warnings. They are dropped only when the
        // queue is full.
        let is_routine = record.level() > record::Level::Warn;
        let is_over_rate =
            || RECENT_ROUTINE.fetch_add(1, atomic::Ordering::Relaxed) >= self.max_routine;
        if lines.is_full() || (is_routine && (lines.len() > ROUTINE_LINES || is_over_rate())) {
            DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
            return Ok(());
        }
        let mut fields = Fields(serde_json::Map::new());
        let at = record.time().duration_since(time::UNIX_EPOCH).unwrap_or_default();
        fields.0.insert("at".into(), (at.as_millis() as u64).into());
        fields.0.insert("host".into(), self.host.clone().into());
        fields.0.insert("kind".into(), record.target().into());
        fields.0.insert("event".into(), fmt::format(record.payload()).into());
        record.key_values().visit(&mut fields)?;
        if lines.try_send(serde_json::Value::Object(fields.0).to_string()).is_err() {
            DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        flush();
        Ok(())
    }
}

/// Writes all queued lines to standard output.
pub fn flush() {
    let Some((_, lines)) = LINES.get() else { return };
    RECENT_ROUTINE.store(0, atomic::Ordering::Relaxed);
    let mut text = String::new();
    for line in lines.try_iter() {
        text.push_str(&line);
        text.push('\n');
    }
    // The host goes on serving if standard output is closed.
    let _ = io::stdout().write_all(text.as_bytes());
}

/// Sets up the logs of the process and starts the writer thread.
///
/// # Errors
///
/// When the logs are already set up, or the writer thread can't be started.
pub fn setup(host: &str, settings: &edge::Log) -> Result<(), Error> {
    LINES.set(channel::bounded(QUEUE_LINES)).map_err(|_| Error::AlreadySetUp)?;
    let max_routine = u64::from(settings.lines) * WRITE_INTERVAL.as_millis() as u64 / 1000;
    let queue = Queue { host: host.to_owned(), max_routine };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(queue))
        .try_apply()
        .map_err(|_| Error::AlreadySetUp)?;
    log::set_max_level(settings.level);
    let write = || loop {
        thread::sleep(WRITE_INTERVAL);
        flush();
    };
    thread::Builder::new().name("logs".into()).stack_size(64 << 10).spawn(write)?;
    Ok(())
}
