//! The state machine: passes each event to the parts that it concerns, then lets each part do what
//! is due.

use std::collections;
use std::time;

use super::{AppendResult, Command, Event, Options};
use super::{context, follow, holder, latch, outbox, owner, peers, revision};
use crate::id;
use crate::log;
use crate::message;

/// Interval at which revisions and latches are gossiped to a peer.
const GOSSIP_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time after which a leaving host stops waiting for its shards to be taken over and its outcomes
/// to be logged.
const LEAVE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Interval at which a leaving host repeats that it leaves, since messages may be lost.
const LEAVING_INTERVAL: time::Duration = time::Duration::from_secs(1);

struct Leaving {
    /// Start of the wait for the hand-over: no claim waits and no granted request runs since then.
    idle_since: id::Time,
    /// Time of the next message to the peers.
    next_notice: id::Time,
    reported: bool,
}

/// Replicated state of one host.
pub struct StateMachine {
    options: Options,
    last_ticket: id::Ticket,
    peers: peers::Peers,
    parts: Parts,
    leaving: Option<Leaving>,
}

/// The parts of the state machine that take a [`context::Context`].
struct Parts {
    follower: follow::Follower,
    outbox: outbox::Outbox,
    revisions: revision::Revisions,
    latches: latch::Latches,
    shards: collections::BTreeMap<id::Shard, owner::Owner>,
    holder: holder::Holder,
    next_gossip: id::Time,
}

impl StateMachine {
    /// Starts the state machine of a host and returns its first commands.
    pub fn new(options: Options, now: id::Time) -> (StateMachine, Vec<Command>) {
        let mut peers = peers::Peers::new(options.host.clone(), options.shards);
        let mut out = Vec::new();
        let mut last_ticket = 0;
        let (options_ref, peers_ref) = (&options, &mut peers);
        let mut cx = context::Context {
            now,
            options: options_ref,
            peers: peers_ref,
            last_ticket: &mut last_ticket,
            commands: &mut out,
        };
        let parts = Parts::new(&mut cx);
        (StateMachine { options, last_ticket, peers, parts, leaving: None }, out)
    }

    /// Revision of the configuration in force; 0 if there is none.
    pub fn revision(&self) -> id::Revision {
        self.parts.revisions.revision()
    }

    /// Whether a configuration is in force and the host is not leaving.
    pub fn ready(&self) -> bool {
        self.revision() > 0 && self.leaving.is_none()
    }

    /// All latches that are set.
    pub fn latches(&self) -> impl Iterator<Item = &log::Latch> {
        self.parts.latches.all()
    }

    /// Shards whose newest epoch is this host's, as far as their streams have been read.
    pub fn owned(&self) -> Vec<id::Shard> {
        let own = |o: &owner::Owner| o.has_newest_epoch(&self.options);
        self.parts.shards.iter().filter(|(_, o)| own(o)).map(|(shard, _)| *shard).collect()
    }

    /// Handles an event and returns the commands that follow from it, in order.
    pub fn handle(&mut self, now: id::Time, event: Event) -> Vec<Command> {
        let mut out = Vec::new();
        self.step(now, event, &mut out);
        let mut commands = Vec::new();
        let mut queue = collections::VecDeque::from(out);
        while let Some(command) = queue.pop_front() {
            match command {
                Command::Send { to, message } if to == self.options.host => {
                    let mut more = Vec::new();
                    self.step(now, Event::Peer { from: to, message }, &mut more);
                    queue.extend(more);
                }
                command => commands.push(command),
            }
        }
        commands
    }

    fn step(&mut self, now: id::Time, event: Event, out: &mut Vec<Command>) {
        self.update_peers(now, &event, out);
        let StateMachine { options, last_ticket, peers, parts, .. } = self;
        let mut cx = context::Context { now, options, peers, last_ticket, commands: out };
        parts.dispatch(event, &mut cx);
        parts.poll(&mut cx);
        self.report_left(now, out);
    }

    /// Updates the view of the other hosts and the progress of this host's leaving.
    fn update_peers(&mut self, now: id::Time, event: &Event, out: &mut Vec<Command>) {
        match event {
            Event::Hosts(hosts) => self.peers.set_hosts(hosts.clone()),
            Event::Peer { from, message } => {
                self.peers.record_message(from);
                if *message == message::Message::Leaving {
                    self.peers.mark_leaving(now, from);
                }
            }
            Event::Leave if self.leaving.is_none() => {
                self.leaving = Some(Leaving {
                    idle_since: now,
                    next_notice: now + LEAVING_INTERVAL,
                    reported: false,
                });
                let own = self.options.host.clone();
                self.peers.mark_leaving(now, &own);
                self.announce_leaving(out);
            }
            Event::Tick => {
                self.peers.expire(now);
                self.peers.next_round();
                match &mut self.leaving {
                    Some(leaving) if now >= leaving.next_notice => {
                        leaving.next_notice = now + LEAVING_INTERVAL;
                        self.announce_leaving(out);
                    }
                    _ => {}
                }
            }
            _ => {}
        }
    }

    fn announce_leaving(&self, out: &mut Vec<Command>) {
        let message = message::Message::Leaving;
        let sends = self.peers.others().cloned();
        out.extend(sends.map(|to| Command::Send { to, message: message.clone() }));
    }

    /// Reports once that the hand-over is complete or has timed out.
    fn report_left(&mut self, now: id::Time, out: &mut Vec<Command>) {
        let Some(leaving) = &mut self.leaving else { return };
        if !self.parts.holder.is_idle() {
            leaving.idle_since = now;
            return;
        }
        let handed_over = self.parts.is_handed_over(&self.options, &self.peers);
        if !leaving.reported && (handed_over || now >= leaving.idle_since + LEAVE_TIMEOUT) {
            leaving.reported = true;
            out.push(Command::Left);
        }
    }
}

impl Parts {
    fn new(cx: &mut context::Context<'_>) -> Parts {
        Parts {
            follower: follow::Follower::new(log::Stream::Config, cx),
            outbox: outbox::Outbox::new(log::Stream::Config),
            revisions: revision::Revisions::new(),
            latches: latch::Latches::new(),
            shards: collections::BTreeMap::new(),
            holder: holder::Holder::default(),
            next_gossip: cx.now,
        }
    }

    fn is_handed_over(&self, options: &Options, peers: &peers::Peers) -> bool {
        let owns_any = self.shards.values().any(|owner| owner.has_newest_epoch(options));
        let busy =
            self.holder.is_busy() || self.latches.has_unlogged() || self.revisions.has_unanswered();
        !busy && (!owns_any || !peers.has_successor())
    }

    fn dispatch(&mut self, event: Event, cx: &mut context::Context<'_>) {
        match event {
            Event::Read { stream, records, first, end } => match stream {
                log::Stream::Config => self.read(records, first, end, cx),
                log::Stream::Claims(shard) => {
                    if let Some(owner) = self.shards.get_mut(&shard) {
                        owner.read(records, first, end, cx);
                    }
                }
            },
            Event::Appended { ticket, result } => self.appended(ticket, result, cx),
            Event::Hosts(_) | Event::Leave => self.assign_shards(cx),
            Event::Claim(claim) => self.holder.claim(claim, cx),
            Event::Ended { key, request, end } => self.holder.request_ended(key, request, end, cx),
            Event::Apply { ticket, base, document, deadline } => {
                self.revisions.apply(ticket, base, document, deadline, cx)
            }
            Event::Latch(latch) => self.latches.latch_found(latch, cx),
            Event::Peer { from, message } => self.handle_message(&from, message, cx),
            Event::Tick => self.tick(cx),
        }
    }

    fn read(
        &mut self,
        records: Vec<log::Record>,
        first: id::Offset,
        end: id::Offset,
        cx: &mut context::Context<'_>,
    ) {
        for record in self.follower.read(records, first, end, cx) {
            let own = self.outbox.confirm(&record, cx).map(|_| record.writer.sequence);
            self.revisions.fold(&record, own);
            self.latches.fold(&record, cx);
        }
        self.revisions.put_in_force(self.follower.caught_up(), cx);
    }

    fn appended(
        &mut self,
        ticket: id::Ticket,
        result: AppendResult,
        cx: &mut context::Context<'_>,
    ) {
        if self.outbox.append_answered(cx.now, ticket, result) {
            self.follower.request_read(cx);
        }
        for owner in self.shards.values_mut() {
            owner.appended(ticket, result, cx);
        }
    }

    /// Follows the shards that this host should own. A shard that another host should own is
    /// released, and no longer followed once another host's epoch is the newest.
    fn assign_shards(&mut self, cx: &mut context::Context<'_>) {
        for shard in 0..cx.options.shards {
            let assigned = cx.peers.owner(shard) == Some(&cx.options.host);
            match self.shards.get_mut(&shard) {
                None if assigned => {
                    let owner = owner::Owner::new(shard, cx);
                    self.shards.insert(shard, owner);
                }
                Some(owner) if !assigned => {
                    owner.release(cx);
                    if !owner.has_newest_epoch(cx.options) {
                        self.shards.remove(&shard);
                        cx.push(Command::Unfollow(log::Stream::Claims(shard)));
                    }
                }
                _ => {}
            }
        }
    }

    fn handle_message(
        &mut self,
        from: &str,
        message: message::Message,
        cx: &mut context::Context<'_>,
    ) {
        match message {
            message::Message::Claim(claim) => self.route_claim(from, claim, cx),
            message::Message::ClaimAnswer { key, request, answer } => {
                self.holder.handle_answer((key, request), answer, cx)
            }
            message::Message::Outcome { key, request, end } => {
                let shard = peers::shard_of(&key, cx.options.shards);
                if let Some(owner) = self.shards.get_mut(&shard) {
                    owner.request_ended(from, (key, request), end, cx);
                }
            }
            message::Message::OutcomeKept { request, .. } => self.holder.outcome_kept(request),
            message::Message::Latches(latches) => self.latches.handle_peer(latches, cx),
            message::Message::Revision { revision, offset, document } => {
                self.revisions.handle_peer(from, revision, offset, document, cx)
            }
            message::Message::AskRevision => {
                self.revisions.send_current(from, cx);
                self.latches.send_all(from, cx);
            }
            message::Message::Leaving => self.assign_shards(cx),
            message::Message::Digest(_)
            | message::Message::AskLoan { .. }
            | message::Message::Lend { .. }
            | message::Message::Return { .. } => {}
        }
    }

    fn route_claim(&mut self, from: &str, claim: message::Claim, cx: &mut context::Context<'_>) {
        let shard = peers::shard_of(&claim.key, cx.options.shards);
        let assigned = cx.peers.owner(shard) == Some(&cx.options.host);
        match self.shards.get_mut(&shard) {
            Some(owner) if assigned => {
                owner.claim(claim, cx);
                // The claim's answer waits for the log; this empty message shows at once that the
                // owner is alive.
                cx.send(from, message::Message::Latches(Vec::new()));
            }
            _ => {
                let (key, request) = (claim.key, claim.request);
                let answer = message::ClaimAnswer::NotOwner;
                let message = message::Message::ClaimAnswer { key, request, answer };
                cx.send(&claim.holder, message);
                // The sender may have passed over an owner that did not answer. The claim is
                // forwarded to the owner that this host knows, so that this host finds out too and
                // takes over if that owner is silent.
                match cx.peers.owner(shard).cloned() {
                    Some(owner) if !assigned && from == claim.holder => {
                        cx.send_request(&owner, message::Message::Claim(claim));
                    }
                    _ => {}
                }
            }
        }
    }

    fn tick(&mut self, cx: &mut context::Context<'_>) {
        self.assign_shards(cx);
        self.follower.poll(cx);
        for owner in self.shards.values_mut() {
            owner.tick(cx);
        }
        self.holder.poll(cx);
        self.holder.prune(cx.now, cx.options.window);
        if cx.now >= self.next_gossip {
            self.next_gossip = cx.now + GOSSIP_INTERVAL;
            self.revisions.gossip(cx);
            self.latches.gossip(cx);
        }
    }

    /// Appends what is due in all streams.
    fn poll(&mut self, cx: &mut context::Context<'_>) {
        self.revisions.poll(self.follower.caught_up(), &mut self.outbox, cx);
        self.latches.poll(&mut self.outbox, cx);
        self.outbox.poll(cx);
        for (shard, owner) in &mut self.shards {
            if cx.peers.owner(*shard) == Some(&cx.options.host) {
                owner.poll(cx);
            }
        }
    }
}
