//! Listening, fault switches, crashes and stopping, which all stand-ins have in common.

use std::io;
use std::net;
use std::sync;
use std::thread;
use std::time;

use crossbeam::channel;
use quick_error::quick_error;
use serde::Serialize;

use crate::call;
use crate::fault;
use crate::timer;

const HANDLER_THREADS: usize = 4;
const BIND_PAUSE: time::Duration = time::Duration::from_millis(10);
const BIND_TRIES: usize = 500;
const CLOSE_PAUSE: time::Duration = time::Duration::from_millis(1);
const CLOSE_TRIES: usize = 1000;

quick_error! {
    /// Why a stand-in did not start.
    #[derive(Debug)]
    pub enum Error {
        /// The address can't be bound or a thread can't be started.
        Io(error: io::Error) {
            from()
            display("can't start a stand-in: {error}")
            source(error)
        }
    }
}

/// Behaviour of one kind of stand-in.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers a call. It must not block; delayed work goes to the timer.
    fn handle(&self, call: call::Call);
    /// Clears the state that a process loses when it crashes.
    fn on_crash(&self) {}
}

/// State shared between a handler and its server.
#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) switches: sync::Arc<fault::Switches>,
    pub(crate) timer: timer::Timer,
    control: channel::Sender<Control>,
}

impl Shared {
    /// Drops all connections and listens again after [`fault::Faults::down_ms`].
    pub(crate) fn crash(&self) {
        let down = time::Duration::from_millis(self.switches.get().down_ms);
        // The send fails only if the stand-in has stopped.
        let _ = self.control.send(Control::Crash(down));
    }
}

enum Control {
    Crash(time::Duration),
    Stop,
}

/// A running stand-in. It stops when it is dropped.
pub struct Running<H> {
    address: net::SocketAddr,
    pub(crate) handler: sync::Arc<H>,
    shared: Shared,
    threads: Vec<thread::JoinHandle<()>>,
}

impl<H> Running<H> {
    /// Address on which it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Its base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Fault switches in force.
    pub fn faults(&self) -> fault::Faults {
        self.shared.switches.get()
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: fault::Faults) {
        self.shared.switches.set(faults);
    }

    /// Drops all connections and the state of the process, and refuses connections for
    /// [`fault::Faults::down_ms`].
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Stops it and waits for its threads.
    pub fn stop(self) {}
}

impl<H> Drop for Running<H> {
    fn drop(&mut self) {
        let _ = self.shared.control.send(Control::Stop);
        self.shared.timer.stop();
        for thread in self.threads.drain(..) {
            // The thread has already printed its panic.
            let _ = thread.join();
        }
    }
}

/// Starts a stand-in whose threads are called `name`, with the handler that `make` returns.
pub(crate) fn start<H, F>(
    name: &str,
    listen: net::SocketAddr,
    seed: u64,
    make: F,
) -> Result<Running<H>, Error>
where
    H: Handler,
    F: FnOnce(Shared) -> H,
{
    let listener = bind(listen)?;
    let address = listener.local_addr()?;
    let (timer, timer_thread) = timer::Timer::start(name)?;
    let (control, commands) = channel::unbounded();
    let switches = sync::Arc::new(fault::Switches::new(seed));
    let shared = Shared { switches, timer, control };
    let handler = sync::Arc::new(make(shared.clone()));
    let lifecycle =
        Lifecycle { address, handler: handler.clone(), shared: shared.clone(), commands };
    let lifecycle_thread =
        thread::Builder::new().name(name.to_owned()).spawn(move || lifecycle.run(listener))?;
    Ok(Running { address, handler, shared, threads: vec![lifecycle_thread, timer_thread] })
}

/// Binds a socket with `TCP_NODELAY`, which accepted sockets inherit: events must not wait for
/// acknowledgements.
fn bind(listen: net::SocketAddr) -> io::Result<net::TcpListener> {
    let listener = net::TcpListener::bind(listen)?;
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    Ok(listener)
}

/// State of the thread that serves calls and listens again after a crash.
struct Lifecycle<H> {
    address: net::SocketAddr,
    handler: sync::Arc<H>,
    shared: Shared,
    commands: channel::Receiver<Control>,
}

impl<H> Lifecycle<H>
where
    H: Handler,
{
    fn run(self, mut listener: net::TcpListener) {
        loop {
            let down = match self.serve(listener) {
                Some(Control::Crash(down)) => down,
                Some(Control::Stop) | None => return,
            };
            // The handler drops its waiting calls first: a cleared task frees its slot, which would
            // start a waiting call.
            self.handler.on_crash();
            self.shared.timer.clear();
            let listen_at = time::Instant::now() + down;
            while let Ok(command) = self.commands.recv_deadline(listen_at) {
                if let Control::Stop = command {
                    return;
                }
            }
            listener = match self.listen_again() {
                Ok(listener) => listener,
                Err(error) => {
                    log::error!(address:% = self.address, error:% = error; "can't listen again");
                    return;
                }
            };
        }
    }

    /// Serves calls until a command to crash or stop arrives. Returns `None` if the HTTP server
    /// does not start.
    fn serve(&self, listener: net::TcpListener) -> Option<Control> {
        let server = match tiny_http::Server::from_listener(listener, None) {
            Ok(server) => server,
            Err(error) => {
                log::error!(error:% = error; "can't start the HTTP server");
                return None;
            }
        };
        let command = thread::scope(|scope| {
            (0..HANDLER_THREADS).for_each(|_| {
                scope.spawn(|| self.receive_calls(&server));
            });
            let command = self.commands.recv().ok();
            (0..HANDLER_THREADS).for_each(|_| server.unblock());
            command
        });
        drop(server);
        self.await_closed();
        command
    }

    /// Waits until the address refuses connections: the HTTP server closes its listener on a thread
    /// of its own, shortly after it is dropped.
    fn await_closed(&self) {
        for _ in 0..CLOSE_TRIES {
            if net::TcpStream::connect(self.address).is_err() {
                return;
            }
            thread::sleep(CLOSE_PAUSE);
        }
    }

    /// Binds the address again, with retries while another socket still uses it.
    fn listen_again(&self) -> io::Result<net::TcpListener> {
        for _ in 0..BIND_TRIES {
            match bind(self.address) {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
                result => return result,
            }
            thread::sleep(BIND_PAUSE);
        }
        bind(self.address)
    }

    fn receive_calls(&self, server: &tiny_http::Server) {
        while let Ok(request) = server.recv() {
            match call::Call::read(request, self.shared.timer.clone()) {
                Ok(call) => self.dispatch(call),
                Err(error) => log::debug!(error:% = error; "failed to read a call"),
            }
        }
    }

    /// Hands a call to the handler, unless it is for the fault switches or they make it fail.
    fn dispatch(&self, call: call::Call) {
        let outage = self.shared.switches.get().outage;
        let poison = self.shared.switches.get().poison;
        match outage {
            _ if call.path_segments()[0] == "fault" => log_unsent(self.handle_switch(call)),
            Some(fault::Outage::Refuse) => log_unsent(call.reply().error(503, "down")),
            Some(fault::Outage::Silent) => call.reply().keep_open(),
            None if poison.is_some_and(|text| contains(&call.body, &text)) => {
                drop(call.reply());
                self.shared.crash();
            }
            None => self.handler.handle(call),
        }
    }

    /// Answers a call to the fault switches.
    fn handle_switch(&self, call: call::Call) -> io::Result<()> {
        match (&call.method, call.path.as_str()) {
            (tiny_http::Method::Get, "/fault") => {
                let faults = self.shared.switches.get();
                call.reply().json(200, &faults)
            }
            (tiny_http::Method::Put, "/fault") => match call.json() {
                Ok(faults) => {
                    self.shared.switches.set(faults);
                    call.reply().json(200, &self.shared.switches.get())
                }
                Err(error) => call.reply().error(400, &error.to_string()),
            },
            (tiny_http::Method::Post, "/fault/crash") => {
                let result = call.reply().json(202, &Accepted { accepted: true });
                self.shared.crash();
                result
            }
            _ => call.reply().error(404, "no such switch"),
        }
    }
}

#[derive(Serialize)]
struct Accepted {
    accepted: bool,
}

fn contains(body: &[u8], text: &str) -> bool {
    !text.is_empty() && body.windows(text.len()).any(|window| window == text.as_bytes())
}

/// Logs an answer that could not be sent. Clients may disconnect at any time, so this is no error.
pub(crate) fn log_unsent(result: io::Result<()>) {
    if let Err(error) = result {
        log::debug!(error:% = error; "failed to send an answer");
    }
}
