//! `apply`: replaces the declarations if the base revision is still in force.

use std::fs;
use std::thread;
use std::time;

use sequoiacrank_config::declare;
use sequoiacrank_config::diff;
use sequoiacrank_kernel::plan;

use crate::args;
use crate::client;
use crate::exit;

/// Interval at which hosts are asked for the revision in force.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Checks the declarations, prints the differences, applies them and waits until they are in force;
/// a dry run ends after the differences. Fails with [`exit::Error::Unknown`] if it is not known
/// whether they were applied, or if not all hosts are known to have them in force in time.
pub fn run(args: &args::Apply) -> Result<(), exit::Error> {
    let joined = match declare::join(&super::read_all(&args.files)?) {
        Ok(joined) => joined,
        Err(problems) => {
            super::check::report(&problems, args::Format::Text);
            return Err(exit::Error::Invalid);
        }
    };
    let client = client::Client::new(&args.to, token(args)?);
    let current = client.configuration()?;
    let base = args.base.unwrap_or(current.revision);
    print_changes(&current, &joined.plan);
    if args.dry_run {
        return Ok(());
    }
    let revision = client.apply(base, &joined.text)?;
    println!("revision {revision} accepted");
    wait_in_force(&client, revision, time::Duration::from_secs(args.wait))
}

fn token(args: &args::Apply) -> Result<Option<String>, exit::Error> {
    match &args.token_file {
        None => Ok(None),
        Some(file) => match fs::read_to_string(file) {
            Ok(text) => Ok(Some(text.trim().to_owned())),
            Err(err) => Err(exit::Error::File(file.display().to_string(), err)),
        },
    }
}

fn print_changes(current: &client::Configuration, new: &plan::Plan) {
    let old = declare::parse("in force", &current.text).unwrap_or_default();
    let lines = diff::lines(&old, new);
    println!("against revision {}: {} changes", current.revision, lines.len());
    lines.iter().for_each(|line| println!("{line}"));
}

/// Waits until every host known to the client's host has `revision` in force.
fn wait_in_force(
    client: &client::Client,
    revision: u64,
    timeout: time::Duration,
) -> Result<(), exit::Error> {
    let start = time::Instant::now();
    loop {
        let status = client.status()?;
        let pending = pending_hosts(&status, revision);
        if pending.is_empty() {
            println!("in force on all hosts after {:.1} s", start.elapsed().as_secs_f64());
            return Ok(());
        }
        if start.elapsed() >= timeout {
            let detail =
                format!("accepted, but not yet known to be in force on: {}", pending.join(", "));
            return Err(exit::Error::Unknown(detail));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Names of hosts that are not known to have `revision` or a later one in force.
fn pending_hosts(status: &serde_json::Value, revision: u64) -> Vec<String> {
    let hosts = status["hosts"].as_array().map_or(&[][..], Vec::as_slice);
    let name = |host: &serde_json::Value| host["host"].as_str().unwrap_or("?").to_owned();
    let is_pending = |host: &&serde_json::Value| revision_of(host) < Some(revision);
    match hosts {
        [] => vec!["any host".into()],
        hosts => hosts.iter().filter(is_pending).map(name).collect(),
    }
}

/// Revision in force on a listed host; `None` if it does not answer.
fn revision_of(host: &serde_json::Value) -> Option<u64> {
    let url = format!("http://{}", host["address"].as_str()?);
    client::Client::new(&url, None).status().ok()?["revision"].as_u64()
}
