//! `check`: prints every problem of declarations and settings.

use std::path;

use sequoiacrank_config::declare;
use sequoiacrank_config::problem;
use sequoiacrank_config::settings;
use sequoiacrank_config::tree;

use crate::args;
use crate::exit;

/// Checks `files` and prints all problems. Fails with [`exit::Error::Invalid`] if there are any.
pub fn run(files: &[path::PathBuf], format: args::Format) -> Result<(), exit::Error> {
    let sources = super::read_all(files)?;
    let (settings, declarations): (Vec<_>, Vec<_>) = sources.into_iter().partition(is_settings);
    let mut problems = Vec::new();
    for source in &settings {
        let found = settings::parse(&source.file, &source.text).err();
        problems.extend(found.into_iter().flatten());
    }
    if !declarations.is_empty() {
        problems.extend(declare::join(&declarations).err().into_iter().flatten());
    }
    report(&problems, format);
    if problems.is_empty() { Ok(()) } else { Err(exit::Error::Invalid) }
}

/// Whether a file holds settings. Declarations have none of the fields that are looked for.
fn is_settings(source: &declare::Source) -> bool {
    match tree::parse(&source.file, &source.text) {
        Ok(tree::Node { value: tree::Value::Object(fields), .. }) => {
            let has = |name: &str| fields.iter().any(|field| field.name == name);
            has("host") || has("platform") || has("listen")
        }
        _ => false,
    }
}

/// Prints problems, one per line or as a JSON array.
pub fn report(problems: &[problem::Problem], format: args::Format) {
    match format {
        args::Format::Text => problems.iter().for_each(|problem| println!("{problem}")),
        args::Format::Json => {
            let rows: Vec<_> = problems.iter().map(to_json).collect();
            println!("{}", serde_json::Value::from(rows));
        }
    }
}

fn to_json(problem: &problem::Problem) -> serde_json::Value {
    serde_json::json!({
        "code": problem.code.number(),
        "title": problem.code.title(),
        "file": problem.file,
        "line": problem.line,
        "path": problem.path,
        "detail": problem.detail,
    })
}
