//! Bounds connections by the system's limit on open files.

use std::fs;

use sequoiacrank_config::settings;

/// Open files that each request may need, among them both ends of its internal connection and the
/// connection of its call.
const FILES_PER_REQUEST: usize = 4;
/// Open files for everything else: listeners, peers, the platform, polling, logs.
const OTHER_FILES: usize = 256;
/// Connections allowed even if the limit on open files is too low for them.
const MIN_CONNECTIONS: usize = 32;

/// The configured bound on connections, lowered if the process may not open so many files. The
/// internal HTTP server stops for good when it can't accept a connection for lack of files.
pub fn connection_limit(bounds: &settings::Bounds) -> usize {
    let Some(files) = open_file_limit() else { return bounds.connections };
    let allowed = files
        .saturating_sub(FILES_PER_REQUEST * bounds.requests + OTHER_FILES)
        .max(MIN_CONNECTIONS);
    if allowed < bounds.connections {
        log::warn!(files, connections = allowed; "the limit on open files allows fewer connections than configured");
    }
    allowed.min(bounds.connections)
}

/// The system's limit on open files of this process, if it can be read.
fn open_file_limit() -> Option<usize> {
    let limits = fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_ascii_whitespace().next()?.parse().ok()
}
