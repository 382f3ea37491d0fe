//! Decodes a JSON tree into typed values and collects every problem found.

use std::net;
use std::str;
use std::time;

use sequoiacrank_kernel::code;
use sequoiacrank_kernel::map;

use crate::problem;
use crate::tree;

/// Collects the problems found so far.
#[derive(Debug, Default)]
pub struct Sink {
    problems: Vec<problem::Problem>,
}

impl Sink {
    /// Adds a problem at `location`; an empty `path` means the whole text.
    pub fn add(&mut self, code: code::Code, location: &tree::Location, path: &str, detail: String) {
        let path = if path.is_empty() { "text".into() } else { path.to_owned() };
        let (file, line) = (location.file.to_string(), location.line);
        self.problems.push(problem::Problem { code, file, line, path, detail });
    }

    /// Adds a problem at the location of `value`.
    pub fn add_at<T>(&mut self, code: code::Code, value: &Located<T>, detail: String) {
        self.add(code, &value.location, &value.path, detail);
    }

    /// Returns `value` if no problem was found, else all problems sorted by file and line.
    pub fn finish<T>(mut self, value: Option<T>) -> Result<T, Vec<problem::Problem>> {
        self.problems.sort_by(|a, b| (&a.file, a.line, &a.path).cmp(&(&b.file, b.line, &b.path)));
        match value {
            Some(value) if self.problems.is_empty() => Ok(value),
            _ => Err(self.problems),
        }
    }

    fn wrong_type<T>(&mut self, node: &tree::Node, expected: &str) -> Option<T> {
        let found = match &node.value {
            tree::Value::String(text) => format!("the string {text:?}"),
            tree::Value::Number(number) => format!("the number {number}"),
            other => other.kind().to_owned(),
        };
        let detail = format!("found {found}; expected {expected}");
        self.add(code::Code::WrongType, &node.location, &node.path, detail);
        None
    }
}

/// A value with its location, for problems found only after decoding, such as unknown names.
#[derive(Clone, Debug)]
pub struct Located<T> {
    /// Location of the value.
    pub location: tree::Location,
    /// Path of fields that leads to the value.
    pub path: String,
    /// The value.
    pub value: T,
}

/// A type that can be decoded from a tree.
pub trait Decode: Sized {
    /// Decodes `node`; on problems adds them to `sink` and returns `None`.
    fn decode(node: &tree::Node, sink: &mut Sink) -> Option<Self>;
}

impl Decode for String {
    fn decode(node: &tree::Node, sink: &mut Sink) -> Option<Self> {
        match &node.value {
            tree::Value::String(text) => Some(text.clone()),
            _ => sink.wrong_type(node, "a string"),
        }
    }
}

impl Decode for bool {
    fn decode(node: &tree::Node, sink: &mut Sink) -> Option<Self> {
        match &node.value {
            tree::Value::Bool(value) => Some(*value),
            _ => sink.wrong_type(node, "true or false"),
        }
    }
}

impl Decode for u32 {
    fn decode(node: &tree::Node, sink: &mut Sink) -> Option<Self> {
        match &node.value {
            tree::Value::Number(number) => {
                number.parse().ok().or_else(|| sink.wrong_type(node, "a whole number from 0"))
            }
            _ => sink.wrong_type(node, "a whole number from 0"),
        }
    }
}

impl Decode for f64 {
    fn decode(node: &tree::Node, sink: &mut Sink) -> Option<Self> {
        match &node.value {
            tree::Value::Number(number) => {
                number.parse().ok().or_else(|| sink.wrong_type(node, "a number"))
            }
            _ => sink.wrong_type(node, "a number"),
        }
    }
}

impl Decode for time::Duration {
    fn decode(node: &tree::Node, sink: &mut Sink) -> Option<Self> {
        parse_string(node, sink, "a duration such as \"250ms\", \"12s\" or \"1h\"", |text| {
            humantime::parse_duration(text).ok()
        })
    }
}

impl Decode for time::SystemTime {
    fn decode(node: &tree::Node, sink: &mut Sink) -> Option<Self> {
        parse_string(node, sink, "a time such as \"2026-12-04T06:00:00Z\"", |text| {
            humantime::parse_rfc3339(text).ok()
        })
    }
}

impl Decode for net::SocketAddr {
    fn decode(node: &tree::Node, sink: &mut Sink) -> Option<Self> {
        parse_string(node, sink, "an IP address and port such as \"10.0.0.1:8080\"", |text| {
            str::FromStr::from_str(text).ok()
        })
    }
}

impl Decode for net::IpAddr {
    fn decode(node: &tree::Node, sink: &mut Sink) -> Option<Self> {
        parse_string(node, sink, "an IP address such as \"10.0.0.1\"", |text| {
            str::FromStr::from_str(text).ok()
        })
    }
}

impl<T> Decode for Located<T>
where
    T: Decode,
{
    fn decode(node: &tree::Node, sink: &mut Sink) -> Option<Self> {
        let value = T::decode(node, sink)?;
        Some(Located { location: node.location.clone(), path: node.path.clone(), value })
    }
}

impl<T> Decode for Vec<T>
where
    T: Decode,
{
    fn decode(node: &tree::Node, sink: &mut Sink) -> Option<Self> {
        let tree::Value::Array(nodes) = &node.value else {
            return sink.wrong_type(node, "an array");
        };
        let values: Vec<Option<T>> = nodes.iter().map(|node| T::decode(node, sink)).collect();
        values.into_iter().collect()
    }
}

/// A section of declarations: each field declares one object under its name.
#[derive(Clone, Debug)]
pub struct Named<T> {
    /// Names with their declarations, in the order of the text.
    pub entries: Vec<(Located<String>, T)>,
    /// All names, including those whose declaration can't be decoded.
    names: map::FastSet<String>,
}

impl<T> Named<T> {
    /// Whether `name` is declared, even if its declaration can't be decoded.
    pub fn is_declared(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Whether the declaration of every name could be decoded.
    pub fn is_complete(&self) -> bool {
        self.names.len() == self.entries.len()
    }
}

impl<T> Default for Named<T> {
    fn default() -> Self {
        Named { entries: Vec::new(), names: map::FastSet::default() }
    }
}

impl<T> Decode for Named<T>
where
    T: Decode,
{
    fn decode(node: &tree::Node, sink: &mut Sink) -> Option<Self> {
        let fields = object(node, sink)?;
        let mut names = map::FastSet::default();
        let mut entries = Vec::new();
        for field in fields {
            if !names.insert(field.name.clone()) {
                let detail = format!("{:?} is declared twice", field.name);
                sink.add(code::Code::Duplicate, &field.location, &field.node.path, detail);
            }
            check_name(field, sink);
            let path = field.node.path.clone();
            let name =
                Located { location: field.location.clone(), path, value: field.name.clone() };
            if let Some(value) = T::decode(&field.node, sink) {
                entries.push((name, value));
            }
        }
        Some(Named { entries, names })
    }
}

/// Longest name of a declared object, in bytes.
const MAX_NAME_BYTES: usize = 100;

fn check_name(field: &tree::Field, sink: &mut Sink) {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if field.name.is_empty()
        || field.name.len() > MAX_NAME_BYTES
        || !field.name.chars().all(is_allowed)
    {
        let detail = format!(
            "found the name {:?}; expected 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'",
            field.name
        );
        sink.add(code::Code::OutOfRange, &field.location, &field.node.path, detail);
    }
}

/// Decodes a string with `parse`; `expected` describes valid values for the error message.
pub fn parse_string<T, F>(node: &tree::Node, sink: &mut Sink, expected: &str, parse: F) -> Option<T>
where
    F: FnOnce(&str) -> Option<T>,
{
    match &node.value {
        tree::Value::String(text) => parse(text).or_else(|| sink.wrong_type(node, expected)),
        _ => sink.wrong_type(node, expected),
    }
}

fn object<'a>(node: &'a tree::Node, sink: &mut Sink) -> Option<&'a [tree::Field]> {
    match &node.value {
        tree::Value::Object(fields) => Some(fields),
        _ => sink.wrong_type(node, "an object"),
    }
}

/// Decodes the fields of one object and reports unknown ones.
#[derive(Debug)]
pub struct Reader<'a, 's> {
    node: &'a tree::Node,
    fields: &'a [tree::Field],
    /// Names of the fields asked for so far; at the end, all others count as unknown.
    known: Vec<&'static str>,
    sink: &'s mut Sink,
}

impl<'a, 's> Reader<'a, 's> {
    /// Creates a reader of `node`; reports a problem if that is not an object.
    pub fn new(node: &'a tree::Node, sink: &'s mut Sink) -> Option<Self> {
        let fields = object(node, sink)?;
        Some(Reader { node, fields, known: Vec::new(), sink })
    }

    /// Decodes the field `name`; reports a problem if it is missing.
    pub fn required<T>(&mut self, name: &'static str) -> Option<T>
    where
        T: Decode,
    {
        match self.find(name) {
            Some(node) => T::decode(node, self.sink),
            None => {
                let detail = format!("the field {name:?} is missing");
                self.sink.add(
                    code::Code::MissingField,
                    &self.node.location,
                    &self.node.path,
                    detail,
                );
                None
            }
        }
    }

    /// Decodes the field `name`, or returns `default` if it is missing.
    pub fn with_default<T>(&mut self, name: &'static str, default: T) -> Option<T>
    where
        T: Decode,
    {
        match self.find(name) {
            Some(node) => T::decode(node, self.sink),
            None => Some(default),
        }
    }

    /// Decodes the field `name`; `Some(None)` if it is missing.
    pub fn optional<T>(&mut self, name: &'static str) -> Option<Option<T>>
    where
        T: Decode,
    {
        match self.find(name) {
            Some(node) => T::decode(node, self.sink).map(Some),
            None => Some(None),
        }
    }

    /// Reports fields that are unknown or appear twice.
    pub fn finish(self) {
        let mut seen = map::FastSet::default();
        for field in self.fields {
            let (location, path) = (&field.location, &field.node.path);
            match field.name.as_str() {
                name if !self.known.contains(&name) => {
                    let names = self.known.join(", ");
                    let detail = format!("the field {name:?} is not known; expected {names}");
                    self.sink.add(code::Code::UnknownField, location, path, detail);
                }
                name if !seen.insert(name) => {
                    let detail = format!("the field {name:?} stands twice");
                    self.sink.add(code::Code::Duplicate, location, path, detail);
                }
                _ => {}
            }
        }
    }

    fn find(&mut self, name: &'static str) -> Option<&'a tree::Node> {
        self.known.push(name);
        self.fields.iter().find(|field| field.name == name).map(|field| &field.node)
    }
}
