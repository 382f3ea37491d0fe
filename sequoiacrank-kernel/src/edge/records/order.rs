//! Which of two records of a key is newer.
//!
//! Within one era the offsets of the log tell. When the store comes back from a copy, an era ends:
//! what was written last is lost, and its offsets are given out again. Records of different eras
//! are ordered by what their writers say of them, and by their eras where these say nothing.

use std::fmt;

use crate::id;

/// Era of records that may have been written in any era: those of a restored store that were there
/// when it was first read.
pub const UNCERTAIN: id::Era = 0;

/// Era of a store that was never restored.
pub const FIRST: id::Era = UNCERTAIN + 1;
/// Number of bits of an ordinal that hold the offset.
const OFFSET_BITS: u32 = 40;

/// Place of a record in the history of a topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Era in which it was written.
    pub era: id::Era,
    /// Offset in the topic.
    pub offset: id::Offset,
}

impl Position {
    /// The position before all others.
    pub const START: Position = Position { era: UNCERTAIN, offset: 0 };

    /// Creates a position.
    pub const fn new(era: id::Era, offset: id::Offset) -> Self {
        Position { era, offset }
    }

    /// A number that grows with the position, also across eras. In the first era it is the offset.
    pub const fn ordinal(self) -> u64 {
        (self.era.saturating_sub(FIRST) << OFFSET_BITS).saturating_add(self.offset)
    }

    /// The position with this ordinal.
    pub const fn from_ordinal(ordinal: u64) -> Self {
        let offset = ordinal & ((1 << OFFSET_BITS) - 1);
        Position { era: FIRST + (ordinal >> OFFSET_BITS), offset }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.offset)
    }
}

/// Orders the values of one key as their writer does; a later value has a larger stamp.
pub type Stamp = (u64, u64);

/// The stamp right before another one.
fn before((major, minor): Stamp) -> Option<Stamp> {
    match minor.checked_sub(1) {
        Some(minor) => Some((major, minor)),
        None => Some((major.checked_sub(1)?, u64::MAX)),
    }
}

/// What the values of a topic say of themselves.
pub trait Values<B>: fmt::Debug {
    /// Stamp of a value; `None` if its writer does not order the values of this key.
    fn stamp(&self, key: &str, value: &B) -> Option<Stamp>;

    /// Hash of what a value means to hosts. Values that differ in nothing else than a renewal have
    /// the same one.
    fn digest(&self, key: &str, value: &B) -> u64;
}

/// What orders a record among others of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// Place of the record.
    pub position: Position,
    /// Stamp of the value; for a deletion, the largest one that it deletes.
    pub stamp: Option<Stamp>,
    /// Whether the record deletes the key.
    pub deletes: bool,
}

impl Rank {
    /// Largest stamp of the values that a deletion in this era deletes beyond doubt, if this record
    /// was the newest one. What a restore lost may be missing, and written again with the same
    /// stamp.
    pub fn deleted_at(&self, era: id::Era) -> Option<Stamp> {
        match self.stamp {
            Some(stamp) if self.position.era < era && !self.deletes => before(stamp),
            stamp => stamp,
        }
    }

    /// Whether this record replaces the `known` one.
    pub fn is_newer(&self, known: &Rank) -> bool {
        let (own, other) = (self.position, known.position);
        match (self.stamp, known.stamp) {
            // Hosts of earlier versions mark a missing key as deleted at the offset of the next
            // record, which may be one of that key.
            _ if own == other => known.deletes && !self.deletes,
            _ if own.era == other.era && own.era != UNCERTAIN => own.offset > other.offset,
            (Some(new), Some(old)) if !self.deletes && !known.deletes && new != old => new > old,
            // A value of a later era is that of the copy unless it was written behind the deletion.
            (Some(new), Some(old)) if !self.deletes && known.deletes && own > other => new > old,
            // A deletion of an earlier era holds against the value of the copy.
            (Some(new), Some(old)) if self.deletes && !known.deletes && own < other => new >= old,
            _ => own > other,
        }
    }
}
