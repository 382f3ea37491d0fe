//! Prints the size of the messages that carry usage reports between hosts.
//!
//! `cargo run --release -p sequoiacrank-edge --example usage_size`

#[allow(dead_code, reason = "only the sizes of the messages are used")]
#[path = "../src/peer/wire/duties.rs"]
mod duties;

use prost::Message as _;

/// Helpers that the messages use.
mod clock {
    use std::time;

    pub fn millis(time: time::Duration) -> u64 {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Bytes around a message: the length, the sender's address and process, and the tag.
const FRAME_BYTES: usize = 4 + (2 + "10.200.10.124:7000".len()) + 9 + 5;
/// Requests of a workspace at one host in a window: below 16,384, which take two bytes.
const COUNT: u64 = 400;
/// Milliseconds since the start of 1970, and since the start of a machine.
const UNIX: u64 = 1_796_542_803_772;
const STEADY: u64 = 864_000_000;

fn window(number: u64, workspaces: usize) -> duties::Window {
    let counts = (0..workspaces).map(|it| (format!("bozi{:03}", 300 + it), COUNT));
    duties::Window { window: number, counts: counts.collect() }
}

fn report(workspaces: usize, windows: u64) -> usize {
    let windows = (0..windows).map(|it| window(353_445_120 + it, workspaces));
    let windows = windows.collect();
    let usage = duties::Usage { steady: STEADY, unix: UNIX, until: UNIX, windows, demand: vec![] };
    usage.encoded_len() + FRAME_BYTES
}

fn main() {
    let offset = i64::try_from(UNIX - STEADY).expect("out of range");
    let timing = duties::Timing { steady: STEADY, offset, closed: Some(353_445_120) };
    println!("answer: {} bytes", timing.encoded_len() + FRAME_BYTES);
    println!("report without windows: {} bytes", report(0, 0));
    for workspaces in [16, 40] {
        let (one, two) = (report(workspaces, 1), report(workspaces, 2));
        println!("report, {workspaces} workspaces: {one} bytes with a window, {two} with two");
    }
}
