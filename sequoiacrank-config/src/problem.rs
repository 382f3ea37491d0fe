//! Errors in settings and declarations, with their location.

use std::fmt;

use sequoiacrank_kernel::code;

/// One error in a text. Checks report all errors, not only the first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Result code.
    pub code: code::Code,
    /// Name of the file, or `-` if the text came from elsewhere.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Path of fields that leads to the error, such as `pipelines.bid.stages[1].service`.
    pub path: String,
    /// What was found and what was expected.
    pub detail: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Problem { code, file, line, path, detail } = self;
        write!(f, "{file}:{line}: {}: {path}: {detail}", code.number())
    }
}
