//! Dispatches the arguments to the subcommand.

use crate::args;
use crate::command;
use crate::exit;

/// Runs the subcommand given by `args`. [`exit::Error::code`] is the exit code for its error.
pub fn run(args: &args::Args) -> Result<(), exit::Error> {
    match &args.command {
        args::Command::Check { files, format } => command::check::run(files, *format),
        args::Command::Apply(apply) => command::apply::run(apply),
        args::Command::Status { from, format } => command::status::run(from, *format),
        args::Command::Explain { what, logs } => command::explain::run(what, logs),
        args::Command::Serve { settings } => command::serve::run(settings),
        args::Command::Edge { settings } => command::edge::run(settings.as_deref()),
        args::Command::Standin(standin) => command::standin::run(standin),
        args::Command::Measure { what } => command::measure::run(what),
        args::Command::Quickstart { format } => command::quickstart::run(*format),
    }
}
