//! Structured logs on standard output, through a bounded queue that drops and counts.

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

/// Lines that wait to be written at most.
const QUEUE: usize = 4096;
/// Lines that wait from which on only warnings and errors are taken.
const ROUTINE: usize = QUEUE / 4 * 3;
/// Time between two writes. Each wake-up of the writer costs processor time.
const PAUSE: time::Duration = time::Duration::from_millis(200);

quick_error! {
    /// Why logs could not be set up.
    #[derive(Debug)]
    pub enum Error {
        /// They were set up before.
        Twice {
            display("logs are set up already")
        }
        /// The writer can't be started.
        Thread(error: io::Error) {
            from()
            display("the writer of logs can't be started: {error}")
            source(error)
        }
    }
}

static DROPPED: atomic::AtomicU64 = atomic::AtomicU64::new(0);
/// Routine lines since the last write.
static RECENT: atomic::AtomicU64 = atomic::AtomicU64::new(0);
static LINES: sync::OnceLock<(channel::Sender<String>, channel::Receiver<String>)> =
    sync::OnceLock::new();

/// Lines that were left out because the queue was full, or because too many came.
pub fn dropped() -> u64 {
    DROPPED.load(atomic::Ordering::Relaxed)
}

#[derive(Debug)]
struct Queue {
    host: String,
    /// Routine lines between two writes at most.
    most: u64,
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
        // An input that there was not.
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
        // Refusals, failures and losses are logged as warnings and are the last to be left out.
        let routine = record.level() > record::Level::Warn;
        let much = || RECENT.fetch_add(1, atomic::Ordering::Relaxed) >= self.most;
        if lines.is_full() || (routine && (lines.len() > ROUTINE || much())) {
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

/// Writes all lines that wait.
pub fn flush() {
    let Some((_, lines)) = LINES.get() else { return };
    RECENT.store(0, atomic::Ordering::Relaxed);
    let mut text = String::new();
    for line in lines.try_iter() {
        text.push_str(&line);
        text.push('\n');
    }
    // Nobody may be reading; the host serves all the same.
    let _ = io::stdout().write_all(text.as_bytes());
}

/// Sets up the logs of the process, once.
///
/// # Errors
///
/// When they were set up before, or the writer can't be started.
pub fn setup(host: &str, settings: &edge::Log) -> Result<(), Error> {
    LINES.set(channel::bounded(QUEUE)).map_err(|_| Error::Twice)?;
    let most = u64::from(settings.lines) * PAUSE.as_millis() as u64 / 1000;
    let queue = Queue { host: host.to_owned(), most };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(queue))
        .try_apply()
        .map_err(|_| Error::Twice)?;
    log::set_max_level(settings.level);
    let write = || loop {
        thread::sleep(PAUSE);
        flush();
    };
    thread::Builder::new().name("logs".into()).stack_size(64 << 10).spawn(write)?;
    Ok(())
}
