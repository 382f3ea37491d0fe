//! Bodies as lists of blocks.
//!
//! The HTTP library hands out a body as slices of its read buffers, and a slice of one byte keeps
//! its buffer alive. The bytes are therefore copied. Blocks have a fixed size from 64 KiB on: one
//! growing buffer would be copied as it grows, and the allocator keeps freed large buffers of
//! different sizes.

use std::convert;
use std::pin;
use std::rc;
use std::task;

use bytes::Buf;
use bytes::Bytes;
use http_body::Frame;
use http_body_util::BodyExt as _;
use hyper::body;
use quick_error::quick_error;
use sequoiacrank_kernel::edge::memory as account;

use crate::memory;

/// Size of the first block of a body in bytes, unless the body is smaller.
const MIN_BLOCK: usize = 4 << 10;
/// Size of the largest block in bytes.
const MAX_BLOCK: usize = 64 << 10;

quick_error! {
    /// Why a body was not read to its end.
    #[derive(Debug)]
    pub enum Error {
        /// It is longer than allowed.
        TooLarge {
            display("the body is too large")
        }
        /// There was no memory for it in time.
        NoRoom {
            display("no memory for the body")
        }
        /// It made no progress while others waited for memory.
        Evicted {
            display("the body stalled while memory was short")
        }
        /// The connection broke.
        Broken(error: hyper::Error) {
            from()
            display("connection broke: {error}")
            source(error)
        }
    }
}

/// A complete body. Clones share its memory.
#[derive(Clone, Default)]
pub struct Blocks {
    blocks: rc::Rc<[Bytes]>,
    lease: Option<rc::Rc<memory::Lease>>,
}

impl From<Bytes> for Blocks {
    /// A body that is not accounted for, such as one that the host itself makes.
    fn from(bytes: Bytes) -> Self {
        let blocks: Vec<_> = Some(bytes).filter(|bytes| !bytes.is_empty()).into_iter().collect();
        Blocks { blocks: blocks.into(), lease: None }
    }
}

impl Blocks {
    /// The bytes of the body, in order.
    pub fn iter(&self) -> impl Iterator<Item = &Bytes> {
        self.blocks.iter()
    }

    /// The body in one piece, and what keeps its memory accounted for. Several blocks are copied,
    /// for which the account is exceeded by the size of the body until this returns.
    pub fn join(self) -> (Bytes, Option<rc::Rc<memory::Lease>>) {
        let joined = match &*self.blocks {
            [one] => one.clone(),
            blocks => blocks.concat().into(),
        };
        (joined, self.lease)
    }
}

/// The bytes of a body that arrived so far.
struct Collector {
    blocks: Vec<Bytes>,
    last: Vec<u8>,
    length: usize,
    /// Announced length of the body, if any.
    expected: Option<usize>,
    lease: memory::Lease,
}

impl Collector {
    /// Appends bytes that arrived.
    async fn push(&mut self, mut bytes: &[u8]) -> Result<(), memory::NoRoom> {
        while !bytes.is_empty() {
            if self.last.len() == self.last.capacity() {
                // No more than has arrived is reserved for bytes that may never come.
                let size = self.length.clamp(MIN_BLOCK, MAX_BLOCK);
                let left = self.expected.map_or(size, |all| all.saturating_sub(self.length));
                let size = size.min(left.max(1));
                self.lease.grow(size).await?;
                let full = std::mem::replace(&mut self.last, Vec::with_capacity(size));
                self.blocks.extend((!full.is_empty()).then(|| Bytes::from(full)));
            }
            let room = self.last.capacity() - self.last.len();
            let (part, rest) = bytes.split_at(room.min(bytes.len()));
            self.last.extend_from_slice(part);
            self.length += part.len();
            bytes = rest;
        }
        Ok(())
    }

    fn finish(mut self) -> Blocks {
        self.lease.complete();
        self.blocks.extend((!self.last.is_empty()).then(|| Bytes::from(self.last)));
        Blocks { blocks: self.blocks.into(), lease: Some(rc::Rc::new(self.lease)) }
    }
}

/// Length that the head of a message announces for its body.
pub fn announced(body: &body::Incoming) -> Option<u64> {
    hyper::body::Body::size_hint(body).exact()
}

/// Class of the body of a request.
pub fn request_class(body: &body::Incoming) -> account::Class {
    match announced(body) {
        Some(length) if length <= account::SMALL_BYTES as u64 => account::Class::Small,
        _ => account::Class::Request,
    }
}

/// Reads a body to its end. If it is announced as longer than `max_bytes`, none of it is read.
///
/// # Errors
///
/// When it is longer than `max_bytes`, the connection breaks, or memory is short.
pub async fn collect(
    memory: &rc::Rc<memory::Memory>,
    class: account::Class,
    body: &mut body::Incoming,
    max_bytes: usize,
) -> Result<Blocks, Error> {
    let announced = announced(body);
    if announced.is_some_and(|length| length > max_bytes as u64) {
        return Err(Error::TooLarge);
    }
    let expected = announced.map(|length| length as usize);
    let lease = memory.lease(class);
    let mut all = Collector { blocks: Vec::new(), last: Vec::new(), length: 0, expected, lease };
    loop {
        let frame = tokio::select! {
            biased;
            () = all.lease.evicted() => return Err(Error::Evicted),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { return Ok(all.finish()) };
        let bytes = frame?.into_data().unwrap_or_default();
        if all.length + bytes.len() > max_bytes {
            return Err(Error::TooLarge);
        }
        all.lease.record_progress();
        all.push(&bytes).await.map_err(|memory::NoRoom| Error::NoRoom)?;
    }
}

/// A part of a body that is written to a connection. Its memory is accounted for until it is
/// written.
pub struct Chunk {
    bytes: Bytes,
    _share: Option<Share>,
}

/// Keeps memory accounted for.
pub struct Share {
    lease: rc::Rc<memory::Lease>,
    /// Number of bytes that are released when this is dropped; the rest with the lease.
    bytes: usize,
}

impl Share {
    /// A share of `bytes` that the lease already holds.
    pub fn new(lease: &rc::Rc<memory::Lease>, bytes: usize) -> Self {
        Share { lease: lease.clone(), bytes }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.lease.shrink(self.bytes);
    }
}

impl Chunk {
    /// Bytes and the share of the memory that they take.
    pub fn new(bytes: Bytes, share: Option<Share>) -> Self {
        Chunk { bytes, _share: share }
    }
}

impl Buf for Chunk {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}

/// The blocks of a body that are still to be written.
#[derive(Clone, Default)]
pub struct Unwritten {
    blocks: Blocks,
    next: usize,
}

impl From<Blocks> for Unwritten {
    fn from(blocks: Blocks) -> Self {
        Unwritten { blocks, next: 0 }
    }
}

impl Unwritten {
    /// Takes the next block.
    pub fn take(&mut self) -> Option<Bytes> {
        let block = self.blocks.blocks.get(self.next).cloned()?;
        self.next += 1;
        Some(block)
    }

    /// Takes the next block with its share of the memory.
    pub fn take_chunk(&mut self) -> Option<Chunk> {
        let share = self.blocks.lease.as_ref().map(|lease| Share::new(lease, 0));
        self.take().map(|bytes| Chunk::new(bytes, share))
    }

    /// Number of bytes that are left.
    pub fn length(&self) -> u64 {
        self.blocks.blocks[self.next..].iter().map(|block| block.len() as u64).sum()
    }
}

impl body::Body for Unwritten {
    type Data = Bytes;
    type Error = convert::Infallible;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, convert::Infallible>>> {
        task::Poll::Ready(self.take().map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.next == self.blocks.blocks.len()
    }

    fn size_hint(&self) -> body::SizeHint {
        body::SizeHint::with_exact(self.length())
    }
}
