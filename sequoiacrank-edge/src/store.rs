//! Follows the topics of the platform's store.
//!
//! A few hosts, the readers, read the endpoints' records for all and announce changes to the
//! others.

use std::net;
use std::rc;
use std::time;

use quick_error::quick_error;
use sequoiacrank_adapter::operator;
use sequoiacrank_adapter::store;
use sequoiacrank_kernel::edge::memory as account;
use sequoiacrank_kernel::edge::records;
use sequoiacrank_kernel::id;

use crate::client;
use crate::facts;
use crate::host;

/// Number of hosts that are readers. The first one reads the endpoints' records for all; the next
/// one does so while the first announces nothing. Readers also notice soon if a read of the
/// operators' records gets no answer.
const READERS: usize = 2;
/// Time for which the store holds a read of a reader open while it has nothing to return. A
/// connection that broke without notice goes undetected for as long.
const HOLD: time::Duration = time::Duration::from_secs(4);
/// Time for which the store holds reads of other hosts open. They learn of newer records from
/// readers.
const LONG_HOLD: time::Duration = time::Duration::from_secs(28);
/// Time after the end of a hold within which the answer has to arrive.
const HOLD_MARGIN: time::Duration = time::Duration::from_millis(1000);
/// Time within which other calls to the store have to be answered.
pub const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1500);
/// Time before a reader calls the store again after a failure. Other hosts double it with each
/// failure in a row.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(400);
/// Maximum number of doublings of [`RETRY_DELAY`]. The delay may grow long, as readers announce
/// records when the store is back.
const MAX_DOUBLINGS: u32 = 3;
/// Number of failed calls in a row after which the store counts as lost and other hosts become
/// readers. A single call may fail by chance.
const LOST_AFTER: u32 = 2;
/// Bounds of the random factor of each delay, so that hosts that lost the store at the same time do
/// not all return to it at once.
const JITTER: (f64, f64) = (0.75, 1.25);
/// Number of hosts that write their address into the store. A host that knows no others finds these
/// there, and they make it known to the rest.
const LISTED_HOSTS: usize = 3;
/// Time between two reads of the endpoints' records. They are written about once a second, and all
/// hosts have to know within two seconds that an endpoint is leaving.
const READ_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Age of the endpoints' records at which the second reader reads them.
const STANDBY_AGE: time::Duration = time::Duration::from_millis(800);
/// Age of the endpoints' records at which each host reads them itself.
const STALE_AGE: time::Duration = time::Duration::from_millis(1100);
/// Time between two searches of the store for other hosts.
const DISCOVERY_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Time between two checks of the age of the endpoints' records.
const AGE_INTERVAL: time::Duration = time::Duration::from_millis(150);

quick_error! {
    /// Why a topic of the store could not be read or written.
    #[derive(Debug)]
    pub enum Error {
        /// The call got no answer.
        Call(error: client::Error) {
            from()
            display("{error}")
            source(error)
        }
        /// The answer cannot be used.
        Answer(error: store::Error) {
            from()
            display("{error}")
            source(error)
        }
        /// The store came back from a copy while the pages of a topic were read.
        Restored {
            display("the store was restored meanwhile")
        }
        /// A record cannot be encoded.
        Record(error: operator::Error) {
            from()
            display("{error}")
            source(error)
        }
    }
}

/// Reads the newest record of each key of a topic.
///
/// # Errors
///
/// When the store does not answer in time, or its answer cannot be used.
pub async fn newest(host: &rc::Rc<host::Host>, topic: store::Topic) -> Result<store::Page, Error> {
    let mut all: Option<store::Page> = None;
    let mut after = None;
    loop {
        let request = store::newest(topic, after.as_deref());
        let answer = host
            .pool
            .call_as(account::Class::Control, host.settings.store, request, CALL_TIMEOUT)
            .await?;
        let era = store::era(&answer.headers);
        let page = store::newest_page(era, answer.status, &answer.body)?;
        after = page.next_after.clone();
        // The pages are not a snapshot. Records that change meanwhile are read again, from the end
        // of the first page on.
        let all = match &mut all {
            Some(all) if all.end.era != era => return Err(Error::Restored),
            Some(all) => {
                all.records.extend(page.records);
                all
            }
            None => all.insert(page),
        };
        if after.is_none() {
            return Ok(std::mem::take(all));
        }
    }
}

/// Reads the records of a topic that are newer than those known; `wait` is how long the store may
/// hold the call open.
async fn read(
    host: &rc::Rc<host::Host>,
    topic: store::Topic,
    wait: time::Duration,
) -> Result<(), Error> {
    let from = host.facts.borrow().records(topic).end();
    let request = store::read(topic, from.offset, wait);
    let answer = host
        .pool
        .call_as(account::Class::Control, host.settings.store, request, wait + HOLD_MARGIN)
        .await?;
    let at = host.clock.now();
    let era = store::era(&answer.headers);
    match store::read_page(era, answer.status, answer.body, from)? {
        store::Read::Page(page) => apply(host, topic, page, records::Scope::Since, at),
        store::Read::Gone => {
            let (topic_name, from) = (format!("{topic:?}"), from.to_string());
            log::info!(target: "store", topic = topic_name.as_str(), era, from = from.as_str(); "history gone");
            read_all(host, topic).await?;
        }
    }
    Ok(())
}

/// Reads the newest record of each key of a topic that this host follows.
async fn read_all(host: &rc::Rc<host::Host>, topic: store::Topic) -> Result<(), Error> {
    let at = host.clock.now();
    let page = newest(host, topic).await?;
    apply(host, topic, page, records::Scope::Topic, at);
    Ok(())
}

/// Applies a page of records that the store returned to a call at the time `at`.
fn apply(
    host: &rc::Rc<host::Host>,
    topic: store::Topic,
    page: store::Page,
    scope: records::Scope,
    at: id::Time,
) {
    let store::Page { records, end, .. } = page;
    host.apply_records(topic, facts::Update { records, end, scope, at });
}

/// Reads all records of a topic, as another host has others.
pub async fn reload(host: rc::Rc<host::Host>, topic: store::Topic) {
    host.metrics.store_calls.inc();
    if let Err(err) = read_all(&host, topic).await {
        let (topic, err) = (format!("{topic:?}"), err.to_string());
        log::info!(target: "store", topic = topic.as_str(), err = err.as_str(); "records not compared");
    }
}

/// Whether this host is a reader.
fn is_reader(host: &host::Host) -> bool {
    host.peers.members().store_position() < READERS
}

/// Whether the endpoints' records are older than `age`, which means that readers announce nothing.
fn is_older(host: &host::Host, age: time::Duration) -> bool {
    let current_at = host.facts.borrow().records(store::Topic::Endpoints).current_at();
    current_at.is_none_or(|at| host.clock.now() > at + age)
}

/// Whether this host has to read the endpoints' records now.
fn should_read(host: &host::Host) -> bool {
    match host.peers.members().store_position() {
        0 => true,
        position if position < READERS => is_older(host, STANDBY_AGE),
        _ => is_older(host, STALE_AGE),
    }
}

/// Waits until this host has to read the endpoints' records; `last` is when it read them last.
async fn wait_turn(host: &host::Host, last: id::Time) {
    loop {
        let due = host.clock.now() >= last + READ_INTERVAL;
        if due && should_read(host) {
            return;
        }
        tokio::time::sleep(AGE_INTERVAL).await;
    }
}

/// Time until all records of a restored store are to be read again, if they are.
fn time_to_settle(host: &host::Host, topic: store::Topic) -> Option<time::Duration> {
    let at = host.facts.borrow().records(topic).settles_at()?;
    Some(at.saturating_sub(host.clock.now()))
}

/// Records whether this host lacks access to the store, and tells other hosts if that changed.
fn set_without_store(host: &rc::Rc<host::Host>, without_store: bool) {
    if host.without_store.replace(without_store) != without_store {
        host.peers.send_heartbeats(host);
    }
}

/// Follows a topic for as long as the host runs.
pub async fn follow(host: rc::Rc<host::Host>, topic: store::Topic) {
    let name = format!("{topic:?}");
    let mut loaded = false;
    let mut failures = 0;
    loop {
        let start = host.clock.now();
        let result = match topic {
            _ if !loaded => read_all(&host, topic).await,
            store::Topic::Operators => {
                let hold = if is_reader(&host) { HOLD } else { LONG_HOLD };
                match time_to_settle(&host, topic) {
                    Some(left) if left.is_zero() => read_all(&host, topic).await,
                    left => read(&host, topic, left.map_or(hold, |left| left.min(hold))).await,
                }
            }
            _ => read(&host, topic, time::Duration::ZERO).await,
        };
        host.metrics.store_calls.inc();
        match result {
            Ok(()) => {
                loaded = true;
                let regained = std::mem::take(&mut failures) > 0;
                let reader = if regained {
                    host.peers.members().stable_position() < READERS
                } else {
                    is_reader(&host)
                };
                set_without_store(&host, false);
                if regained {
                    log::info!(target: "store", topic = name.as_str(), reader; "regained");
                }
                if topic == store::Topic::Endpoints {
                    host.announce_records(reader);
                    wait_turn(&host, start).await;
                }
            }
            Err(err) => {
                if failures == 0 {
                    let err = err.to_string();
                    log::warn!(target: "store", topic = name.as_str(), err = err.as_str(); "lost");
                }
                let doubled = if is_reader(&host) { 0 } else { MAX_DOUBLINGS.min(failures) };
                failures += 1;
                if failures >= LOST_AFTER {
                    set_without_store(&host, true);
                }
                let jitter = JITTER.0 + (JITTER.1 - JITTER.0) * rand::random::<f64>();
                tokio::time::sleep((RETRY_DELAY * (1 << doubled)).mul_f64(jitter)).await;
            }
        }
    }
}

/// Writes the address of this host into the store, and finds other hosts there while it reaches
/// none, as the seeds in the settings may be out of date.
pub async fn discover_hosts(host: rc::Rc<host::Host>) {
    let own = host.settings.peer.to_string();
    // Era of the store in which the address was written. A restored store may have lost it.
    let mut listed = None;
    loop {
        host.peers.wait_settled(&host).await;
        let alone = host.peers.members().alive().is_empty();
        let era = host.facts.borrow().records(store::Topic::Operators).end().era;
        if listed != Some(era) && (alone || host.peers.members().store_position() < LISTED_HOSTS) {
            let request =
                store::append(store::Topic::Hosts, &host.settings.host, own.as_bytes(), None);
            let answer = host
                .pool
                .call_as(account::Class::Control, host.settings.store, request, CALL_TIMEOUT)
                .await;
            let is_done = answer.is_ok_and(|answer| answer.status == http::StatusCode::OK);
            listed = is_done.then_some(era).or(listed);
        }
        if alone {
            find_hosts(&host).await;
        }
        tokio::time::sleep(DISCOVERY_INTERVAL).await;
    }
}

/// Adds the hosts that are listed in the store.
async fn find_hosts(host: &rc::Rc<host::Host>) {
    match newest(host, store::Topic::Hosts).await {
        Ok(page) => {
            for address in page.records.into_iter().filter_map(address) {
                host.peers.add(host, address);
            }
        }
        // Only logged for debugging: the tasks that follow the other topics log that the store is
        // lost.
        Err(err) => log::debug!(target: "hosts", err = err.to_string().as_str(); "hosts not read"),
    }
}

/// Decodes the address in the record of a host.
fn address(record: store::Record) -> Option<net::SocketAddr> {
    std::str::from_utf8(&record.value?).ok()?.parse().ok()
}
