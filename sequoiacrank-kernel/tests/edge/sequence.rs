//! Ids of the events of a stream that another endpoint continues.

use sequoiacrank_kernel::edge::sequence;
use sequoiacrank_kernel::edge::sequence::Place;

/// A sequence of events with these ids that another endpoint is to continue.
fn resumed(ids: &[u64]) -> sequence::Sequence {
    let mut sequence = sequence::Sequence::default();
    for &id in ids {
        assert_eq!(sequence.place(Some(id)), Place::Next);
    }
    sequence.resume();
    assert!(sequence.is_resuming());
    sequence
}

#[test]
fn events_of_one_endpoint() {
    let mut sequence = sequence::Sequence::after(Some(4));
    assert_eq!(sequence.place(None), Place::Next);
    for (id, place) in [(3, Place::Earlier), (4, Place::Earlier), (5, Place::Next)] {
        assert_eq!(sequence.place(Some(id)), place, "{id}");
    }
    assert_eq!((sequence.place(Some(8)), sequence.last()), (Place::Next, Some(8)));
    assert!(!sequence.is_resuming());
}

#[test]
fn continuation() {
    for (ids, next) in [(&[1, 2, 3][..], 4), (&[1], 2), (&[1], 6), (&[5, 10, 15], 20), (&[], 1)] {
        let mut sequence = resumed(ids);
        assert_eq!(sequence.place(Some(next)), Place::Next, "{ids:?}");
        assert!(!sequence.is_resuming());
    }
    // Without an event the stream begins anew.
    assert_eq!(resumed(&[]).place(None), Place::Next);
}

#[test]
fn no_continuation() {
    let ids = [1, 2, 3];
    for id in [None, Some(0), Some(1), Some(3), Some(5), Some(u64::MAX)] {
        let mut sequence = resumed(&ids);
        assert_eq!(sequence.place(id), Place::Elsewhere, "{id:?}");
        assert!(sequence.is_resuming());
        assert_eq!(sequence.last(), Some(3));
    }
    for (ids, id) in [(&[5, 10, 15][..], 15), (&[5, 10, 15], 5), (&[7], 7), (&[7], 1)] {
        assert_eq!(resumed(ids).place(Some(id)), Place::Elsewhere, "{ids:?} {id}");
    }
}

/// An event without an id leaves open where another endpoint goes on.
#[test]
fn events_without_ids() {
    let mut sequence = sequence::Sequence::default();
    assert!(sequence.is_resumable());
    for (id, resumable) in [(Some(0), true), (None, false), (None, false), (Some(1), true)] {
        assert_eq!(sequence.place(id), Place::Next);
        assert_eq!(sequence.is_resumable(), resumable, "{id:?}");
    }
}
