//! Context of one call of the state machine, passed through its parts: time, settings, peers and
//! the commands so far.

use super::peers;
use super::{Command, Options};
use crate::id;
use crate::message;

/// Context of one call of the state machine.
pub(super) struct Context<'a> {
    /// Time of the call.
    pub now: id::Time,
    /// Settings of the state machine.
    pub options: &'a Options,
    /// Known hosts.
    pub peers: &'a mut peers::Peers,
    /// Ticket that was issued last.
    pub last_ticket: &'a mut id::Ticket,
    /// Commands that the call has produced so far.
    pub commands: &'a mut Vec<Command>,
}

impl Context<'_> {
    /// Returns a ticket that was not used before.
    pub fn next_ticket(&mut self) -> id::Ticket {
        *self.last_ticket += 1;
        *self.last_ticket
    }

    pub fn push(&mut self, command: Command) {
        self.commands.push(command);
    }

    /// Sends a message. One to this host itself is handled within the same call.
    pub fn send(&mut self, to: &str, message: message::Message) {
        self.commands.push(Command::Send { to: to.into(), message });
    }

    /// Sends a message that a live host answers at once, and starts to wait for the answer; see
    /// [`peers::Peers::record_request`].
    pub fn send_request(&mut self, to: &str, message: message::Message) {
        self.peers.record_request(self.now, to);
        self.send(to, message);
    }
}
