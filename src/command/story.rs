//! The story of one request, from the JSON lines of all hosts.

use std::collections;
use std::io;
use std::path;

use sequoiacrank_kernel::code;

use crate::exit;

/// Milliseconds around a story in which what hosts learned of its endpoints belongs to it.
const AROUND: u64 = 3000;

type Line = serde_json::Map<String, serde_json::Value>;

fn text<'a>(line: &'a Line, field: &str) -> &'a str {
    line.get(field).and_then(serde_json::Value::as_str).unwrap_or_default()
}

fn time(line: &Line) -> u64 {
    line.get("at").and_then(serde_json::Value::as_u64).unwrap_or_default()
}

/// Reads a line, whatever a collector of logs put before the object.
fn parse(line: &str) -> Option<Line> {
    serde_json::from_str(&line[line.find('{')?..]).ok()
}

fn is_about(line: &Line, id: &str) -> bool {
    text(line, "id") == id || text(line, "requests").split(',').any(|it| it == id)
}

/// Lines about a request, and what hosts learned of its endpoints meanwhile, in order of time.
fn story(lines: Vec<Line>, id: &str) -> Vec<Line> {
    let own: Vec<&Line> = lines.iter().filter(|line| is_about(line, id)).collect();
    let endpoints: collections::BTreeSet<String> = own
        .iter()
        .map(|line| text(line, "endpoint").to_owned())
        .filter(|it| !it.is_empty())
        .collect();
    let Some(first) = own.iter().map(|line| time(line)).min() else { return Vec::new() };
    let last = own.iter().map(|line| time(line)).max().unwrap_or(first);
    let near = first.saturating_sub(AROUND)..=last + AROUND;
    let belief = |line: &Line| match text(line, "kind") {
        "endpoints" => endpoints.contains(text(line, "endpoint")),
        "process" | "store" | "operators" => true,
        _ => false,
    };
    let mut story: Vec<Line> = lines
        .into_iter()
        .filter(|line| is_about(line, id) || (near.contains(&time(line)) && belief(line)))
        .collect();
    story.sort_by_key(time);
    story
}

fn show(line: &Line, start: u64) -> String {
    let after = time(line) as i64 - start as i64;
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

/// The end of a request, in words.
fn end(story: &[Line], id: &str) -> String {
    let ends = ["answered", "refused", "stream ended early", "caller gone"];
    let last = story.iter().rev().find(|line| {
        text(line, "kind") == "request"
            && text(line, "id") == id
            && ends.contains(&text(line, "event"))
    });
    let Some(last) = last else { return "no end is on record".to_owned() };
    let number = last.get("code").and_then(serde_json::Value::as_u64);
    let code = number.and_then(|it| u16::try_from(it).ok()).and_then(code::Code::from_number);
    match code {
        Some(code) => format!("{}: {code}. {}", text(last, "event"), code.advice()),
        None => text(last, "event").to_owned(),
    }
}

/// Prints the story of a request from `logs`, or from standard input if there are none.
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
    let story = story(lines, id);
    let Some(start) = story.iter().find(|line| is_about(line, id)).map(time) else {
        return Err(exit::Error::Failed(format!("no line is about the request {id}")));
    };
    for line in &story {
        println!("{}", show(line, start));
    }
    println!("end: {}", end(&story, id));
    Ok(())
}
