//! `poplarvale explain`: prints all log lines of one request, merged from several daemons' logs.

use std::path::PathBuf;

use serde_json::Value;

use super::read;
use crate::failure::Failure;

/// A log line that belongs to the request.
struct Line {
    time: String,
    file: PathBuf,
    text: String,
}

/// Prints the log lines of a request, ordered by time.
pub(super) fn run(id: &str, files: &[PathBuf]) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for file in files {
        let text = read(file)?;
        let mut is_log = false;
        for line in text.lines() {
            let Ok(value) = serde_json::from_str::<Value>(line) else {
                continue;
            };
            is_log |= value["message"].is_string() && value["timestamp"].is_string();
            if value["kvs"]["request"].as_str() == Some(id) {
                lines.push(to_line(file, &value));
            }
        }
        if !is_log {
            let name = file.display();
            return Err(Failure::Input(format!(
                "{name}: this is no log of a daemon"
            )));
        }
    }
    if lines.is_empty() {
        let hint = "no line speaks of this request; of those that went well only some are logged";
        return Err(Failure::Input(format!("{id}: {hint}")));
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    for line in lines {
        println!("{} {}: {}", line.time, line.file.display(), line.text);
    }
    Ok(())
}

/// Converts a log record to a line; the request id is omitted, since all lines share it.
fn to_line(file: &std::path::Path, value: &Value) -> Line {
    let mut text = value["message"].as_str().unwrap_or("").to_owned();
    if let Some(fields) = value["kvs"].as_object() {
        for (name, field) in fields.iter().filter(|row| row.0 != "request") {
            let field = field
                .as_str()
                .map_or_else(|| field.to_string(), str::to_owned);
            text = format!("{text} {name}={field}");
        }
    }
    Line {
        time: value["timestamp"].as_str().unwrap_or("").to_owned(),
        file: file.into(),
        text,
    }
}
