//! Messages with records of the store.

use std::time;

use bytes::Bytes;
use sequoiacrank_adapter::store;
use sequoiacrank_kernel::edge::records;
use sequoiacrank_kernel::edge::records::order;
use sequoiacrank_kernel::id;

use crate::clock;
use crate::facts;

/// Asks for records of a topic.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Fetch {
    /// Whether it asks for the endpoints' records; otherwise for the operators'.
    #[prost(bool, tag = "1")]
    pub endpoints: bool,
    /// Offset of the first record asked for.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// Era of that offset; 0 to ask for all records.
    #[prost(uint64, tag = "3")]
    pub era: u64,
}

/// Records of a topic.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Records {
    /// Whether these are the endpoints' records; otherwise the operators'.
    #[prost(bool, tag = "1")]
    pub endpoints: bool,
    /// The newest record of each key.
    #[prost(message, repeated, tag = "2")]
    pub records: Vec<Record>,
    /// Offset after the last record of the topic that the sender has.
    #[prost(uint64, tag = "3")]
    pub end: u64,
    /// Milliseconds since these were the newest records in the store.
    #[prost(uint64, tag = "4")]
    pub age: u64,
    /// Offset from which all relevant records up to `end` are included.
    #[prost(uint64, tag = "5")]
    pub from: u64,
    /// Address of the reader that announces them to all hosts, which forward them; `None` in an
    /// answer to [`Fetch`].
    #[prost(string, optional, tag = "6")]
    pub root: Option<String>,
    /// Era of `end`.
    #[prost(uint64, tag = "7")]
    pub era: u64,
    /// Era of `from`.
    #[prost(uint64, tag = "8")]
    pub from_era: u64,
    /// Whether these are all records that the sender has.
    #[prost(bool, tag = "9")]
    pub complete: bool,
    /// Whether keys that the sender does not have do not exist in the store either.
    #[prost(bool, tag = "10")]
    pub settled: bool,
}

impl Records {
    /// Position up to which the records reach.
    pub fn end(&self) -> order::Position {
        order::Position::new(self.era, self.end)
    }

    /// What the records cover.
    pub fn scope(&self) -> records::Scope {
        match self.complete {
            true => records::Scope::Host { settled: self.settled },
            false => records::Scope::Since,
        }
    }
}

/// One record of a topic.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Record {
    /// Key of the record.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Value, or `None` if the key was deleted.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub value: Option<Bytes>,
    /// Offset in the topic.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// Era of that offset; 0 if it is not certain.
    #[prost(uint64, tag = "4")]
    pub era: u64,
    /// Stamp of the last value of a deleted key.
    #[prost(message, optional, tag = "5")]
    pub last: Option<Stamp>,
}

/// Orders the values of a key as their writer does.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Stamp {
    /// Compared first.
    #[prost(uint64, tag = "1")]
    pub major: u64,
    /// Compared if the first ones are equal.
    #[prost(uint64, tag = "2")]
    pub minor: u64,
}

impl From<store::Record> for Record {
    fn from(record: store::Record) -> Self {
        let order::Position { era, offset } = record.position;
        let last = record.last_stamp.map(|(major, minor)| Stamp { major, minor });
        Record { key: record.key, value: record.value, offset, era, last }
    }
}

impl From<Record> for store::Record {
    fn from(wire: Record) -> Self {
        let position = order::Position::new(wire.era, wire.offset);
        let last_stamp = wire.last.map(|stamp| (stamp.major, stamp.minor));
        records::Record { key: wire.key, value: wire.value, position, last_stamp }
    }
}

impl Fetch {
    /// Asks for the records of a topic from a position on; [`order::Position::START`] for all.
    pub fn new(topic: store::Topic, from: order::Position) -> Self {
        let endpoints = topic == store::Topic::Endpoints;
        Fetch { endpoints, from: from.offset, era: from.era }
    }

    /// Position of the first record asked for.
    pub fn from(&self) -> order::Position {
        order::Position::new(self.era, self.from)
    }
}

/// The topic that a message is about.
pub fn topic(endpoints: bool) -> store::Topic {
    match endpoints {
        true => store::Topic::Endpoints,
        false => store::Topic::Operators,
    }
}

impl Records {
    /// The records of a topic from a position on; [`order::Position::START`] for all.
    pub fn since(
        facts: &facts::Facts,
        now: id::Time,
        topic: store::Topic,
        from: order::Position,
    ) -> Self {
        let known = facts.records(topic);
        let age = known.current_at().map(|at| now.saturating_sub(at));
        let order::Position { era, offset: end } = known.end();
        Records {
            endpoints: topic == store::Topic::Endpoints,
            records: known.since(from).into_iter().map(Record::from).collect(),
            end,
            era,
            age: age.map_or(u64::MAX, clock::millis),
            from: from.offset,
            from_era: from.era,
            root: None,
            complete: from == order::Position::START,
            settled: known.is_settled(),
        }
    }

    /// What the host `root` announces of the endpoints' records, which it has just read: what
    /// changed endpoints since `from`, or all records after a restore of the store.
    pub fn announcement(facts: &facts::Facts, from: order::Position, root: String) -> Self {
        let known = facts.records(store::Topic::Endpoints);
        let order::Position { era, offset: end } = known.end();
        let complete = from.era != era;
        let records = match complete {
            true => known.since(order::Position::START),
            false => facts.changed_since(from),
        };
        Records {
            endpoints: true,
            records: records.into_iter().map(Record::from).collect(),
            end,
            era,
            age: 0,
            from: from.offset,
            from_era: from.era,
            root: Some(root),
            complete,
            settled: known.is_settled(),
        }
    }

    /// Whether there are records between `end` and these.
    pub fn leaves_gap(&self, end: order::Position) -> bool {
        !self.complete && order::Position::new(self.from_era, self.from) > end
    }

    /// The records, received at `now`.
    pub fn into_update(self, now: id::Time) -> facts::Update {
        let (end, scope) = (self.end(), self.scope());
        let at = now.saturating_sub(time::Duration::from_millis(self.age));
        let records = self.records.into_iter().map(store::Record::from).collect();
        facts::Update { records, end, scope, at }
    }
}
