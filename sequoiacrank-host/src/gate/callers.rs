//! Notifies the threads that serve requests when their callers disconnect.

use std::sync;

use sequoiacrank_kernel::map;

/// Called once when a caller has disconnected; must not block.
pub type OnDisconnect = sync::Arc<dyn Fn() + Send + Sync>;

/// Callers of running requests, by the number of the request at the gate.
#[derive(Default)]
pub struct Callers {
    callbacks: parking_lot::Mutex<map::FastMap<u64, Option<OnDisconnect>>>,
}

impl Callers {
    /// Registers a callback for the disconnect of a caller, or calls it at once if the caller has
    /// disconnected already.
    pub fn on_disconnect(&self, number: u64, on_disconnect: OnDisconnect) {
        let mut callbacks = self.callbacks.lock();
        match callbacks.get_mut(&number) {
            Some(callback) => *callback = Some(on_disconnect),
            None => {
                drop(callbacks);
                on_disconnect();
            }
        }
    }

    /// Whether the caller is still connected.
    pub fn is_connected(&self, number: u64) -> bool {
        self.callbacks.lock().contains_key(&number)
    }

    pub(super) fn add(&self, number: u64) {
        self.callbacks.lock().insert(number, None);
    }

    /// Removes a caller whose response is complete.
    pub(super) fn remove(&self, number: u64) {
        self.callbacks.lock().remove(&number);
    }

    pub(super) fn notify_disconnect(&self, number: u64) {
        let on_disconnect = self.callbacks.lock().remove(&number).flatten();
        if let Some(on_disconnect) = on_disconnect {
            on_disconnect();
        }
    }
}
