//! The memory that connections make a host hold. [`account`] decides who gets how much; this module
//! holds the waiting, the buffers and the bounds on connections.

pub mod blocks;
pub mod listener;
pub mod pressure;
pub mod queue;

use std::cell;
use std::rc;

use sequoiacrank_config::edge;
use sequoiacrank_kernel::edge::memory as account;
use sequoiacrank_kernel::map;
use tokio::sync::Notify;

use crate::clock;

/// There was no room for more bytes in time.
#[derive(Clone, Copy, Debug)]
pub struct NoRoom;

/// The memory of all connections of a host.
pub struct Memory {
    clock: clock::Clock,
    account: cell::RefCell<account::Account>,
    /// Notified when bytes are released.
    room: Notify,
    /// Notified when their holder is evicted.
    evictions: cell::RefCell<map::FastMap<account::HolderId, rc::Rc<Notify>>>,
    /// Maximum number of connections of callers for which there are descriptors.
    caller_bound: usize,
    /// What was refused and closed for lack of room.
    pub pressure: pressure::Pressure,
    /// Connections of callers.
    pub callers: listener::Listener,
    /// Connections of health checks.
    pub readiness: listener::Listener,
    /// Connections that read metrics.
    pub metrics: listener::Listener,
    /// Connections of other hosts.
    pub hosts: listener::Listener,
    /// Connections that are relayed for other hosts.
    pub relayed: listener::Listener,
}

impl Memory {
    /// Nothing is held; the bounds are those of `settings`.
    pub fn new(clock: clock::Clock, settings: &edge::Settings) -> rc::Rc<Self> {
        let budget = account::budget(settings.memory);
        rc::Rc::new(Memory {
            clock,
            account: cell::RefCell::new(account::Account::new(budget)),
            room: Notify::new(),
            evictions: cell::RefCell::default(),
            pressure: pressure::Pressure::default(),
            caller_bound: listener::caller_bound(settings.descriptors),
            callers: listener::Listener::default(),
            readiness: listener::Listener::default(),
            metrics: listener::Listener::default(),
            hosts: listener::Listener::default(),
            relayed: listener::Listener::default(),
        })
    }

    /// Sets the size of the largest legal body in bytes.
    pub fn set_largest(&self, bytes: usize) {
        let raised = self.account.borrow_mut().set_largest(bytes);
        if raised {
            let budget = self.budget();
            log::error!(target: "front", budget, max_body = bytes; "`memory` of the settings is too small for `maxBodyBytes` of the configuration; budget raised");
        }
    }

    /// Budget in bytes.
    pub fn budget(&self) -> usize {
        self.account.borrow().budget()
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.account.borrow().held()
    }

    /// Charges a connection of a caller until the returned value is dropped.
    fn open_connection(self: &rc::Rc<Self>) -> Charge {
        self.account.borrow_mut().open_connection();
        Charge(self.clone())
    }

    /// Maximum number of connections of callers for which there are descriptors and memory now.
    fn max_callers(&self) -> usize {
        let account = self.account.borrow();
        let bound = self.caller_bound.min(account.max_connections());
        if account.has_connection_room() { bound } else { bound.min(self.callers.open()) }
    }

    /// Adds a holder without memory.
    pub fn lease(self: &rc::Rc<Self>, class: account::Class) -> Lease {
        let id = self.account.borrow_mut().open(self.clock.now(), class);
        let evicted = rc::Rc::new(Notify::new());
        self.evictions.borrow_mut().insert(id, evicted.clone());
        Lease { memory: self.clone(), id, evicted }
    }

    /// Closes the connection of the caller that has not read its answers for longest, if for long
    /// enough.
    fn close_blocked(&self) {
        if self.callers.close_blocked(self.clock.now()) {
            self.pressure.record(pressure::Cause::BlockedClosed);
        }
    }

    /// Gives up the body that has stalled longest, which closes its connection. Returns whether there
    /// is one.
    fn evict_stalled(&self) -> bool {
        let stalled = self.account.borrow_mut().evict_stalled(self.clock.now());
        self.evict(stalled.as_slice());
        stalled.is_some()
    }

    fn evict(&self, holders: &[account::HolderId]) {
        let evictions = self.evictions.borrow();
        for evicted in holders.iter().filter_map(|id| evictions.get(id)) {
            evicted.notify_one();
        }
    }
}

/// The charge for one connection.
pub struct Charge(rc::Rc<Memory>);

impl Drop for Charge {
    fn drop(&mut self) {
        self.0.account.borrow_mut().close_connection();
        self.0.room.notify_waiters();
    }
}

/// A part of the memory. It is released when this is dropped.
pub struct Lease {
    memory: rc::Rc<Memory>,
    id: account::HolderId,
    evicted: rc::Rc<Notify>,
}

impl Lease {
    /// Holds `more` bytes. Waits a short time for room.
    ///
    /// # Errors
    ///
    /// When there is no room in time.
    pub async fn grow(&self, more: usize) -> Result<(), NoRoom> {
        let mut has_waited = false;
        loop {
            // Created before the decision, so that no notification is missed.
            let room = self.memory.room.notified();
            let now = self.memory.clock.now();
            let decision = self.memory.account.borrow_mut().request(now, self.id, more);
            let until = match decision {
                account::Decision::Granted if has_waited => {
                    // The next one may have waited only for its turn.
                    self.memory.room.notify_waiters();
                    return Ok(());
                }
                account::Decision::Granted => return Ok(()),
                account::Decision::Refused => return Err(NoRoom),
                account::Decision::Wait { evicted, until } => {
                    self.memory.evict(&evicted);
                    until
                }
            };
            has_waited = true;
            self.memory.close_blocked();
            tokio::select! {
                () = room => {}
                () = tokio::time::sleep(until.saturating_sub(now)) => {}
            }
        }
    }

    /// Releases some of the bytes.
    pub fn shrink(&self, bytes: usize) {
        if bytes > 0 {
            self.memory.account.borrow_mut().release(self.id, bytes);
            self.memory.room.notify_waiters();
        }
    }

    /// Records that bytes arrived.
    pub fn record_progress(&self) {
        let now = self.memory.clock.now();
        self.memory.account.borrow_mut().record_progress(now, self.id);
    }

    /// Records that all bytes have arrived, so that the lease is not evicted any more.
    pub fn complete(&self) {
        self.memory.account.borrow_mut().complete(self.id);
    }

    /// Records that more bytes are expected, so that the lease may be evicted again.
    pub fn resume(&self) {
        self.memory.account.borrow_mut().resume(self.id);
    }

    /// Waits until the lease is evicted.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.memory.evictions.borrow_mut().remove(&self.id);
        self.memory.account.borrow_mut().close(self.id);
        self.memory.room.notify_waiters();
    }
}
