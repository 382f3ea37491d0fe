//! Messages about the rate limits of endpoints, and about permission to send requests to a limited
//! endpoint.

use std::time;

use sequoiacrank_kernel::edge::notice;

use crate::clock;

/// A rate limit that an endpoint announced, or the report that it no longer has one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Limit {
    /// Id of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Start of the endpoint in milliseconds of its own clock; identifies the instance.
    #[prost(uint64, tag = "2")]
    pub born: u64,
    /// Requests per second that it accepts from all hosts together; `None` if it has no limit.
    #[prost(double, optional, tag = "3")]
    pub rate: Option<f64>,
    /// Milliseconds since the endpoint announced it.
    #[prost(uint64, tag = "4")]
    pub age: u64,
    /// Address of the host that announces the limit to all hosts, which forward the message; `None`
    /// if the message is for the limiter alone.
    #[prost(string, optional, tag = "5")]
    pub root: Option<String>,
}

/// What an endpoint said of itself, beside its limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heard {
    /// Id of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Start of the endpoint in milliseconds of its own clock; identifies the instance.
    #[prost(uint64, tag = "2")]
    pub born: u64,
    /// Whether it is leaving.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Milliseconds for which it wants no requests.
    #[prost(uint64, optional, tag = "4")]
    pub pause: Option<u64>,
    /// Requests that it can refuse in a second for lack of room.
    #[prost(uint32, optional, tag = "5")]
    pub brittle: Option<u32>,
    /// Address of the host that tells all hosts, which forward the message; `None` if it is for the
    /// receiver alone.
    #[prost(string, optional, tag = "6")]
    pub root: Option<String>,
}

impl From<&Heard> for notice::Hearsay {
    fn from(wire: &Heard) -> Self {
        let pause = wire.pause.map(time::Duration::from_millis);
        notice::Hearsay { leaving: wire.leaving, pause, brittle: wire.brittle }
    }
}

impl Heard {
    /// The message about an endpoint.
    pub fn new(instance: notice::Instance<'_>, hearsay: notice::Hearsay) -> Self {
        let notice::Hearsay { leaving, pause, brittle } = hearsay;
        let (endpoint, born) = (instance.0.to_owned(), instance.1);
        Heard { endpoint, born, leaving, pause: pause.map(clock::millis), brittle, root: None }
    }
}

/// Asks the limiter of an endpoint for permission to send one request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Acquire {
    /// Number by which the sender matches the answer to this message.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Rank of the request; 0 is the most urgent.
    #[prost(uint32, tag = "3")]
    pub rank: u32,
    /// The endpoint and the limit that the sender knows.
    #[prost(message, optional, tag = "2")]
    pub limit: Option<Limit>,
}

/// Answer to [`Acquire`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct Granted {
    /// Ticket of the [`Acquire`] message.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Milliseconds after which to ask again; `None` if the request may be sent now.
    #[prost(uint64, optional, tag = "2")]
    pub after: Option<u64>,
}
