//! Moves of services to new versions: the reports that hosts exchange about them, the decisions,
//! and the statuses in the store.

use std::rc;
use std::time;

use sequoiacrank_adapter::operator;
use sequoiacrank_adapter::store as topics;
use sequoiacrank_kernel::edge::memory as account;
use sequoiacrank_kernel::edge::moves;
use sequoiacrank_kernel::rollout;

use crate::host;
use crate::peer;
use crate::peer::wire;
use crate::store;

/// Number of hosts that decide on moves by the results of all hosts. One would be enough; the
/// second one covers its loss.
const EVALUATORS: usize = 2;
/// Time between two evaluations of moves. Other hosts report their results with each heartbeat.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);

impl host::Host {
    /// This host's reports on moves, with its results.
    pub fn move_digests(&self) -> Vec<moves::Digest> {
        let facts = self.facts.borrow();
        let old_in_flight =
            |service: &str, target: &str| facts.fleet.in_flight_except(service, target);
        facts.moves.digests(self.clock.now(), old_in_flight)
    }

    /// The progress of moves, without results, for the heartbeat to neighbours.
    pub fn move_phases(&self) -> Vec<wire::moves::Move> {
        let phase =
            |digest| wire::moves::Move { evidence: Vec::new(), ..wire::moves::Move::from(digest) };
        self.move_digests().into_iter().map(phase).collect()
    }

    /// Sends this host's reports to the hosts that decide on moves.
    pub fn send_digests(&self) {
        let moves: Vec<_> = self.move_digests().into_iter().map(wire::moves::Move::from).collect();
        if moves.is_empty() {
            return;
        }
        for evaluator in self.peers.members().first_hosts(EVALUATORS) {
            let message = wire::Moves { moves: moves.clone() };
            self.peers.send(self, evaluator, wire::Body::Moves(message));
        }
    }

    /// Applies the reports of another host on moves.
    pub fn receive_digests(self: &rc::Rc<Self>, from: peer::Sender, digests: &[wire::moves::Move]) {
        let now = self.clock.now();
        let mut facts = self.facts.borrow_mut();
        for digest in digests {
            let digest = moves::Digest::from(digest);
            facts.moves.merge(now, from.address, &from.to_string(), &digest);
        }
        let has_changes = facts.moves.has_changes();
        drop(facts);
        if has_changes {
            evaluate(self);
        }
    }
}

/// Evaluates moves for as long as the host runs. The first host in the order of those that use the
/// store for all writes the statuses.
pub async fn follow(host: rc::Rc<host::Host>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if host.facts.borrow().moves.is_empty() {
            continue;
        }
        evaluate(&host);
        let is_first = host.peers.members().store_position() == 0 && !host.stop.is_leaving();
        if is_first && host.peers.settling_time(&host).is_none() {
            write_statuses(&host).await;
        }
    }
}

/// Evaluates moves and applies the changes of their phases.
fn evaluate(host: &rc::Rc<host::Host>) {
    let decides = host.peers.members().store_position() < EVALUATORS;
    let changes =
        host.facts.borrow_mut().moves.tick(host.clock.now(), &rollout::Sequential, decides);
    if changes.is_empty() {
        return;
    }
    for moves::Change { service, target, phase, why } in changes {
        let (service, target, phase) = (service.as_str(), target.as_str(), format!("{phase:?}"));
        log::info!(target: "moves", service, version = target, phase = phase.as_str(), why = why.as_str(); "phase");
    }
    host.facts.borrow_mut().reshard();
    host.batcher.update(host);
    // An early heartbeat, so that other hosts stop sending to a faulty version at once.
    host.peers.send_heartbeats(host);
}

/// Writes the statuses that the store does not have yet.
async fn write_statuses(host: &rc::Rc<host::Host>) {
    let updates = {
        let facts = host.facts.borrow();
        let old_in_flight =
            |service: &str, target: &str| facts.fleet.in_flight_except(service, target);
        let now = host.clock.now();
        facts.moves.updates(now, old_in_flight, &host.peers.members().alive())
    };
    for moves::Update { service, target, state } in updates {
        if let Err(err) = write_status(host, &service, &target, state).await {
            let (service, err) = (service.as_str(), err.to_string());
            log::warn!(target: "moves", service, err = err.as_str(); "status not written");
        }
    }
}

/// Writes the status of a move, unless the store has it already or has the move as ended. An end in
/// the store takes precedence over what this host decided.
async fn write_status(
    host: &rc::Rc<host::Host>,
    service: &str,
    target: &str,
    state: moves::State,
) -> Result<(), store::Error> {
    let key = operator::status_key(service);
    let page = store::newest(host, topics::Topic::Status).await?;
    let record = page.records.iter().find(|record| record.key == key);
    let status = record.and_then(|record| operator::decode_status(record.value.as_deref()?).ok());
    let stored = status.filter(|(version, _)| version == target).map(|(_, state)| state);
    if let Some(stored) = stored.filter(|&stored| stored != moves::State::Active || stored == state)
    {
        host.facts.borrow_mut().moves.apply_stored(service, target, stored);
        return Ok(());
    }
    let value = operator::encode_status(target, state)?;
    let request = topics::append(topics::Topic::Status, &key, &value, Some(page.end.offset));
    let answer = host
        .pool
        .call_as(account::Class::Control, host.settings.store, request, store::CALL_TIMEOUT)
        .await?;
    let (status, state_name) = (answer.status.as_u16(), format!("{state:?}"));
    log::info!(target: "moves", service, version = target, state = state_name.as_str(), at = page.end.offset, status; "status written");
    if answer.status == http::StatusCode::OK {
        host.facts.borrow_mut().moves.apply_stored(service, target, state);
    }
    // Otherwise another host has written to the store in between; the next evaluation reads that.
    Ok(())
}
