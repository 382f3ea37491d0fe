//! Size, number and processing time of the digests that hosts send to peers.

use std::time;

use prost::Message as _;
use sequoiacrank_kernel::message;
use sequoiacrank_kernel::traffic as kernel;
use sequoiacrank_peer::wire;

use crate::capacity;
use crate::capacity::document;
use crate::capacity::probe;
use crate::capacity::traffic;

/// Ticks per second.
const TICKS_PER_S: usize = 20;
/// Requests between two ticks; they change the state of endpoints.
const REQUESTS_PER_TICK: usize = 10;

/// Measures all series of this module.
pub fn run(options: &capacity::Options) -> Vec<capacity::Series> {
    let endpoints = [50, 150, 450, 1_400];
    let hosts = [12, 48, 190, 380];
    let name = "digests sent under load (10 requests a tick)";
    vec![
        probe::series("digest of changed endpoints", "bytes", "endpoints", &endpoints, |size| {
            encoded_bytes(digest(size)) as f64
        }),
        probe::series("digest learned", "us", "endpoints", &endpoints, |size| {
            let plan = document::plan(&document::Size { endpoints: size, ..Default::default() });
            let bench = traffic::settled(plan, 1);
            probe::min_time(options.repeats, 1, || {
                let (from, message) = ("host-1".into(), digest(size));
                drop(bench.host.handle(bench.now, kernel::Event::Peer { from, message }));
            })
        }),
        probe::series(name, "bytes/s", "hosts", &hosts, |size| sent_per_second(size, 350).1),
        probe::series(name, "messages/s", "hosts", &hosts, |size| sent_per_second(size, 350).0),
        probe::series(name, "bytes/s", "endpoints", &endpoints, |size| sent_per_second(95, size).1),
    ]
}

/// Creates a digest of `size` endpoints.
fn digest(size: usize) -> message::Message {
    let endpoint = |number: usize| message::EndpointDigest {
        endpoint: format!("endpoint-{number}"),
        generation: 3,
        limit: 32,
        in_flight: 5,
        latency: time::Duration::from_micros(48_123),
        finished: 70_000,
    };
    let endpoints = (0..size).map(endpoint).collect();
    message::Message::Digest(message::Digest { endpoints, ..message::Digest::default() })
}

fn encoded_bytes(message: message::Message) -> usize {
    wire::Message::from(message).encoded_len()
}

/// Messages and bytes that one of `hosts` hosts sends in a second, with `endpoints` endpoints.
fn sent_per_second(hosts: usize, endpoints: usize) -> (f64, f64) {
    let plan = document::plan(&document::Size { endpoints, ..Default::default() });
    let mut bench = traffic::settled(plan, hosts - 1);
    let (mut messages, mut bytes) = (0, 0);
    for tick in 0..TICKS_PER_S {
        (0..REQUESTS_PER_TICK)
            .for_each(|number| bench.request(tick * REQUESTS_PER_TICK + number, true));
        for command in bench.tick() {
            if let kernel::Command::Send { message, .. } = command {
                messages += 1;
                bytes += encoded_bytes(message);
            }
        }
    }
    (messages as f64, bytes as f64)
}
