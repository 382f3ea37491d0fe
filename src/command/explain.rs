//! `explain`: describes result codes, from the table that answers and docs use, and prints
//! timelines of requests.

use std::path;

use sequoiacrank_kernel::code;

use crate::command::timeline;
use crate::exit;

/// Number of digits of a result code; a longer argument is the id of a request.
const CODE_DIGITS: usize = 4;

/// Prints what a code means, the table of codes for `all`, or the timeline of a request. Fails with
/// [`exit::Error::Usage`] if no code has the given number.
pub fn run(what: &str, logs: &[path::PathBuf]) -> Result<(), exit::Error> {
    if what == "all" {
        print!("{}", table());
        return Ok(());
    }
    if what.len() > CODE_DIGITS {
        return timeline::run(what, logs);
    }
    let number = what;
    let found = number.parse().ok().and_then(code::Code::from_number);
    match found {
        Some(code) => {
            println!("{code}\nHTTP status {}\n{}", code.status(), code.advice());
            Ok(())
        }
        None => {
            let detail = format!("no result code {number:?}; `explain all` lists them");
            Err(exit::Error::Usage(detail))
        }
    }
}

/// Formats all codes as a Markdown table, which `docs/CODES.md` contains.
pub fn table() -> String {
    let mut out = String::from("| code | HTTP | what happened | what to do |\n|---|---|---|---|\n");
    for code in code::Code::ALL {
        let (number, status) = (code.number(), code.status());
        out += &format!("| {number} | {status} | {} | {} |\n", code.title(), code.advice());
    }
    out
}
