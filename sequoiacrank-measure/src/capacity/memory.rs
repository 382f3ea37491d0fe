//! Memory of requests, endpoints, claims and evidence, measured as growth of resident pages.

use std::any;
use std::fs;

use sequoiacrank_kernel::policy::Moves as _;

use crate::capacity;
use crate::capacity::claims;
use crate::capacity::document;
use crate::capacity::probe;
use crate::capacity::rollout;
use crate::capacity::traffic;

/// Assumed page size in bytes; `/proc/self/statm` counts pages.
const PAGE_BYTES: f64 = 4_096.0;

/// Keeps all measured values alive, so that no later measurement reuses their pages.
#[derive(Default)]
struct Retained(Vec<Box<dyn any::Any>>);

impl Retained {
    /// Growth of the process's resident memory in bytes while `make` runs.
    fn growth<T, M>(&mut self, make: M) -> f64
    where
        T: any::Any,
        M: FnOnce() -> T,
    {
        let before = resident_bytes();
        let value = make();
        let after = resident_bytes();
        self.0.push(Box::new(value));
        (after - before).max(0.0)
    }
}

/// Measures all series of this module.
pub fn run() -> Vec<capacity::Series> {
    let mut retained = Retained::default();
    let mut all = Vec::new();
    let mut add =
        |name: &str, size: &str, sizes: &[usize], retained: &mut Retained, measure: Measure| {
            let cost = |count| measure(retained, count);
            all.push(probe::series(name, "resident bytes", size, sizes, cost));
        };
    add("evidence of 76 peers", "routes", &[40, 160, 640, 2_560], &mut retained, evidence);
    add("requests waiting", "requests", &[250, 500, 1_000, 2_000], &mut retained, requests);
    add(
        "claims of one shard and its log",
        "claims",
        &[5_000, 20_000, 80_000, 160_000],
        &mut retained,
        claims,
    );
    add(
        "host with plan, parsed",
        "workspaces",
        &[1_200, 2_400, 4_800, 9_600],
        &mut retained,
        workspaces,
    );
    add(
        "host with plan, parsed",
        "endpoints",
        &[350, 1_400, 5_600, 22_400],
        &mut retained,
        endpoints,
    );
    all
}

/// Measures the memory in bytes at one size.
type Measure = fn(&mut Retained, usize) -> f64;

fn requests(retained: &mut Retained, count: usize) -> f64 {
    let mut bench = traffic::settled(document::plan(&document::Size::default()), 0);
    retained.growth(move || {
        (0..count).for_each(|number| bench.request(number, false));
        bench
    })
}

fn endpoints(retained: &mut Retained, endpoints: usize) -> f64 {
    host(retained, &document::Size { endpoints, ..document::Size::default() })
}

fn workspaces(retained: &mut Retained, workspaces: usize) -> f64 {
    host(retained, &document::Size { workspaces, ..document::Size::default() })
}

/// Memory of a host with its plan, including what parsing the declarations leaves allocated.
fn host(retained: &mut Retained, size: &document::Size) -> f64 {
    retained.growth(|| traffic::settled(document::plan(size), 0))
}

fn claims(retained: &mut Retained, count: usize) -> f64 {
    let mut owner = claims::owner();
    retained.growth(move || {
        owner.run(count / 1_000, 1_000);
        owner
    })
}

fn evidence(retained: &mut Retained, routes: usize) -> f64 {
    let mut host = rollout::host(routes);
    let evidence = rollout::host(routes).evidence();
    retained.growth(move || {
        for peer in 0..76 {
            host.learn(rollout::START, &format!("host-{peer}"), &evidence);
        }
        host
    })
}

fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
