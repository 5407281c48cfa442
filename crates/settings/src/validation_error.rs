//! Errors found while validating settings, each with its position.

use std::{error::Error, fmt};

/// One invalid value with its position; the message says what would be valid.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ValidationError {
    /// File name.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Path of keys from the root of the document, `(document)` for the document as a whole, or
    /// `(syntax)` for a syntax error.
    pub path: String,
    /// What is wrong with the value and what would be valid.
    pub message: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}: {}", self.file, self.line, self.path, self.message)
    }
}

/// All errors of one or more documents; those of a single document are sorted by line.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ValidationErrors(pub Vec<ValidationError>);

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl Error for ValidationErrors {}
