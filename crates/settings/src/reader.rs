//! Reads typed values from a YAML tree and collects all errors with their positions.

use crate::{ValidationError, ValidationErrors};
use saphyr::{LoadableYamlNode, MarkedYaml, Scalar, YamlData};
use saphyr_parser::{Event, Parser};
use std::{cell::RefCell, collections::BTreeMap, fmt::Display, str::FromStr};

/// Deepest nesting of sequences and mappings. The tree of a document is built and dropped by recursion.
const MAX_DEPTH: usize = 64;

/// Line at which a text is nested more deeply than [`MAX_DEPTH`]; `None` if it is not, or if it is
/// invalid before that.
fn too_deep_line(text: &str) -> Option<usize> {
    let mut depth = 0_usize;
    for event in Parser::new_from_str(text) {
        let (event, span) = event.ok()?;
        match event {
            Event::SequenceStart(..) | Event::MappingStart(..) => depth += 1,
            Event::SequenceEnd | Event::MappingEnd => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Some(span.start.line());
        }
    }
    None
}

/// A document being read, with the errors found so far.
#[derive(Debug)]
pub(crate) struct Document {
    file: String,
    errors: RefCell<Vec<ValidationError>>,
}

impl Document {
    pub(crate) fn new(file: &str) -> Self {
        Self { file: file.to_owned(), errors: RefCell::default() }
    }

    /// Parses the text; a syntax error, or nesting that is too deep, is returned as the only error.
    pub(crate) fn load<'a>(&self, text: &'a str) -> Result<MarkedYaml<'a>, ValidationErrors> {
        if let Some(line) = too_deep_line(text) {
            let message = format!("nested more than {MAX_DEPTH} levels deep");
            self.report(line, "(syntax)", message);
            return Err(self.take_errors());
        }
        match MarkedYaml::load_from_str(text) {
            Ok(mut documents) if documents.len() == 1 => Ok(documents.remove(0)),
            Ok(documents) => {
                let message = format!("found {} documents; valid: one", documents.len());
                self.report(1, "(document)", message);
                Err(self.take_errors())
            }
            Err(error) => {
                self.report(error.marker().line(), "(syntax)", error.info().to_owned());
                Err(self.take_errors())
            }
        }
    }

    pub(crate) fn report(&self, line: usize, path: &str, message: String) {
        self.errors.borrow_mut().push(ValidationError {
            file: self.file.clone(),
            line,
            path: path.to_owned(),
            message,
        });
    }

    /// Takes all errors found so far, sorted by line.
    pub(crate) fn take_errors(&self) -> ValidationErrors {
        let mut errors = self.errors.take();
        errors.sort_by(|a, b| (a.line, &a.path).cmp(&(b.line, &b.path)));
        ValidationErrors(errors)
    }

    pub(crate) fn has_errors(&self) -> bool {
        !self.errors.borrow().is_empty()
    }
}

/// A YAML node with its line and path; errors are added to its document.
#[derive(Debug, Clone)]
pub(crate) struct Node<'d> {
    document: &'d Document,
    yaml: &'d MarkedYaml<'d>,
    line: usize,
    path: String,
}

impl<'d> Node<'d> {
    pub(crate) fn root(document: &'d Document, yaml: &'d MarkedYaml<'d>) -> Self {
        Self { document, yaml, line: yaml.span.start.line().max(1), path: String::new() }
    }

    pub(crate) fn path(&self) -> &str {
        if self.path.is_empty() { "(document)" } else { &self.path }
    }

    pub(crate) fn report<M>(&self, message: M)
    where
        M: Into<String>,
    {
        self.document.report(self.line, self.path(), message.into());
    }

    fn child(&self, name: &str, line: usize, yaml: &'d MarkedYaml<'d>) -> Self {
        let path =
            if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) };
        Self { document: self.document, yaml, line, path }
    }

    /// Returns the entries of a mapping, in document order; reports an error for any other node.
    pub(crate) fn entries(&self) -> Vec<(String, Self)> {
        let YamlData::Mapping(mapping) = &self.yaml.data else {
            self.report(format!("found {}; valid: a mapping", self.describe()));
            return Vec::new();
        };
        let mut entries = Vec::new();
        for (key, value) in mapping {
            let line = key.span.start.line();
            match scalar_text(key) {
                Some(name) => entries.push((name.clone(), self.child(&name, line, value))),
                None => self.document.report(
                    line,
                    self.path(),
                    "a key is not a single value; valid: a string".to_owned(),
                ),
            }
        }
        entries
    }

    /// Reads a mapping and reports keys that are not in `valid`.
    pub(crate) fn fields(&self, valid: &[&str]) -> Fields<'d> {
        let mut found = BTreeMap::new();
        for (name, node) in self.entries() {
            if !valid.contains(&name.as_str()) {
                node.report(format!("unknown key; valid: {}", valid.join(", ")));
            }
            found.insert(name, node);
        }
        Fields { parent: self.clone(), found }
    }

    /// Returns the items of a sequence; reports an error for any other node.
    pub(crate) fn items(&self) -> Vec<Self> {
        let YamlData::Sequence(items) = &self.yaml.data else {
            self.report(format!("found {}; valid: a list", self.describe()));
            return Vec::new();
        };
        let item = |(index, yaml): (usize, &'d MarkedYaml<'d>)| Self {
            document: self.document,
            yaml,
            line: yaml.span.start.line(),
            path: format!("{}[{index}]", self.path),
        };
        items.iter().enumerate().map(item).collect()
    }

    /// Parses a scalar; the error of the target type says what is valid.
    pub(crate) fn parse<T>(&self) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = scalar_text(self.yaml) else {
            self.report(format!("found {}; valid: a single value", self.describe()));
            return None;
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(error.to_string());
                None
            }
        }
    }

    /// Parses a sequence of scalars and leaves out invalid items, which are reported.
    pub(crate) fn parse_list<T>(&self) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.items().iter().filter_map(Self::parse).collect()
    }

    fn describe(&self) -> String {
        match &self.yaml.data {
            YamlData::Mapping(_) => "a mapping".to_owned(),
            YamlData::Sequence(_) => "a list".to_owned(),
            _ => match scalar_text(self.yaml) {
                Some(text) => format!("`{text}`"),
                None => "nothing".to_owned(),
            },
        }
    }
}

/// The entries of a mapping, by key.
#[derive(Debug)]
pub(crate) struct Fields<'d> {
    parent: Node<'d>,
    found: BTreeMap<String, Node<'d>>,
}

impl<'d> Fields<'d> {
    pub(crate) fn get(&self, name: &str) -> Option<&Node<'d>> {
        self.found.get(name)
    }

    /// Parses an optional value; `None` if it is absent or invalid.
    pub(crate) fn optional<T>(&self, name: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.get(name).and_then(Node::parse)
    }

    /// Parses a required value; reports an error if it is absent.
    pub(crate) fn required<T>(&self, name: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        if self.get(name).is_none() {
            self.parent.report(format!("the key `{name}` is missing"));
        }
        self.optional(name)
    }

    /// Returns the entries of the mapping at a key; empty if the key is absent.
    pub(crate) fn entries(&self, name: &str) -> Vec<(String, Node<'d>)> {
        self.get(name).map(Node::entries).unwrap_or_default()
    }
}

/// Returns the text of a scalar. Numbers are formatted from their value: `1.10` gives `1.1`.
fn scalar_text(yaml: &MarkedYaml<'_>) -> Option<String> {
    match &yaml.data {
        YamlData::Value(Scalar::String(text)) => Some(text.to_string()),
        YamlData::Value(Scalar::Integer(number)) => Some(number.to_string()),
        YamlData::Value(Scalar::FloatingPoint(number)) => Some(number.to_string()),
        YamlData::Value(Scalar::Boolean(value)) => Some(value.to_string()),
        _ => None,
    }
}
