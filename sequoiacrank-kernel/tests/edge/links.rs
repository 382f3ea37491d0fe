//! Ways to endpoints of hosts that lose their links: all short histories of two and three hosts.

use std::net;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use sequoiacrank_kernel::edge::links;
use sequoiacrank_kernel::id;

use crate::site;

const ENDPOINTS: usize = 2;
/// Time that passes with each connection.
const TICK: time::Duration = time::Duration::from_millis(300);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// Connections of a host to endpoints hang from now on, or are refused.
    Cut(usize, links::Failure),
    /// The links of a host work again.
    Heal(usize),
    /// An endpoint goes down, or comes back.
    Toggle(usize),
    /// A host connects to an endpoint.
    Connect(usize, usize),
    /// A host tries whether its links work again.
    Probe(usize),
    /// Hosts tell each other whether they are cut off.
    Tell,
}

#[derive(Clone, Debug)]
struct Node {
    links: links::Links,
    /// What becomes of direct connections, if they do not reach endpoints.
    cut: Option<links::Failure>,
    /// What the others know of it.
    without_links: bool,
}

#[derive(Clone, Debug)]
struct World {
    now: id::Time,
    nodes: Vec<Node>,
    up: [bool; ENDPOINTS],
}

fn host(number: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, number as u8], 80))
}

fn endpoint(number: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 1, number as u8], 80))
}

impl World {
    fn new(hosts: usize) -> Self {
        let node = Node { links: links::Links::default(), cut: None, without_links: false };
        World { now: site::ms(1000), nodes: vec![node; hosts], up: [true; ENDPOINTS] }
    }

    /// What becomes of a direct connection.
    fn direct(&self, from: usize, to: usize) -> Result<(), links::Failure> {
        match self.nodes[from].cut {
            Some(failure) => Err(failure),
            None if !self.up[to] => Err(links::Failure::Refused),
            None => Ok(()),
        }
    }

    fn relay(&mut self, over: usize, to: usize) -> Result<(), links::Failure> {
        if !self.nodes[over].links.may_relay(self.now, endpoint(to)) {
            return Err(links::Failure::NoRelay);
        }
        let result = match self.direct(over, to) {
            Err(links::Failure::Refused) if !self.prove(over, to) => Err(links::Failure::Unreached),
            result => result,
        };
        if result == Err(links::Failure::Unreached) {
            let node = &mut self.nodes[over];
            let failure = links::Failure::Unreached;
            node.links.record_failed(self.now, endpoint(to), links::Way::Direct, failure);
        }
        result
    }

    /// Connects as hosts do. Returns why the endpoint was not reached, and the way otherwise.
    fn connect(&mut self, from: usize, to: usize) -> Result<links::Way, links::Failure> {
        self.now += TICK;
        let others = self.nodes.iter().enumerate().filter(|(number, _)| *number != from);
        let relays: Vec<_> = others
            .map(|(number, node)| links::Relay {
                host: host(number),
                without_links: node.without_links,
            })
            .collect();
        let attempts = self.nodes[from].links.attempts(self.now, endpoint(to), &relays);
        let (mut failures, mut tried_direct) = (Vec::new(), false);
        for links::Attempt { way, .. } in attempts {
            tried_direct |= way == links::Way::Direct;
            let result = match way {
                links::Way::Direct => self.direct(from, to),
                links::Way::Relay(address) => {
                    let over = (0..self.nodes.len()).find(|&it| host(it) == address);
                    self.relay(over.expect("not a host"), to)
                }
            };
            let links = &mut self.nodes[from].links;
            match result {
                Ok(()) => {
                    links.record_reached(self.now, endpoint(to), way, tried_direct);
                    return Ok(way);
                }
                Err(failure) => {
                    links.record_failed(self.now, endpoint(to), way, failure);
                    failures.push((way, failure));
                }
            }
        }
        if failures.contains(&(links::Way::Direct, links::Failure::Refused)) {
            self.prove(from, to);
        }
        Err(self.nodes[from].links.verdict(self.now, &failures))
    }

    /// Finds out whether the links of a host to which an endpoint refused connections work.
    fn prove(&mut self, from: usize, to: usize) -> bool {
        if !self.nodes[from].links.is_proven(self.now)
            && let Some(address) = self.nodes[from].links.reference(endpoint(to))
        {
            self.try_direct(from, address);
        }
        self.nodes[from].links.is_proven(self.now)
    }

    fn try_direct(&mut self, from: usize, address: net::SocketAddr) {
        let to = (0..ENDPOINTS).find(|&it| endpoint(it) == address).expect("not an endpoint");
        let reached = self.direct(from, to).is_ok();
        self.nodes[from].links.record_probe(self.now, address, reached);
    }

    fn probe(&mut self, from: usize) -> bool {
        let Some(address) = self.nodes[from].links.probe(self.now) else { return false };
        self.try_direct(from, address);
        true
    }

    fn tell(&mut self) {
        for node in &mut self.nodes {
            node.without_links = node.links.is_cut_off(self.now);
        }
    }

    /// Lets an event happen. Returns whether it changed anything.
    fn apply(&mut self, event: Event) -> Result<bool, String> {
        match event {
            Event::Cut(host, failure) => {
                return Ok(self.nodes[host].cut.replace(failure).is_none());
            }
            Event::Heal(host) => return Ok(self.nodes[host].cut.take().is_some()),
            Event::Toggle(endpoint) => self.up[endpoint] = !self.up[endpoint],
            Event::Probe(host) => return Ok(self.probe(host)),
            Event::Tell => self.tell(),
            Event::Connect(from, to) => {
                let is_up = self.up[to];
                match self.connect(from, to) {
                    // A host believes its own links for a second behind the last proof.
                    Err(links::Failure::Refused) if is_up && self.nodes[from].cut.is_none() => {
                        return Err(format!("host {from} takes endpoint {to} for crashed"));
                    }
                    Ok(_) if !is_up => return Err("an endpoint that is down was reached".into()),
                    _ => {}
                }
            }
        }
        Ok(true)
    }

    /// Checks that hosts find a way in the end, that no endpoint counts as crashed for a lost link,
    /// and that the direct way is taken again.
    fn settle(mut self) -> Result<(), String> {
        self.up = [true; ENDPOINTS];
        let some_reach = self.nodes.iter().any(|node| node.cut.is_none());
        for round in 0..8 {
            for from in 0..self.nodes.len() {
                for to in 0..ENDPOINTS {
                    match self.connect(from, to) {
                        Err(links::Failure::Refused) if round >= 4 => {
                            return Err(format!("host {from} takes endpoint {to} for crashed"));
                        }
                        Err(failure) if round >= 6 && some_reach => {
                            return Err(format!("host {from}, endpoint {to}: {failure:?}"));
                        }
                        _ => {}
                    }
                }
                self.probe(from);
            }
            self.tell();
        }
        self.nodes.iter_mut().for_each(|node| node.cut = None);
        for _ in 0..8 {
            for from in 0..self.nodes.len() {
                self.probe(from);
            }
            self.now += links::PROBE_INTERVAL;
        }
        for from in 0..self.nodes.len() {
            let way = self.connect(from, 0);
            if way != Ok(links::Way::Direct) {
                return Err(format!("host {from} still takes {way:?}"));
            }
        }
        Ok(())
    }
}

fn events(hosts: usize) -> Vec<Event> {
    let mut all = vec![Event::Tell];
    all.extend((0..ENDPOINTS).map(Event::Toggle));
    for host in 0..hosts {
        all.push(Event::Cut(host, links::Failure::Unreached));
        all.push(Event::Cut(host, links::Failure::Refused));
        all.extend([Event::Heal(host), Event::Probe(host)]);
        all.extend((0..ENDPOINTS).map(|to| Event::Connect(host, to)));
    }
    all
}

type Broken = (Vec<Event>, String);

fn search(world: &World, history: &mut Vec<Event>, depth: u32) -> Result<(), Broken> {
    if depth == 0 {
        return world.clone().settle().map_err(|err| (history.clone(), err));
    }
    for event in events(world.nodes.len()) {
        let mut next = world.clone();
        history.push(event);
        if next.apply(event).map_err(|err| (history.clone(), err))? {
            search(&next, history, depth - 1)?;
        }
        history.pop();
    }
    Ok(())
}

/// Guards against hosts that find no way though one exists, that stay on a detour for good, or that
/// take a link that they lost for a crash.
#[test]
fn all_short_histories() {
    for (hosts, depth) in [(2, 4), (3, 3)] {
        assert_eq!(search(&World::new(hosts), &mut Vec::new(), depth), Ok(()));
    }
}

/// Guards against the same over long histories.
#[test]
fn long_histories() {
    for seed in 0..20_000 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let hosts = rng.random_range(2..=3);
        let (mut world, all) = (World::new(hosts), events(hosts));
        let mut history = Vec::new();
        for _ in 0..40 {
            let event = all[rng.random_range(0..all.len())];
            history.push(event);
            let result = world.apply(event);
            assert!(result.is_ok(), "seed {seed}: {history:?} {result:?}");
        }
        assert_eq!(world.settle(), Ok(()), "seed {seed}: {history:?}");
    }
}
