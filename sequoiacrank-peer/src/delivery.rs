//! Tasks of a client: one for each peer with queued messages and one for each followed stream.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use crossbeam::channel;
use parking_lot::Mutex;
use sequoiacrank_kernel::id;
use tokio::sync::Notify;
use tonic::transport;

use crate::client;
use crate::event;
use crate::queue;
use crate::wire;
use crate::wire::peer_client;

/// Capacity of the channel of a followed stream, in events.
pub(crate) const FOLLOW_BUFFER: usize = 64;
/// Interval between attempts to send to a full channel, which can't wake a task.
const FULL_POLL_INTERVAL: time::Duration = time::Duration::from_millis(4);

type Connection = peer_client::PeerClient<transport::Channel>;

/// A peer to which messages are sent.
pub(crate) struct Peer {
    address: net::SocketAddr,
    queue: Mutex<queue::Queue>,
    wake: Notify,
}

impl Peer {
    pub(crate) fn new(address: net::SocketAddr, options: &client::Options) -> Peer {
        let queue = Mutex::new(queue::Queue::new(options.queue_capacity, options.max_age));
        Peer { address, queue, wake: Notify::new() }
    }

    /// Queues a message; returns the number of messages dropped to make room.
    pub(crate) fn push(&self, message: wire::Message) -> u64 {
        let dropped = self.queue.lock().push(time::Instant::now(), message);
        self.wake.notify_one();
        dropped
    }
}

/// Delivers queued messages to one peer until none has come for the idle timeout.
pub(crate) async fn run(shared: sync::Arc<client::Shared>, peer: sync::Arc<Peer>) {
    let options = &shared.options;
    let mut connection = None;
    let mut pause = options.min_backoff;
    loop {
        if peer.queue.lock().is_empty() {
            let woken = tokio::time::timeout(options.idle_timeout, peer.wake.notified()).await;
            match woken {
                Err(_) if remove_idle(&shared, &peer) => return,
                _ => {}
            }
            tokio::time::sleep(options.batch_delay).await;
        }
        if deliver(&shared, &peer, &mut connection).await {
            pause = options.min_backoff;
            continue;
        }
        connection = None;
        shared.failed.fetch_add(1, atomic::Ordering::Relaxed);
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(options.max_backoff);
    }
}

/// Removes a peer whose queue is empty; returns false if a message was queued in the meantime.
fn remove_idle(shared: &client::Shared, peer: &Peer) -> bool {
    let mut peers = shared.peers.lock();
    let idle = peer.queue.lock().is_empty();
    if idle {
        peers.remove(&peer.address);
    }
    idle
}

/// Sends one batch; returns false if it must be retried after a pause.
async fn deliver(
    shared: &client::Shared,
    peer: &Peer,
    connection: &mut Option<Connection>,
) -> bool {
    let options = &shared.options;
    let (batch, expired) = {
        let mut queue = peer.queue.lock();
        let expired = queue.expire(time::Instant::now());
        (queue.take_batch(options.batch_bytes), expired)
    };
    shared.dropped.fetch_add(expired, atomic::Ordering::Relaxed);
    if batch.is_empty() {
        return true;
    }
    match send(options, peer.address, &batch, connection).await {
        Ok(accepted) => {
            let refused = (batch.len() as u64).saturating_sub(accepted);
            shared.delivered.fetch_add(accepted, atomic::Ordering::Relaxed);
            shared.dropped.fetch_add(refused, atomic::Ordering::Relaxed);
            true
        }
        Err(status) if is_permanent(&status) => {
            log::warn!(peer:% = peer.address, error:% = status; "a peer refused a batch of messages");
            shared.dropped.fetch_add(batch.len() as u64, atomic::Ordering::Relaxed);
            true
        }
        Err(status) => {
            log::debug!(peer:% = peer.address, error:% = status; "delivering messages to a peer failed");
            let dropped = peer.queue.lock().put_back(batch);
            shared.dropped.fetch_add(dropped, atomic::Ordering::Relaxed);
            false
        }
    }
}

/// Whether sending the same batch again would fail in the same way.
fn is_permanent(status: &tonic::Status) -> bool {
    matches!(
        status.code(),
        tonic::Code::InvalidArgument
            | tonic::Code::OutOfRange
            | tonic::Code::ResourceExhausted
            | tonic::Code::Unimplemented
    )
}

async fn send(
    options: &client::Options,
    address: net::SocketAddr,
    batch: &[queue::Pending],
    connection: &mut Option<Connection>,
) -> Result<u64, tonic::Status> {
    let messages = batch.iter().map(|pending| pending.message.clone()).collect();
    let envelope =
        wire::Envelope { from: options.host.clone(), incarnation: options.incarnation, messages };
    let client = match connection.take() {
        Some(client) => client,
        None => connect(options, address).await?,
    };
    let client = connection.insert(client);
    let answer = tokio::time::timeout(options.call_timeout, client.deliver(envelope)).await;
    match answer {
        Ok(answer) => Ok(answer?.into_inner().taken.into()),
        Err(_) => Err(tonic::Status::deadline_exceeded("no answer in time")),
    }
}

async fn connect(
    options: &client::Options,
    address: net::SocketAddr,
) -> Result<Connection, tonic::Status> {
    let endpoint = transport::Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| tonic::Status::internal(error.to_string()))?
        .connect_timeout(options.connect_timeout)
        .tcp_nodelay(true);
    let channel =
        endpoint.connect().await.map_err(|error| tonic::Status::unavailable(error.to_string()))?;
    Ok(peer_client::PeerClient::new(channel))
}

/// Sends the events of a request that runs on another host to `sender`.
pub(crate) async fn follow(
    shared: sync::Arc<client::Shared>,
    address: net::SocketAddr,
    request: id::RequestId,
    after: u64,
    sender: channel::Sender<event::Followed>,
) {
    let last = match forward(&shared.options, address, request, after, &sender).await {
        Ok(()) => event::Followed::End,
        Err(status) if status.code() == tonic::Code::NotFound => event::Followed::Unknown,
        Err(status) => event::Followed::Lost(status.message().to_owned()),
    };
    send_event(&sender, last).await;
}

async fn forward(
    options: &client::Options,
    address: net::SocketAddr,
    request: id::RequestId,
    after: u64,
    sender: &channel::Sender<event::Followed>,
) -> Result<(), tonic::Status> {
    let mut connection = connect(options, address).await?;
    let follow_request = wire::FollowRequest { request: request.as_bytes().to_vec(), after };
    let stream = tokio::time::timeout(options.call_timeout, connection.follow(follow_request))
        .await
        .map_err(|_| tonic::Status::deadline_exceeded("no answer in time"))?;
    let mut stream = stream?.into_inner();
    while let Some(event) = stream.message().await? {
        let wire::StreamEvent { number, kind, data } = event;
        let event = event::Followed::Event(event::StreamEvent { number, kind, data });
        if !send_event(sender, event).await {
            break;
        }
    }
    Ok(())
}

/// Sends an event, waiting while the channel is full; returns false if its receiver was dropped.
async fn send_event(sender: &channel::Sender<event::Followed>, mut event: event::Followed) -> bool {
    loop {
        event = match sender.try_send(event) {
            Ok(()) => return true,
            Err(channel::TrySendError::Full(event)) => event,
            Err(channel::TrySendError::Disconnected(_)) => return false,
        };
        tokio::time::sleep(FULL_POLL_INTERVAL).await;
    }
}
