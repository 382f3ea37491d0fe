//! Connections to endpoints over another host, which forwards their bytes.
//!
//! Bytes to the endpoint are forwarded as they are. Those from it come in blocks with their length,
//! so that the end of the endpoint's bytes can be told from the end of the relay.

use std::io;
use std::net;
use std::pin;
use std::task;

use bytes::BytesMut;
use sequoiacrank_kernel::edge::links;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt as _;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::dial;
use crate::peer::wire;
use crate::socket;

/// Maximum number of connections that a host relays. Each takes two descriptors and its buffers.
pub const MAX_RELAYED: usize = 400;
/// Size of the buffer of each direction, in bytes.
const BUFFER_BYTES: usize = 8 << 10;
/// Bytes of the length of a block.
const LENGTH_BYTES: usize = 4;
/// Length that stands for a connection that was broken off.
const BROKEN_OFF: u32 = u32::MAX;

/// Answers of a relay to a request for a connection.
mod reply {
    pub const CONNECTED: u8 = 0;
    pub const REFUSED: u8 = 1;
    pub const UNREACHED: u8 = 2;
    pub const DECLINED: u8 = 3;
}

fn reset() -> io::Error {
    io::ErrorKind::ConnectionReset.into()
}

/// A connection over a relay.
pub struct Relayed {
    /// Address of the relay.
    pub relay: net::SocketAddr,
    stream: TcpStream,
    /// Bytes of the relay that were not read yet.
    buffer: Box<[u8; BUFFER_BYTES]>,
    unread: std::ops::Range<usize>,
    /// Bytes that are left of the current block.
    left: usize,
    ended: bool,
}

impl Relayed {
    /// Asks a host to connect to an endpoint; `request` is the frame that says so.
    ///
    /// # Errors
    ///
    /// When the relay does not reach the endpoint, or is not reached itself.
    pub async fn open(
        relay: net::SocketAddr,
        request: &wire::Frame,
    ) -> Result<Relayed, links::Failure> {
        let connect = async {
            let mut stream = TcpStream::connect(relay).await?;
            socket::configure_socket(&stream)?;
            let mut frame = BytesMut::new();
            wire::encode(request, &mut frame);
            stream.write_all(&frame).await?;
            let answer = stream.read_u8().await?;
            io::Result::Ok((stream, answer))
        };
        match connect.await {
            Ok((stream, reply::CONNECTED)) => Ok(Relayed {
                relay,
                stream,
                buffer: Box::new([0; BUFFER_BYTES]),
                unread: 0..0,
                left: 0,
                ended: false,
            }),
            Ok((_, reply::REFUSED)) => Err(links::Failure::Refused),
            Ok((_, reply::UNREACHED)) => Err(links::Failure::Unreached),
            Ok(_) | Err(_) => Err(links::Failure::NoRelay),
        }
    }

    /// Reads more bytes of the relay behind those that are unread.
    fn poll_fill(&mut self, context: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
        self.buffer.copy_within(self.unread.clone(), 0);
        self.unread = 0..self.unread.len();
        let mut free = ReadBuf::new(&mut self.buffer[self.unread.end..]);
        std::task::ready!(pin::Pin::new(&mut self.stream).poll_read(context, &mut free))?;
        match free.filled().len() {
            // The relay has ended, or the link to it broke.
            0 => task::Poll::Ready(Err(reset())),
            length => {
                self.unread.end += length;
                task::Poll::Ready(Ok(()))
            }
        }
    }

    /// Begins the next block if its length has arrived.
    fn begin_block(&mut self) -> io::Result<()> {
        let unread = &self.buffer[self.unread.clone()];
        let Some(length) = unread.first_chunk::<LENGTH_BYTES>() else { return Ok(()) };
        let length = u32::from_be_bytes(*length);
        self.unread.start += LENGTH_BYTES;
        match length {
            0 => self.ended = true,
            BROKEN_OFF => return Err(reset()),
            _ => self.left = length as usize,
        }
        Ok(())
    }
}

impl AsyncRead for Relayed {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        loop {
            if self.ended {
                return task::Poll::Ready(Ok(()));
            }
            let length = self.left.min(self.unread.len()).min(buffer.remaining());
            if length > 0 {
                let start = self.unread.start;
                buffer.put_slice(&self.buffer[start..start + length]);
                self.unread.start += length;
                self.left -= length;
                return task::Poll::Ready(Ok(()));
            }
            if self.left == 0 {
                self.begin_block()?;
            }
            if !self.ended && (self.left == 0 || self.unread.is_empty()) {
                std::task::ready!(self.poll_fill(context))?;
            }
        }
    }
}

impl AsyncWrite for Relayed {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Declines to relay a connection.
pub async fn decline(mut stream: TcpStream) {
    // Fails if the other host has given the attempt up.
    let _ = stream.write_all(&[reply::DECLINED]).await;
}

/// Connects to an endpoint for another host and forwards bytes until either side ends. `first` are
/// bytes for the endpoint that have arrived already.
///
/// # Errors
///
/// When the other host is gone.
pub async fn serve(
    mut stream: TcpStream,
    dialer: &dial::Dialer,
    endpoint: net::SocketAddr,
    first: BytesMut,
) -> io::Result<()> {
    let mut target = match dialer.connect_for_other(endpoint).await {
        Ok(target) => target,
        Err(links::Failure::Refused) => return stream.write_all(&[reply::REFUSED]).await,
        Err(links::Failure::Unreached | links::Failure::NoRelay) => {
            return stream.write_all(&[reply::UNREACHED]).await;
        }
    };
    socket::configure_socket(&target)?;
    stream.write_all(&[reply::CONNECTED]).await?;
    let (mut from_host, mut to_host) = stream.split();
    let (mut from_endpoint, mut to_endpoint) = target.split();
    let is_broken = std::cell::Cell::new(to_endpoint.write_all(&first).await.is_err());
    let forward = async {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            match from_host.read(&mut buffer).await {
                Ok(length @ 1..) if !is_broken.get() => {
                    is_broken.set(to_endpoint.write_all(&buffer[..length]).await.is_err());
                }
                Ok(1..) => {}
                // The other host gave the request up.
                Ok(0) | Err(_) => return,
            }
        }
    };
    let back = async {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let length = match from_endpoint.read(&mut buffer[LENGTH_BYTES..]).await {
                Ok(0) if is_broken.get() => BROKEN_OFF,
                Ok(length) => length as u32,
                Err(_) => BROKEN_OFF,
            };
            buffer[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
            let is_end = length == 0 || length == BROKEN_OFF;
            let bytes = if is_end { 0 } else { length as usize };
            to_host.write_all(&buffer[..LENGTH_BYTES + bytes]).await?;
            if is_end {
                return io::Result::Ok(());
            }
        }
    };
    tokio::select! {
        () = forward => Ok(()),
        result = back => result,
    }
}
