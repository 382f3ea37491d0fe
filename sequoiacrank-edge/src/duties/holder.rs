//! Reads and writes the record of the lease, and publishes the token of this host.

use std::cell;
use std::rc;
use std::time;

use quick_error::quick_error;
use sequoiacrank_adapter::store as topics;
use sequoiacrank_kernel::edge::duty;
use sequoiacrank_kernel::edge::duty::lease;
use sequoiacrank_kernel::edge::memory as account;
use sequoiacrank_kernel::edge::records::order;
use sequoiacrank_kernel::id;

use crate::client;
use crate::duties;
use crate::duties::record;
use crate::host;
use crate::stop;
use crate::store;

/// Key of the record.
const KEY: &str = "holder";
/// Calls to the store end after this part of the period of the lease. After an append without an
/// answer, the holder can then still read the topic before it has to stop acting.
const CALL_PART: u32 = 4;
/// Part of the period after which the facts are checked again.
const CHECK_PART: u32 = 15;

quick_error! {
    /// Why the record could not be written.
    #[derive(Debug)]
    enum Error {
        /// The store did not answer.
        Call(error: client::Error) {
            from()
            display("{error}")
            source(error)
        }
        /// The answer cannot be used.
        Answer(error: topics::Error) {
            from()
            display("{error}")
            source(error)
        }
        /// The record cannot be encoded.
        Record(error: record::Error) {
            from()
            display("{error}")
            source(error)
        }
    }
}

/// The task of one host.
struct Task<'a> {
    host: &'a rc::Rc<host::Host>,
    lease: &'a cell::RefCell<lease::Lease>,
    period: time::Duration,
    /// Token that was published last.
    published: duty::Token,
    /// Offset of the last record that could not be decoded, so that it is logged once.
    unreadable: Option<id::Offset>,
    /// Whether the last call to the store failed.
    failing: bool,
    /// Era of the last answer of the store.
    era: id::Era,
}

/// Acquires, renews and releases the lease for as long as the host runs.
pub async fn follow(host: rc::Rc<host::Host>) {
    let Some(lease) = &host.duties.lease else { return };
    let period = lease.borrow().period();
    let mut task =
        Task { host: &host, lease, period, published: 0, unreadable: None, failing: false, era: 0 };
    loop {
        let facts = task.facts();
        let action = lease.borrow_mut().next(duties::steady_now(), &facts);
        task.publish();
        match action {
            lease::Action::Wait(until) => task.wait(until).await,
            lease::Action::Read => task.read().await,
            lease::Action::Append(write) => task.append(write).await,
        }
    }
}

impl Task<'_> {
    fn facts(&self) -> lease::Facts {
        let now = self.host.clock.now();
        let leaving = self.host.stop.is_leaving();
        let settled = self.host.peers.settling_time(self.host).is_none();
        let address = self.lease.borrow().record_address();
        let members = self.host.peers.members();
        let own = self.host.settings.peer;
        lease::Facts {
            position: (settled && !leaving).then(|| members.store_position()),
            leaving,
            ended: address.is_some_and(|it| it != own && members.has_ended(now, it)),
            process: address.and_then(|it| members.process(it)),
            vacant: members.duty_holder().is_none(),
            others: !members.alive().is_empty(),
            calls: self.host.duties.api.in_flight(),
        }
    }

    /// Waits until a time or until the facts may have changed.
    async fn wait(&self, until: id::Time) {
        let left = until.saturating_sub(duties::steady_now());
        let left = left.min(self.period / CHECK_PART).max(time::Duration::from_millis(1));
        let is_leaving = self.host.stop.is_leaving();
        tokio::select! {
            () = tokio::time::sleep(left) => {}
            () = self.host.duties.changed.notified() => {}
            () = self.host.stop.reached(stop::Phase::Leaving), if !is_leaving => {}
        }
    }

    /// Logs changes of the lease and tells other hosts if the token has changed.
    fn publish(&mut self) {
        for event in self.lease.borrow_mut().take_events() {
            log_event(&event);
        }
        let token = self.host.duties.token();
        if std::mem::replace(&mut self.published, token) != token {
            self.host.peers.send_heartbeats(self.host);
        }
    }

    async fn read(&mut self) {
        let started = duties::steady_now();
        let call = store::newest(self.host, topics::Topic::Duties);
        let result = tokio::time::timeout(self.period / CALL_PART, call).await;
        self.host.metrics.store_calls.inc();
        let result = match result {
            Ok(Ok(page)) => Ok(self.decode(page)),
            Ok(Err(err)) => Err(err.to_string()),
            Err(_) => Err(client::Error::Timeout.to_string()),
        };
        let now = duties::steady_now();
        match result {
            Ok(reading) => {
                self.failing = false;
                self.record_era(order::Position::from_ordinal(reading.end).era);
                self.lease.borrow_mut().record_read(started, now, reading);
            }
            Err(err) => {
                self.log_failure("record cannot be read", &err);
                self.lease.borrow_mut().record_failure(now);
            }
        }
    }

    fn decode(&mut self, page: topics::Page) -> lease::Reading {
        let end = page.end.ordinal();
        let newest =
            page.records.into_iter().filter(|it| it.key == KEY).max_by_key(|it| it.position);
        let offset = newest.as_ref().map(|it| it.position.ordinal());
        let seen = match newest.and_then(|it| it.value).map(|value| record::decode(&value)) {
            None => lease::Seen::Missing,
            Some(Ok(record)) => lease::Seen::Record(record),
            Some(Err(err)) => {
                if std::mem::replace(&mut self.unreadable, offset) != offset {
                    log::error!(target: "duties", offset, err = err.to_string().as_str(); "record cannot be decoded");
                }
                lease::Seen::Unreadable
            }
        };
        // Records that arrived during the read lie behind the end of the first page.
        let end = offset.map_or(end, |offset| end.max(offset + 1));
        lease::Reading { end, offset, seen }
    }

    async fn append(&mut self, write: lease::Write) {
        let written = match self.try_append(write).await {
            // The restored store happened to end at the same offset.
            Ok((era, topics::Appended::Done(_))) if era != self.era => return self.record_era(era),
            Ok((era, topics::Appended::Done(end))) => {
                lease::Written::Done(order::Position::new(era, end).ordinal())
            }
            Ok((_, topics::Appended::Conflict(_))) => lease::Written::Conflict,
            Err(err) => {
                self.log_failure("record not known to be written", &err.to_string());
                lease::Written::Unknown
            }
        };
        self.lease.borrow_mut().record_append(duties::steady_now(), written);
    }

    /// Records the era of an answer of the store.
    fn record_era(&mut self, era: id::Era) {
        let last = std::mem::replace(&mut self.era, era);
        if last != 0 && last != era {
            self.lease.borrow_mut().record_restored();
        }
    }

    async fn try_append(&self, write: lease::Write) -> Result<(id::Era, topics::Appended), Error> {
        let value = record::encode(write.record)?;
        let at = order::Position::from_ordinal(write.at).offset;
        let request = topics::append(topics::Topic::Duties, KEY, &value, Some(at));
        let timeout = self.period / CALL_PART;
        self.host.metrics.store_calls.inc();
        let answer = self
            .host
            .pool
            .call_as(account::Class::Control, self.host.settings.store, request, timeout)
            .await?;
        Ok((topics::era(&answer.headers), topics::appended(answer.status, &answer.body)?))
    }

    /// Logs the first of several failures in a row.
    fn log_failure(&mut self, event: &str, err: &str) {
        if !std::mem::replace(&mut self.failing, true) {
            log::warn!(target: "duties", err; "{event}");
        }
    }
}

fn log_event(event: &lease::Event) {
    match event {
        lease::Event::Taken { token, from, why } => {
            let (from, why) = (from.as_deref().unwrap_or_default(), format!("{why:?}"));
            log::info!(target: "duties", token, from, why = why.as_str(); "taken");
        }
        lease::Event::Renewed(token) => log::debug!(target: "duties", token; "renewed"),
        lease::Event::Released(token, why) => {
            let why = format!("{why:?}");
            log::info!(target: "duties", token, why = why.as_str(); "released");
        }
        lease::Event::Lost(token, why) => {
            let why = format!("{why:?}");
            log::warn!(target: "duties", token, why = why.as_str(); "lost");
        }
    }
}
