//! Whether the head of an endpoint's answer makes it the answer to the caller.

use hyper::body;
use sequoiacrank_adapter::call;
use sequoiacrank_kernel::code;
use sequoiacrank_kernel::edge::fleet;

use crate::client;
use crate::exchange;
use crate::exchange::suspect;
use crate::host;
use crate::in_flight;

impl exchange::Exchange {
    /// Checks the head of the answer to a send and records what it says of the endpoint.
    ///
    /// # Errors
    ///
    /// When the endpoint refused the request, or the answer proves nothing about it.
    pub(super) fn check_answer(
        &self,
        call: in_flight::Call,
        connection: client::Connection,
        answer: http::Response<body::Incoming>,
    ) -> Result<exchange::Upstream, exchange::SendError> {
        let endpoint = call.endpoint.clone();
        let endpoint = endpoint.as_str();
        call.record_first_byte();
        let (head, body) = answer.into_parts();
        let decoded = connection.decode(&head, &self.head.attempt);
        let id = self.head.attempt.as_str();
        let status = head.status.as_u16();
        let took = host::millis(self.host.clock.now().saturating_sub(self.began));
        call.apply_notice(&decoded.notice, decoded.matches_request && !decoded.refused);
        call.tell_relay(connection.relay(), &decoded.notice);
        match decoded {
            call::Answer { refused: true, misdirected, .. } => {
                log::warn!(target: "request", id, endpoint, status, took; "endpoint refused");
                if misdirected {
                    // Another endpoint answers at its address, so it has ended.
                    suspect::record_down(&self.host, endpoint);
                }
                call.end(if misdirected { fleet::End::Replaced } else { fleet::End::Full });
                Err(exchange::SendError::Refused(head.status))
            }
            call::Answer { matches_request: false, unclear, .. } => {
                log::warn!(target: "request", id, endpoint, status, took, unclear; "answer to another request");
                call.end(if unclear { fleet::End::Full } else { fleet::End::Bad });
                Err(exchange::SendError::Failed(code::Code::BadAnswer))
            }
            _ if call::promises_not_run(head.status) => {
                log::warn!(target: "request", id, endpoint, status, took; "endpoint does not state that it refused");
                call.end(fleet::End::Bad);
                Err(exchange::SendError::Failed(code::Code::BadAnswer))
            }
            _ if self.form.get().is_some_and(|form| *form != call::Form::decode(&head)) => {
                log::warn!(target: "request", id, endpoint, status, took; "answer does not continue the stream");
                call.end(fleet::End::Bad);
                Err(exchange::SendError::Failed(code::Code::BadAnswer))
            }
            decoded => Ok(exchange::Upstream { connection, head, body, call, decoded }),
        }
    }
}
