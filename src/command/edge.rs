//! `edge`: one host on the users' platform until it is asked to stop.

use std::env;
use std::path;

use sequoiacrank_config::edge;
use sequoiacrank_edge::logs;

use crate::args;
use crate::exit;

/// Runs the host with the settings in `file`, or in the file that the platform names.
pub fn run(file: Option<&path::Path>) -> Result<(), exit::Error> {
    let named = env::var_os(sequoiacrank_adapter::SETTINGS).map(path::PathBuf::from);
    let file = file.map(path::Path::to_owned).or(named);
    let file = file.ok_or_else(|| exit::Error::Failed("no settings file is named".into()))?;
    let source = super::read(&file)?;
    let settings = match edge::parse(&source.file, &source.text) {
        Ok(settings) => settings,
        Err(problems) => {
            super::check::report(&problems, args::Format::Text);
            return Err(exit::Error::Refused);
        }
    };
    let failed = |detail: String| exit::Error::Failed(detail);
    logs::setup(&settings.host, &settings.log).map_err(|err| failed(err.to_string()))?;
    let again = move || {
        let source = super::read(&file).ok()?;
        edge::parse(&source.file, &source.text).ok()
    };
    sequoiacrank_edge::run(settings, Box::new(again)).map_err(|err| failed(err.to_string()))
}
