//! Why a send has no answer for the caller.

use std::fmt;

use sequoiacrank_kernel::code;

use crate::exchange::repeat;

/// Why a send has no answer for the caller.
pub enum SendError {
    /// The request did not reach the endpoint. The permit of this send can be used again.
    Unsent(repeat::Permit),
    /// The endpoint refused the request without running it.
    Refused(http::StatusCode),
    /// The request, or a part of its prompt, has crashed endpoints, so that it was not sent.
    Suspect,
    /// The request may have run. The code is for the caller if the request is not sent again.
    Failed(code::Code),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::Unsent(_) => f.write_str("not sent"),
            SendError::Refused(status) => write!(f, "refused with status {}", status.as_u16()),
            SendError::Suspect => f.write_str("suspect"),
            SendError::Failed(code) => write!(f, "failed with code {}", code.number()),
        }
    }
}

impl SendError {
    /// Whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        matches!(self, SendError::Failed(_))
    }

    /// The permit, if it can be used again.
    pub fn into_permit(self) -> Option<repeat::Permit> {
        match self {
            SendError::Unsent(permit) => Some(permit),
            SendError::Refused(_) | SendError::Suspect | SendError::Failed(_) => None,
        }
    }
}
