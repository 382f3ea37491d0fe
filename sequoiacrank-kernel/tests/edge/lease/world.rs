//! A store and hosts that hold or acquire the lease, one event at a time, and an oracle.

use std::collections;
use std::hash;
use std::time;

use sequoiacrank_kernel::edge::duty;
use sequoiacrank_kernel::edge::duty::lease;
use sequoiacrank_kernel::id;

pub const PERIOD: time::Duration = time::Duration::from_millis(3000);
/// Smallest step of time.
pub const TICK: time::Duration = time::Duration::from_millis(500);

/// Faults that a product without one of its rules would have. They are built into the world around
/// the lease, so that the oracle can be tested.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fakes {
    /// Hosts do not know who held the lease before, so none waits after a release.
    pub forgets_recent: bool,
    /// Tokens are counted in memory.
    pub counts_tokens: bool,
    /// Acting is allowed by a clock that stops while a host does nothing.
    pub ignores_suspension: bool,
    /// A read that took long counts as short.
    pub trusts_slow_reads: bool,
    /// Appends have no condition.
    pub unconditional: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    Read {
        started: id::Time,
        /// What the store returned; `None` if it is asked when the operation ends.
        reading: Option<lease::Reading>,
    },
    Append {
        write: lease::Write,
        written: Option<lease::Written>,
    },
}

/// One step of the world. The number is that of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time passes, in ticks.
    Pass(u32),
    /// The host decides and carries its operation out.
    Run(usize),
    /// The same, but the answer is lost.
    Lose(usize),
    /// The operation does not arrive; an append may yet be carried out.
    Delay(usize),
    /// The operation is carried out now and answered later.
    Begin(usize),
    /// The operation is sent now, and carried out and answered later.
    Send(usize),
    /// The operation in progress ends.
    Finish(usize),
    /// A delayed append is carried out.
    Land(usize),
    Restart(usize),
    /// The host is told to stop; it goes on after a restart.
    Leave(usize),
    /// The host takes the others for ended, or ceases to.
    Doubt(usize),
    /// The platform refuses the token.
    Fence(usize),
}

impl Event {
    /// Whether the event is a fault, of which a history has a limited number.
    pub fn is_fault(self) -> bool {
        !matches!(self, Event::Pass(_) | Event::Run(_) | Event::Finish(_) | Event::Land(_))
    }
}

#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Node {
    pub lease: lease::Lease,
    pub process: id::Incarnation,
    operation: Option<Operation>,
    pub leaving: bool,
    doubts: bool,
    /// When it last did something.
    active: id::Time,
    /// Acquisitions of this process.
    acquired: u64,
}

#[derive(Clone, PartialEq, Eq, Hash)]
pub struct World {
    pub now: id::Time,
    pub nodes: Vec<Node>,
    pub records: Vec<duty::Record>,
    /// Appends that may yet be carried out.
    orphans: Vec<lease::Write>,
    /// Holder of each token that was acted with.
    tokens: collections::BTreeMap<duty::Token, (usize, id::Incarnation)>,
    /// Hosts that acted in a row, each with the time at which it last did.
    acts: Vec<(usize, id::Time)>,
    fakes: Fakes,
}

fn owner(host: usize, process: id::Incarnation) -> lease::Owner {
    let address = format!("127.0.0.1:{}", 1000 + host).parse().expect("invalid address");
    lease::Owner { host: format!("host-{host}"), address, process }
}

fn start(host: usize, process: id::Incarnation, now: id::Time) -> Node {
    let lease = lease::Lease::new(owner(host, process), PERIOD);
    Node {
        lease,
        process,
        operation: None,
        leaving: false,
        doubts: false,
        active: now,
        acquired: 0,
    }
}

impl World {
    pub fn new(hosts: usize, fakes: Fakes) -> Self {
        let now = id::Time::from_secs(100);
        World {
            now,
            nodes: (0..hosts).map(|host| start(host, host as u64, now)).collect(),
            records: Vec::new(),
            orphans: Vec::new(),
            tokens: collections::BTreeMap::new(),
            acts: Vec::new(),
            fakes,
        }
    }

    /// What the host knows of the others. Their positions are all the same: any may acquire.
    pub fn facts(&self, host: usize) -> lease::Facts {
        let node = &self.nodes[host];
        let address = node.lease.record_address();
        let other = (0..self.nodes.len()).find(|&it| Some(owner(it, 0).address) == address);
        lease::Facts {
            position: (!node.leaving).then_some(0),
            leaving: node.leaving,
            ended: node.doubts && other.is_some_and(|it| it != host),
            process: other.filter(|_| !node.doubts).map(|it| self.nodes[it].process),
            vacant: true,
            others: true,
            calls: 0,
        }
    }

    fn read(&self) -> lease::Reading {
        let end = self.records.len() as u64;
        let Some(mut record) = self.records.last().cloned() else {
            return lease::Reading { end, offset: None, seen: lease::Seen::Missing };
        };
        if self.fakes.forgets_recent {
            record.recent.clear();
        }
        lease::Reading { end, offset: Some(end - 1), seen: lease::Seen::Record(record) }
    }

    fn append(&mut self, write: &lease::Write) -> lease::Written {
        if write.at != self.records.len() as u64 && !self.fakes.unconditional {
            return lease::Written::Conflict;
        }
        self.records.push(write.record.clone());
        lease::Written::Done(self.records.len() as u64)
    }

    /// Lets the host decide. Returns its operation, without a result.
    fn decide(&mut self, host: usize) -> Option<Operation> {
        let facts = self.facts(host);
        let node = &mut self.nodes[host];
        if node.operation.is_some() {
            return None;
        }
        let held = node.lease.content().is_some();
        node.active = self.now;
        match node.lease.next(self.now, &facts) {
            lease::Action::Wait(_) => None,
            lease::Action::Read => Some(Operation::Read { started: self.now, reading: None }),
            lease::Action::Append(write) => {
                node.acquired += u64::from(!held);
                Some(Operation::Append { write, written: None })
            }
        }
    }

    /// Carries an operation out.
    fn execute(&mut self, operation: Operation) -> Operation {
        match operation {
            Operation::Read { started, reading: None } => {
                Operation::Read { started, reading: Some(self.read()) }
            }
            Operation::Append { write, written: None } => {
                let written = Some(self.append(&write));
                Operation::Append { write, written }
            }
            done => done,
        }
    }

    /// Hands the host the result of an operation; without one, it has failed.
    fn answer(&mut self, host: usize, operation: Operation) {
        let now = self.now;
        let node = &mut self.nodes[host];
        node.active = now;
        match operation {
            Operation::Read { started, reading: Some(reading) } => {
                let end = if self.fakes.trusts_slow_reads { started } else { now };
                node.lease.record_read(started, end, reading);
            }
            Operation::Read { reading: None, .. } => node.lease.record_failure(now),
            Operation::Append { written, .. } => {
                node.lease.record_append(now, written.unwrap_or(lease::Written::Unknown));
            }
        }
    }

    /// Abandons an operation that is in progress or failed.
    fn abandon(&mut self, operation: &Operation) {
        if let Operation::Append { write, written: None } = operation {
            self.orphans.push(write.clone());
        }
    }

    /// Applies an event. Returns whether it was possible.
    pub fn apply(&mut self, event: Event) -> bool {
        match event {
            Event::Pass(ticks) => return self.pass(ticks),
            Event::Run(host) | Event::Lose(host) | Event::Delay(host) => {
                let Some(operation) = self.decide(host) else { return false };
                return self.finish(host, operation, event);
            }
            Event::Begin(host) | Event::Send(host) => {
                let Some(operation) = self.decide(host) else { return false };
                let begun = matches!(event, Event::Begin(_));
                let operation = if begun { self.execute(operation) } else { operation };
                self.nodes[host].operation = Some(operation);
            }
            Event::Finish(host) => {
                let Some(operation) = self.nodes[host].operation.take() else { return false };
                return self.finish(host, operation, Event::Run(host));
            }
            Event::Land(orphan) => {
                if orphan >= self.orphans.len() {
                    return false;
                }
                let write = self.orphans.remove(orphan);
                self.append(&write);
            }
            Event::Restart(host) => {
                if let Some(operation) = self.nodes[host].operation.take() {
                    self.abandon(&operation);
                }
                self.nodes[host] = start(host, self.nodes[host].process + 10, self.now);
            }
            Event::Leave(host) if self.nodes[host].leaving => return false,
            Event::Leave(host) => self.nodes[host].leaving = true,
            Event::Doubt(host) => self.nodes[host].doubts ^= true,
            Event::Fence(host) => {
                let Some(token) = self.nodes[host].lease.token(self.now) else { return false };
                self.nodes[host].lease.record_fenced(self.now, token);
            }
        }
        true
    }

    fn finish(&mut self, host: usize, operation: Operation, event: Event) -> bool {
        match event {
            Event::Delay(_) => {
                self.abandon(&operation);
                self.answer(host, operation);
            }
            Event::Lose(_) => {
                let lost = match self.execute(operation) {
                    Operation::Read { started, .. } => Operation::Read { started, reading: None },
                    Operation::Append { write, .. } => Operation::Append { write, written: None },
                };
                self.answer(host, lost);
            }
            _ => {
                let done = self.execute(operation);
                self.answer(host, done);
            }
        }
        true
    }

    fn pass(&mut self, ticks: u32) -> bool {
        for _ in 0..ticks {
            self.now += TICK;
            if self.check().is_err() {
                break;
            }
        }
        true
    }

    /// The token with which a host may act.
    pub fn token(&self, host: usize) -> Option<duty::Token> {
        let node = &self.nodes[host];
        let now = if self.fakes.ignores_suspension { node.active } else { self.now };
        let token = node.lease.token(now)?;
        Some(if self.fakes.counts_tokens { node.acquired } else { token })
    }

    /// Lets all hosts act that may, and checks the guarantees.
    pub fn check(&mut self) -> Result<(), String> {
        let actors: Vec<_> =
            (0..self.nodes.len()).filter_map(|host| Some((host, self.token(host)?))).collect();
        if actors.len() > 1 {
            return Err(format!("several hosts act: {actors:?}"));
        }
        let Some(&(host, token)) = actors.first() else { return Ok(()) };
        let process = self.nodes[host].process;
        let holder = *self.tokens.entry(token).or_insert((host, process));
        if holder != (host, process) {
            return Err(format!("token {token} of {holder:?} and {:?}", (host, process)));
        }
        let highest = self.tokens.keys().next_back().copied();
        if highest > Some(token) {
            return Err(format!("token {token} after {highest:?}"));
        }
        match self.acts.last_mut() {
            Some((last, at)) if *last == host => *at = self.now,
            _ => {
                let before = self.acts.iter().rev().find(|(other, _)| *other == host);
                let soon = before.filter(|(_, at)| self.now < *at + PERIOD);
                if let Some((_, at)) = soon {
                    return Err(format!("host {host} acts at {:?} and {at:?}", self.now));
                }
                self.acts.push((host, self.now));
            }
        }
        Ok(())
    }

    /// Ends all faults.
    pub fn calm(&mut self) {
        for host in 0..self.nodes.len() {
            if let Some(operation) = self.nodes[host].operation.take() {
                self.answer(host, operation);
            }
            self.nodes[host].doubts = false;
            if self.nodes[host].leaving {
                self.apply(Event::Restart(host));
            }
        }
        self.orphans.clear();
    }

    /// A digest of the state.
    pub fn digest(&self) -> u64 {
        use hash::Hash as _;
        use hash::Hasher as _;
        let mut hasher = hash::DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}
