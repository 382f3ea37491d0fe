//! A store with copies, and hosts that read it and tell each other what they know.

use std::time;

use sequoiacrank_kernel::edge::records;
use sequoiacrank_kernel::edge::records::order;
use sequoiacrank_kernel::id;

use crate::site;

/// Time for which what was known before a restore holds. Writers write again within it.
const HOLD: time::Duration = time::Duration::from_millis(2000);
/// Time that passes with [`Event::Pass`].
const PASS: time::Duration = time::Duration::from_millis(700);
/// Time between two heartbeats.
const HEARTBEAT: time::Duration = time::Duration::from_millis(450);

const KEYS: [&str; 2] = ["stamped", "other"];

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time passes.
    Pass,
    /// The writer of a key writes it.
    Write(usize),
    /// The writer of a key deletes it.
    Delete(usize),
    /// The store is copied.
    Copy,
    /// The store is restored from the copy.
    Restore,
    /// Writers write again what the store has lost.
    WriteAgain,
    /// A host reads the store.
    Read(usize),
    /// A host hears the heartbeat of another one twice, and fetches what it lacks.
    Tell(usize, usize),
    /// A process of a host ends and another one starts.
    Restart(usize),
}

/// Which keys have stamps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The first key, as the configuration does.
    Operators,
    /// Both keys.
    Endpoints,
}

impl order::Values<u16> for Topic {
    fn stamp(&self, key: &str, value: &u16) -> Option<order::Stamp> {
        let stamped = *self == Topic::Endpoints || key == KEYS[0];
        stamped.then_some((u64::from(*value), 0))
    }

    fn digest(&self, _: &str, value: &u16) -> u64 {
        u64::from(*value)
    }
}

type Log = Vec<(usize, Option<u16>)>;

#[derive(Clone, Debug)]
struct Node {
    known: records::Records<u16>,
    loaded: bool,
    /// Number of the latest write of each key that the process knew; a deletion counts as one.
    seen: [u16; 2],
    /// Whether the position of that write was certain.
    certain: [bool; 2],
}

/// Faults that the guarantees have to find.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fakes {
    /// Hosts do not learn in which era the store is.
    pub ignores_era: bool,
    /// Hosts believe a restored store at once.
    pub trusts_copy: bool,
    /// Hosts do not compare what they know with others.
    pub no_digests: bool,
}

/// A store and its hosts. Each write of a key has a larger number than the one before; the number
/// of a deletion is that of the last value, and a half.
#[derive(Clone, Debug)]
pub struct World {
    topic: Topic,
    fakes: Fakes,
    now: id::Time,
    era: id::Era,
    log: Log,
    copy: Option<Log>,
    /// Last write of each key, and whether it was a deletion.
    last: [(u16, bool); 2],
    /// Keys that are to be written again, and until when.
    lost: Vec<usize>,
    due: id::Time,
    nodes: Vec<Node>,
}

fn values(topic: Topic) -> &'static Topic {
    match topic {
        Topic::Operators => &Topic::Operators,
        Topic::Endpoints => &Topic::Endpoints,
    }
}

impl World {
    pub fn new(topic: Topic, hosts: usize, fakes: Fakes) -> Self {
        let hold = (topic == Topic::Operators && !fakes.trusts_copy).then_some(HOLD);
        let known = records::Records::new(values(topic), hold);
        let node = Node { known, loaded: false, seen: [0; 2], certain: [false; 2] };
        World {
            topic,
            fakes,
            now: site::ms(1000),
            era: order::FIRST,
            log: Vec::new(),
            copy: None,
            last: [(0, true); 2],
            lost: Vec::new(),
            due: id::Time::ZERO,
            nodes: vec![node; hosts],
        }
    }

    pub fn hosts(&self) -> usize {
        self.nodes.len()
    }

    /// Lets an event happen; returns whether it changed anything.
    pub fn apply(&mut self, event: Event) -> bool {
        match event {
            Event::Pass => return self.pass(PASS),
            Event::Write(key) => {
                self.last[key] = (self.last[key].0 + 1, false);
                self.log.push((key, Some(self.last[key].0)));
                self.lost.retain(|&it| it != key);
            }
            Event::Delete(key) if !self.last[key].1 => {
                self.last[key].1 = true;
                self.log.push((key, None));
                self.lost.retain(|&it| it != key);
            }
            Event::Copy if self.copy.as_ref() != Some(&self.log) => {
                self.copy = Some(self.log.clone());
            }
            Event::Restore => match self.copy.clone() {
                Some(copy) if copy.len() < self.log.len() => self.restore(copy),
                _ => return false,
            },
            Event::WriteAgain if !self.lost.is_empty() => self.write_again(),
            Event::Read(host) => self.read(host, false),
            Event::Tell(from, to) => return self.tell(from, to),
            Event::Restart(host) if self.nodes[host].loaded => {
                self.nodes[host] = World::new(self.topic, 1, self.fakes).nodes.remove(0);
            }
            _ => return false,
        }
        true
    }

    /// Lets time pass, unless lost records are due.
    fn pass(&mut self, time: time::Duration) -> bool {
        if !self.lost.is_empty() && self.now + time >= self.due {
            return false;
        }
        self.now += time;
        true
    }

    fn restore(&mut self, copy: Log) {
        self.lost = (0..KEYS.len()).filter(|&key| newest(&copy, key) != self.value(key)).collect();
        self.due = self.now + HOLD;
        self.log = copy;
        self.era += 1;
    }

    fn write_again(&mut self) {
        for key in std::mem::take(&mut self.lost) {
            self.log.push((key, self.value(key)));
        }
    }

    /// The last value that the writer of a key wrote.
    fn value(&self, key: usize) -> Option<u16> {
        let (number, deleted) = self.last[key];
        (!deleted).then_some(number)
    }

    fn position(&self, offset: usize) -> order::Position {
        let era = if self.fakes.ignores_era { order::FIRST } else { self.era };
        order::Position::new(era, offset as u64)
    }

    fn record(&self, offset: usize) -> records::Record<u16> {
        let (key, value) = self.log[offset];
        let position = self.position(offset);
        records::Record { key: KEYS[key].into(), value, position, last_stamp: None }
    }

    fn read(&mut self, host: usize, reload: bool) {
        let known = &self.nodes[host].known;
        let from = known.end();
        let end = self.position(self.log.len());
        let settles = known.settles_at().is_some_and(|at| self.now >= at);
        let lacks = from.era != end.era || from > end;
        let all = reload || !self.nodes[host].loaded || settles || lacks;
        let first = if all { 0 } else { from.offset as usize };
        let mut list: Vec<_> = (first..self.log.len()).map(|it| self.record(it)).collect();
        if all {
            let newer = list.clone();
            list.retain(|it| {
                let is_last = |other: &records::Record<u16>| other.position <= it.position;
                it.value.is_some() && newer.iter().filter(|o| o.key == it.key).all(is_last)
            });
        }
        let scope = if all { records::Scope::Topic } else { records::Scope::Since };
        self.nodes[host].loaded = true;
        self.nodes[host].known.apply(self.now, list, end, self.now, scope);
    }

    fn tell(&mut self, from: usize, to: usize) -> bool {
        let end = self.nodes[from].known.end();
        let digest = Some(self.nodes[from].known.digest()).filter(|_| !self.fakes.no_digests);
        let ask = |world: &mut World| {
            let now = world.now;
            world.nodes[to].known.request(now, end, digest)
        };
        let mut request = ask(self);
        if request.is_none() && self.pass(HEARTBEAT) {
            request = ask(self);
        }
        let (position, compares) = match request {
            None => return false,
            Some(records::Request::From(position)) => (position, false),
            Some(records::Request::Compare) => (order::Position::START, true),
        };
        let list = self.nodes[from].known.since(position);
        let scope = match position == order::Position::START {
            true => records::Scope::Host { settled: self.nodes[from].known.is_settled() },
            false => records::Scope::Since,
        };
        self.nodes[to].known.apply(self.now, list, end, self.now, scope);
        if compares {
            self.read(to, true);
        }
        true
    }

    /// Checks that no process goes back to an older record, and notes what each knows.
    pub fn check(&mut self) -> Result<(), String> {
        for (host, node) in self.nodes.iter_mut().enumerate() {
            for (key, name) in KEYS.iter().enumerate() {
                let value = node.known.get(name).copied();
                // Without a stamp, a record that was written behind the restore and before it was
                // noticed can't be told from one of the copy. It may give way to what others knew
                // before.
                let position = node.known.position(name).unwrap_or_default();
                let was_certain = std::mem::replace(&mut node.certain[key], position.era != 0);
                if self.topic == Topic::Operators && key == 1 && !was_certain {
                    node.seen[key] = value.map_or(0, |value| 2 * value);
                    continue;
                }
                match value {
                    Some(value) if 2 * value < node.seen[key] => {
                        return Err(format!("host {host} goes back to {value} of {name}"));
                    }
                    Some(value) => node.seen[key] = 2 * value,
                    // Deleted values do not come back; entries that a copy lacks are written again.
                    None if node.seen[key] > 0 && self.topic == Topic::Operators => {
                        let deleted = self.last[key].1 || self.last[key].0 * 2 > node.seen[key];
                        if !deleted {
                            return Err(format!("host {host} lost {name}"));
                        }
                        node.seen[key] |= 1;
                    }
                    None => {}
                }
            }
        }
        Ok(())
    }

    /// Lets everything be written, read and told, and checks that all hosts know what the store
    /// has.
    pub fn settle(mut self) -> Result<(), String> {
        self.write_again();
        for _ in 0..8 {
            for host in 0..self.hosts() {
                self.read(host, false);
                self.check()?;
            }
            for from in 0..self.hosts() {
                for to in (0..self.hosts()).filter(|&to| to != from) {
                    self.tell(from, to);
                    self.check()?;
                }
            }
            self.pass(PASS);
        }
        for (host, node) in self.nodes.iter().enumerate() {
            for (key, name) in KEYS.iter().enumerate() {
                let (known, real) = (node.known.get(name).copied(), self.value(key));
                if known != real {
                    return Err(format!("host {host} knows {known:?} of {name}, not {real:?}"));
                }
            }
        }
        Ok(())
    }
}

/// Newest value of a key in a log.
fn newest(log: &Log, key: usize) -> Option<u16> {
    log.iter().rev().find(|(it, _)| *it == key).and_then(|(_, value)| *value)
}
