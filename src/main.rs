//! Entry point of the `sequoiacrank` program.
#![deny(missing_docs, rust_2018_idioms)]
#![deny(unsafe_code)]

mod allocator;

use std::process;

use clap::Parser as _;

fn main() -> process::ExitCode {
    allocator::configure();
    let args = sequoiacrank::args::Args::parse();
    match sequoiacrank::run(&args) {
        Ok(()) => process::ExitCode::from(sequoiacrank::exit::SUCCESS),
        Err(err) => {
            eprintln!("sequoiacrank: {err}");
            process::ExitCode::from(err.code())
        }
    }
}
