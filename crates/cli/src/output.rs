//! Prints results as text or JSON.

use crate::cli::OutputFormat;
use serde::Serialize;

/// Prints a value as JSON, or as text formatted by `format_text`.
pub(crate) fn print<T, F>(output: OutputFormat, value: &T, format_text: F)
where
    T: Serialize,
    F: FnOnce(&T) -> String,
{
    match output {
        OutputFormat::Text => print!("{}", format_text(value)),
        OutputFormat::Json => {
            println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
        }
    }
}

/// Formats rows in columns, each as wide as its longest cell.
pub(crate) fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let width = |column: usize| {
        rows.iter().filter_map(|row| row.get(column)).map(String::len).max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        text.push('\n');
    }
    text
}
