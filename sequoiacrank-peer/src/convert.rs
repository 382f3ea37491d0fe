//! Conversions between wire types and kernel messages.

mod claim;
mod digest;
mod message;
mod scalar;

use quick_error::quick_error;

quick_error! {
    /// Why a wire message can't be converted.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// A required field is missing.
        Missing(field: &'static str) {
            display("field {field} is missing")
        }
        /// The length of an id in bytes is not 16.
        IdLength(field: &'static str, length: usize) {
            display("field {field} has {length} bytes instead of 16")
        }
        /// The nanoseconds of a duration make up a whole second or more.
        Nanos(nanos: u32) {
            display("duration with {nanos} in nanos, which must be below 1000000000")
        }
        /// The number is not a result code.
        Code(number: u32) {
            display("unknown result code {number}")
        }
        /// The value that says whether a request ran is unspecified or unknown.
        Run(number: i32) {
            display("invalid value {number} of enum Run")
        }
    }
}
