//! Conversions of claims, answers to them, outcomes and latches.

use sequoiacrank_kernel::code;
use sequoiacrank_kernel::log;
use sequoiacrank_kernel::message;

use crate::convert;
use crate::convert::scalar;
use crate::wire;

impl From<message::Claim> for wire::Claim {
    fn from(claim: message::Claim) -> Self {
        wire::Claim {
            key: scalar::id_bytes(claim.key),
            fingerprint: claim.fingerprint,
            request: scalar::id_bytes(claim.request),
            holder: claim.holder,
            incarnation: claim.incarnation,
            deadline: scalar::wire_duration(claim.deadline),
        }
    }
}

impl TryFrom<wire::Claim> for message::Claim {
    type Error = convert::Error;

    fn try_from(claim: wire::Claim) -> Result<Self, Self::Error> {
        Ok(message::Claim {
            key: scalar::id("key", &claim.key)?,
            fingerprint: claim.fingerprint,
            request: scalar::id("request", &claim.request)?,
            holder: claim.holder,
            incarnation: claim.incarnation,
            deadline: scalar::duration(claim.deadline)?,
        })
    }
}

impl From<message::ClaimAnswer> for wire::claim_answer::Answer {
    fn from(answer: message::ClaimAnswer) -> Self {
        use wire::claim_answer as proto;
        match answer {
            message::ClaimAnswer::Granted => proto::Answer::Granted(wire::Empty {}),
            message::ClaimAnswer::Known(end) => proto::Answer::Known(end.into()),
            message::ClaimAnswer::Refused { code, run } => proto::Answer::Refused(wire::Refusal {
                code: code.number().into(),
                run: wire::Run::from(run).into(),
            }),
            message::ClaimAnswer::NotOwner => proto::Answer::NotOwner(wire::Empty {}),
        }
    }
}

impl TryFrom<wire::claim_answer::Answer> for message::ClaimAnswer {
    type Error = convert::Error;

    fn try_from(answer: wire::claim_answer::Answer) -> Result<Self, Self::Error> {
        use wire::claim_answer as proto;
        Ok(match answer {
            proto::Answer::Granted(_) => message::ClaimAnswer::Granted,
            proto::Answer::Known(end) => message::ClaimAnswer::Known(end.try_into()?),
            proto::Answer::Refused(refusal) => refusal.try_into()?,
            proto::Answer::NotOwner(_) => message::ClaimAnswer::NotOwner,
        })
    }
}

impl TryFrom<wire::Refusal> for message::ClaimAnswer {
    type Error = convert::Error;

    fn try_from(refusal: wire::Refusal) -> Result<Self, Self::Error> {
        let code = u16::try_from(refusal.code)
            .ok()
            .and_then(code::Code::from_number)
            .ok_or(convert::Error::Code(refusal.code))?;
        let run = match refusal.run() {
            wire::Run::No => code::Run::No,
            wire::Run::Yes => code::Run::Yes,
            wire::Run::Unknown => code::Run::Unknown,
            wire::Run::Unspecified => return Err(convert::Error::Run(refusal.run)),
        };
        Ok(message::ClaimAnswer::Refused { code, run })
    }
}

impl From<code::Run> for wire::Run {
    fn from(run: code::Run) -> Self {
        match run {
            code::Run::No => wire::Run::No,
            code::Run::Yes => wire::Run::Yes,
            code::Run::Unknown => wire::Run::Unknown,
        }
    }
}

impl From<log::End> for wire::End {
    fn from(end: log::End) -> Self {
        let end = match end {
            log::End::NotRun => wire::end::End::NotRun(wire::Empty {}),
            log::End::Answer(text) => wire::end::End::Answer(text),
            log::End::Ran => wire::end::End::Ran(wire::Empty {}),
            log::End::Unknown => wire::end::End::Unknown(wire::Empty {}),
        };
        wire::End { end: Some(end) }
    }
}

impl TryFrom<wire::End> for log::End {
    type Error = convert::Error;

    fn try_from(end: wire::End) -> Result<Self, Self::Error> {
        match end.end {
            Some(wire::end::End::NotRun(_)) => Ok(log::End::NotRun),
            Some(wire::end::End::Answer(text)) => Ok(log::End::Answer(text)),
            Some(wire::end::End::Ran(_)) => Ok(log::End::Ran),
            Some(wire::end::End::Unknown(_)) => Ok(log::End::Unknown),
            None => Err(convert::Error::Missing("end")),
        }
    }
}

impl From<log::Latch> for wire::Latch {
    fn from(latch: log::Latch) -> Self {
        let latch = match latch {
            log::Latch::Done(name) => wire::latch::Latch::Done(name),
            log::Latch::TakenBack(name) => wire::latch::Latch::TakenBack(name),
            log::Latch::Leaving(name) => wire::latch::Latch::Leaving(name),
        };
        wire::Latch { latch: Some(latch) }
    }
}

impl TryFrom<wire::Latch> for log::Latch {
    type Error = convert::Error;

    fn try_from(latch: wire::Latch) -> Result<Self, Self::Error> {
        match latch.latch {
            Some(wire::latch::Latch::Done(name)) => Ok(log::Latch::Done(name)),
            Some(wire::latch::Latch::TakenBack(name)) => Ok(log::Latch::TakenBack(name)),
            Some(wire::latch::Latch::Leaving(name)) => Ok(log::Latch::Leaving(name)),
            None => Err(convert::Error::Missing("latch")),
        }
    }
}
