//! Messages between hosts and the one that performs duties for all.

use sequoiacrank_kernel::edge::duty::true_time;
use sequoiacrank_kernel::edge::duty::usage;
use sequoiacrank_kernel::id;

use crate::clock;

/// Report of a host to the holder of the duties. Counts are absolute, so that a report that is lost
/// or repeated does no harm.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Usage {
    /// Milliseconds of the sender's steady clock, which counts the time of a suspension.
    #[prost(uint64, tag = "1")]
    pub steady: u64,
    /// Milliseconds since the Unix epoch by the sender's clock.
    #[prost(uint64, tag = "2")]
    pub unix: u64,
    /// Milliseconds since the Unix epoch, in true time, up to which all requests are counted; 0 if
    /// the sender does not know the true time.
    #[prost(uint64, tag = "3")]
    pub until: u64,
    /// Usage windows that are not closed.
    #[prost(message, repeated, tag = "4")]
    pub windows: Vec<Window>,
    /// Load of the services whose number of endpoints hosts choose.
    #[prost(message, repeated, tag = "5")]
    pub demand: Vec<Demand>,
}

/// Requests in a usage window.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Window {
    /// Number of the window.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// Requests of each workspace that began to run in it.
    #[prost(map = "string, uint64", tag = "2")]
    pub counts: std::collections::HashMap<String, u64>,
}

/// Load of a service at one host.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Demand {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Calls in flight.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Requests since the process started that were refused for lack of an endpoint with room.
    #[prost(uint64, tag = "3")]
    pub refused: u64,
}

/// Answer of the holder to [`Usage`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct Timing {
    /// The `steady` of the report.
    #[prost(uint64, tag = "1")]
    pub steady: u64,
    /// Milliseconds to add to the receiver's steady clock for the true time since the Unix epoch.
    #[prost(sint64, tag = "2")]
    pub offset: i64,
    /// Usage windows up to this number are final; their counts need not be reported any more.
    #[prost(uint64, optional, tag = "3")]
    pub closed: Option<u64>,
}

impl From<usage::Report> for Usage {
    fn from(report: usage::Report) -> Self {
        let windows = report.windows.into_iter();
        Usage {
            steady: clock::millis(report.reading.steady),
            unix: clock::millis(report.reading.unix),
            until: report.until.map(clock::millis).unwrap_or_default(),
            windows: windows
                .map(|(window, counts)| Window { window, counts: counts.into_iter().collect() })
                .collect(),
            demand: Vec::new(),
        }
    }
}

impl From<&Usage> for usage::Report {
    fn from(wire: &Usage) -> Self {
        let counts =
            |it: &Window| it.counts.iter().map(|(name, sum)| (name.clone(), *sum)).collect();
        usage::Report {
            reading: true_time::Reading {
                steady: id::Time::from_millis(wire.steady),
                unix: id::Time::from_millis(wire.unix),
            },
            until: (wire.until > 0).then(|| id::Time::from_millis(wire.until)),
            windows: wire.windows.iter().map(|it| (it.window, counts(it))).collect(),
        }
    }
}
