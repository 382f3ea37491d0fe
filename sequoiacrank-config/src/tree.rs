//! Parses JSON with comments into a tree that records the line and path of each value.

use std::fmt;
use std::sync;

use jsonc_parser::ast;
use jsonc_parser::common;
use jsonc_parser::common::Ranged as _;

use sequoiacrank_kernel::code;

use crate::problem;

/// Maximum size of a text, in bytes.
pub const MAX_BYTES: usize = 4 << 20;

/// A line of a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// Name of the file, or `-` if the text came from elsewhere.
    pub file: sync::Arc<str>,
    /// Line number, starting at 1.
    pub line: usize,
}

/// A value with its location.
#[derive(Clone, Debug)]
pub struct Node {
    /// Where the value begins.
    pub location: Location,
    /// Fields and indices from the root, such as `pipelines.bid.stages[1]`; empty at the root.
    pub path: String,
    /// The value.
    pub value: Value,
}

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Value {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number as written.
    Number(String),
    /// A string.
    String(String),
    /// An array.
    Array(Vec<Node>),
    /// An object, in the order of the text; duplicate names are kept.
    Object(Vec<Field>),
}

impl Value {
    /// Name of this kind of value, for error messages.
    pub fn kind(&self) -> &'static str {
        match self {
            Value::Null => "null",
            Value::Bool(_) => "a boolean",
            Value::Number(_) => "a number",
            Value::String(_) => "a string",
            Value::Array(_) => "an array",
            Value::Object(_) => "an object",
        }
    }
}

/// A field of an object.
#[derive(Clone, Debug)]
pub struct Field {
    /// Name.
    pub name: String,
    /// Location of the name.
    pub location: Location,
    /// Value.
    pub node: Node,
}

/// Parses `text`, which was read from `file`. Stops at the first syntax error and rejects texts
/// that are empty or too long.
pub fn parse(file: &str, text: &str) -> Result<Node, problem::Problem> {
    let syntax = |line, detail| problem::Problem {
        code: code::Code::Syntax,
        file: file.to_owned(),
        line,
        path: "text".into(),
        detail,
    };
    if text.len() > MAX_BYTES {
        return Err(syntax(1, format!("the text has {} bytes; at most {MAX_BYTES}", text.len())));
    }
    let parsed = jsonc_parser::parse_to_ast(text, &Default::default(), &parse_options())
        .map_err(|err| syntax(err.line_display(), err.kind().to_string()))?;
    let index = LineIndex::new(file, text);
    match &parsed.value {
        Some(value) => Ok(index.node(value, String::new())),
        None => Err(syntax(1, "the text is empty; expected an object".into())),
    }
}

/// Allows comments and trailing commas, but no other extension of JSON.
fn parse_options() -> jsonc_parser::ParseOptions {
    jsonc_parser::ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Maps byte offsets of a text to lines.
struct LineIndex {
    file: sync::Arc<str>,
    /// Byte offset at which each line starts.
    starts: Vec<usize>,
}

impl LineIndex {
    fn new(file: &str, text: &str) -> LineIndex {
        let after = text.match_indices('\n').map(|(at, _)| at + 1);
        LineIndex { file: file.into(), starts: std::iter::once(0).chain(after).collect() }
    }

    fn location(&self, range: common::Range) -> Location {
        let line = self.starts.partition_point(|&start| start <= range.start);
        Location { file: self.file.clone(), line }
    }

    fn node(&self, value: &ast::Value<'_>, path: String) -> Node {
        let location = self.location(value.range());
        let value = match value {
            ast::Value::NullKeyword(_) => Value::Null,
            ast::Value::BooleanLit(lit) => Value::Bool(lit.value),
            ast::Value::NumberLit(lit) => Value::Number(lit.value.to_string()),
            ast::Value::StringLit(lit) => Value::String(lit.value.to_string()),
            ast::Value::Array(array) => Value::Array(self.array(array, &path)),
            ast::Value::Object(object) => Value::Object(self.fields(object, &path)),
        };
        Node { location, path, value }
    }

    fn array(&self, array: &ast::Array<'_>, path: &str) -> Vec<Node> {
        let elements = array.elements.iter().enumerate();
        elements.map(|(i, value)| self.node(value, format!("{path}[{i}]"))).collect()
    }

    fn fields(&self, object: &ast::Object<'_>, path: &str) -> Vec<Field> {
        let field = |prop: &ast::ObjectProp<'_>| {
            let name = prop.name.as_str().to_owned();
            let inner = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            Field { location: self.location(prop.range), node: self.node(&prop.value, inner), name }
        };
        object.properties.iter().map(field).collect()
    }
}

/// Joins two documents into one: sections of the same name are concatenated.
///
/// A name declared in both documents is kept twice, so that decoding reports it. If one of the
/// documents is not an object, it is returned alone, so that decoding reports it.
pub fn join(first: Node, second: Node) -> Node {
    let (Value::Object(_), Value::Object(more)) = (&first.value, &second.value) else {
        return if matches!(first.value, Value::Object(_)) { second } else { first };
    };
    let mut joined = first.clone();
    if let Value::Object(sections) = &mut joined.value {
        for field in more {
            match sections.iter_mut().find(|section| section.name == field.name) {
                Some(section) => extend_section(&mut section.node, &field.node),
                None => sections.push(field.clone()),
            }
        }
    }
    joined
}

fn extend_section(section: &mut Node, more: &Node) {
    match (&mut section.value, &more.value) {
        (Value::Object(fields), Value::Object(more)) => fields.extend(more.iter().cloned()),
        _ => *section = more.clone(),
    }
}

impl fmt::Display for Node {
    /// Writes the value as JSON, without comments.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Value::Null => f.write_str("null"),
            Value::Bool(value) => write!(f, "{value}"),
            Value::Number(number) => f.write_str(number),
            Value::String(text) => write!(f, "{}", serde_json::Value::from(text.as_str())),
            Value::Array(nodes) => {
                f.write_str("[")?;
                for (i, node) in nodes.iter().enumerate() {
                    write!(f, "{}{node}", if i == 0 { "" } else { ", " })?;
                }
                f.write_str("]")
            }
            Value::Object(fields) => {
                f.write_str("{")?;
                for (i, field) in fields.iter().enumerate() {
                    let name = serde_json::Value::from(field.name.as_str());
                    write!(f, "{}{name}: {}", if i == 0 { "" } else { ",\n" }, field.node)?;
                }
                f.write_str("}")
            }
        }
    }
}
