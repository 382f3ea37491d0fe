//! A shard on the host that should own it: takes the shard over, batches claims and outcomes into
//! appends, and answers claims from the table once the records are read back.

use std::collections;
use std::time;

use super::{AppendResult, Options, context, follow, outbox, table, waiters};
use crate::id;
use crate::log;
use crate::message;

/// Shortest time between two epoch appends of a shard.
const EPOCH_INTERVAL: time::Duration = time::Duration::from_secs(1);
const MAX_BATCH_ENTRIES: usize = 256;
const PRUNE_INTERVAL: time::Duration = time::Duration::from_secs(10);

struct PendingOutcome {
    end: log::End,
    from: id::HostId,
    /// Sequence number of the append that carries it, if any.
    sequence: Option<u64>,
}

/// A shard that this host owns or should own.
pub(super) struct Owner {
    follower: follow::Follower,
    outbox: outbox::Outbox,
    table: table::Table,
    waiters: waiters::Waiters,
    outcomes: collections::BTreeMap<waiters::ClaimId, PendingOutcome>,
    /// Requests that gave up before their claim was appended, with the time at which no copy of the
    /// claim can be accepted any more.
    withdrawn: collections::BTreeMap<id::RequestId, id::Time>,
    /// Sequence number of the pending append of claims and outcomes, if any.
    batch_append: Option<u64>,
    /// Sequence number of the pending append of an epoch, if any.
    epoch_append: Option<u64>,
    epoch_due: id::Time,
    next_batch: id::Time,
    next_prune: id::Time,
}

impl Owner {
    /// Starts to follow the shard's stream.
    pub fn new(shard: id::Shard, cx: &mut context::Context<'_>) -> Owner {
        let stream = log::Stream::Claims(shard);
        Owner {
            follower: follow::Follower::new(stream, cx),
            outbox: outbox::Outbox::new(stream),
            table: table::Table::default(),
            waiters: waiters::Waiters::default(),
            outcomes: collections::BTreeMap::new(),
            withdrawn: collections::BTreeMap::new(),
            batch_append: None,
            epoch_append: None,
            epoch_due: cx.now,
            next_batch: cx.now,
            next_prune: cx.now,
        }
    }

    /// Whether this host owns the shard, as far as it can know.
    ///
    /// An epoch of its own proves nothing until the stream has been read to its end: it may be an
    /// old one read while catching up, or another host may have taken the shard over since.
    pub fn is_confirmed_owner(&self, cx: &context::Context<'_>) -> bool {
        self.follower.caught_up() && self.has_newest_epoch(cx.options)
    }

    /// Whether this host's epoch is the newest in the part of the stream that has been read.
    pub fn has_newest_epoch(&self, options: &Options) -> bool {
        let ownership = self.table.ownership();
        ownership.is_some_and(|s| s.owner == options.host && s.incarnation == options.incarnation)
    }

    /// Abandons all work on the shard and answers waiting claims with `NotOwner`.
    pub fn release(&mut self, cx: &mut context::Context<'_>) {
        for ((key, request), waiter) in self.waiters.drain() {
            reply(&waiter.claim.holder, key, request, message::ClaimAnswer::NotOwner, cx);
        }
        self.outcomes.clear();
        self.follower.mark_stale();
        self.abandon_batch();
        if let Some(sequence) = self.epoch_append.take() {
            self.outbox.give_up(sequence);
        }
    }

    /// Handles a request for a claim.
    pub fn claim(&mut self, claim: message::Claim, cx: &mut context::Context<'_>) {
        let (key, request) = (claim.key, claim.request);
        if let Some((code, run)) = table::key_refusal(&key, cx.now, cx.options.window) {
            let answer = message::ClaimAnswer::Refused { code, run };
            return reply(&claim.holder, key, request, answer, cx);
        }
        if cx.now >= claim.deadline || self.withdrawn.contains_key(&request) {
            return;
        }
        let repeated = !self.waiters.add(claim, cx.now);
        self.try_answer((key, request), cx);
        if repeated {
            self.resend_grant(&key, cx);
        }
    }

    /// Answers a waiting claim if the state of its key allows it, or drops it if it has lapsed.
    fn try_answer(&mut self, claim_id: waiters::ClaimId, cx: &mut context::Context<'_>) {
        let Some(waiter) = self.waiters.get(&claim_id) else { return };
        let (key, request) = claim_id;
        let holder = waiter.claim.holder.clone();
        let lapsed = cx.now >= waiter.claim.deadline || self.table.is_not_run(&key, &request);
        match self.table.row(&key).and_then(|row| waiter.answer(row, cx.now)) {
            Some(answer) => {
                self.waiters.remove(&claim_id);
                reply(&holder, key, request, answer, cx);
            }
            None if lapsed => {
                self.waiters.remove(&claim_id);
            }
            None => {}
        }
    }

    /// Repeats the grant to the host that holds the key, in case the first one was lost or arrived
    /// too late.
    fn resend_grant(&mut self, key: &id::Key, cx: &mut context::Context<'_>) {
        if let Some(table::State::Held { request, holder }) =
            self.table.row(key).map(|row| &row.state)
        {
            reply(holder, *key, *request, message::ClaimAnswer::Granted, cx);
        }
    }

    /// Handles the outcome of a request.
    pub fn request_ended(
        &mut self,
        from: &str,
        claim_id: waiters::ClaimId,
        end: log::End,
        cx: &mut context::Context<'_>,
    ) {
        let (key, request) = claim_id;
        if end == log::End::NotRun {
            self.waiters.remove(&claim_id);
            let until = cx.now + cx.options.window + table::MAX_CLOCK_SKEW;
            self.withdrawn.insert(request, until);
        }
        let row = self.table.row(&key).map(|row| &row.state);
        let held = matches!(row, Some(table::State::Held { request: r, .. }) if *r == request);
        let expired = table::is_expired(&key, cx.now, cx.options.window);
        match self.is_confirmed_owner(cx) {
            _ if self.is_logged(&claim_id) || expired => send_outcome_kept(from, claim_id, cx),
            true if held => {
                let pending = PendingOutcome { end, from: from.into(), sequence: None };
                self.outcomes.entry(claim_id).or_insert(pending);
            }
            // Only a batch of this owner could still claim the key for this request, and no pending
            // one does.
            true if end == log::End::NotRun && !self.has_pending_claim(&claim_id) => {
                send_outcome_kept(from, claim_id, cx)
            }
            true if end == log::End::NotRun => {
                let pending = PendingOutcome { end, from: from.into(), sequence: None };
                self.outcomes.entry(claim_id).or_insert(pending);
            }
            _ => {}
        }
    }

    fn is_logged(&self, (key, request): &waiters::ClaimId) -> bool {
        let row = self.table.row(key).map(|row| &row.state);
        let ended = matches!(row, Some(table::State::Ended { request: r, .. }) if r == request);
        ended || self.table.is_not_run(key, request)
    }

    fn has_pending_claim(&self, (key, request): &waiters::ClaimId) -> bool {
        self.outbox.appends().flat_map(|(_, append)| &append.entries).any(|entry| {
            matches!(entry, log::Entry::Claim { key: k, request: r, .. } if k == key && r == request)
        })
    }

    /// Applies records that were read and answers the claims and outcomes that they resolve.
    pub fn read(
        &mut self,
        records: Vec<log::Record>,
        first: id::Offset,
        end: id::Offset,
        cx: &mut context::Context<'_>,
    ) {
        let ready = self.follower.read(records, first, end, cx);
        if ready.is_empty() {
            return;
        }
        for record in &ready {
            self.table.fold(record);
            if self.outbox.confirm(record, cx).is_some() {
                self.append_confirmed(record.writer.sequence);
            }
        }
        self.answer_resolved(cx);
    }

    fn append_confirmed(&mut self, sequence: u64) {
        self.batch_append = self.batch_append.filter(|batch| *batch != sequence);
        self.epoch_append = self.epoch_append.filter(|epoch| *epoch != sequence);
        self.clear_append(sequence);
    }

    /// Marks the claims and outcomes of an append as not carried by any, so that they can be
    /// appended again.
    fn clear_append(&mut self, sequence: u64) {
        let carried = Some(sequence);
        self.waiters.clear_append(sequence);
        let outcomes = self.outcomes.values_mut().filter(|pending| pending.sequence == carried);
        outcomes.for_each(|pending| pending.sequence = None);
    }

    fn answer_resolved(&mut self, cx: &mut context::Context<'_>) {
        for claim_id in self.waiters.ids() {
            self.try_answer(claim_id, cx);
        }
        for claim_id in self.outcomes.keys().copied().collect::<Vec<_>>() {
            if self.is_logged(&claim_id)
                && let Some(pending) = self.outcomes.remove(&claim_id)
            {
                send_outcome_kept(&pending.from, claim_id, cx);
            }
        }
    }

    /// Handles the log's answer to an append.
    pub fn appended(
        &mut self,
        ticket: id::Ticket,
        result: AppendResult,
        cx: &mut context::Context<'_>,
    ) {
        if self.outbox.append_answered(cx.now, ticket, result) {
            self.follower.request_read(cx);
        }
    }

    /// Handles a timer tick.
    pub fn tick(&mut self, cx: &mut context::Context<'_>) {
        self.follower.poll(cx);
        self.answer_resolved(cx);
        if cx.now >= self.next_prune {
            self.next_prune = cx.now + PRUNE_INTERVAL;
            let (now, window) = (cx.now, cx.options.window);
            self.table.prune(now, window);
            self.outcomes.retain(|(key, _), _| !table::is_expired(key, now, window));
            self.withdrawn.retain(|_, until| *until > cx.now);
        }
    }

    /// Appends what is due; called only while this host should own the shard.
    pub fn poll(&mut self, cx: &mut context::Context<'_>) {
        match self.is_confirmed_owner(cx) {
            true => self.append_batch(cx),
            false => self.abandon_batch(),
        }
        self.append_epoch(cx);
        self.outbox.poll(cx);
    }

    /// Appends a new epoch to take the shard over, or the current one again before it runs out of
    /// retention.
    fn append_epoch(&mut self, cx: &mut context::Context<'_>) {
        if self.epoch_append.is_some() || !self.follower.caught_up() || cx.now < self.epoch_due {
            return;
        }
        let epoch = match self.table.ownership() {
            Some(ownership) if self.is_confirmed_owner(cx) => {
                if cx.now < ownership.at + cx.options.retention / 2 {
                    return;
                }
                ownership.epoch
            }
            _ => self.table.next_epoch(self.follower.end()),
        };
        let options = cx.options;
        let (owner, incarnation) = (options.host.clone(), options.incarnation);
        self.epoch_due = cx.now + EPOCH_INTERVAL;
        let entries = vec![log::Entry::Epoch { epoch, owner, incarnation }];
        self.epoch_append = Some(self.outbox.push(entries, cx));
    }

    /// Gives up the pending batch, so that its claims and outcomes can be appended again. Needed
    /// after a change of owner, because claims of an epoch that is not the current one are ignored.
    fn abandon_batch(&mut self) {
        if let Some(sequence) = self.batch_append.take() {
            self.outbox.give_up(sequence);
            self.clear_append(sequence);
        }
    }

    /// Gives up the pending batch if none of its claims and outcomes is still waiting.
    fn drop_stale_batch(&mut self) {
        let Some(batch) = self.batch_append else { return };
        let has_claims = self.waiters.in_append(batch);
        let has_outcomes = self.outcomes.values().any(|pending| pending.sequence == Some(batch));
        if !has_claims && !has_outcomes {
            self.abandon_batch();
        }
    }

    fn is_free(&self, key: &id::Key) -> bool {
        self.table.row(key).is_none_or(|row| row.state == table::State::Free)
    }

    /// Appends all claims and outcomes that are due, up to [`MAX_BATCH_ENTRIES`], as one record.
    fn append_batch(&mut self, cx: &mut context::Context<'_>) {
        self.drop_stale_batch();
        if self.batch_append.is_some() || cx.now < self.next_batch {
            return;
        }
        let Some(epoch) = self.table.ownership().map(|ownership| ownership.epoch) else { return };
        let outcomes = self.outcomes.keys().copied().take(MAX_BATCH_ENTRIES).collect::<Vec<_>>();
        let free = |key: &id::Key| self.is_free(key);
        let due = self.waiters.due(cx.now, free).take(MAX_BATCH_ENTRIES - outcomes.len());
        let waiters = due.collect::<Vec<_>>();
        if outcomes.is_empty() && waiters.is_empty() {
            return;
        }
        let ends =
            outcomes.iter().map(|claim_id| outcome_entry(claim_id, &self.outcomes[claim_id].end));
        let claims = waiters.iter().filter_map(|claim_id| self.waiters.get(claim_id));
        let claims = claims.map(|waiter| waiter.entry(epoch));
        let entries = ends.chain(claims).collect();
        let sequence = Some(self.outbox.push(entries, cx));
        for claim_id in outcomes {
            if let Some(pending) = self.outcomes.get_mut(&claim_id) {
                pending.sequence = sequence;
            }
        }
        for claim_id in waiters {
            if let Some(waiter) = self.waiters.get_mut(&claim_id) {
                waiter.sequence = sequence;
            }
        }
        self.batch_append = sequence;
        self.next_batch = cx.now + cx.options.batch_interval;
    }
}

fn outcome_entry((key, request): &waiters::ClaimId, end: &log::End) -> log::Entry {
    log::Entry::Outcome { key: *key, request: *request, end: end.clone() }
}

fn reply(
    to: &str,
    key: id::Key,
    request: id::RequestId,
    answer: message::ClaimAnswer,
    cx: &mut context::Context<'_>,
) {
    cx.send(to, message::Message::ClaimAnswer { key, request, answer });
}

fn send_outcome_kept(to: &str, (key, request): waiters::ClaimId, cx: &mut context::Context<'_>) {
    cx.send(to, message::Message::OutcomeKept { key, request });
}
