//! The newest records of a topic within one era of the store.

use sequoiacrank_kernel::edge::records;
use sequoiacrank_kernel::edge::records::order;
use sequoiacrank_kernel::id;

use crate::site;

/// Values without stamps.
#[derive(Debug)]
pub struct Plain;

impl order::Values<u8> for Plain {
    fn stamp(&self, _: &str, _: &u8) -> Option<order::Stamp> {
        None
    }

    fn digest(&self, _: &str, value: &u8) -> u64 {
        u64::from(*value)
    }
}

/// A position in the first era.
pub fn position(offset: u64) -> order::Position {
    order::Position::new(order::FIRST, offset)
}

/// The records of a host that knows none.
pub fn empty() -> records::Records<u8> {
    records::Records::new(&Plain, None)
}

fn record(key: &str, value: Option<u8>, offset: u64) -> records::Record<u8> {
    records::Record { key: key.into(), value, position: position(offset), last_stamp: None }
}

/// Applies records from some offset on up to `end`.
pub fn merge(
    all: &mut records::Records<u8>,
    list: Vec<records::Record<u8>>,
    end: u64,
    at: id::Time,
) -> Vec<String> {
    all.apply(at, list, position(end), at, records::Scope::Since)
}

/// Applies all records of the topic up to `end`.
fn replace(
    all: &mut records::Records<u8>,
    list: Vec<records::Record<u8>>,
    end: u64,
    at: id::Time,
) -> Vec<String> {
    all.apply(at, list, position(end), at, records::Scope::Topic)
}

/// Records arrive out of order. An older one must not replace a newer one.
#[test]
fn merge_keeps_newer_records() {
    let mut all = empty();
    let at = site::ms(100);
    assert_eq!(merge(&mut all, vec![record("a", Some(2), 5)], 6, at), ["a"]);
    assert!(merge(&mut all, vec![record("a", Some(1), 3)], 4, at).is_empty());
    assert_eq!((all.get("a"), all.end()), (Some(&2), position(6)));
    assert_eq!(merge(&mut all, vec![record("a", None, 7)], 8, at), ["a"]);
    assert_eq!(all.get("a"), None);
    assert_eq!(all.since(position(7)), vec![record("a", None, 7)]);
}

/// A key that is missing in the complete set has been deleted in the store.
#[test]
fn replace_deletes_missing_keys() {
    let mut all = empty();
    merge(&mut all, vec![record("a", Some(1), 0), record("b", Some(1), 1)], 2, site::ms(1));
    // "c" was written after the end of the complete set, and stays.
    merge(&mut all, vec![record("c", Some(1), 9)], 10, site::ms(2));
    assert_eq!(replace(&mut all, vec![record("b", Some(1), 1)], 5, site::ms(3)), ["a"]);
    assert_eq!(all.iter().map(|(key, _)| key.as_str()).collect::<Vec<_>>(), ["b", "c"]);
    assert_eq!(all.end(), position(10));
}

/// Guards against a key that stays deleted for ever: it was marked as deleted at the offset of the
/// next record, which was then dropped as known if it was one of that key.
#[test]
fn record_after_missing_key() {
    for repeats in 1..4 {
        let mut all = empty();
        merge(&mut all, vec![record("a", Some(1), 0), record("b", Some(1), 1)], 2, site::ms(1));
        for end in 4..4 + repeats {
            replace(&mut all, vec![record("b", Some(1), 1)], end, site::ms(2));
        }
        let end = all.end().offset;
        let mut other = empty();
        merge(&mut other, all.since(position(0)), end, site::ms(3));
        for known in [&mut all, &mut other] {
            assert_eq!(known.get("a"), None);
            assert_eq!(merge(known, vec![record("a", Some(2), end)], end + 1, site::ms(4)), ["a"]);
            assert_eq!(known.get("a"), Some(&2));
        }
    }
}

/// A mark of deletion of a process that puts it at the offset of the next record gives way to
/// that record, whichever arrives first.
#[test]
fn mark_at_offset_of_record() {
    let (mark, real) = (record("a", None, 4), record("a", Some(2), 4));
    for (first, second) in [(&mark, &real), (&real, &mark)] {
        let mut all = empty();
        merge(&mut all, vec![record("a", Some(1), 0)], 1, site::ms(1));
        merge(&mut all, vec![first.clone()], 5, site::ms(2));
        merge(&mut all, vec![second.clone()], 5, site::ms(3));
        assert_eq!(all.get("a"), Some(&2));
    }
}

/// A complete set that is older than known records does not delete them.
#[test]
fn older_complete_set() {
    let mut all = empty();
    merge(&mut all, vec![record("a", Some(1), 0)], 1, site::ms(1));
    merge(&mut all, vec![record("a", None, 3)], 4, site::ms(2));
    merge(&mut all, vec![record("a", Some(2), 4)], 5, site::ms(3));
    assert!(replace(&mut all, vec![], 4, site::ms(4)).is_empty());
    assert_eq!((all.get("a"), all.end()), (Some(&2), position(5)));
}
