//! When a host that does not hold the lease reads the record and acquires the lease.

use crate::edge::duty;
use crate::edge::duty::lease;
use crate::id;

/// Whether the name `own` stands in the list of holders behind that of another host.
fn is_behind(own: &str, recent: &[String]) -> bool {
    recent.iter().skip_while(|it| *it == own).any(|it| it == own)
}

impl lease::View {
    /// Whether the holder before the one of the record may still act: the holder of the record may
    /// have acquired the lease because the other one seemed to have ended, and has not renewed it
    /// often enough since. It does so three times in a period.
    fn is_unproven(&self, own: &str) -> bool {
        let (Some(offset), lease::Seen::Record(record)) = (self.offset, &self.seen) else {
            return false;
        };
        let before = record.recent.get(1).is_some_and(|it| it != own);
        before && offset <= record.token
    }
}

impl lease::Lease {
    /// Decides what to do next without the lease.
    pub(super) fn next_free(&mut self, now: id::Time, facts: &lease::Facts) -> lease::Action {
        let Some(position) = facts.position.filter(|&it| it < lease::READERS) else {
            return lease::Action::Wait(now + self.period / 3);
        };
        let interval = match facts.vacant {
            true => self.tick(),
            false if position < lease::STANDBYS => self.period / 3,
            // Calls to the store have a price, and these hosts act only if the standbys do not.
            false => self.period,
        };
        let read_due = self.read_at.map_or(now, |at| at + interval);
        match self.takeover(facts) {
            Some((at, why)) if now >= at => self.acquire(now, why),
            _ if now >= read_due => lease::Action::Read,
            Some((at, _)) => lease::Action::Wait(at.min(read_due)),
            None => lease::Action::Wait(read_due),
        }
    }

    /// When and why this host may acquire the lease if the record does not change until then.
    fn takeover(&self, facts: &lease::Facts) -> Option<(id::Time, lease::Why)> {
        let position = facts.position?;
        let view = self.view.as_ref()?;
        let (wait, why) = match &view.seen {
            lease::Seen::Missing if view.end == 0 => (id::Time::ZERO, lease::Why::Vacant),
            // The store keeps the newest record for ever, so an answer without it is incomplete. A
            // read may be garbled although the record is not. A holder that renews replaces the
            // record meanwhile.
            lease::Seen::Missing | lease::Seen::Unreadable => {
                (self.period / 2, lease::Why::Unreadable)
            }
            lease::Seen::Record(record) if record.released => {
                (id::Time::ZERO, lease::Why::Released)
            }
            lease::Seen::Record(record) if record.host == self.own.host => {
                (id::Time::ZERO, lease::Why::Own)
            }
            lease::Seen::Record(record) if self.is_replaced(record, facts) => {
                (id::Time::ZERO, lease::Why::Replaced)
            }
            // A holder that renews has not ended, whatever membership says. Without this, two hosts
            // on both sides of a network partition would take the lease from each other for ever.
            lease::Seen::Record(_) if facts.ended => (self.period / 2, lease::Why::Ended),
            lease::Seen::Record(_) => (self.period, lease::Why::Expired),
        };
        let reserve = if position < lease::STANDBYS { id::Time::ZERO } else { self.period / 2 };
        Some(((view.since + wait + reserve).max(self.barred_until), why))
    }

    /// Whether a later process than that of the record was heard at its address. A process that was
    /// never heard may also be the later one.
    fn is_replaced(&self, record: &duty::Record, facts: &lease::Facts) -> bool {
        self.heard == Some(record.process) && facts.process.is_some_and(|it| it != record.process)
    }

    /// Begins the append that acquires the lease.
    fn acquire(&mut self, now: id::Time, why: lease::Why) -> lease::Action {
        let Some(view) = &self.view else { return lease::Action::Read };
        let (at, since, unproven) = (view.end, view.since, view.is_unproven(&self.own.host));
        let (mut recent, content, from) = match &view.seen {
            lease::Seen::Record(record) => {
                (record.recent.clone(), record.content.clone(), Some(record.host.clone()))
            }
            lease::Seen::Missing | lease::Seen::Unreadable => {
                (Vec::new(), duty::Content::default(), None)
            }
        };
        // Otherwise A, B, A could act within one period: A releases, B acts and is killed, A acts.
        let returns = is_behind(&self.own.host, &recent);
        let acts_at = match why {
            lease::Why::Unreadable => now + self.period,
            _ if returns => now + self.period,
            // The holder may live and act until its lease expires.
            lease::Why::Ended => since + self.period,
            _ if unproven => now + self.period * 2 / 3,
            _ => now,
        };
        if recent.first() != Some(&self.own.host) {
            recent.insert(0, self.own.host.clone());
            recent.truncate(lease::MAX_RECENT);
        }
        let record = duty::Record {
            host: self.own.host.clone(),
            address: self.own.address,
            process: self.own.process,
            token: at + 1,
            number: 0,
            released: false,
            recent,
            content,
        };
        self.append(now, record, lease::Purpose::Acquire { why, from, acts_at })
    }
}
