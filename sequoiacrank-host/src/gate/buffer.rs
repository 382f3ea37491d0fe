//! A queue of bytes between two sockets.

use std::io;

/// Most bytes read by one call.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Most bytes of capacity that an empty buffer keeps; above that it frees its memory.
const MAX_RETAINED_BYTES: usize = 4 * 1024;

/// Bytes that were read and not written yet.
#[derive(Debug, Default)]
pub struct Buffer {
    data: Vec<u8>,
    start: usize,
}

impl Buffer {
    /// The buffered bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.start..]
    }

    /// Number of buffered bytes.
    pub fn len(&self) -> usize {
        self.data.len() - self.start
    }

    /// Whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.data.extend_from_slice(bytes);
    }

    /// Drops up to `count` bytes from the front.
    pub fn skip(&mut self, count: usize) {
        self.consume(count.min(self.len()));
    }

    /// Reads once, up to `limit` buffered bytes in all. `None` means that the source would block or
    /// the buffer is full, `Some(0)` the end of the source.
    pub fn fill<R>(&mut self, source: &mut R, limit: usize) -> io::Result<Option<usize>>
    where
        R: io::Read,
    {
        let capacity = limit.saturating_sub(self.len()).min(MAX_READ_BYTES);
        if capacity == 0 {
            return Ok(None);
        }
        let mut bytes = [0; MAX_READ_BYTES];
        let Some(count) = none_if_blocked(source.read(&mut bytes[..capacity]))? else {
            return Ok(None);
        };
        self.push(&bytes[..count]);
        Ok(Some(count))
    }

    /// Writes until the sink would block; returns the number of bytes written.
    pub fn drain<W>(&mut self, sink: &mut W) -> io::Result<usize>
    where
        W: io::Write,
    {
        let mut written = 0;
        while !self.is_empty() {
            match none_if_blocked(sink.write(self.bytes()))? {
                Some(0) => return Err(io::ErrorKind::WriteZero.into()),
                Some(count) => {
                    written += count;
                    self.consume(count);
                }
                None => break,
            }
        }
        Ok(written)
    }

    fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start < self.data.len() {
            return;
        }
        self.start = 0;
        self.data.clear();
        if self.data.capacity() > MAX_RETAINED_BYTES {
            self.data = Vec::new();
        }
    }
}

/// Turns an error that only means that the call has to be repeated later into `None`.
pub fn none_if_blocked(result: io::Result<usize>) -> io::Result<Option<usize>> {
    match result {
        Ok(count) => Ok(Some(count)),
        Err(error) => match error.kind() {
            io::ErrorKind::WouldBlock
            | io::ErrorKind::Interrupted
            | io::ErrorKind::NotConnected => Ok(None),
            _ => Err(error),
        },
    }
}
