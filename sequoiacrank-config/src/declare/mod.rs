//! Declarations of operators. All files of declarations together hold the whole declared state.

mod check;
pub mod raw;

use sequoiacrank_kernel::plan;

use crate::problem;
use crate::read;
use crate::read::Decode as _;
use crate::tree;

/// One file of declarations.
#[derive(Clone, Debug)]
pub struct Source {
    /// Name of the file, for messages.
    pub file: String,
    /// Content of the file.
    pub text: String,
}

/// Declarations joined from one or more files.
#[derive(Clone, Debug)]
pub struct Joined {
    /// The validated declarations; the revision is 0.
    pub plan: plan::Plan,
    /// All declarations as one document.
    pub text: String,
}

/// Validates declarations that were read from `file`; returns all problems on failure. The revision
/// of the plan is 0.
pub fn parse(file: &str, text: &str) -> Result<plan::Plan, Vec<problem::Problem>> {
    let node = tree::parse(file, text).map_err(|problem| vec![problem])?;
    check(&node)
}

/// Validates files that together hold the whole declared state. On failure returns the problems of
/// all files, or only the syntax errors if there are any.
pub fn join(sources: &[Source]) -> Result<Joined, Vec<problem::Problem>> {
    let mut nodes = Vec::new();
    let mut problems = Vec::new();
    for source in sources {
        match tree::parse(&source.file, &source.text) {
            Ok(node) => nodes.push(node),
            Err(problem) => problems.push(problem),
        }
    }
    let joined = match nodes.into_iter().reduce(tree::join) {
        Some(node) if problems.is_empty() => node,
        _ => return Err(problems),
    };
    let plan = check(&joined)?;
    let text = match sources {
        [only] => only.text.clone(),
        _ => joined.to_string(),
    };
    Ok(Joined { plan, text })
}

fn check(node: &tree::Node) -> Result<plan::Plan, Vec<problem::Problem>> {
    let mut sink = read::Sink::default();
    let document = raw::Document::decode(node, &mut sink);
    let plan = document.map(|document| check::plan(&document, &mut sink));
    sink.finish(plan)
}
