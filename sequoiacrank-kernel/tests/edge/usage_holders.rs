//! Usage windows while the holder changes, against a model of the record in the store and of the
//! platform.

use std::collections;
use std::net;

use rand::RngExt as _;
use rand::SeedableRng as _;
use sequoiacrank_kernel::edge::duty;
use sequoiacrank_kernel::edge::duty::true_time;
use sequoiacrank_kernel::edge::duty::usage;
use sequoiacrank_kernel::edge::duty::usage::ledger;
use sequoiacrank_kernel::edge::duty::usage::meter;
use sequoiacrank_kernel::id;

use crate::mesh;
use crate::site;
use crate::usage::SCHEDULE;

/// Number of hosts.
const HOSTS: usize = 5;
/// Length of a step in milliseconds.
const STEP: u64 = 50;

type Counts = collections::BTreeMap<duty::WindowId, duty::Counts>;

/// One host process.
struct Host {
    process: id::Incarnation,
    /// Milliseconds that its steady clock is behind the true time.
    behind: u64,
    /// Time from which it runs.
    up: u64,
    /// Time until which no message reaches the holder.
    cut: u64,
    meter: meter::Meter,
    /// Counts that it received as the holder or as the one that may hold the duties next.
    ledger: ledger::Ledger,
}

impl Host {
    fn new(process: id::Incarnation, up: u64) -> Self {
        let behind = 100 * (process % 7);
        let (meter, ledger) = (meter::Meter::new(SCHEDULE), ledger::Ledger::new(SCHEDULE));
        Host { process, behind, up, cut: 0, meter, ledger }
    }

    fn steady(&self, now: u64) -> id::Time {
        site::ms(now - self.behind)
    }

    fn report(&self, now: u64) -> usage::Report {
        let reading = true_time::Reading { steady: self.steady(now), unix: site::ms(now) };
        self.meter.report(reading, None)
    }
}

/// The host that holds the duties.
struct Holder {
    host: usize,
    /// State that the store has acknowledged, and state that the next write commits.
    acknowledged: duty::Content,
    staged: duty::Content,
}

/// Something that happens later.
enum Event {
    /// A report arrives at a host: sender, process, receiver.
    Report(usize, id::Incarnation, usize, usage::Report),
    /// The answer of the holder arrives: process, windows that are final.
    Timing(usize, id::Incarnation, Option<duty::WindowId>),
    /// The store acknowledges a write of a holder.
    Written(u64, duty::Content),
    /// The platform carries out a call.
    Execute(duty::WindowId, duty::Counts),
    /// The holder learns how its call ended.
    Answer(u64, duty::WindowId, ledger::Outcome),
}

#[derive(Clone, Copy)]
struct Faults {
    /// Probability that a message is lost, and that it arrives twice.
    lost: f64,
    repeated: f64,
    /// Longest delay of a message in milliseconds.
    delay: u64,
    /// Probability in each step that a host is killed, and that it is cut off from the holder.
    killed: f64,
    cut: f64,
    /// Probability that a call gets no answer.
    silent: f64,
}

const NO_FAULTS: Faults =
    Faults { lost: 0.0, repeated: 0.0, delay: 40, killed: 0.0, cut: 0.0, silent: 0.0 };

struct World {
    random: rand_chacha::ChaCha8Rng,
    faults: Faults,
    now: u64,
    hosts: Vec<Host>,
    holder: Option<Holder>,
    /// Number of holders so far, and when the next one begins.
    holders: u64,
    vacant_until: u64,
    /// The record in the store.
    stored: duty::Content,
    events: Vec<(u64, Event)>,
    truth: Counts,
    /// Windows whose report was accepted, with all different counts and the first time.
    accepted: collections::BTreeMap<duty::WindowId, (Vec<duty::Counts>, u64)>,
}

impl World {
    fn new(seed: u64, faults: Faults) -> Self {
        let now = 1_000_000;
        World {
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            faults,
            now,
            hosts: (0..HOSTS).map(|it| Host::new(it as u64 + 1, now)).collect(),
            holder: None,
            holders: 0,
            vacant_until: now,
            stored: duty::Content::default(),
            events: Vec::new(),
            truth: Counts::new(),
            accepted: collections::BTreeMap::new(),
        }
    }

    fn later(&mut self, delay: u64, event: Event) {
        self.events.push((self.now + delay, event));
    }

    /// Sends a message over the network.
    fn send<F>(&mut self, make: F)
    where
        F: Fn() -> Event,
    {
        let copies = 1 + u32::from(self.random.random_bool(self.faults.repeated));
        for _ in 0..copies {
            if !self.random.random_bool(self.faults.lost) {
                let delay = self.random.random_range(0..=self.faults.delay);
                self.later(delay, make());
            }
        }
    }

    fn live(&self) -> Vec<net::SocketAddr> {
        let up = self.hosts.iter().enumerate().filter(|(_, it)| it.up <= self.now);
        up.map(|(number, _)| mesh::address(number)).collect()
    }

    fn run(&mut self, millis: u64, requests: bool) {
        for _ in 0..millis / STEP {
            self.now += STEP;
            self.break_hosts();
            self.serve(requests);
            self.choose_holder();
            let due: Vec<_> = self.events.extract_if(.., |it| it.0 <= self.now).collect();
            due.into_iter().for_each(|(_, event)| self.handle(event));
            self.hold();
        }
    }

    fn break_hosts(&mut self) {
        for number in 0..HOSTS {
            let is_holder = self.holder.as_ref().is_some_and(|it| it.host == number);
            if self.random.random_bool(self.faults.killed * if is_holder { 4.0 } else { 1.0 }) {
                self.kill(number);
            }
            if self.random.random_bool(self.faults.cut) {
                self.hosts[number].cut = self.now + self.random.random_range(500..9000);
            }
        }
    }

    /// Kills a host, which starts anew later.
    fn kill(&mut self, number: usize) {
        let up = self.now + self.random.random_range(300..4000);
        self.hosts[number] = Host::new(self.hosts[number].process + 100, up);
        if self.holder.take_if(|it| it.host == number).is_some() {
            self.vacant_until = self.now + self.random.random_range(100..3000);
        }
    }

    /// Serves requests at all hosts, and sends the reports that are due.
    fn serve(&mut self, requests: bool) {
        let live = self.live();
        for number in 0..HOSTS {
            let (now, host) = (self.now, &mut self.hosts[number]);
            if host.up > now {
                continue;
            }
            if requests && self.random.random_bool(0.6) {
                let workspace = format!("w{}", self.random.random_range(0..3));
                host.meter.count(host.steady(now), &workspace);
                let window = SCHEDULE.window_at(site::ms(now));
                *self.truth.entry(window).or_default().entry(workspace).or_default() += 1;
            }
            host.meter.expire(host.steady(now));
            host.ledger.expire(site::ms(now), &live);
            let is_due = now % 500 == (number as u64 * STEP) % 500;
            if is_due && now >= host.cut {
                let (process, report) = (host.process, host.report(now));
                for to in self.receivers(number, now % 1000 < 500) {
                    self.send(|| Event::Report(number, process, to, report.clone()));
                }
            }
        }
    }

    /// Hosts that a report goes to: the holder, and the next one for every other report, or for all
    /// those of the holder.
    fn receivers(&self, from: usize, copy: bool) -> Vec<usize> {
        let holder = self.holder.as_ref().map(|it| it.host);
        let mut up = (0..HOSTS).filter(|&it| self.hosts[it].up <= self.now && Some(it) != holder);
        let standby = up.next().filter(|_| copy || holder == Some(from));
        let receivers = [holder, standby].into_iter().flatten();
        receivers.filter(|&it| it != from).collect()
    }

    fn choose_holder(&mut self) {
        let first = self.hosts.iter().position(|it| it.up <= self.now);
        if let Some(host) = first.filter(|_| self.holder.is_none() && self.now >= self.vacant_until)
        {
            self.holders += 1;
            self.hosts[host].ledger.start(site::ms(self.now));
            let (acknowledged, staged) = (self.stored.clone(), self.stored.clone());
            self.holder = Some(Holder { host, acknowledged, staged });
        }
    }

    fn handle(&mut self, event: Event) {
        let (now, holders) = (site::ms(self.now), self.holders);
        match event {
            Event::Report(from, process, to, report) => {
                self.hosts[to].ledger.merge(mesh::address(from), process, &report);
                let Some(holder) = self.holder.as_ref().filter(|it| it.host == to) else { return };
                let closed = holder.acknowledged.usage.keys().next_back().copied();
                if self.hosts[from].cut <= self.now {
                    self.send(|| Event::Timing(from, process, closed));
                }
            }
            Event::Timing(to, process, closed) => {
                let host = &mut self.hosts[to];
                if host.process == process && host.up <= self.now {
                    host.meter.set_offset(host.behind as i64);
                    closed.into_iter().for_each(|it| host.meter.close(it));
                }
            }
            Event::Written(by, content) if by == holders => {
                let holder = self.holder.as_mut();
                holder.into_iter().for_each(|it| it.acknowledged = content.clone());
            }
            Event::Execute(window, counts) => {
                let (seen, _) = self.accepted.entry(window).or_insert((Vec::new(), self.now));
                if !seen.contains(&counts) {
                    seen.push(counts);
                }
            }
            Event::Answer(by, window, outcome) if by == holders => {
                let Some(holder) = &mut self.holder else { return };
                self.hosts[holder.host].ledger.record(now, window, outcome);
                if outcome == ledger::Outcome::Accepted {
                    ledger::mark_reported(&mut holder.staged, window);
                }
            }
            Event::Written(..) | Event::Answer(..) => {}
        }
    }

    /// The work of the holder: its own counts, commits, writes and calls.
    fn hold(&mut self) {
        let (live, now, by) = (self.live(), self.now, self.holders);
        let Some(mut holder) = self.holder.take() else { return };
        let own = &mut self.hosts[holder.host];
        own.meter.set_offset(own.behind as i64);
        let report = own.report(now);
        own.ledger.merge(mesh::address(holder.host), own.process, &report);
        if let Some(&last) = holder.acknowledged.usage.keys().next_back() {
            own.meter.close(last);
        }
        own.ledger.acknowledged(&holder.acknowledged);
        for commit in own.ledger.commits(site::ms(now), &live, &holder.acknowledged) {
            ledger::apply(&mut holder.staged, &SCHEDULE, commit);
        }
        for (window, counts) in own.ledger.due(site::ms(now), &holder.acknowledged) {
            let silent = self.random.random_bool(self.faults.silent);
            let outcome = if silent { ledger::Outcome::Unknown } else { ledger::Outcome::Accepted };
            // A call without an answer may be carried out much later, or never.
            match silent {
                false => self.later(20, Event::Execute(window, counts)),
                true if self.random.random_bool(0.5) => {
                    let delay = self.random.random_range(2000..12_000);
                    self.later(delay, Event::Execute(window, counts));
                }
                true => {}
            }
            self.later(if silent { 1000 } else { 40 }, Event::Answer(by, window, outcome));
        }
        if now % 1000 == 0 {
            // The store has the write even if the holder is killed before the answer.
            self.stored = holder.staged.clone();
            let delay = self.random.random_range(20..400);
            self.later(delay, Event::Written(by, self.stored.clone()));
        }
        self.holder = Some(holder);
    }
}

/// Guards against counts that are lost or repeated on their way: reports are lost, repeated,
/// reordered and delayed, calls get no answer and are carried out late.
#[test]
fn sums_over_bad_network() {
    let bad = Faults { lost: 0.2, repeated: 0.2, delay: 1200, silent: 0.3, ..NO_FAULTS };
    for (faults, seed) in (0..10).flat_map(|seed| [(NO_FAULTS, seed), (bad, seed)]) {
        let mut world = World::new(seed, faults);
        world.run(60_000, true);
        world.run(40_000, false);
        let reported = world.accepted.iter().map(|(&window, (seen, _))| (window, seen[0].clone()));
        let reported: Counts = reported.filter(|(_, counts)| !counts.is_empty()).collect();
        assert_eq!(reported, world.truth, "seed {seed}");
        for (window, (seen, at)) in &world.accepted {
            assert_eq!(seen.len(), 1, "seed {seed}, window {window}");
            let age = at - SCHEDULE.end(*window).as_millis() as u64;
            assert!(age <= 10_000 || faults.silent > 0.0, "seed {seed}, window {window}: {age} ms");
        }
        let first = *world.accepted.keys().next().expect("nothing was reported");
        let last = *world.accepted.keys().next_back().expect("nothing was reported");
        assert_eq!(
            world.accepted.len() as u64,
            last - first + 1,
            "seed {seed}: a window is missing"
        );
    }
}

/// Guards against two different reports for a window, whenever holders are killed, and against
/// counts that are lost beyond those of the last reports of killed processes.
#[test]
fn holders_and_hosts_are_killed() {
    let (mut holders, mut reported_sum, mut sum) = (0, 0, 0);
    for seed in 0..60 {
        let faults = Faults {
            lost: 0.1,
            repeated: 0.1,
            delay: 300,
            killed: 0.0005,
            cut: 0.0002,
            silent: 0.2,
        };
        let mut world = World::new(seed, faults);
        world.run(90_000, true);
        for (window, (seen, _)) in &world.accepted {
            assert_eq!(seen.len(), 1, "seed {seed}, window {window}: {seen:?}");
            for (workspace, count) in &seen[0] {
                let served = world.truth.get(window).and_then(|it| it.get(workspace));
                assert!(Some(count) <= served, "seed {seed}, window {window}: more than served");
            }
            reported_sum += seen[0].values().sum::<u64>();
            sum += world.truth.get(window).into_iter().flat_map(|it| it.values()).sum::<u64>();
        }
        assert!(world.accepted.len() >= 8, "seed {seed}: {} windows", world.accepted.len());
        holders += world.holders;
    }
    let lost = 1.0 - reported_sum as f64 / sum as f64;
    println!("{holders} holders, {lost} of the requests in no report");
    assert!(holders > 150, "{holders} holders");
    assert!(lost < 0.03, "{lost} of the requests are in no report");
}

/// Guards against two different reports for a window, and against a window without a report, when
/// the holder is killed at any step: before a commit, between the write and its acknowledgement,
/// before the call, between the call and its answer, or before the answer is in the record.
#[test]
fn holder_is_killed_at_each_step() {
    for step in 0..240 {
        let faults = Faults { silent: if step % 2 == 0 { 0.5 } else { 0.0 }, ..NO_FAULTS };
        let mut world = World::new(step, faults);
        world.run(20_000 + step * STEP, true);
        let holder = world.holder.as_ref().expect("nobody holds the duties").host;
        world.kill(holder);
        world.run(20_000, true);
        // A window is reported until 30 s after its end.
        world.run(50_000, false);
        for (window, (seen, _)) in &world.accepted {
            assert_eq!(seen.len(), 1, "step {step}, window {window}: {seen:?}");
        }
        let windows: Vec<_> = world.truth.keys().collect();
        let missing = windows.iter().filter(|it| !world.accepted.contains_key(it)).count();
        assert_eq!(missing, 0, "step {step}");
        assert_eq!(world.holders, 2, "step {step}");
    }
}
