//! Claims of idempotency keys: processing time, log appends, and the time for a new owner to read a
//! shard.

use std::collections;
use std::sync;
use std::time;

use rand::RngExt as _;
use sequoiacrank_kernel::agree;
use sequoiacrank_kernel::id;
use sequoiacrank_kernel::log;
use sequoiacrank_kernel::message;

use crate::capacity;
use crate::capacity::probe;
use crate::random;

/// Start of logical time.
pub const START: id::Time = time::Duration::from_secs(1_700_000_000);
/// Step of logical time.
const TICK: time::Duration = time::Duration::from_millis(50);
const TICKS_PER_S: usize = 20;
/// Logical seconds that one timing runs.
const TIMED_SECONDS: usize = 2;
/// Claims per second before a new owner reads the shard.
const CLAIMS_PER_S: usize = 300;
/// Size of the answer that is logged for each claimed request.
const ANSWER_BYTES: usize = 200;

/// Options of the host that owns the only shard.
pub fn owner_options() -> agree::Options {
    agree::Options {
        host: "host-0".into(),
        incarnation: 1,
        shards: 1,
        retention: time::Duration::from_secs(7_200),
        window: time::Duration::from_secs(3_600),
        batch_interval: time::Duration::from_millis(100),
        check: sync::Arc::new(|_| Ok(())),
    }
}

/// Creates the event for a read of a log that has dropped no records.
pub fn read_event(stream: log::Stream, records: Vec<log::Record>, end: id::Offset) -> agree::Event {
    agree::Event::Read { stream, records, first: 0, end }
}

/// A host that owns the shard of a simulated log, which accepts every append immediately.
pub struct Owner {
    host: agree::StateMachine,
    now: id::Time,
    streams: collections::BTreeMap<log::Stream, Vec<log::Record>>,
    /// Followed streams with the offset of the next record to read.
    followed: collections::BTreeMap<log::Stream, id::Offset>,
    random: random::Random,
    appends: usize,
    granted: usize,
}

/// Creates an owner that has taken over its shard.
pub fn owner() -> Owner {
    let (host, commands) = agree::StateMachine::new(owner_options(), START);
    let mut owner = Owner {
        host,
        now: START,
        streams: Default::default(),
        followed: Default::default(),
        random: random::for_trial(1, 0),
        appends: 0,
        granted: 0,
    };
    owner.execute(commands);
    owner.handle(agree::Event::Hosts(vec!["host-0".into()]));
    (0..10 * TICKS_PER_S).for_each(|_| owner.tick());
    owner.appends = 0;
    owner
}

impl Owner {
    /// Runs `seconds` of logical time with `rate` claims per second; each request ends immediately.
    pub fn run(&mut self, seconds: usize, rate: usize) {
        for tick in 0..seconds * TICKS_PER_S {
            let due = rate * (tick + 1) / TICKS_PER_S - rate * tick / TICKS_PER_S;
            (0..due).for_each(|_| self.claim());
            self.tick();
        }
    }

    fn claim(&mut self) {
        let millis = self.now.as_millis() as u64;
        let key = uuid::Builder::from_unix_timestamp_millis(millis, &self.random.random());
        let claim = message::Claim {
            key: key.into_uuid(),
            fingerprint: self.random.random(),
            request: random::request_id(&mut self.random),
            holder: "host-0".into(),
            incarnation: 1,
            deadline: self.now + time::Duration::from_secs(5),
        };
        self.handle(agree::Event::Claim(claim));
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.handle(agree::Event::Tick);
        for (stream, from) in self.followed.clone() {
            let log = self.streams.entry(stream).or_default();
            let end = log.len() as id::Offset;
            let records = log[from as usize..].to_vec();
            self.followed.insert(stream, end);
            self.handle(read_event(stream, records, end));
        }
    }

    fn handle(&mut self, event: agree::Event) {
        let commands = self.host.handle(self.now, event);
        self.execute(commands);
    }

    fn execute(&mut self, commands: Vec<agree::Command>) {
        for command in commands {
            match command {
                agree::Command::Append { ticket, stream, writer, entries } => {
                    self.appends += 1;
                    let records = self.streams.entry(stream).or_default();
                    let offset = records.len() as id::Offset;
                    records.push(log::Record { offset, at: self.now, writer, entries });
                    let accepted = agree::AppendResult::Yes;
                    self.handle(agree::Event::Appended { ticket, result: accepted });
                }
                agree::Command::Follow { stream, from } => {
                    self.followed.insert(stream, from);
                }
                agree::Command::Unfollow(stream) => {
                    self.followed.remove(&stream);
                }
                agree::Command::Claimed { key, request, answer } => {
                    self.granted += usize::from(answer == message::ClaimAnswer::Granted);
                    let end = log::End::Answer("a".repeat(ANSWER_BYTES));
                    self.handle(agree::Event::Ended { key, request, end });
                }
                _ => {}
            }
        }
    }
}

/// Measures all series of this module.
pub fn run(options: &capacity::Options) -> Vec<capacity::Series> {
    let rates = [10, 40, 160, 640];
    let counts = [300, 1_200, 4_800, 19_200];
    vec![
        probe::series("appends of one shard", "appends/s", "claims/s", &rates, |rate| {
            let mut owner = owner();
            owner.run(TIMED_SECONDS, rate);
            owner.appends as f64 / TIMED_SECONDS as f64
        }),
        probe::series("claims granted of one shard", "claims/s", "claims/s", &rates, |rate| {
            let mut owner = owner();
            owner.run(TIMED_SECONDS, rate);
            owner.granted as f64 / TIMED_SECONDS as f64
        }),
        probe::series(
            "claims of one shard, owner and holder",
            "us/s",
            "claims/s",
            &rates,
            |rate| {
                let mut owner = owner();
                probe::min_time(options.repeats, TIMED_SECONDS, || owner.run(TIMED_SECONDS, rate))
            },
        ),
        probe::series("shard folded by its next owner", "us", "claims", &counts, |count| {
            let mut previous = owner();
            previous.run(count / CLAIMS_PER_S, CLAIMS_PER_S);
            probe::min_time(options.repeats, 1, || read_shard(&previous))
        }),
    ]
}

/// Creates the next owner, which reads the whole shard of the previous one.
fn read_shard(previous: &Owner) {
    let (mut host, _) = agree::StateMachine::new(
        agree::Options { incarnation: 2, ..owner_options() },
        previous.now,
    );
    let event = agree::Event::Hosts(vec!["host-0".into()]);
    drop(host.handle(previous.now, event));
    for (stream, records) in &previous.streams {
        let end = records.len() as id::Offset;
        drop(host.handle(previous.now, read_event(*stream, records.clone(), end)));
    }
}
