//! Compares the cost of a new connection for each call with that of reused connections, at a fixed
//! rate of calls on loopback.
//!
//! Usage: `connections [SECONDS PER ROUND] [CALLS PER SECOND] [ROUNDS]`. In each round the kinds of
//! callers run one after another.

use std::env;
use std::error;
use std::fs;
use std::io;
use std::io::BufRead;
use std::io::Read;
use std::io::Write;
use std::net;
use std::thread;
use std::time;

use sequoiacrank_standin::engine;

const THREADS: u32 = 8;
const TICKS_PER_SECOND: f64 = 100.0;
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
const BODY: &str = "{\"input\":\"block 17, white, one vein\"}";

type Outcome<T> = Result<T, Box<dyn error::Error + Send + Sync>>;

/// Makes calls. Each thread has a caller of its own.
trait Caller: Send {
    fn call(&mut self) -> Outcome<()>;
}

/// Opens a connection for each call, through `attohttpc`.
struct NewConnection {
    url: String,
    /// Sets a timeout for the whole call, for which the library starts a thread.
    with_timeout: bool,
}

impl Caller for NewConnection {
    fn call(&mut self) -> Outcome<()> {
        let request = attohttpc::post(&self.url).connect_timeout(TIMEOUT).read_timeout(TIMEOUT);
        let request = match self.with_timeout {
            true => request.timeout(TIMEOUT),
            false => request,
        };
        let answer = request.text(BODY).send()?.error_for_status()?.bytes()?;
        if answer.is_empty() { Err("empty answer".into()) } else { Ok(()) }
    }
}

/// Reuses one connection, with the minimum of HTTP that the server needs.
struct KeptConnection {
    stream: io::BufReader<net::TcpStream>,
}

impl KeptConnection {
    fn connect(address: net::SocketAddr) -> Outcome<KeptConnection> {
        let stream = net::TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        Ok(KeptConnection { stream: io::BufReader::new(stream) })
    }
}

impl Caller for KeptConnection {
    fn call(&mut self) -> Outcome<()> {
        let head = "POST /v1/embeddings HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n";
        let call = format!("{head}Content-Length: {}\r\n\r\n{BODY}", BODY.len());
        self.stream.get_mut().write_all(call.as_bytes())?;
        let mut length = 0;
        loop {
            let mut line = String::new();
            self.stream.read_line(&mut line)?;
            match line.trim_end().split_once(": ") {
                Some(("Content-Length", value)) => length = value.parse()?,
                None if line.trim_end().is_empty() => break,
                _ => {}
            }
        }
        let mut answer = vec![0; length];
        self.stream.read_exact(&mut answer)?;
        if answer.is_empty() { Err("empty answer".into()) } else { Ok(()) }
    }
}

/// Measurements of one round.
#[derive(Default)]
struct Round {
    latencies: Vec<time::Duration>,
    /// CPU time of the calling threads.
    caller_cpu: time::Duration,
    /// CPU time of the whole process, including the stand-in.
    process_cpu: time::Duration,
}

fn cpu_time() -> Outcome<time::Duration> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks: Vec<f64> = fields.skip(11).take(2).map(str::parse).collect::<Result<_, _>>()?;
    Ok(time::Duration::from_secs_f64(ticks.iter().sum::<f64>() / TICKS_PER_SECOND))
}

fn thread_cpu_time() -> Outcome<time::Duration> {
    let stat = fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanos = stat.split_whitespace().next().ok_or("schedstat is empty")?;
    Ok(time::Duration::from_nanos(nanos.parse()?))
}

/// Makes the calls of one thread at regular times. A call that is late starts at once.
fn run_thread(mut caller: Box<dyn Caller>, calls: u32, interval: time::Duration) -> Outcome<Round> {
    let mut round = Round::default();
    let start = time::Instant::now();
    let before = thread_cpu_time()?;
    for number in 0..calls {
        let due = start + interval * number;
        thread::sleep(due.saturating_duration_since(time::Instant::now()));
        let start_time = time::Instant::now();
        caller.call()?;
        round.latencies.push(start_time.elapsed());
    }
    round.caller_cpu = thread_cpu_time()? - before;
    Ok(round)
}

fn run_round(callers: Vec<Box<dyn Caller>>, seconds: u32, rate: u32) -> Outcome<Round> {
    let interval = time::Duration::from_secs(1) * THREADS / rate;
    let calls = seconds * rate / THREADS;
    let before = cpu_time()?;
    let mut total = Round::default();
    thread::scope(|scope| {
        let start = |caller| scope.spawn(move || run_thread(caller, calls, interval));
        let threads: Vec<_> = callers.into_iter().map(start).collect();
        for thread in threads {
            let result = thread.join().map_err(|_| "a caller panicked")??;
            total.latencies.extend(result.latencies);
            total.caller_cpu += result.caller_cpu;
        }
        Outcome::Ok(())
    })?;
    total.process_cpu = cpu_time()? - before;
    Ok(total)
}

fn new_caller(kind: &str, engine: &engine::Running) -> Outcome<Box<dyn Caller>> {
    let url = engine.url() + "/v1/embeddings";
    Ok(match kind {
        "kept" => Box::new(KeptConnection::connect(engine.address())?),
        "each" => Box::new(NewConnection { url, with_timeout: false }),
        _ => Box::new(NewConnection { url, with_timeout: true }),
    })
}

fn print(kind: &str, total: &mut Round, seconds: u32) {
    total.latencies.sort();
    let calls = total.latencies.len();
    let at = |quantile: f64| total.latencies[((calls - 1) as f64 * quantile) as usize].as_micros();
    let per_call = |spent: time::Duration| spent.as_secs_f64() * 1e6 / calls as f64;
    println!(
        "{kind:8} calls {calls:6}  median {:5} us  99th {:5} us  callers {:6.1} us/call  \
         process {:6.1} us/call = {:.2}% of a core",
        at(0.5),
        at(0.99),
        per_call(total.caller_cpu),
        per_call(total.process_cpu),
        100.0 * total.process_cpu.as_secs_f64() / f64::from(seconds),
    );
}

fn main() -> Outcome<()> {
    let mut args = env::args().skip(1).map(|arg| arg.parse::<u32>());
    let seconds = args.next().transpose()?.unwrap_or(5);
    let rate = args.next().transpose()?.unwrap_or(180);
    let rounds = args.next().transpose()?.unwrap_or(3);
    let zero = time::Duration::ZERO;
    let options = engine::Options {
        cold: 1000,
        full: 1000,
        call_time: zero,
        slope: zero,
        ..Default::default()
    };
    let engine = engine::start(options)?;
    let kinds = ["kept", "each", "limited"];
    let mut totals: Vec<_> = kinds.iter().map(|_| Round::default()).collect();
    for _ in 0..rounds {
        for (kind, total) in kinds.iter().zip(&mut totals) {
            let callers =
                (0..THREADS).map(|_| new_caller(kind, &engine)).collect::<Result<_, _>>()?;
            let result = run_round(callers, seconds, rate)?;
            total.latencies.extend(result.latencies);
            total.caller_cpu += result.caller_cpu;
            total.process_cpu += result.process_cpu;
        }
    }
    kinds.iter().zip(&mut totals).for_each(|(kind, total)| print(kind, total, seconds * rounds));
    Ok(())
}
