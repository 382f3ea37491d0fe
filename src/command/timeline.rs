//! Timeline of one request, from the JSON log lines of all hosts.

use std::collections;
use std::io;
use std::path;

use sequoiacrank_kernel::code;

use crate::exit;

/// Time before and after a request, in ms, from which related events are shown too.
const CONTEXT_MS: u64 = 3000;

type Line = serde_json::Map<String, serde_json::Value>;

fn text<'a>(line: &'a Line, field: &str) -> &'a str {
    line.get(field).and_then(serde_json::Value::as_str).unwrap_or_default()
}

fn time_ms(line: &Line) -> u64 {
    line.get("at").and_then(serde_json::Value::as_u64).unwrap_or_default()
}

/// Parses a log line; skips any prefix that a log collector put before the object.
fn parse(line: &str) -> Option<Line> {
    serde_json::from_str(&line[line.find('{')?..]).ok()
}

fn is_about(line: &Line, id: &str) -> bool {
    text(line, "id") == id || text(line, "requests").split(',').any(|it| it == id)
}

/// Selects the lines about a request and those about its endpoints and hosts at that time, in
/// chronological order.
fn select(lines: Vec<Line>, id: &str) -> Vec<Line> {
    let own: Vec<&Line> = lines.iter().filter(|line| is_about(line, id)).collect();
    let endpoints: collections::BTreeSet<String> = own
        .iter()
        .map(|line| text(line, "endpoint").to_owned())
        .filter(|it| !it.is_empty())
        .collect();
    let Some(first) = own.iter().map(|line| time_ms(line)).min() else { return Vec::new() };
    let last = own.iter().map(|line| time_ms(line)).max().unwrap_or(first);
    let window = first.saturating_sub(CONTEXT_MS)..=last + CONTEXT_MS;
    let is_context = |line: &Line| match text(line, "kind") {
        "endpoints" => endpoints.contains(text(line, "endpoint")),
        "process" | "store" | "operators" => true,
        _ => false,
    };
    let mut timeline: Vec<Line> = lines
        .into_iter()
        .filter(|line| is_about(line, id) || (window.contains(&time_ms(line)) && is_context(line)))
        .collect();
    timeline.sort_by_key(time_ms);
    timeline
}

fn format_line(line: &Line, start: u64) -> String {
    let after = time_ms(line) as i64 - start as i64;
    let (host, kind, event) = (text(line, "host"), text(line, "kind"), text(line, "event"));
    let mut out = format!("{after:+7} ms  {host}  {kind}: {event}");
    for (name, value) in line {
        match name.as_str() {
            "at" | "host" | "kind" | "event" | "id" | "requests" => {}
            _ => out += &format!("  {name}={}", value.to_string().trim_matches('"')),
        }
    }
    out
}

/// Describes how a request ended.
fn outcome(timeline: &[Line], id: &str) -> String {
    let ends = ["answered", "refused", "stream ended early", "caller gone"];
    let last = timeline.iter().rev().find(|line| {
        text(line, "kind") == "request"
            && text(line, "id") == id
            && ends.contains(&text(line, "event"))
    });
    let Some(last) = last else { return "no end is logged".to_owned() };
    let number = last.get("code").and_then(serde_json::Value::as_u64);
    let code = number.and_then(|it| u16::try_from(it).ok()).and_then(code::Code::from_number);
    match code {
        Some(code) => format!("{}: {code}. {}", text(last, "event"), code.advice()),
        None => text(last, "event").to_owned(),
    }
}

/// Prints the timeline of a request from `logs`, or from standard input if `logs` is empty.
pub fn run(id: &str, logs: &[path::PathBuf]) -> Result<(), exit::Error> {
    let texts = match logs.is_empty() {
        true => {
            let text = io::read_to_string(io::stdin());
            vec![text.map_err(|err| exit::Error::File("standard input".into(), err))?]
        }
        false => {
            let texts: Result<Vec<_>, _> = logs.iter().map(|log| super::read(log)).collect();
            texts?.into_iter().map(|source| source.text).collect()
        }
    };
    let lines = texts.iter().flat_map(|text| text.lines()).filter_map(parse).collect();
    let timeline = select(lines, id);
    let Some(start) = timeline.iter().find(|line| is_about(line, id)).map(time_ms) else {
        return Err(exit::Error::Failed(format!("no log line is about request {id}")));
    };
    for line in &timeline {
        println!("{}", format_line(line, start));
    }
    println!("end: {}", outcome(&timeline, id));
    Ok(())
}
