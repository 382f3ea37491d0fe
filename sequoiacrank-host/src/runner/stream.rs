//! Parses a stream of server-sent events incrementally.

/// Most bytes of an unfinished event, its current line included.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event is longer than [`MAX_EVENT_BYTES`], or a line is not UTF-8.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// Assembles the data of events from lines.
#[derive(Debug, Default)]
pub struct Parser {
    line: Vec<u8>,
    data: String,
    has_data: bool,
}

impl Parser {
    /// Parses bytes and calls `event` with the data of each event that they complete, until it
    /// returns `false`.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if an event is too long or a line is not UTF-8.
    pub fn push<F>(&mut self, bytes: &[u8], mut event: F) -> Result<(), Malformed>
    where
        F: FnMut(&str) -> bool,
    {
        for fragment in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(fragment);
            if self.line.len() + self.data.len() > MAX_EVENT_BYTES {
                return Err(Malformed);
            }
            if fragment.last() != Some(&b'\n') {
                break;
            }
            let line = std::mem::take(&mut self.line);
            let line = std::str::from_utf8(&line).map_err(|_| Malformed)?;
            if let Some(data) = self.parse_line(line.trim_end_matches(['\r', '\n']))
                && !event(&data)
            {
                break;
            }
        }
        Ok(())
    }

    /// Parses one complete line; returns the data of the event that it completes.
    fn parse_line(&mut self, line: &str) -> Option<String> {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        match field {
            "data" => {
                if self.has_data {
                    self.data.push('\n');
                }
                self.data.push_str(value.strip_prefix(' ').unwrap_or(value));
                self.has_data = true;
                None
            }
            "" if line.is_empty() && self.has_data => {
                self.has_data = false;
                Some(std::mem::take(&mut self.data))
            }
            _ => None,
        }
    }
}
