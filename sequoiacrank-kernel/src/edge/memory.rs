//! Accounting of the memory that connections hold, and who gives way when the budget is used up.

use std::collections;
use std::time;

use crate::id;
use crate::map;

/// Number of something that holds memory, such as a body; unique within an account.
pub type HolderId = u64;

/// Size in bytes up to which bodies may use the reserve.
pub const SMALL_BYTES: usize = 64 << 10;
/// Bytes of a message of another host that are always granted.
pub const MESSAGE_BYTES: usize = 4 << 10;
/// Time without progress after which an incomplete body may be evicted.
pub const STALL_TIME: time::Duration = time::Duration::from_millis(500);
/// Time for which a holder waits for room before it is refused.
pub const ROOM_WAIT: time::Duration = time::Duration::from_millis(250);
/// Time without a successful write after which a connection whose caller does not read its answers
/// may be closed. A caller that reads slowly lets writes go on within it.
pub const BLOCKED_TIME: time::Duration = time::Duration::from_secs(1);
/// Bytes that one connection is charged: the buffers that the HTTP library holds for its head.
pub const CONNECTION_BYTES: usize = 16 << 10;
/// Budget in bytes if the memory of the machine is unknown.
pub const DEFAULT_BUDGET: usize = 256_000_000;

/// The reserves for small bodies and for answers are `1 / RESERVE_DIVISOR` of the budget each.
const RESERVE_DIVISOR: usize = 8;
/// The budget is at least this multiple of the largest legal body. Three quarters of it, the ceiling
/// of large bodies, then still hold one of them beside connections.
const BODY_MULTIPLE: usize = 2;
/// Shortest time between two attempts of a holder to get room.
const MIN_RETRY: time::Duration = time::Duration::from_millis(20);

/// Budget in bytes of a machine with `megabytes` of memory; `None` if that is unknown.
pub fn budget(megabytes: Option<u32>) -> usize {
    megabytes.map_or(DEFAULT_BUDGET, |megabytes| megabytes as usize * 1_000_000 / 4)
}

/// The connection to close when others wait for room: the one whose writes have been blocked longest,
/// if that is at least [`BLOCKED_TIME`]. `blocked` holds connections and since when their writes are
/// blocked.
pub fn longest_blocked<I>(now: id::Time, blocked: I) -> Option<u64>
where
    I: IntoIterator<Item = (id::Time, u64)>,
{
    let (since, connection) = blocked.into_iter().min()?;
    (now >= since + BLOCKED_TIME).then_some(connection)
}

/// What a holder holds memory for, which decides how much of the budget it may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A body of at most [`SMALL_BYTES`]. It may use all of the budget.
    Small,
    /// A body of a request that is larger, or of which the size is unknown. It leaves room for
    /// answers: an answer without room is lost, while a request is only refused.
    Request,
    /// An answer of the store or of the platform's API. It may use all of the budget, as endless
    /// answers of endpoints could keep the host from reading its configuration otherwise.
    Control,
    /// An answer of an endpoint. Its first [`SMALL_BYTES`] may use all of the budget.
    Answer,
    /// A message of another host. Its first [`MESSAGE_BYTES`] are always granted, also if there is no
    /// room, as most messages are shorter: a new link that is closed instead makes a live host look
    /// lost. The bound on the connections of hosts bounds their sum. The rest leaves the reserve:
    /// anybody who reaches the address for hosts can announce long messages.
    Message,
}

impl Class {
    /// Bytes of a holder that may use all of the budget.
    fn reserved(self) -> usize {
        match self {
            Class::Small | Class::Answer => SMALL_BYTES,
            Class::Message => MESSAGE_BYTES,
            Class::Request | Class::Control => 0,
        }
    }
}

/// Outcome of a request for memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The bytes are held from now on.
    Granted,
    /// There is no room now. The holders in `evicted` have to give up. The request is repeated when
    /// bytes are released, and at the time `until`.
    Wait {
        /// Holders that have made no progress for [`STALL_TIME`], longest first.
        evicted: Vec<HolderId>,
        /// Time of the next attempt.
        until: id::Time,
    },
    /// There was no room for at least [`ROOM_WAIT`].
    Refused,
}

/// Memory of one holder.
#[derive(Clone, Debug)]
struct Holder {
    class: Class,
    bytes: usize,
    /// When bytes of it arrived last.
    progressed: id::Time,
    /// Since when it waits for room. It is not read meanwhile, so it cannot make progress.
    waiting: Option<id::Time>,
    /// Whether it is complete. Complete bodies are not evicted.
    complete: bool,
    evicted: bool,
}

impl Holder {
    /// Whether it may be evicted once it has made no progress for [`STALL_TIME`].
    fn may_stall(&self) -> bool {
        !self.complete && !self.evicted && self.waiting.is_none() && self.bytes > 0
    }

    /// Whether it is a large body that waits for room.
    fn waits_for_turn(&self) -> bool {
        self.class == Class::Request && self.waiting.is_some()
    }
}

/// The memory that all holders and connections hold.
#[derive(Clone, Debug)]
pub struct Account {
    /// Budget by the memory of the machine, in bytes.
    base: usize,
    /// Budget in force, in bytes: `base`, or more if the largest legal body needs it.
    budget: usize,
    /// Size of the largest legal body in bytes.
    largest: usize,
    held: usize,
    holders: map::FastMap<HolderId, Holder>,
    /// Large bodies that wait for room. This and the next two sets are derived from `holders`, as a
    /// decision must not take longer the more holders there are: a crowd asks all at once.
    waiting: collections::BTreeSet<HolderId>,
    /// Holders that may be evicted once they stall, longest without progress first.
    stallable: collections::BTreeSet<(id::Time, HolderId)>,
    /// Holders that were evicted and still hold memory.
    evicted: collections::BTreeSet<HolderId>,
    next: HolderId,
}

impl Account {
    /// An account of which nothing is held; `budget` in bytes.
    pub fn new(budget: usize) -> Self {
        Account {
            base: budget,
            budget,
            largest: 0,
            held: 0,
            holders: map::FastMap::default(),
            waiting: collections::BTreeSet::new(),
            stallable: collections::BTreeSet::new(),
            evicted: collections::BTreeSet::new(),
            next: 0,
        }
    }

    /// Sets the size of the largest legal body in bytes. Returns whether the budget was too small
    /// for it and was raised.
    pub fn set_largest(&mut self, bytes: usize) -> bool {
        self.largest = bytes;
        let least = bytes.saturating_mul(BODY_MULTIPLE);
        self.budget = self.base.max(least);
        least > self.base
    }

    /// Budget in bytes.
    pub fn budget(&self) -> usize {
        self.budget
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Maximum number of connections of callers, so that one body of the largest legal size fits
    /// beside them.
    pub fn max_connections(&self) -> usize {
        let beside = self.ceiling(Class::Request).saturating_sub(self.largest);
        beside.min(self.budget / 2) / CONNECTION_BYTES
    }

    /// Whether there is room for one more connection.
    pub fn has_connection_room(&self) -> bool {
        self.held + CONNECTION_BYTES <= self.budget
    }

    /// Charges a connection, also if there is no room: it may take the place of one that is told to
    /// close. Their number is bounded by [`Account::max_connections`].
    pub fn open_connection(&mut self) {
        self.held += CONNECTION_BYTES;
    }

    /// Takes back the charge of a connection.
    pub fn close_connection(&mut self) {
        self.held = self.held.saturating_sub(CONNECTION_BYTES);
    }

    /// Adds a holder without memory.
    pub fn open(&mut self, now: id::Time, class: Class) -> HolderId {
        self.next += 1;
        // An answer is complete in the sense that it is not evicted: its request has run.
        let complete = matches!(class, Class::Answer | Class::Control);
        let holder =
            Holder { class, bytes: 0, progressed: now, waiting: None, complete, evicted: false };
        self.holders.insert(self.next, holder);
        self.next
    }

    /// Removes a holder and releases its memory.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.held = self.held.saturating_sub(holder.bytes);
            self.waiting.remove(&id);
            self.stallable.remove(&(holder.progressed, id));
            self.evicted.remove(&id);
        }
    }

    /// Records that bytes of a holder arrived.
    pub fn record_progress(&mut self, now: id::Time, id: HolderId) {
        self.update(id, |holder| holder.progressed = now);
    }

    /// Records that a body is complete.
    pub fn complete(&mut self, id: HolderId) {
        self.update(id, |holder| holder.complete = true);
    }

    /// Records that more is expected of a complete holder, so that it may stall again.
    pub fn resume(&mut self, id: HolderId) {
        self.update(id, |holder| holder.complete = false);
    }

    /// Releases some of the bytes of a holder.
    pub fn release(&mut self, id: HolderId, bytes: usize) {
        let bytes = self.holders.get(&id).map_or(0, |holder| bytes.min(holder.bytes));
        self.update(id, |holder| holder.bytes -= bytes);
        self.held = self.held.saturating_sub(bytes);
    }

    /// Requests `more` bytes for a holder. A holder that is not known is refused.
    ///
    /// Among large bodies the one that began first goes first, and of those that have waited for
    /// [`ROOM_WAIT`] the last one is refused first. Otherwise all of a crowd would get a part of the
    /// budget, and none would get enough to end.
    pub fn request(&mut self, now: id::Time, id: HolderId, more: usize) -> Decision {
        let Some(holder) = self.holders.get(&id) else { return Decision::Refused };
        if more == 0 {
            return Decision::Granted;
        }
        let bytes = holder.bytes + more;
        let is_first = holder.class == Class::Message && bytes <= MESSAGE_BYTES;
        let is_small = bytes <= holder.class.reserved();
        let ceiling = if is_small { self.budget } else { self.ceiling(holder.class) };
        let excess = (self.held + more).saturating_sub(ceiling);
        let since = holder.waiting.unwrap_or(now);
        let is_large = holder.class == Class::Request;
        let is_turn = !is_large || self.waiting.first().is_none_or(|first| *first >= id);
        if is_first || (excess == 0 && is_turn) {
            self.held += more;
            self.update(id, |holder| {
                holder.bytes += more;
                holder.progressed = now;
                holder.waiting = None;
            });
            return Decision::Granted;
        }
        self.update(id, |holder| holder.waiting = Some(since));
        let evicted = self.evict(now, excess);
        let deadline = since + ROOM_WAIT;
        let is_last = !is_large || self.waiting.last().is_none_or(|last| *last <= id);
        if now >= deadline && is_last && self.evicted.is_empty() {
            self.update(id, |holder| {
                holder.waiting = None;
                holder.progressed = now;
            });
            return Decision::Refused;
        }
        // The others are woken when those before them get room, or those after them are refused.
        let until = match self.stallable.first().filter(|_| is_turn) {
            Some((progressed, _)) => deadline.min(*progressed + STALL_TIME),
            None if !is_last && now >= deadline => now + ROOM_WAIT,
            None => deadline,
        };
        Decision::Wait { evicted, until: until.max(now + MIN_RETRY) }
    }

    /// Bytes of the budget up to which a class that is not small may fill it.
    fn ceiling(&self, class: Class) -> usize {
        let reserve = self.budget / RESERVE_DIVISOR;
        match class {
            Class::Small | Class::Control => self.budget,
            Class::Answer | Class::Message => self.budget - reserve,
            Class::Request => self.budget - 2 * reserve,
        }
    }

    fn update<F>(&mut self, id: HolderId, change: F)
    where
        F: FnOnce(&mut Holder),
    {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        if holder.may_stall() {
            self.stallable.remove(&(holder.progressed, id));
        }
        change(holder);
        if holder.may_stall() {
            self.stallable.insert((holder.progressed, id));
        }
        match holder.waits_for_turn() {
            true => self.waiting.insert(id),
            false => self.waiting.remove(&id),
        };
        if holder.evicted {
            self.evicted.insert(id);
        }
    }

    /// Marks the body of a request that has stalled longest as evicted, to make room for another
    /// connection.
    pub fn evict_stalled(&mut self, now: id::Time) -> Option<HolderId> {
        let is_body = |id: &HolderId| {
            let class = self.holders.get(id).map(|holder| holder.class);
            matches!(class, Some(Class::Small | Class::Request))
        };
        let stalled = self.stallable.iter().take_while(|(at, _)| *at + STALL_TIME <= now);
        let id = stalled.map(|(_, id)| *id).find(is_body)?;
        self.update(id, |holder| holder.evicted = true);
        Some(id)
    }

    /// Marks stalled holders as evicted, longest without progress first, until `bytes` will be
    /// released by them and by those evicted before.
    fn evict(&mut self, now: id::Time, bytes: usize) -> Vec<HolderId> {
        let holders = &self.holders;
        let held = |id: &HolderId| holders.get(id).map_or(0, |holder| holder.bytes);
        let mut freed: usize = self.evicted.iter().map(held).sum();
        let mut evicted = Vec::new();
        for (progressed, id) in &self.stallable {
            if freed >= bytes || *progressed + STALL_TIME > now {
                break;
            }
            freed += held(id);
            evicted.push(*id);
        }
        evicted.iter().for_each(|id| self.update(*id, |holder| holder.evicted = true));
        evicted
    }
}
