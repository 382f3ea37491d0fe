//! Messages between hosts: protocol buffers, each after its length in four bytes, big-endian.

pub mod duties;
pub mod limits;
pub mod moves;
pub mod records;
pub mod statement;

use std::time;

use bytes::Buf as _;
use bytes::BufMut as _;
use bytes::BytesMut;
use prost::Message as _;
use quick_error::quick_error;
use sequoiacrank_kernel::edge::members;
use sequoiacrank_kernel::edge::members::shares;

use crate::clock;

quick_error! {
    /// Why a message of another host cannot be decoded.
    #[derive(Debug)]
    pub enum Error {
        /// The bytes are not a valid message.
        Decode(error: prost::DecodeError) {
            from()
            display("invalid protocol buffer: {error}")
            source(error)
        }
        /// A message is longer than the limit; its length in bytes.
        TooLong(length: usize) {
            display("a message of {length} bytes is too long")
        }
    }
}

/// Maximum length of a message in bytes: more than a configuration of many routes and the records
/// of all endpoints need.
const MAX_LENGTH: usize = 16 << 20;
/// Size of the length in front of each message, in bytes.
pub const PREFIX_SIZE: usize = 4;

/// One message with its sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Address at which the sender listens for other hosts.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Number of the sender's process, drawn at its start.
    #[prost(fixed64, tag = "11")]
    pub process: u64,
    /// Content of the message.
    #[prost(
        oneof = "Body",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23"
    )]
    pub body: Option<Body>,
}

/// Content of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Heartbeat of the sender.
    #[prost(message, tag = "2")]
    Pulse(Pulse),
    /// Asks for records of a topic.
    #[prost(message, tag = "3")]
    Fetch(records::Fetch),
    /// Records of a topic.
    #[prost(message, tag = "4")]
    Records(records::Records),
    /// Submits a job of stage work.
    #[prost(message, tag = "5")]
    Ask(Ask),
    /// The job is accepted, or still runs.
    #[prost(message, tag = "6")]
    Taken(Ticket),
    /// The job is refused; nothing was done.
    #[prost(message, tag = "7")]
    Refused(Refused),
    /// The job has results.
    #[prost(message, tag = "8")]
    Ready(Ready),
    /// The job failed.
    #[prost(message, tag = "9")]
    Failed(Ticket),
    /// The job or its results are not needed any more.
    #[prost(message, tag = "10")]
    Release(Ticket),
    /// What hosts publish about themselves.
    #[prost(message, tag = "12")]
    Statements(Statements),
    /// Asks for the statements of all hosts.
    #[prost(message, tag = "13")]
    Everything(Everything),
    /// What the sender reports about moves, with its ended calls.
    #[prost(message, tag = "14")]
    Moves(Moves),
    /// Asks whether a job that was accepted still runs.
    #[prost(message, tag = "15")]
    Check(Ticket),
    /// The job is not known, or its end was already reported.
    #[prost(message, tag = "16")]
    Unknown(Ticket),
    /// A rate limit that an endpoint announced.
    #[prost(message, tag = "17")]
    Limit(limits::Limit),
    /// Asks for permission to send a request to an endpoint with a rate limit.
    #[prost(message, tag = "18")]
    Acquire(limits::Acquire),
    /// Grants the request, or says when to ask again.
    #[prost(message, tag = "19")]
    Granted(limits::Granted),
    /// Reports usage and demand to the holder of the duties.
    #[prost(message, tag = "20")]
    Usage(duties::Usage),
    /// Answers [`Body::Usage`].
    #[prost(message, tag = "21")]
    Timing(duties::Timing),
    /// Asks for a connection to an endpoint. What follows on the connection are its bytes.
    #[prost(message, tag = "22")]
    Relay(Relay),
    /// What an endpoint said of itself, beside its limit.
    #[prost(message, tag = "23")]
    Heard(limits::Heard),
}

/// Asks for a connection to an endpoint.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Relay {
    /// Address of the endpoint.
    #[prost(string, tag = "1")]
    pub address: String,
}

/// Heartbeat of a host.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pulse {
    /// Number of this heartbeat.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Number of the last heartbeat that the sender received from the receiver.
    #[prost(uint64, tag = "2")]
    pub heard: u64,
    /// Whether the sender chose the receiver as a neighbour and expects heartbeats from it.
    #[prost(bool, tag = "3")]
    pub chosen: bool,
    /// Largest number of hosts that some host knows, as far as the sender knows.
    #[prost(uint32, tag = "4")]
    pub known: u32,
    /// Milliseconds since that host knew them.
    #[prost(uint64, tag = "5")]
    pub age: u64,
    /// Number of hosts that the sender reaches, itself included.
    #[prost(uint32, tag = "6")]
    pub reached: u32,
    /// Digest of the statements of those hosts.
    #[prost(fixed64, tag = "7")]
    pub digest: u64,
    /// Offset after the last operators' record that the sender has.
    #[prost(uint64, tag = "8")]
    pub operators: u64,
    /// Offset after the last endpoints' record that the sender has.
    #[prost(uint64, tag = "9")]
    pub endpoints: u64,
    /// Milliseconds since the sender's endpoints' records were the newest in the store, if known.
    #[prost(uint64, optional, tag = "10")]
    pub fresh: Option<u64>,
    /// Phases of moves of services to new versions, without ended calls.
    #[prost(message, repeated, tag = "11")]
    pub moves: Vec<moves::Move>,
    /// Statements that the receiver may not know.
    #[prost(message, repeated, tag = "12")]
    pub statements: Vec<statement::Statement>,
    /// Era of `operators`.
    #[prost(uint64, tag = "13")]
    pub operators_era: u64,
    /// Era of `endpoints`.
    #[prost(uint64, tag = "14")]
    pub endpoints_era: u64,
    /// Digest of the operators' records that the sender has.
    #[prost(fixed64, optional, tag = "15")]
    pub operators_digest: Option<u64>,
    /// Digest of the endpoints' records that the sender has.
    #[prost(fixed64, optional, tag = "16")]
    pub endpoints_digest: Option<u64>,
}

/// What hosts publish about themselves.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Statements {
    /// One for each host.
    #[prost(message, repeated, tag = "1")]
    pub statements: Vec<statement::Statement>,
}

/// Asks for the statements of all hosts.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Everything {}

/// What a host reports about moves.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Moves {
    /// One for each service.
    #[prost(message, repeated, tag = "1")]
    pub moves: Vec<moves::Move>,
}

impl Pulse {
    /// Adds the header and the statements for one receiver.
    pub fn with_heartbeat(self, heartbeat: members::heartbeat::Heartbeat) -> Self {
        let header = heartbeat.header;
        Pulse {
            number: header.number,
            heard: header.heard,
            chosen: header.chosen,
            known: header.known.hosts,
            age: clock::millis(header.known.age),
            reached: header.reached,
            digest: header.digest,
            statements: encode_statements(heartbeat.statements),
            ..self
        }
    }
}

/// Encodes statements for a message.
pub fn encode_statements(
    statements: Vec<members::statement::Statement>,
) -> Vec<statement::Statement> {
    statements.into_iter().map(statement::Statement::from).collect()
}

impl From<&Pulse> for members::heartbeat::Header {
    fn from(wire: &Pulse) -> Self {
        let age = time::Duration::from_millis(wire.age);
        members::heartbeat::Header {
            number: wire.number,
            heard: wire.heard,
            chosen: wire.chosen,
            known: shares::HostCount { hosts: wire.known, age },
            reached: wire.reached,
            digest: wire.digest,
        }
    }
}

/// Submits a job of stage work. Times are in milliseconds from now.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ask {
    /// Number by which the sender identifies the job. It is random, so that no later process of its
    /// host reuses it.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Id of the request that needs the results.
    #[prost(string, tag = "2")]
    pub request: String,
    /// Input key of the pieces that need no other results.
    #[prost(string, tag = "3")]
    pub key: String,
    /// Stages of the job.
    #[prost(message, repeated, tag = "4")]
    pub stages: Vec<Work>,
    /// Time until the target for the end of the whole request; negative if that is past.
    #[prost(sint64, tag = "5")]
    pub aim: i64,
    /// Time until the caller no longer waits for the answer.
    #[prost(uint64, tag = "6")]
    pub deadline: u64,
    /// Expected time of the request after its stages.
    #[prost(uint64, tag = "7")]
    pub tail: u64,
    /// Availability zone in which the results will be read.
    #[prost(string, optional, tag = "8")]
    pub zone: Option<String>,
    /// Rank of the request; 0 is the most urgent.
    #[prost(uint32, tag = "9")]
    pub rank: u32,
    /// Batcher that forms the calls.
    #[prost(string, tag = "10")]
    pub shard: String,
}

/// One stage of a job.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Work {
    /// Service whose endpoints run it.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Indexes of the stages whose results it needs.
    #[prost(uint32, repeated, tag = "2")]
    pub after: Vec<u32>,
    /// Size of one result in bytes.
    #[prost(uint64, tag = "3")]
    pub bytes: u64,
    /// Number of pieces.
    #[prost(uint32, tag = "4")]
    pub pieces: u32,
}

/// The answer that a job is refused.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refused {
    /// Ticket of the job.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Milliseconds after which to submit the job again.
    #[prost(uint64, tag = "2")]
    pub after: u64,
}

/// The answer that a job has results.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ready {
    /// Ticket of the job.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Handles of the results of the last stages.
    #[prost(string, repeated, tag = "2")]
    pub results: Vec<String>,
    /// Id of the request that needs the results.
    #[prost(string, tag = "3")]
    pub request: String,
}

/// Identifies a job.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ticket {
    /// Ticket of the job.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
}

/// Appends an encoded message to `buffer`.
pub fn encode(frame: &Frame, buffer: &mut BytesMut) {
    let length = frame.encoded_len();
    buffer.reserve(PREFIX_SIZE + length);
    buffer.put_u32(length as u32);
    buffer.extend_from_slice(&frame.encode_to_vec());
}

/// Removes the next complete message from `buffer`; `None` if it has not fully arrived.
///
/// # Errors
///
/// When the message is too long or not valid.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Frame>, Error> {
    let Some(prefix) = buffer.first_chunk::<PREFIX_SIZE>() else { return Ok(None) };
    let length = u32::from_be_bytes(*prefix) as usize;
    match () {
        () if length > MAX_LENGTH => Err(Error::TooLong(length)),
        () if buffer.len() < PREFIX_SIZE + length => Ok(None),
        () => {
            buffer.advance(PREFIX_SIZE);
            Ok(Some(Frame::decode(buffer.split_to(length).freeze())?))
        }
    }
}
