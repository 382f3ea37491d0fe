//! `explain`: result codes, from the table that answers and docs use, and stories of requests.

use std::path;

use sequoiacrank_kernel::code;

use crate::command::story;
use crate::exit;

/// Longest number of a code; what is longer is the id of a request.
const CODE_DIGITS: usize = 4;

/// Prints what a code means, the whole table for `all`, or the story of a request.
pub fn run(what: &str, logs: &[path::PathBuf]) -> Result<(), exit::Error> {
    if what == "all" {
        print!("{}", table());
        return Ok(());
    }
    if what.len() > CODE_DIGITS {
        return story::run(what, logs);
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

/// All codes as a Markdown table; `docs/CODES.md` holds the same.
pub fn table() -> String {
    let mut out = String::from("| code | HTTP | what happened | what to do |\n|---|---|---|---|\n");
    for code in code::Code::ALL {
        let (number, status) = (code.number(), code.status());
        out += &format!("| {number} | {status} | {} | {} |\n", code.title(), code.advice());
    }
    out
}
