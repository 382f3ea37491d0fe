//! `status`: prints hosts, availability zones, endpoints and moves as known to one host.

use crate::args;
use crate::client;
use crate::exit;

/// Prints the status of the host at `from`.
pub fn run(from: &str, format: args::Format) -> Result<(), exit::Error> {
    let status = client::Client::new(from, None).status()?;
    match format {
        args::Format::Json => println!("{status}"),
        args::Format::Text => print!("{}", format_status(&status)),
    }
    Ok(())
}

/// Formats the status as text: sections one after another, one line per row.
fn format_status(status: &serde_json::Value) -> String {
    let mut out = String::new();
    for (name, value) in status.as_object().into_iter().flatten() {
        match value {
            serde_json::Value::Array(rows) => {
                out += &format!("{name}:\n");
                rows.iter().for_each(|row| out += &format!("  {}\n", format_row(row)));
            }
            other => out += &format!("{name}: {}\n", format_value(other)),
        }
    }
    out
}

fn format_row(row: &serde_json::Value) -> String {
    match row.as_object() {
        Some(fields) => {
            let field = |(name, value): (&String, _)| format!("{name}={}", format_value(value));
            fields.iter().map(field).collect::<Vec<_>>().join(" ")
        }
        None => format_value(row),
    }
}

fn format_value(value: &serde_json::Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
