//! Measures what messages to peers cost: bytes on the wire and CPU time per envelope.
//!
//! Usage: `cost [ENVELOPES] [INTERVAL_MS]`. Client and server run in this process, connected by a
//! relay that counts bytes.

use std::env;
use std::error;
use std::fs;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use crossbeam::channel;
use prost::Message as _;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::message;
use sequoiacrank_peer::client;
use sequoiacrank_peer::event;
use sequoiacrank_peer::server;
use sequoiacrank_peer::wire;

const ROUND_INTERVAL: time::Duration = time::Duration::from_secs(1);
const MANY_ROUNDS: u32 = 10;
const TIMEOUT: time::Duration = time::Duration::from_secs(10);

type Outcome<T> = Result<T, Box<dyn error::Error + Send + Sync>>;

struct NoStreams;

impl event::Source for NoStreams {
    fn follow(&self, _: id::RequestId, _: u64) -> Option<channel::Receiver<event::StreamEvent>> {
        None
    }
}

/// Copies bytes from one stream to another and counts them.
fn copy(mut from: net::TcpStream, mut to: net::TcpStream, count: &atomic::AtomicU64) {
    let mut bytes = [0; 16 << 10];
    loop {
        match from.read(&mut bytes) {
            Ok(length) if length > 0 && to.write_all(&bytes[..length]).is_ok() => {
                count.fetch_add(length as u64, atomic::Ordering::Relaxed);
            }
            _ => return,
        }
    }
}

#[derive(Default)]
struct Counts {
    forward: atomic::AtomicU64,
    back: atomic::AtomicU64,
}

impl Counts {
    fn read(&self) -> (u64, u64) {
        (self.forward.load(atomic::Ordering::Relaxed), self.back.load(atomic::Ordering::Relaxed))
    }
}

/// Starts a relay of one connection to `to`; returns its address and its byte counts.
fn relay(to: net::SocketAddr) -> io::Result<(net::SocketAddr, sync::Arc<Counts>)> {
    let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let counts = sync::Arc::new(Counts::default());
    let relay_counts = counts.clone();
    thread::spawn(move || -> io::Result<()> {
        let (client, _) = listener.accept()?;
        let server = net::TcpStream::connect(to)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (client_clone, server_clone, back_counts) =
            (client.try_clone()?, server.try_clone()?, relay_counts.clone());
        thread::spawn(move || copy(server_clone, client_clone, &back_counts.back));
        copy(client, server, &relay_counts.forward);
        Ok(())
    });
    Ok((address, counts))
}

/// CPU time in seconds of all threads whose name starts with `name`.
fn thread_time(name: &str) -> Outcome<f64> {
    let mut sum = 0.0;
    for task in fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        if fs::read_to_string(path.join("comm"))?.starts_with(name) {
            let stat = fs::read_to_string(path.join("schedstat"))?;
            sum += stat.split(' ').next().unwrap_or_default().parse::<f64>()? / 1e9;
        }
    }
    Ok(sum)
}

fn digest(endpoints: usize) -> message::Message {
    let endpoint = |number| message::EndpointDigest {
        endpoint: format!("endpoint-{number:04}"),
        generation: 3,
        limit: 48,
        in_flight: 12,
        latency: time::Duration::from_micros(71_234),
        finished: 123_456,
    };
    let endpoints = (0..endpoints).map(endpoint).collect();
    message::Message::Digest(message::Digest { endpoints, ..Default::default() })
}

fn measure(
    name: &str,
    message: message::Message,
    envelopes: u32,
    interval: time::Duration,
) -> Outcome<()> {
    let (sender, inbound) = channel::unbounded();
    let server = server::Server::start(Default::default(), sender, sync::Arc::new(NoStreams))?;
    let client = client::Client::start(client::Options::new("host-017".into(), 1 << 60))?;
    let (address, counts) = relay(server.address())?;
    client.send(address, message.clone());
    inbound.recv_timeout(TIMEOUT)?;
    thread::sleep(interval);
    let (forward, back) = counts.read();
    let (sent, received) = (thread_time("peer-client")?, thread_time("peer-server")?);
    let mut delays = Vec::new();
    for _ in 0..envelopes {
        let start_time = time::Instant::now();
        client.send(address, message.clone());
        inbound.recv_timeout(TIMEOUT)?;
        delays.push(start_time.elapsed().as_micros());
        thread::sleep(interval);
    }
    delays.sort();
    let (forward, back) = (counts.read().0 - forward, counts.read().1 - back);
    let (sent, received) =
        (thread_time("peer-client")? - sent, thread_time("peer-server")? - received);
    let count = f64::from(envelopes);
    println!(
        "{name:24} message {:5} B, there {:7.1} B, back {:5.1} B, sender {:5.1} us, receiver {:5.1} us, \
         median delay {} us",
        wire::Message::from(message).encoded_len(),
        forward as f64 / count,
        back as f64 / count,
        sent * 1e6 / count,
        received * 1e6 / count,
        delays[delays.len() / 2],
    );
    Ok(())
}

/// Measures a host that sends the same message to `peers` peers in each round.
fn measure_many(peers: usize, message: &message::Message, rounds: u32) -> Outcome<()> {
    let (sender, inbound) = channel::unbounded();
    let start = |_| {
        let source = sync::Arc::new(NoStreams);
        server::Server::start(Default::default(), sender.clone(), source)
    };
    let servers: Vec<_> = (0..peers).map(start).collect::<Result<_, _>>()?;
    let client = client::Client::start(client::Options::new("host-017".into(), 1 << 60))?;
    let mut sent = 0.0;
    for round in 0..=rounds {
        // The first round opens the connections and is not counted.
        if round == 1 {
            sent = thread_time("peer-client")?;
        }
        servers.iter().for_each(|server| client.send(server.address(), message.clone()));
        for _ in 0..peers {
            inbound.recv_timeout(TIMEOUT)?;
        }
        thread::sleep(ROUND_INTERVAL);
    }
    let sent = thread_time("peer-client")? - sent;
    let each = sent * 1e6 / f64::from(rounds) / peers as f64;
    println!(
        "to {peers} peers at a time, each {ROUND_INTERVAL:?}: sender {each:.1} us per envelope"
    );
    Ok(())
}

fn main() -> Outcome<()> {
    let mut args = env::args().skip(1).map(|arg| arg.parse::<u32>());
    let envelopes = args.next().transpose()?.unwrap_or(500);
    let interval = time::Duration::from_millis(args.next().transpose()?.unwrap_or(10).into());
    measure("no payload", message::Message::AskRevision, envelopes, interval)?;
    measure("digest of 1 endpoint", digest(1), envelopes, interval)?;
    measure("digest of 10 endpoints", digest(10), envelopes, interval)?;
    measure("digest of 100 endpoints", digest(100), envelopes, interval)?;
    measure_many(6, &digest(10), MANY_ROUNDS)?;
    measure_many(75, &digest(10), MANY_ROUNDS)
}
