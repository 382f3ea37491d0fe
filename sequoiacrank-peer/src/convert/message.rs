//! Conversions of whole messages.

use sequoiacrank_kernel::message;

use crate::convert;
use crate::convert::scalar;
use crate::wire;
use crate::wire::message as proto;

impl From<message::Message> for wire::Message {
    fn from(message: message::Message) -> Self {
        wire::Message { body: Some(message.into()) }
    }
}

impl From<message::Message> for proto::Body {
    fn from(message: message::Message) -> Self {
        match message {
            message::Message::Claim(claim) => proto::Body::Claim(claim.into()),
            message::Message::ClaimAnswer { key, request, answer } => {
                proto::Body::ClaimAnswer(wire::ClaimAnswer {
                    key: scalar::id_bytes(key),
                    request: scalar::id_bytes(request),
                    answer: Some(answer.into()),
                })
            }
            message::Message::Outcome { key, request, end } => {
                proto::Body::Outcome(wire::Outcome {
                    key: scalar::id_bytes(key),
                    request: scalar::id_bytes(request),
                    end: Some(end.into()),
                })
            }
            message::Message::OutcomeKept { key, request } => {
                proto::Body::OutcomeKept(wire::OutcomeKept {
                    key: scalar::id_bytes(key),
                    request: scalar::id_bytes(request),
                })
            }
            message::Message::Latches(latches) => proto::Body::Latches(wire::Latches {
                latches: latches.into_iter().map(Into::into).collect(),
            }),
            message::Message::Revision { revision, offset, document } => {
                proto::Body::Revision(wire::Revision { revision, offset, document })
            }
            message::Message::AskRevision => proto::Body::AskRevision(wire::Empty {}),
            message::Message::Digest(digest) => proto::Body::Digest(digest.into()),
            message::Message::AskLoan { endpoint, count, ticket } => {
                proto::Body::AskLoan(wire::AskLoan { endpoint, count, ticket })
            }
            message::Message::Lend { endpoint, count, ticket, term, generation } => {
                let term = scalar::wire_duration(term);
                proto::Body::Lend(wire::Lend { endpoint, count, ticket, term, generation })
            }
            message::Message::Return { endpoint, ticket } => {
                proto::Body::Return(wire::Return { endpoint, ticket })
            }
            message::Message::Leaving => proto::Body::Leaving(wire::Empty {}),
        }
    }
}

impl TryFrom<wire::Message> for message::Message {
    type Error = convert::Error;

    fn try_from(message: wire::Message) -> Result<Self, Self::Error> {
        message.body.ok_or(convert::Error::Missing("body"))?.try_into()
    }
}

impl TryFrom<proto::Body> for message::Message {
    type Error = convert::Error;

    fn try_from(body: proto::Body) -> Result<Self, Self::Error> {
        Ok(match body {
            proto::Body::Claim(claim) => message::Message::Claim(claim.try_into()?),
            proto::Body::ClaimAnswer(answer) => answer.try_into()?,
            proto::Body::Outcome(outcome) => outcome.try_into()?,
            proto::Body::OutcomeKept(kept) => message::Message::OutcomeKept {
                key: scalar::id("key", &kept.key)?,
                request: scalar::id("request", &kept.request)?,
            },
            proto::Body::Latches(latches) => {
                let latches: Result<_, _> =
                    latches.latches.into_iter().map(TryInto::try_into).collect();
                message::Message::Latches(latches?)
            }
            proto::Body::Revision(wire::Revision { revision, offset, document }) => {
                message::Message::Revision { revision, offset, document }
            }
            proto::Body::AskRevision(_) => message::Message::AskRevision,
            proto::Body::Digest(digest) => message::Message::Digest(digest.try_into()?),
            proto::Body::AskLoan(wire::AskLoan { endpoint, count, ticket }) => {
                message::Message::AskLoan { endpoint, count, ticket }
            }
            proto::Body::Lend(wire::Lend { endpoint, count, ticket, term, generation }) => {
                let term = scalar::duration(term)?;
                message::Message::Lend { endpoint, count, ticket, term, generation }
            }
            proto::Body::Return(wire::Return { endpoint, ticket }) => {
                message::Message::Return { endpoint, ticket }
            }
            proto::Body::Leaving(_) => message::Message::Leaving,
        })
    }
}

impl TryFrom<wire::ClaimAnswer> for message::Message {
    type Error = convert::Error;

    fn try_from(answer: wire::ClaimAnswer) -> Result<Self, Self::Error> {
        Ok(message::Message::ClaimAnswer {
            key: scalar::id("key", &answer.key)?,
            request: scalar::id("request", &answer.request)?,
            answer: answer.answer.ok_or(convert::Error::Missing("answer"))?.try_into()?,
        })
    }
}

impl TryFrom<wire::Outcome> for message::Message {
    type Error = convert::Error;

    fn try_from(outcome: wire::Outcome) -> Result<Self, Self::Error> {
        Ok(message::Message::Outcome {
            key: scalar::id("key", &outcome.key)?,
            request: scalar::id("request", &outcome.request)?,
            end: outcome.end.ok_or(convert::Error::Missing("end"))?.try_into()?,
        })
    }
}
