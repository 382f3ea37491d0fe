//! Outgoing connections to other hosts. They are read only to detect that the other side has closed
//! them.

use std::cell;
use std::net;
use std::rc;
use std::time;

use bytes::BytesMut;
use sequoiacrank_kernel::id;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task;

use crate::peer::wire;
use crate::socket;

/// Time within which a connection has to be established: several round trips between availability
/// zones. A host without power never answers.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Time between two attempts to connect.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// A connection to another host, and the task that maintains it.
pub struct Link {
    /// Queue of the messages to send.
    pub sender: mpsc::UnboundedSender<wire::Frame>,
    task: task::JoinHandle<()>,
    /// Whether the connection is established.
    pub connected: rc::Rc<cell::Cell<bool>>,
    /// Time of the last message.
    pub last_used: id::Time,
}

impl Link {
    /// Creates a link that connects when the first message is sent.
    pub fn open(now: id::Time, address: net::SocketAddr) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        let connected = rc::Rc::new(cell::Cell::new(false));
        let task = task::spawn_local(deliver(address, receiver, connected.clone()));
        Link { sender, task, connected, last_used: now }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connects to a host when there is a message for it, and sends its messages.
async fn deliver(
    address: net::SocketAddr,
    mut frames: mpsc::UnboundedReceiver<wire::Frame>,
    connected: rc::Rc<cell::Cell<bool>>,
) {
    while let Some(first) = frames.recv().await {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        match stream.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into())) {
            Ok(stream) => {
                connected.set(true);
                let result = write(stream, first, &mut frames).await;
                connected.set(false);
                let Err(err) = result else { continue };
                let other = address.to_string();
                let err = err.to_string();
                log::info!(target: "hosts", other = other.as_str(), err = err.as_str(); "broken");
            }
            // Not logged: missing heartbeats already show that a host is down.
            Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
        }
        // Messages that were queued meanwhile are out of date.
        while frames.try_recv().is_ok() {}
    }
}

/// Sends messages until the other side closes the connection: its process has ended then, and a
/// further message would be lost.
async fn write(
    mut stream: TcpStream,
    first: wire::Frame,
    frames: &mut mpsc::UnboundedReceiver<wire::Frame>,
) -> std::io::Result<()> {
    socket::configure_socket(&stream)?;
    let (mut reader, mut writer) = stream.split();
    let mut buffer = BytesMut::new();
    let mut byte = [0];
    let mut next = Some(first);
    while let Some(frame) = next {
        wire::encode(&frame, &mut buffer);
        while let Ok(frame) = frames.try_recv() {
            wire::encode(&frame, &mut buffer);
        }
        writer.write_all(&buffer).await?;
        buffer.clear();
        next = tokio::select! {
            frame = frames.recv() => frame,
            _ = reader.read(&mut byte) => None,
        };
    }
    Ok(())
}
