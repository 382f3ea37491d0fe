//! Conversions of ids and durations.

use std::time;

use crate::convert;
use crate::wire;

const NANOS_PER_SECOND: u32 = 1_000_000_000;

/// Reads the id in the field named `field`.
pub(crate) fn id(field: &'static str, bytes: &[u8]) -> Result<uuid::Uuid, convert::Error> {
    uuid::Uuid::from_slice(bytes).map_err(|_| convert::Error::IdLength(field, bytes.len()))
}

pub(crate) fn id_bytes(id: uuid::Uuid) -> Vec<u8> {
    id.as_bytes().to_vec()
}

/// Reads a duration; one that is missing on the wire is zero.
pub(crate) fn duration(duration: Option<wire::Duration>) -> Result<time::Duration, convert::Error> {
    match duration {
        None => Ok(time::Duration::ZERO),
        Some(duration) if duration.nanos < NANOS_PER_SECOND => {
            Ok(time::Duration::new(duration.seconds, duration.nanos))
        }
        Some(duration) => Err(convert::Error::Nanos(duration.nanos)),
    }
}

pub(crate) fn wire_duration(duration: time::Duration) -> Option<wire::Duration> {
    Some(wire::Duration { seconds: duration.as_secs(), nanos: duration.subsec_nanos() })
}
