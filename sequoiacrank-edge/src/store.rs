//! Follows the topics of the platform's store.

use std::rc;
use std::time;

use quick_error::quick_error;
use sequoiacrank_adapter::store;

use crate::client;
use crate::host;

/// Time that the store holds a read open that has nothing to return. Shorter ones cost calls, longer ones
/// let a connection that went silent go unnoticed for as long.
const HOLD: time::Duration = time::Duration::from_secs(5);
/// Time beyond that within which an answer must come.
const EXTRA: time::Duration = time::Duration::from_millis(1000);
/// Time within which other calls must be answered.
const LIMIT: time::Duration = time::Duration::from_millis(1500);
/// Time between two calls when one failed.
const AGAIN: time::Duration = time::Duration::from_millis(400);
/// Time between two reads of the endpoints' records: they are written every second or so, and what an
/// endpoint says of leaving has to be known within two.
const ENDPOINTS: time::Duration = time::Duration::from_millis(500);

quick_error! {
    /// Why a topic could not be read.
    #[derive(Debug)]
    enum Error {
        /// There is no answer.
        Call(error: client::Error) {
            from()
            display("{error}")
            source(error)
        }
        /// The answer can't be used.
        Answer(error: store::Error) {
            from()
            display("{error}")
            source(error)
        }
    }
}

/// Reads all newest records of a topic.
async fn newest(host: &rc::Rc<host::Host>, topic: store::Topic) -> Result<store::Page, Error> {
    let mut whole = store::Page::default();
    let mut after = None;
    loop {
        let request = store::newest(topic, after.as_deref());
        let answer = host.pool.call(host.settings.store, request, LIMIT).await?;
        let page = store::newest_page(answer.status, &answer.body)?;
        // Pages are not a snapshot: what changed since the first one is read again from its end on.
        whole.end = if after.is_none() { page.end } else { whole.end };
        whole.records.extend(page.records);
        match page.more {
            Some(key) => after = Some(key),
            None => return Ok(whole),
        }
    }
}

async fn read(
    host: &rc::Rc<host::Host>,
    topic: store::Topic,
    wait: time::Duration,
) -> Result<(), Error> {
    let from = host.facts.borrow().records(topic).end();
    let request = store::read(topic, from, wait);
    let answer = host.pool.call(host.settings.store, request, wait + EXTRA).await?;
    match store::read_page(answer.status, answer.body, from)? {
        store::Read::Page(page) => host.learn(topic, page, false, host.clock.now()),
        store::Read::Gone => host.learn(topic, newest(host, topic).await?, true, host.clock.now()),
    }
    Ok(())
}

/// Follows a topic for as long as the host runs.
pub async fn follow(host: rc::Rc<host::Host>, topic: store::Topic) {
    let mut whole = false;
    let mut lost = false;
    loop {
        let began = host.clock.now();
        let result = match whole {
            false => newest(&host, topic).await.map(|page| host.learn(topic, page, true, began)),
            true if topic == store::Topic::Operators => read(&host, topic, HOLD).await,
            true => read(&host, topic, time::Duration::ZERO).await,
        };
        host.metrics.store_calls.inc();
        match result {
            Ok(()) => {
                whole = true;
                if std::mem::take(&mut lost) {
                    log::info!(target: "store", topic = format!("{topic:?}").as_str(); "regained");
                }
                if topic == store::Topic::Endpoints {
                    tokio::time::sleep(ENDPOINTS).await;
                }
            }
            Err(err) => {
                if !std::mem::replace(&mut lost, true) {
                    log::warn!(target: "store", topic = format!("{topic:?}").as_str(), err = err.to_string().as_str(); "lost");
                }
                tokio::time::sleep(AGAIN).await;
            }
        }
    }
}
