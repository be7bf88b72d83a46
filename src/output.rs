//! Output formatting: JSON or tables.

use std::fmt::Write;

use lycheelatch_config::{Action, ChangeRecord, ObjectChange, Timestamp};
use lycheelatch_operator::Problem;
use serde::Serialize;
use serde_json::Value;
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

use crate::Code;

/// Output and exit code of one invocation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Output {
    /// Text for the standard output.
    pub stdout: String,
    /// Text for the standard error.
    pub stderr: String,
    /// Exit code.
    pub code: Code,
}

impl Output {
    /// Creates the output of a successful invocation.
    pub(crate) fn success(stdout: String) -> Output {
        Output { stdout, stderr: String::new(), code: Code::Done }
    }
}

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    Json,
    Table,
}

impl Format {
    /// Formats `response` as JSON, or with `table`.
    pub(crate) fn render<T: Serialize>(
        self,
        response: &T,
        table: impl FnOnce(&T) -> String,
    ) -> String {
        match self {
            Format::Table => table(response),
            Format::Json => {
                let json = serde_json::to_string_pretty(response);
                let json = json.expect("response types are serializable");
                format!("{json}\n")
            }
        }
    }
}

/// Text table with aligned columns.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(header: &[&str]) -> Table {
        Table { rows: vec![header.iter().map(|text| (*text).to_owned()).collect()] }
    }

    pub(crate) fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    pub(crate) fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let line: Vec<String> = cells.map(|(cell, width)| format!("{cell:<width$}")).collect();
            text.push_str(line.join("  ").trim_end());
            text.push('\n');
        }
        text
    }
}

/// Formats a timestamp in UTC as RFC 3339, with a resolution of one second.
pub(crate) fn format_timestamp(at: Timestamp) -> String {
    let seconds = i64::try_from(at.0 / 1000).unwrap_or(0);
    let date_time = OffsetDateTime::from_unix_timestamp(seconds).ok();
    date_time
        .and_then(|date_time| date_time.format(&Rfc3339).ok())
        .unwrap_or_else(|| at.0.to_string())
}

/// Formats changes, with one line for each added or removed object and each changed field.
pub(crate) fn format_changes(changes: &[ObjectChange]) -> String {
    let mut text = String::new();
    for change in changes {
        let object = &change.object;
        match change.action() {
            Action::Add => _ = writeln!(text, "+ {object}"),
            Action::Remove => _ = writeln!(text, "- {object}"),
            Action::Replace => {
                let null = Value::Null;
                let before = change.before.as_ref().unwrap_or(&null);
                let after = change.after.as_ref().unwrap_or(&null);
                write_field_changes(&object.to_string(), before, after, &mut text);
            }
        }
    }
    text
}

fn write_field_changes(path: &str, before: &Value, after: &Value, text: &mut String) {
    if before == after {
        return;
    }
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        _ = writeln!(text, "~ {path}: {before} -> {after}");
        return;
    };
    let null = Value::Null;
    let added = new.keys().filter(|key| !old.contains_key(*key));
    for key in old.keys().chain(added) {
        let before = old.get(key).unwrap_or(&null);
        let after = new.get(key).unwrap_or(&null);
        write_field_changes(&format!("{path}.{key}"), before, after, text);
    }
}

/// Formats an audit record and its changes.
pub(crate) fn format_record(record: &ChangeRecord) -> String {
    let ChangeRecord { revision, id, author, at, changes } = record;
    let lines = format_changes(changes);
    let mut text = format!("revision {revision}  {}  {author}  {id}\n", format_timestamp(*at));
    for line in lines.lines() {
        _ = writeln!(text, "  {line}");
    }
    text
}

/// Formats a problem's field errors, conflicting changes and change id.
pub(crate) fn format_problem_details(problem: &Problem) -> String {
    let mut text = String::new();
    for err in &problem.errors {
        _ = writeln!(text, "  {} \"{}\": {}", err.field, err.value, err.reason);
    }
    if let Some(conflict) = &problem.conflict {
        text.push_str("what changed in between, newest first:\n");
        conflict.between.iter().for_each(|record| text.push_str(&format_record(record)));
    }
    if let Some(id) = problem.change_id {
        _ = writeln!(text, "  change id: {id}");
    }
    text
}
