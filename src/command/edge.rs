//! `edge`: runs a host that is configured through the platform's store.

use std::env;
use std::path;

use sequoiacrank_config::edge;
use sequoiacrank_edge::logs;

use crate::args;
use crate::exit;

/// Runs the host with the settings in `file`, or in the file that the environment variable
/// [`sequoiacrank_adapter::SETTINGS`] names.
pub fn run(file: Option<&path::Path>) -> Result<(), exit::Error> {
    let from_env = env::var_os(sequoiacrank_adapter::SETTINGS).map(path::PathBuf::from);
    let file = file.map(path::Path::to_owned).or(from_env);
    let file = file.ok_or_else(|| {
        exit::Error::Failed("no settings file; use --settings or set SEQUOIACRANK_CONFIG".into())
    })?;
    let source = super::read(&file)?;
    let settings = match edge::parse(&source.file, &source.text) {
        Ok(settings) => settings,
        Err(problems) => {
            super::check::report(&problems, args::Format::Text);
            return Err(exit::Error::Invalid);
        }
    };
    let failed = |detail: String| exit::Error::Failed(detail);
    logs::setup(&settings.host, &settings.log).map_err(|err| failed(err.to_string()))?;
    let reload = move || {
        let source = super::read(&file).ok()?;
        edge::parse(&source.file, &source.text).ok()
    };
    sequoiacrank_edge::run(settings, Box::new(reload)).map_err(|err| failed(err.to_string()))
}
