//! Measures how many streams one engine stand-in serves, and the CPU time and memory it needs.
//!
//! Usage: `streams [STREAMS] [MS BETWEEN TOKENS] [TOKENS PER STREAM]`. The clients run in the same
//! process.

use std::env;
use std::error;
use std::fs;
use std::io;
use std::io::BufRead;
use std::thread;
use std::time;

use sequoiacrank_standin::engine;

const TICKS_PER_SECOND: f64 = 100.0;
const STACK_BYTES: usize = 128 << 10;
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

type Outcome<T> = Result<T, Box<dyn error::Error + Send + Sync>>;

fn cpu_time() -> Outcome<f64> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks: Vec<f64> = fields.skip(11).take(2).map(str::parse).collect::<Result<_, _>>()?;
    Ok(ticks.iter().sum::<f64>() / TICKS_PER_SECOND)
}

/// CPU seconds of the threads called `engine`. The timer thread, which runs all timed work of the
/// engine, is one of them.
fn engine_cpu_time() -> Outcome<f64> {
    let mut sum = 0.0;
    for task in fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        match fs::read_to_string(path.join("comm")) {
            Ok(name) if name.trim() == "engine" => {
                let stat = fs::read_to_string(path.join("schedstat"))?;
                sum += stat.split(' ').next().unwrap_or_default().parse::<f64>()? / 1e9;
            }
            _ => {}
        }
    }
    Ok(sum)
}

fn peak_memory() -> Outcome<String> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).ok_or("VmHWM is missing")?;
    Ok(line.trim_start_matches("VmHWM:").trim().to_owned())
}

/// Reads one stream and returns whether its text is complete and correct.
fn check_stream(url: &str, prompt: &str, tokens: u32) -> Outcome<bool> {
    let body = serde_json::json!({"prompt": prompt, "max_tokens": tokens, "stream": true});
    let request = attohttpc::post(format!("{url}/v1/completions")).read_timeout(TIMEOUT);
    let answer = request.json(&body)?.send()?.error_for_status()?.split().2;
    let mut text = String::new();
    for line in io::BufReader::new(answer).lines() {
        match line?.strip_prefix("data: ") {
            Some("[DONE]") => return Ok(text == engine::expected_text(prompt, tokens)),
            Some(data) => {
                let event: serde_json::Value = serde_json::from_str(data)?;
                text += event["choices"][0]["text"].as_str().unwrap_or_default();
            }
            None => {}
        }
    }
    Ok(false)
}

fn main() -> Outcome<()> {
    let mut args = env::args().skip(1).map(|arg| arg.parse::<u32>());
    let streams = args.next().transpose()?.unwrap_or(500);
    let interval_ms = args.next().transpose()?.unwrap_or(45);
    let tokens = args.next().transpose()?.unwrap_or(440);
    let step = time::Duration::from_millis(interval_ms.into());
    let options = engine::Options {
        cold: streams,
        full: streams,
        step,
        slope: time::Duration::ZERO,
        ..Default::default()
    };
    let engine = engine::start(options)?;
    let url = engine.url();
    let (start_time, process_before, engine_before) =
        (time::Instant::now(), cpu_time()?, engine_cpu_time()?);
    let complete = thread::scope(|scope| {
        let start = |number| {
            let url = &url;
            let check = move || check_stream(url, &format!("prompt {number}"), tokens);
            thread::Builder::new().stack_size(STACK_BYTES).spawn_scoped(scope, check)
        };
        let threads: Vec<_> = (0..streams).filter_map(|number| start(number).ok()).collect();
        let ended = threads.into_iter().map(|thread| thread.join());
        ended.filter(|end| matches!(end, Ok(Ok(true)))).count()
    });
    let elapsed = start_time.elapsed().as_secs_f64();
    let stats = engine.stats();
    println!(
        "{complete} of {streams} streams complete and correct, {:.0} tokens/s for {elapsed:.1} s; \
         engine threads {:.1}%, process with clients {:.1}% of a core, peak memory {}",
        stats.tokens as f64 / elapsed,
        100.0 * (engine_cpu_time()? - engine_before) / elapsed,
        100.0 * (cpu_time()? - process_before) / elapsed,
        peak_memory()?,
    );
    Ok(())
}
