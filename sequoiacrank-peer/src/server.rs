//! Receives messages from peers and serves them the streams of this host's requests.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use crossbeam::channel;
use quick_error::quick_error;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::message;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_stream::wrappers;
use tonic::transport;
use tonic::transport::server;

use crate::event;
use crate::runtime;
use crate::wire;
use crate::wire::peer_server;

/// Interval at which the empty channel of a followed stream is polled.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(4);
/// Interval between HTTP/2 pings to a peer.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(20);
/// Most events buffered for a peer that follows a stream.
const MAX_BUFFERED_EVENTS: usize = 16;
/// Most concurrent HTTP/2 streams on one connection.
const MAX_STREAMS_PER_CONNECTION: u32 = 256;

/// Options of a server.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on; port 0 selects any free port.
    pub listen: net::SocketAddr,
    /// Maximum number of streams that peers follow concurrently; further ones are refused.
    pub max_follows: usize,
    /// Maximum size of an accepted envelope in bytes.
    pub envelope_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            max_follows: 1024,
            envelope_bytes: 16 << 20,
        }
    }
}

quick_error! {
    /// Why a server could not start.
    #[derive(Debug)]
    pub enum Error {
        /// The address can't be bound, or the runtime could not start its thread.
        Io(error: io::Error) {
            from()
            display("can't start the listener for peers: {error}")
            source(error)
        }
    }
}

/// A message received from a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Inbound {
    /// Host that sent it.
    pub from: id::HostId,
    /// Incarnation of that host.
    pub incarnation: id::Incarnation,
    /// The message.
    pub message: message::Message,
}

/// A running server; dropping it stops it.
pub struct Server {
    address: net::SocketAddr,
    dropped: sync::Arc<atomic::AtomicU64>,
    stop: Option<oneshot::Sender<()>>,
    _runtime: runtime::Runtime,
}

impl Server {
    /// Starts listening and sends received messages to `inbound`. Messages are dropped while that
    /// channel is full.
    ///
    /// # Errors
    ///
    /// [`Error`] if the address can't be bound or the thread can't be started.
    pub fn start(
        options: Options,
        inbound: channel::Sender<Inbound>,
        events: sync::Arc<dyn event::Source>,
    ) -> Result<Server, Error> {
        let listener = net::TcpListener::bind(options.listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = runtime::Runtime::new("peer-server")?;
        let dropped = sync::Arc::new(atomic::AtomicU64::new(0));
        let follows = sync::Arc::new(atomic::AtomicUsize::new(0));
        let max_follows = options.max_follows;
        let service = Service { inbound, events, dropped: dropped.clone(), follows, max_follows };
        let service =
            peer_server::PeerServer::new(service).max_decoding_message_size(options.envelope_bytes);
        let (stop, stopped) = oneshot::channel();
        let handle = runtime.handle();
        let guard = handle.enter();
        let listener = tokio::net::TcpListener::from_std(listener)?;
        drop(guard);
        handle.spawn(serve(listener, service, stopped));
        Ok(Server { address, dropped, stop: Some(stop), _runtime: runtime })
    }

    /// Address it listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Number of messages dropped because they were malformed or the inbound channel was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(atomic::Ordering::Relaxed)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // The receiver is already dropped if serving failed.
            let _ = stop.send(());
        }
    }
}

async fn serve(
    listener: tokio::net::TcpListener,
    service: peer_server::PeerServer<Service>,
    stopped: oneshot::Receiver<()>,
) {
    let incoming = server::TcpIncoming::from(listener).with_nodelay(Some(true));
    let stop = async {
        let _ = stopped.await;
    };
    let served = transport::Server::builder()
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .serve_with_incoming_shutdown(service, incoming, stop)
        .await;
    if let Err(error) = served {
        log::error!(error:% = error; "peer server failed");
    }
}

/// Implementation of the gRPC service.
struct Service {
    inbound: channel::Sender<Inbound>,
    events: sync::Arc<dyn event::Source>,
    dropped: sync::Arc<atomic::AtomicU64>,
    follows: sync::Arc<atomic::AtomicUsize>,
    max_follows: usize,
}

impl Service {
    /// Converts one message and sends it to the inbound channel; returns false if it was dropped.
    fn accept(&self, from: &str, incarnation: id::Incarnation, message: wire::Message) -> bool {
        let accepted = match message::Message::try_from(message) {
            Ok(message) => {
                let inbound = Inbound { from: from.to_owned(), incarnation, message };
                self.inbound.try_send(inbound).is_ok()
            }
            Err(error) => {
                log::warn!(from, error:% = error; "malformed message from a peer");
                false
            }
        };
        if !accepted {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
        accepted
    }
}

#[tonic::async_trait]
impl peer_server::Peer for Service {
    async fn deliver(
        &self,
        request: tonic::Request<wire::Envelope>,
    ) -> Result<tonic::Response<wire::Ack>, tonic::Status> {
        let wire::Envelope { from, incarnation, messages } = request.into_inner();
        let accept = |message| u32::from(self.accept(&from, incarnation, message));
        let taken = messages.into_iter().map(accept).sum();
        Ok(tonic::Response::new(wire::Ack { taken }))
    }

    type FollowStream = wrappers::ReceiverStream<Result<wire::StreamEvent, tonic::Status>>;

    async fn follow(
        &self,
        request: tonic::Request<wire::FollowRequest>,
    ) -> Result<tonic::Response<Self::FollowStream>, tonic::Status> {
        let wire::FollowRequest { request, after } = request.into_inner();
        let request = uuid::Uuid::from_slice(&request)
            .map_err(|_| tonic::Status::invalid_argument("the request id is malformed"))?;
        let permit = FollowPermit::acquire(&self.follows, self.max_follows)
            .ok_or_else(|| tonic::Status::resource_exhausted("too many streams are followed"))?;
        let events = self
            .events
            .follow(request, after)
            .ok_or_else(|| tonic::Status::not_found("the request is not known here"))?;
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_EVENTS);
        tokio::spawn(forward(events, sender, permit));
        Ok(tonic::Response::new(wrappers::ReceiverStream::new(receiver)))
    }
}

/// Permit to follow one stream; counted until it is dropped.
struct FollowPermit(sync::Arc<atomic::AtomicUsize>);

impl FollowPermit {
    fn acquire(count: &sync::Arc<atomic::AtomicUsize>, limit: usize) -> Option<FollowPermit> {
        let permit = FollowPermit(count.clone());
        let before = count.fetch_add(1, atomic::Ordering::Relaxed);
        (before < limit).then_some(permit)
    }
}

impl Drop for FollowPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Forwards events until either side ends. A crossbeam channel can't wake a task, so it is polled.
async fn forward(
    events: channel::Receiver<event::StreamEvent>,
    sender: mpsc::Sender<Result<wire::StreamEvent, tonic::Status>>,
    _permit: FollowPermit,
) {
    while !sender.is_closed() {
        match events.try_recv() {
            Ok(event) => {
                let event::StreamEvent { number, kind, data } = event;
                if sender.send(Ok(wire::StreamEvent { number, kind, data })).await.is_err() {
                    return;
                }
            }
            Err(channel::TryRecvError::Empty) => tokio::time::sleep(POLL_INTERVAL).await,
            Err(channel::TryRecvError::Disconnected) => return,
        }
    }
}
