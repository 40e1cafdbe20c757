use std::io::Write;

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use serde::Serialize;
use serde_json::Value;

/// Prints a line; a closed pipe ends the output without an error, as usual for command line tools.
pub(crate) fn line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints a value as indented JSON.
pub(crate) fn json(value: &impl Serialize) {
    if let Ok(text) = serde_json::to_string_pretty(value) {
        line(&text);
    }
}

/// Prints rows of objects as a table with these columns; nested values are shown as JSON.
pub(crate) fn table(rows: &[Value], columns: &[&str]) {
    let mut table = Table::new();
    table
        .load_preset(NOTHING)
        .set_header(columns.iter().map(|column| column.to_uppercase()));
    for row in rows {
        table.add_row(columns.iter().map(|column| cell(&row[*column])));
    }
    line(&table.trim_fmt());
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
