//! The tokio runtime of a server or a client.

use std::io;
use std::time;

use tokio::runtime;

const WORKER_THREADS: usize = 1;
const SHUTDOWN_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// A runtime with one worker thread, whose drop waits at most [`SHUTDOWN_TIMEOUT`].
pub(crate) struct Runtime(Option<runtime::Runtime>);

impl Runtime {
    pub(crate) fn new(name: &str) -> io::Result<Runtime> {
        runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .max_blocking_threads(1)
            .thread_name(name)
            .enable_all()
            .build()
            .map(|runtime| Runtime(Some(runtime)))
    }

    pub(crate) fn handle(&self) -> runtime::Handle {
        match &self.0 {
            Some(runtime) => runtime.handle().clone(),
            None => unreachable!("the runtime is only removed on drop"),
        }
    }
}

impl Drop for Runtime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
        }
    }
}
