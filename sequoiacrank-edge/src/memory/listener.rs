//! Bounds on the connections of a listener.

use std::cell;
use std::collections;
use std::rc;

use sequoiacrank_config::edge;
use sequoiacrank_kernel::edge::memory as account;
use sequoiacrank_kernel::id;
use tokio::sync::Notify;

use crate::memory;
use crate::memory::pressure;

/// Maximum number of connections to the listeners for health checks and for metrics, each.
pub const MAX_PAGES: usize = 64;
/// Maximum number of connections of hosts that are not known.
pub const MAX_UNKNOWN_HOSTS: usize = 64;
/// Maximum number of connections of a known host: one on which it sends, and those that broke or
/// whose process ended without notice.
pub const CONNECTIONS_PER_HOST: usize = 4;

/// Maximum number of connections of callers for which there are descriptors. The other half is for
/// endpoints, the store and other hosts.
pub fn caller_bound(descriptors: Option<u32>) -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let limit = limit.and_then(|limit| u32::try_from(limit).ok()).unwrap_or(u32::MAX);
    let descriptors = descriptors.map_or(limit, |descriptors| descriptors.min(limit));
    // A process limit that is too low for the settings' check still allows some callers.
    edge::caller_connections(descriptors).max(edge::MIN_CALLERS) as usize
}

/// Order in which idle connections are closed for new ones, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the other side is known to be of use, such as a host that sent a valid message.
    pub has_spoken: bool,
    /// Since when the connection is idle.
    pub since: id::Time,
}

impl From<id::Time> for Rank {
    /// The rank of a connection on a listener that ranks by time only.
    fn from(since: id::Time) -> Self {
        Rank { has_spoken: true, since }
    }
}

/// Rank of a connection that is idle; `None` if it is not and must not be closed.
pub type IdleSince = Box<dyn Fn() -> Option<Rank>>;

/// Since when the writes of a connection are blocked; `None` if they are not.
pub type BlockedSince = Box<dyn Fn() -> Option<id::Time>>;

struct Entry {
    idle_since: IdleSince,
    /// `None` on listeners whose answers take no memory of the account.
    blocked_since: Option<BlockedSince>,
    /// Whether the connection is given up because its writes are blocked.
    is_given_up: rc::Rc<cell::Cell<bool>>,
    close: rc::Rc<Notify>,
}

/// The connections that a listener accepted.
#[derive(Default)]
pub struct Listener {
    entries: cell::RefCell<collections::BTreeMap<u64, Entry>>,
    next: cell::Cell<u64>,
}

impl Listener {
    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Whether a connection may be closed for a new one.
    fn has_idle(&self) -> bool {
        self.entries.borrow().values().any(|it| (it.idle_since)().is_some())
    }

    /// Tells the connection that is idle longest to close. Returns whether there is one.
    fn close_idle(&self) -> bool {
        let mut entries = self.entries.borrow_mut();
        let idle = entries.iter().filter_map(|(id, it)| Some(((it.idle_since)()?, *id))).min();
        let closed = idle.and_then(|(_, id)| entries.remove(&id));
        closed.map(|entry| entry.close.notify_one()).is_some()
    }

    /// Tells the connection whose writes have been blocked longest to close, if for long enough.
    /// Returns whether there is one. Until it has closed and released its memory, no other is told.
    pub fn close_blocked(&self, now: id::Time) -> bool {
        let entries = self.entries.borrow();
        if entries.values().any(|entry| entry.is_given_up.get()) {
            return false;
        }
        let since = |entry: &Entry| entry.blocked_since.as_ref().and_then(|since| since());
        let blocked = entries.iter().filter_map(|(id, entry)| Some((since(entry)?, *id)));
        let Some(entry) = account::longest_blocked(now, blocked).and_then(|id| entries.get(&id))
        else {
            return false;
        };
        entry.is_given_up.set(true);
        entry.close.notify_one();
        true
    }
}

/// The place of an open connection. Dropping it gives the place up.
pub struct Place {
    memory: rc::Rc<memory::Memory>,
    listener: fn(&memory::Memory) -> &Listener,
    id: u64,
    close: rc::Rc<Notify>,
    is_given_up: rc::Rc<cell::Cell<bool>>,
    charge: Option<memory::Charge>,
}

impl Place {
    /// Waits until the connection has to close to make room for another one.
    pub async fn closed(&self) {
        self.close.notified().await;
    }

    /// Whether the connection has to close at once, as its writes are blocked.
    pub fn is_given_up(&self) -> bool {
        self.is_given_up.get()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.charge.take();
        (self.listener)(&self.memory).entries.borrow_mut().remove(&self.id);
    }
}

/// Takes a place for a new connection of a listener with at most `bound` connections. If all are
/// taken, the connection that is idle longest is told to close; if none is idle, the new one gets no
/// place.
pub fn admit(
    memory: &rc::Rc<memory::Memory>,
    listener: fn(&memory::Memory) -> &Listener,
    bound: usize,
    idle_since: IdleSince,
) -> Option<Place> {
    let list = listener(memory);
    if list.open() >= bound {
        let closed = list.close_idle();
        let cause = match closed {
            true => pressure::Cause::IdleClosed,
            false => pressure::Cause::ConnectionRefused,
        };
        memory.pressure.record(cause);
        if !closed {
            return None;
        }
    }
    Some(take_place(memory, listener, idle_since))
}

fn take_place(
    memory: &rc::Rc<memory::Memory>,
    listener: fn(&memory::Memory) -> &Listener,
    idle_since: IdleSince,
) -> Place {
    let list = listener(memory);
    let id = list.next.get();
    list.next.set(id + 1);
    let (close, is_given_up) = (rc::Rc::new(Notify::new()), rc::Rc::default());
    let entry = Entry {
        idle_since,
        blocked_since: None,
        is_given_up: rc::Rc::clone(&is_given_up),
        close: close.clone(),
    };
    list.entries.borrow_mut().insert(id, entry);
    Place { memory: memory.clone(), listener, id, close, is_given_up, charge: None }
}

/// Takes a place for a new connection of a caller, which is also charged for its buffers.
pub fn admit_caller(
    memory: &rc::Rc<memory::Memory>,
    idle_since: IdleSince,
    blocked_since: BlockedSince,
) -> Option<Place> {
    let listener: fn(&memory::Memory) -> &Listener = |memory| &memory.callers;
    let is_full = memory.callers.open() >= memory.max_callers();
    let place = match is_full && !memory.callers.has_idle() && memory.evict_stalled() {
        // The connection of the body that is given up closes soon.
        true => Some(take_place(memory, listener, idle_since)),
        false => admit(memory, listener, memory.max_callers(), idle_since),
    };
    let Some(mut place) = place else {
        // Blocked connections may hold all of the budget, so that none is admitted any more.
        memory.close_blocked();
        return None;
    };
    if let Some(entry) = memory.callers.entries.borrow_mut().get_mut(&place.id) {
        entry.blocked_since = Some(blocked_since);
    }
    place.charge = Some(memory.open_connection());
    Some(place)
}
