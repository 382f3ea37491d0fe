//! Handles messages from peers: digests and loans of slots.

use crate::id;
use crate::message;
use crate::policy::Moves as _;
use crate::traffic;

impl traffic::Traffic {
    /// Handles a message from a peer.
    pub(crate) fn handle_message(
        &self,
        now: id::Time,
        from: &str,
        message: message::Message,
        out: &mut Vec<traffic::Command>,
    ) {
        let changed = {
            let mut members = self.members.lock();
            members.record_message(now, from);
            if let message::Message::Digest(message::Digest { list: Some(seen), .. }) = &message {
                members.record_list(now, from, *seen);
            }
            members.update_view(now)
        };
        if changed {
            self.refresh(now, out);
        }
        match message {
            message::Message::Digest(digest) => self.apply_digest(now, from, &digest),
            message::Message::AskLoan { endpoint, count, ticket } => {
                self.lend(now, from, endpoint, count, ticket, out);
            }
            message::Message::Lend { endpoint, count, ticket, term, generation } => {
                let offer = LoanOffer { endpoint, count, ticket, term, generation };
                self.borrow(now, from, offer, out);
            }
            message::Message::Return { endpoint, ticket } => {
                self.loan_returned(now, from, &endpoint, ticket, out);
            }
            _ => {}
        }
    }

    fn apply_digest(&self, now: id::Time, from: &str, digest: &message::Digest) {
        for endpoint in &digest.endpoints {
            if let Some(pool) = self.pool_of(&endpoint.endpoint) {
                pool.lock().learn(now, endpoint);
            }
        }
        if !digest.evidence.is_empty() {
            self.moves.lock().learn(now, from, &digest.evidence);
        }
        if !digest.suspects.is_empty() {
            self.suspects.lock().learn(now, from, &digest.suspects);
        }
    }

    fn lend(
        &self,
        now: id::Time,
        from: &str,
        endpoint: id::EndpointId,
        wanted: u32,
        ticket: id::Ticket,
        out: &mut Vec<traffic::Command>,
    ) {
        let view_valid = self.view_valid(now);
        let Some(pool) = self.pool_of(&endpoint) else {
            return;
        };
        let wanted = if view_valid { wanted } else { 0 };
        let (count, term, generation) = pool.lock().lend(now, from, &endpoint, ticket, wanted);
        let message = message::Message::Lend { endpoint, count, ticket, term, generation };
        out.push(traffic::Command::Send { to: from.into(), message });
    }

    fn borrow(&self, now: id::Time, from: &str, offer: LoanOffer, out: &mut Vec<traffic::Command>) {
        let Some(pool) = self.pool_of(&offer.endpoint) else {
            return;
        };
        let accepted = pool.lock().borrow(now, from, &offer);
        if !accepted && offer.count > 0 {
            let LoanOffer { endpoint, ticket, .. } = offer;
            let message = message::Message::Return { endpoint, ticket };
            out.push(traffic::Command::Send { to: from.into(), message });
        }
        self.schedule(now, &pool, out);
    }

    fn loan_returned(
        &self,
        now: id::Time,
        from: &str,
        endpoint: &str,
        ticket: id::Ticket,
        out: &mut Vec<traffic::Command>,
    ) {
        let Some(pool) = self.pool_of(endpoint) else {
            return;
        };
        if let Some(state) = pool.lock().endpoints.get_mut(endpoint) {
            state.lent.returned(from, ticket);
        }
        self.schedule(now, &pool, out);
    }
}

/// A peer's answer to a loan request.
pub(crate) struct LoanOffer {
    pub(crate) endpoint: id::EndpointId,
    pub(crate) count: u32,
    pub(crate) ticket: id::Ticket,
    pub(crate) term: std::time::Duration,
    pub(crate) generation: u64,
}
