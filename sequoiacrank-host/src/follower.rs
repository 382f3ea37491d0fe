//! Threads that append to the platform's log and read the streams that agreement follows.

use std::collections;
use std::io;
use std::sync;
use std::thread;
use std::time;

use crossbeam::channel;
use sequoiacrank_kernel::agree;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::log;

use crate::peers;
use crate::platform;

/// Interval between reads of a followed stream; an append leads to a read at once.
const READ_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// Time that each listed host adds to the interval between reads of the configuration, which is at
/// least [`READ_INTERVAL`]. All hosts read this stream, so the interval grows with their number to
/// bound their total rate of reads.
const READ_INTERVAL_PER_HOST: time::Duration = time::Duration::from_millis(3);
/// Number of threads that append. A stream always uses the same one, which keeps its appends in
/// order.
const APPENDERS: usize = 4;
/// Most pages read of one stream before the next stream is read.
const MAX_PAGES_PER_READ: usize = 16;
const STACK_BYTES: usize = 512 * 1024;

/// An append that was requested and not made yet.
struct Append {
    ticket: id::Ticket,
    stream: log::Stream,
    writer: log::Writer,
    entries: Vec<log::Entry>,
}

/// Reads and appends streams for the agreement thread.
pub struct Follower {
    appends: Vec<channel::Sender<Append>>,
    readers: [sync::Arc<Reader>; 2],
}

/// Interval between reads of the configuration when `hosts` hosts share the log.
pub fn config_interval(hosts: usize) -> time::Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    READ_INTERVAL.max(READ_INTERVAL_PER_HOST.saturating_mul(hosts))
}

/// The streams that one thread reads.
struct Reader {
    peers: sync::Arc<peers::Peers>,
    log: sync::Arc<dyn platform::Log>,
    events: channel::Sender<agree::Event>,
    followed: parking_lot::Mutex<collections::BTreeMap<log::Stream, id::Offset>>,
    read_requests: channel::Sender<log::Stream>,
}

/// Starts the threads, which end when `stop` closes.
///
/// # Errors
///
/// An error of the system if a thread can't be started.
pub fn start(
    log: sync::Arc<dyn platform::Log>,
    events: channel::Sender<agree::Event>,
    peers: &sync::Arc<peers::Peers>,
    stop: &channel::Receiver<()>,
) -> io::Result<sync::Arc<Follower>> {
    let config = start_reader("log-config", &log, &events, peers, stop)?;
    let claims = start_reader("log-claims", &log, &events, peers, stop)?;
    let mut appends = Vec::with_capacity(APPENDERS);
    let readers = [config, claims];
    for _ in 0..APPENDERS {
        let (sender, receiver) = channel::unbounded();
        let appender = Appender {
            log: sync::Arc::clone(&log),
            events: events.clone(),
            readers: readers.clone(),
        };
        let stop = stop.clone();
        spawn("log-append", move || appender.run(&receiver, &stop))?;
        appends.push(sender);
    }
    Ok(sync::Arc::new(Follower { appends, readers }))
}

fn spawn<F>(name: &str, run: F) -> io::Result<()>
where
    F: FnOnce() + Send + 'static,
{
    thread::Builder::new().name(name.into()).stack_size(STACK_BYTES).spawn(run).map(drop)
}

fn start_reader(
    name: &str,
    log: &sync::Arc<dyn platform::Log>,
    events: &channel::Sender<agree::Event>,
    peers: &sync::Arc<peers::Peers>,
    stop: &channel::Receiver<()>,
) -> io::Result<sync::Arc<Reader>> {
    let (read_requests, requested) = channel::unbounded();
    let (log, events) = (sync::Arc::clone(log), events.clone());
    let peers = sync::Arc::clone(peers);
    let reader = sync::Arc::new(Reader {
        peers,
        log,
        events,
        followed: parking_lot::Mutex::default(),
        read_requests,
    });
    let (thread_reader, stop) = (sync::Arc::clone(&reader), stop.clone());
    spawn(name, move || thread_reader.run(&requested, &stop))?;
    Ok(reader)
}

/// Index of the reader of a stream. Claims and the configuration have separate readers, so that
/// neither waits for the other.
fn reader_index(stream: log::Stream) -> usize {
    match stream {
        log::Stream::Config => 0,
        log::Stream::Claims(_) => 1,
    }
}

impl Follower {
    /// Appends a record; the result arrives as [`agree::Event::Appended`].
    pub fn append(
        &self,
        ticket: id::Ticket,
        stream: log::Stream,
        writer: log::Writer,
        entries: Vec<log::Entry>,
    ) {
        let thread = match stream {
            log::Stream::Config => 0,
            log::Stream::Claims(shard) => 1 + shard as usize % (APPENDERS - 1),
        };
        // Fails only after the threads have ended with the host.
        let _ = self.appends[thread].send(Append { ticket, stream, writer, entries });
    }

    /// Reads a stream from offset `from` until [`Follower::unfollow`].
    pub fn follow(&self, stream: log::Stream, from: id::Offset) {
        let reader = &self.readers[reader_index(stream)];
        reader.followed.lock().insert(stream, from);
        let _ = reader.read_requests.send(stream);
    }

    /// Stops reading a stream.
    pub fn unfollow(&self, stream: log::Stream) {
        self.readers[reader_index(stream)].followed.lock().remove(&stream);
    }
}

/// State of one thread that appends.
struct Appender {
    log: sync::Arc<dyn platform::Log>,
    events: channel::Sender<agree::Event>,
    readers: [sync::Arc<Reader>; 2],
}

impl Appender {
    fn run(&self, appends: &channel::Receiver<Append>, stop: &channel::Receiver<()>) {
        loop {
            let append = channel::select! {
                recv(appends) -> append => append,
                recv(stop) -> _ => return,
            };
            let Ok(Append { ticket, stream, writer, entries }) = append else { return };
            let result = self.log.append(stream, &writer, &entries);
            if result != agree::AppendResult::Yes {
                ::log::warn!(stream:? = stream, taken:? = result; "an append was not confirmed");
            }
            let _ = self.events.send(agree::Event::Appended { ticket, result });
            let _ = self.readers[reader_index(stream)].read_requests.send(stream);
        }
    }
}

impl Reader {
    fn run(&self, requested: &channel::Receiver<log::Stream>, stop: &channel::Receiver<()>) {
        let mut due = time::Instant::now();
        loop {
            channel::select! {
                recv(requested) -> stream => {
                    let Ok(stream) = stream else { return };
                    self.read(stream);
                }
                recv(channel::at(due)) -> _ => {
                    let streams: Vec<log::Stream> = self.followed.lock().keys().copied().collect();
                    due = time::Instant::now() + self.interval(&streams);
                    streams.into_iter().for_each(|stream| self.read(stream));
                }
                recv(stop) -> _ => return,
            }
        }
    }

    fn interval(&self, streams: &[log::Stream]) -> time::Duration {
        match streams {
            [log::Stream::Config] => config_interval(self.peers.count()),
            _ => READ_INTERVAL,
        }
    }

    /// Reads a followed stream to its end, or at most [`MAX_PAGES_PER_READ`] pages.
    fn read(&self, stream: log::Stream) {
        for _ in 0..MAX_PAGES_PER_READ {
            let Some(from) = self.followed.lock().get(&stream).copied() else { return };
            let page = match self.log.read(stream, from) {
                Ok(page) => page,
                Err(error) => {
                    ::log::debug!(stream:? = stream, error; "reading a stream of the log failed");
                    return;
                }
            };
            let platform::Page { records, first, end } = page;
            let next = next_offset(from, first, &records);
            let is_empty = records.is_empty();
            let _ = self.events.send(agree::Event::Read { stream, records, first, end });
            if let Some(offset) = self.followed.lock().get_mut(&stream)
                && *offset == from
            {
                *offset = next;
            }
            if is_empty || next >= end || next == from {
                return;
            }
        }
    }
}

/// The offset of the next read: after the records without a gap from `from`, or from the oldest
/// kept record if that is later.
fn next_offset(from: id::Offset, first: id::Offset, records: &[log::Record]) -> id::Offset {
    let offsets: collections::BTreeSet<id::Offset> =
        records.iter().map(|record| record.offset).collect();
    let mut next = from.max(first);
    for offset in offsets {
        if offset == next {
            next += 1;
        }
    }
    next
}
