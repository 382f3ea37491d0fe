//! Bounds on the connections of a listener.

use std::cell;
use std::collections;
use std::rc;

use sequoiacrank_config::edge;
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

/// Since when a connection is idle; `None` if it is not and must not be closed.
pub type IdleSince = Box<dyn Fn() -> Option<id::Time>>;

struct Entry {
    idle_since: IdleSince,
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

    /// Tells the connection that is idle longest to close. Returns whether there is one.
    fn close_idle(&self) -> bool {
        let mut entries = self.entries.borrow_mut();
        let idle = entries.iter().filter_map(|(id, it)| Some(((it.idle_since)()?, *id))).min();
        let closed = idle.and_then(|(_, id)| entries.remove(&id));
        closed.map(|entry| entry.close.notify_one()).is_some()
    }
}

/// The place of an open connection. Dropping it gives the place up.
pub struct Place {
    memory: rc::Rc<memory::Memory>,
    listener: fn(&memory::Memory) -> &Listener,
    id: u64,
    close: rc::Rc<Notify>,
    charge: Option<memory::Charge>,
}

impl Place {
    /// Waits until the connection has to close to make room for another one.
    pub async fn closed(&self) {
        self.close.notified().await;
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
    let id = list.next.get();
    list.next.set(id + 1);
    let close = rc::Rc::new(Notify::new());
    list.entries.borrow_mut().insert(id, Entry { idle_since, close: close.clone() });
    Some(Place { memory: memory.clone(), listener, id, close, charge: None })
}

/// Takes a place for a new connection of a caller, which is also charged for its buffers.
pub fn admit_caller(memory: &rc::Rc<memory::Memory>, idle_since: IdleSince) -> Option<Place> {
    let mut place = admit(memory, |memory| &memory.callers, memory.max_callers(), idle_since)?;
    place.charge = Some(memory.open_connection());
    Some(place)
}
