//! JSON form of the record in the store that holds the lease and the state of the duties.

use std::collections;
use std::net;

use quick_error::quick_error;
use sequoiacrank_kernel::edge::duty;
use sequoiacrank_kernel::id;
use serde::Deserialize;
use serde::Serialize;

quick_error! {
    /// Why a record cannot be encoded or decoded.
    #[derive(Debug)]
    pub enum Error {
        /// It is not JSON of the expected form.
        Json(error: serde_json::Error) {
            from()
            display("not a record of the duties: {error}")
            source(error)
        }
        /// The address of the holder cannot be parsed.
        Address(error: net::AddrParseError) {
            from()
            display("address of the holder: {error}")
            source(error)
        }
    }
}

/// The wire form of [`duty::Record`].
#[derive(Serialize, Deserialize)]
struct Record {
    host: String,
    address: String,
    process: u64,
    token: u64,
    number: u64,
    released: bool,
    recent: Vec<String>,
    #[serde(default)]
    usage: collections::BTreeMap<u64, Window>,
    /// Ordered number of endpoints by service and availability zone.
    #[serde(default)]
    desired: collections::BTreeMap<String, collections::BTreeMap<String, u32>>,
}

/// The wire form of [`duty::Window`].
#[derive(Serialize, Deserialize)]
struct Window {
    counts: collections::BTreeMap<String, u64>,
    done: bool,
}

impl From<duty::Window> for Window {
    fn from(window: duty::Window) -> Self {
        Window { counts: window.counts, done: window.reported }
    }
}

impl From<Window> for duty::Window {
    fn from(wire: Window) -> Self {
        duty::Window { counts: wire.counts, reported: wire.done }
    }
}

impl From<duty::Record> for Record {
    fn from(record: duty::Record) -> Self {
        let duty::Record { host, address, process, token, number, released, recent, content } =
            record;
        let usage = content.usage.into_iter().map(|(id, window)| (id, window.into())).collect();
        let mut desired: collections::BTreeMap<_, collections::BTreeMap<_, _>> =
            collections::BTreeMap::new();
        for ((service, zone), count) in content.desired {
            desired.entry(service).or_default().insert(zone, count);
        }
        let address = address.to_string();
        Record { host, address, process, token, number, released, recent, usage, desired }
    }
}

impl TryFrom<Record> for duty::Record {
    type Error = Error;

    fn try_from(wire: Record) -> Result<Self, Error> {
        let address = wire.address.parse()?;
        let usage = wire.usage.into_iter().map(|(id, window)| (id, window.into())).collect();
        let pairs = wire.desired.into_iter().flat_map(|(service, zones)| {
            zones.into_iter().map(move |(zone, count)| ((service.clone(), zone), count))
        });
        let desired: collections::BTreeMap<(id::ServiceId, id::ZoneId), u32> = pairs.collect();
        let Record { host, process, token, number, released, recent, .. } = wire;
        let content = duty::Content { usage, desired };
        Ok(duty::Record { host, address, process, token, number, released, recent, content })
    }
}

/// Encodes a record.
///
/// # Errors
///
/// When it cannot be expressed in JSON.
pub fn encode(record: duty::Record) -> Result<Vec<u8>, Error> {
    Ok(serde_json::to_vec(&Record::from(record))?)
}

/// Decodes a record.
///
/// # Errors
///
/// When it is not JSON of the expected form.
pub fn decode(value: &[u8]) -> Result<duty::Record, Error> {
    duty::Record::try_from(serde_json::from_slice::<Record>(value)?)
}
