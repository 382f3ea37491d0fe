//! The subcommands, one module each.

pub mod apply;
pub mod check;
pub mod edge;
pub mod explain;
pub mod measure;
pub mod quickstart;
pub mod serve;
pub mod standin;
pub mod status;
mod timeline;

use std::fmt;
use std::fs;
use std::path;

use sequoiacrank_config::declare;

use crate::args;
use crate::exit;

/// Reads `file` as text.
fn read(file: &path::Path) -> Result<declare::Source, exit::Error> {
    let name = file.display().to_string();
    match fs::read_to_string(file) {
        Ok(text) => Ok(declare::Source { file: name, text }),
        Err(err) => Err(exit::Error::File(name, err)),
    }
}

/// Reads all `files`.
fn read_all(files: &[path::PathBuf]) -> Result<Vec<declare::Source>, exit::Error> {
    files.iter().map(|file| read(file)).collect()
}

/// Prints an outcome as text or JSON.
fn print<T>(outcome: &T, format: args::Format) -> Result<(), exit::Error>
where
    T: fmt::Display + serde::Serialize,
{
    match format {
        args::Format::Text => print!("{outcome}"),
        args::Format::Json => match serde_json::to_string(outcome) {
            Ok(text) => println!("{text}"),
            Err(err) => return Err(exit::Error::Failed(err.to_string())),
        },
    }
    Ok(())
}
