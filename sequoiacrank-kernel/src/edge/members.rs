//! Other hosts: which of them live, and what each of them is told.
//!
//! Answers two loads. Many hosts start or come back together: a host that is heard for the first time is told
//! all names once, the others hear of it once, so that the bytes for names grow with the number of changes
//! and not with the square of the hosts for each pulse. And connections go silent without an error: pulses
//! are numbered and echoed, so that one which the other side does not hear is made anew.

use std::collections;
use std::net;
use std::time;

use crate::id;

/// Time between two pulses: a lost host is noticed within a few of them, which is within the shortest
/// target of a streamed request.
pub const PULSE: time::Duration = time::Duration::from_millis(400);
/// Time after the start for which pulses follow each other fast: hosts that start together find each other
/// by them.
const YOUNG: time::Duration = time::Duration::from_millis(1200);
/// Time between those pulses.
const YOUNG_PULSE: time::Duration = time::Duration::from_millis(100);
/// Time after the start within which hosts that start up to 0.3 s later are heard by a quick host.
const SETTLE: time::Duration = time::Duration::from_millis(600);
/// Time without a further host after which a host that heard some knows them all.
const QUIET: time::Duration = time::Duration::from_millis(250);
/// Time after the start after which a host that heard none is alone.
const ALONE: time::Duration = time::Duration::from_millis(900);
/// Time after the start after which a host waits for no further ones.
const SETTLED: time::Duration = time::Duration::from_millis(2000);
/// Time without a message after which a host counts as lost.
const LOST: time::Duration = time::Duration::from_millis(1300);
/// Time after which a host that is not heard is forgotten.
const FORGET: time::Duration = time::Duration::from_secs(20);
/// Time for which a host that is not heard keeps its part of a bound over all hosts: regions lose each other
/// for minutes, and hosts that are cut off go on to use their parts.
const KEEPS: time::Duration = time::Duration::from_secs(15 * 60);
/// Share of its part of a bound that a process earns until it is as old as the bound's span. One before it may
/// have used a whole part in the same span; the budget leaves three tenths of its bound unused for that.
const EARNED: f64 = 0.4;
/// Time for which a host is passed over that did not answer in time.
const PASSED: time::Duration = time::Duration::from_secs(2);
/// Time for which the other side may hear no pulse before the connection is made anew: four pulses.
const MISSED: time::Duration = time::Duration::from_millis(1600);
/// Pulses after which a host is told all names once more, in case that a message was lost: ten seconds.
const NAMES: u64 = 25;

/// What a host says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signs {
    /// Whether it is leaving.
    pub leaving: bool,
    /// Number of the pulse.
    pub number: u64,
    /// Number of the last pulse that it got from this host.
    pub heard: u64,
    /// Share of a core that it may use, in thousandths.
    pub cpu: u32,
    /// Number of hosts that it knows, itself included.
    pub known: u32,
}

/// The part of a host in a bound over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// Hosts among which the bound is divided.
    pub hosts: usize,
    /// How much of its part the host may use, from 0 to 1.
    pub earned: f64,
}

impl Part {
    /// What this host may use of a bound.
    pub fn of(&self, bound: f64) -> f64 {
        self.earned * bound / self.hosts.max(1) as f64
    }
}

/// What a message tells of the process that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It is the one that was heard before.
    Same,
    /// It is a later one, or the first that is heard: it knows nothing of what others did.
    New,
    /// It has ended; a later one was heard at its address.
    Ended,
}

#[derive(Clone, Debug)]
struct Member {
    /// Process that was heard last, with the number of the latest connection that it made.
    life: Option<(id::Incarnation, u64)>,
    /// Time of the last message.
    heard: Option<id::Time>,
    /// When it was first named.
    since: id::Time,
    /// Time until which no work is asked of it.
    passed: id::Time,
    signs: Signs,
    /// Time at which it last told that it heard a further pulse, or at which the connection was made.
    echoed: id::Time,
}

impl Member {
    fn is_alive(&self, now: id::Time) -> bool {
        self.heard.is_some_and(|at| now < at + LOST)
    }
}

/// Time between the pulse of a host and its next one, so long after its start.
pub fn pause(age: time::Duration) -> time::Duration {
    if age < YOUNG { YOUNG_PULSE } else { PULSE }
}

/// A pulse to one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pulse {
    /// The host.
    pub to: net::SocketAddr,
    /// Number of the pulse.
    pub number: u64,
    /// Number of the last pulse from that host.
    pub heard: u64,
    /// Hosts that are named to it.
    pub names: Vec<net::SocketAddr>,
}

/// What is to be done at a pulse.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Round {
    /// Pulses to send.
    pub pulses: Vec<Pulse>,
    /// Hosts to which the connection is made anew, because they do not hear this one.
    pub silent: Vec<net::SocketAddr>,
    /// Hosts that were not heard for long and are no members any more.
    pub forgotten: Vec<net::SocketAddr>,
}

/// All other hosts.
#[derive(Clone, Debug, Default)]
pub struct Members {
    members: collections::BTreeMap<net::SocketAddr, Member>,
    number: u64,
    /// Hosts that were heard since the last pulse and not before.
    news: Vec<net::SocketAddr>,
    /// Time at which the last of them was heard.
    met: Option<id::Time>,
    /// Hosts that have a part of bounds over all hosts, with the time at which each was last named or heard.
    parts: collections::BTreeMap<net::SocketAddr, id::Time>,
}

impl Members {
    /// Adds a host. Returns whether it was not known.
    pub fn add(&mut self, now: id::Time, address: net::SocketAddr) -> bool {
        if self.members.contains_key(&address) {
            return false;
        }
        self.parts.insert(address, now);
        let member = Member {
            life: None,
            heard: None,
            since: now,
            passed: id::Time::ZERO,
            signs: Signs::default(),
            echoed: now,
        };
        self.members.insert(address, member);
        true
    }

    /// The first pulse to a host.
    pub fn hello(&self, to: net::SocketAddr) -> Pulse {
        Pulse { to, number: self.number, heard: 0, names: Vec::new() }
    }

    /// Tells the process that sent a message from others at its address. Connections are numbered as they were
    /// accepted: a process that has ended made its own before a later one did, but what it sent may be read
    /// after.
    pub fn life(
        &mut self,
        from: net::SocketAddr,
        process: id::Incarnation,
        connection: u64,
    ) -> Life {
        let Some(member) = self.members.get_mut(&from) else { return Life::Same };
        let (life, last) = match member.life {
            Some((known, last)) if known == process => (Life::Same, last.max(connection)),
            Some((_, last)) if connection < last => return Life::Ended,
            _ => (Life::New, connection),
        };
        member.life = Some((process, last));
        life
    }

    /// Whether a host is heard.
    pub fn is_alive(&self, now: id::Time, address: net::SocketAddr) -> bool {
        self.members.get(&address).is_some_and(|member| member.is_alive(now))
    }

    /// Notes a message of a host. Returns the pulse that introduces the others to it, if it was not heard
    /// before.
    pub fn hear(&mut self, now: id::Time, from: net::SocketAddr) -> Option<Pulse> {
        let member = self.members.get_mut(&from)?;
        let new = !member.is_alive(now);
        member.heard = Some(now);
        self.parts.insert(from, now);
        if !new {
            return None;
        }
        let heard = member.signs.number;
        self.news.push(from);
        self.met = Some(now);
        Some(Pulse { to: from, number: self.number, heard, names: self.names(now, from) })
    }

    /// Time until this host knows which others live, at a time since its start. Before that it may take
    /// itself for the one that forms calls of stage work. Hosts with a small share of a core hear of
    /// others later when all start together.
    pub fn unsettled(&self, now: id::Time) -> Option<time::Duration> {
        let until = match self.met {
            _ if now >= SETTLED => return None,
            None => ALONE,
            Some(met) => SETTLE.max(met + QUIET).min(SETTLED),
        };
        until.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Takes over what a host says of itself. Returns whether it begins or ceases to leave.
    pub fn learn(&mut self, now: id::Time, from: net::SocketAddr, signs: Signs) -> bool {
        let Some(member) = self.members.get_mut(&from) else { return false };
        let old = std::mem::replace(&mut member.signs, signs);
        if signs.heard != old.heard {
            member.echoed = now;
        }
        old.leaving != signs.leaving
    }

    /// What to send at the next pulse. Hosts that were not heard for long are forgotten.
    pub fn pulse(&mut self, now: id::Time) -> Round {
        self.number += 1;
        let number = self.number;
        let old = |member: &Member| now >= member.heard.unwrap_or(member.since) + FORGET;
        let forgotten: Vec<_> =
            self.members.iter().filter(|(_, it)| old(it)).map(|(&it, _)| it).collect();
        for address in &forgotten {
            // One that said it leaves has ended since.
            if self.members.remove(address).is_some_and(|member| member.signs.leaving) {
                self.parts.remove(address);
            }
        }
        self.parts.retain(|_, at| now < *at + KEEPS);
        let news = std::mem::take(&mut self.news);
        let mut pulses = Vec::with_capacity(self.members.len());
        let mut silent = Vec::new();
        for (place, (&to, member)) in self.members.iter().enumerate() {
            // Each pulse tells all names to other hosts, so that no pulse is much longer than the rest.
            let names = match (number + place as u64).is_multiple_of(NAMES) {
                true => self.names(now, to),
                false => news.iter().copied().filter(|&it| it != to).collect(),
            };
            pulses.push(Pulse { to, number, heard: member.signs.number, names });
            if now > member.echoed + MISSED {
                silent.push(to);
            }
        }
        for address in &silent {
            if let Some(member) = self.members.get_mut(address) {
                member.echoed = now;
            }
        }
        Round { pulses, silent, forgotten }
    }

    /// Hosts that are heard, but for one.
    fn names(&self, now: id::Time, to: net::SocketAddr) -> Vec<net::SocketAddr> {
        self.alive(now).into_iter().filter(|&it| it != to).collect()
    }

    /// Hosts that are heard.
    pub fn alive(&self, now: id::Time) -> Vec<net::SocketAddr> {
        self.members.iter().filter(|(_, it)| it.is_alive(now)).map(|(&it, _)| it).collect()
    }

    /// Hosts of which work may be asked, with their share of a core in thousandths.
    pub fn asked(&self, now: id::Time) -> Vec<(net::SocketAddr, u32)> {
        let usable = |it: &Member| it.is_alive(now) && !it.signs.leaving && now >= it.passed;
        let members = self.members.iter().filter(|(_, it)| usable(it));
        members.map(|(&address, it)| (address, it.signs.cpu)).collect()
    }

    /// Names the process of a host that is heard; a restarted one knows nothing of before.
    pub fn process(&self, now: id::Time, address: net::SocketAddr) -> Option<id::Incarnation> {
        self.members.get(&address).filter(|it| it.is_alive(now)).and_then(|it| Some(it.life?.0))
    }

    /// Number of hosts that this one knows itself, this one included. Others that are not heard count for long.
    pub fn known(&self) -> usize {
        1 + self.parts.len()
    }

    /// Number of hosts among which a bound over all of them is divided, by what this host and those that it
    /// hears know.
    pub fn sharers(&self, now: id::Time) -> usize {
        let recent = |it: &&Member| it.heard.is_some_and(|at| now < at + FORGET);
        let told = self.members.values().filter(recent).map(|it| it.signs.known as usize);
        told.fold(self.known(), usize::max)
    }

    /// The part of this host in a bound that holds in any `span`, at a time since the start of this process.
    /// Earlier processes of the host may have used theirs within the span, so that it is earned by the time
    /// that a process lives: all of them together live no longer than the span.
    pub fn part(&self, now: id::Time, span: time::Duration) -> Part {
        let alone = self.met.is_none() && !self.parts.is_empty();
        let earned = match now >= span {
            // It can't know how many hosts there are.
            _ if alone => 0.0,
            true => 1.0,
            false => EARNED * now.as_secs_f64() / span.as_secs_f64(),
        };
        Part { hosts: self.sharers(now), earned }
    }

    /// Asks no work of a host for a while, because it did not answer in time.
    pub fn pass_over(&mut self, now: id::Time, address: net::SocketAddr) {
        if let Some(member) = self.members.get_mut(&address) {
            member.passed = now + PASSED;
        }
    }
}
