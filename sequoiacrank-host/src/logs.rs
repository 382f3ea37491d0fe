//! Sets up the structured log of the process and writes lines about decisions.

use std::io;

use logforth::append;
use logforth::filter::rustlog;
use logforth::layout;
use quick_error::quick_error;
use sequoiacrank_config::settings;
use sequoiacrank_kernel::traffic;

quick_error! {
    /// Why the log could not be set up.
    #[derive(Debug)]
    pub enum Error {
        /// It was set up before.
        Twice {
            display("the log is set up already")
        }
        /// The level is unknown.
        Level(level: String) {
            display("{level} is not a log level")
        }
        /// The log can't be written.
        Io(error: io::Error) {
            from()
            display("writing the log failed: {error}")
            source(error)
        }
    }
}

/// Sets up the log of the process.
///
/// # Errors
///
/// [`Error`], also if it was set up before.
pub fn setup(settings: &settings::Log) -> Result<(), Error> {
    let level: log::LevelFilter =
        settings.level.parse().map_err(|_| Error::Level(settings.level.clone()))?;
    let filter = rustlog::RustLogFilterBuilder::from_spec(settings.level.as_str()).build();
    let stderr = append::Stderr::default();
    let stderr = match settings.format {
        settings::Format::Json => stderr.with_layout(layout::JsonLayout::default()),
        settings::Format::Text => stderr.with_layout(layout::TextLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(stderr))
        .try_apply()
        .map_err(|_| Error::Twice)?;
    log::set_max_level(level);
    Ok(())
}

/// Logs one line about a decision.
pub fn decision(host: &str, decision: &traffic::Decision) {
    let request = decision.request.map(|request| request.to_string()).unwrap_or_default();
    log::info!(
        target: "decision",
        host,
        request,
        kind = decision.kind,
        subject = decision.subject,
        candidates = decision.candidates,
        chosen = decision.chosen,
        why = decision.why;
        "decision"
    );
}
