//! Exit codes and errors of the program.

use std::io;

use quick_error::quick_error;

/// Success.
pub const SUCCESS: u8 = 0;
/// Refused or failed.
pub const FAILED: u8 = 1;
/// Usage error.
pub const USAGE: u8 = 2;
/// A host can't be reached, or a file can't be read.
pub const UNREACHABLE: u8 = 3;
/// It is unknown whether the change was made.
pub const UNKNOWN: u8 = 4;

quick_error! {
    /// Why a subcommand failed.
    #[derive(Debug)]
    pub enum Error {
        /// A file can't be read.
        File(file: String, err: io::Error) {
            display("{file}: {err}")
        }
        /// Settings or declarations are invalid; their problems are printed already.
        Invalid {
            display("invalid settings or declarations")
        }
        /// An argument is invalid.
        Usage(detail: String) {
            display("{detail}")
        }
        /// A host can't be reached or does not answer.
        Unreachable(url: String, detail: String) {
            display("{url}: {detail}")
        }
        /// A host answered with an error status.
        Answer(status: u16, detail: String) {
            display("the host answered {status}: {detail}")
        }
        /// It is unknown whether the change was made.
        Unknown(detail: String) {
            display("{detail}")
        }
        /// Any other failure.
        Failed(detail: String) {
            display("{detail}")
        }
    }
}

impl Error {
    /// Returns the exit code for this error.
    pub fn code(&self) -> u8 {
        match self {
            Error::Invalid | Error::Answer(..) | Error::Failed(_) => FAILED,
            Error::Usage(_) => USAGE,
            Error::File(..) | Error::Unreachable(..) => UNREACHABLE,
            Error::Unknown(_) => UNKNOWN,
        }
    }
}
