//! Pages compared with the code that they speak of.

use std::fs;
use std::path::Path;

use poplarvale_lib::Settings;
use serde_json::{Value, json};

const SETTINGS: &str = include_str!("../../docs/settings.md");
const PROOFS: &str = include_str!("../../docs/proofs.md");

/// Settings with every field there is. `Settings` refuses unknown fields, and the
/// fields of what it writes are added, so this can neither have one too many nor
/// miss one.
fn whole() -> Value {
    let text = json!({
        "zone": "z", "callers": "127.0.0.1:1", "operators": "127.0.0.1:2",
        "peers": "127.0.0.1:3", "credentials": {"operators": "o", "peers": "p"},
        "platform": {"store": "127.0.0.1:4", "cloud": "127.0.0.1:5",
                     "hosts": "127.0.0.1:6", "weights": "127.0.0.1:7"},
        "services": [{"id": "s", "kind": "plain",
            "routes": [{"method": "GET", "path": "/"}],
            "endpoints": [{"id": "e", "zone": "z", "address": "127.0.0.1:8"}]}],
    });
    let settings = Settings::parse(&text.to_string()).expect("they pass");
    let mut whole = serde_json::to_value(settings).expect("they can be written");
    whole["lists"] = json!({"customers": "c", "plans": "p"});
    whole
}

/// Paths of all fields, those of the objects in an array without its index.
fn paths(prefix: &str, value: &Value, into: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let path = if prefix.is_empty() {
                    name.clone()
                } else {
                    format!("{prefix}.{name}")
                };
                into.push(path.clone());
                paths(&path, field, into);
            }
        }
        Value::Array(items) => {
            for item in items {
                paths(prefix, item, into);
            }
        }
        _ => {}
    }
}

/// Rows of a page's tables whose first cell is a name in backticks.
fn rows(page: &str) -> Vec<(&str, &str)> {
    page.lines()
        .filter_map(|line| line.strip_prefix("| `")?.split_once("` |"))
        .collect()
}

#[test]
fn the_page_names_just_the_settings_there_are() {
    let mut fields = Vec::new();
    paths("", &whole(), &mut fields);
    fields.sort();
    fields.dedup();
    let mut named: Vec<&str> = rows(SETTINGS).iter().map(|(name, _)| *name).collect();
    named.sort_unstable();
    assert_eq!(named, fields);
}

/// A bound that the page tells wrong costs an operator a daemon that does not
/// start, or a default nobody meant.
#[test]
fn the_page_tells_the_limits_as_they_are() {
    let whole = whole();
    for (name, rest) in rows(SETTINGS) {
        let Some(limit) = name.strip_prefix("limits.") else {
            continue;
        };
        let cells: Vec<&str> = rest.split('|').map(str::trim).collect();
        let [_, _, default, allowed, _] = cells[..] else {
            panic!("{name}: {cells:?}");
        };
        assert_eq!(whole["limits"][limit].to_string(), default, "{name}");
        assert_eq!(allowed_by_the_check(&whole, limit), allowed, "{name}");
    }
}

/// The bounds as the check itself words them.
fn allowed_by_the_check(whole: &Value, limit: &str) -> String {
    let mut wrong = whole.clone();
    wrong["lists"] = Value::Null;
    wrong["limits"][limit] = json!(u64::MAX);
    let error = Settings::parse(&wrong.to_string()).expect_err("no limit is so large");
    let text = error.to_string();
    let (_, allowed) = text.split_once("allowed is ").expect("it is worded so");
    allowed.to_owned()
}

/// Tests that a page names, as `file::test` in backticks.
fn named_tests(page: &str) -> Vec<(&str, &str)> {
    page.split('`')
        .skip(1)
        .step_by(2)
        .filter(|name| name.starts_with("test_"))
        .filter_map(|name| name.split_once("::"))
        .collect()
}

/// Sources of the test files of this name; two packages may have one each.
fn sources(file: &str) -> Vec<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    ["lib", "daemon", "cli", "platform"]
        .iter()
        .map(|package| root.join(package).join("tests").join(format!("{file}.rs")))
        .filter_map(|path| fs::read_to_string(path).ok())
        .collect()
}

/// Whether a function of this name stands there under a test's attribute.
fn has_test(source: &str, test: &str) -> bool {
    let lines: Vec<&str> = source.lines().map(str::trim).collect();
    let start = format!("fn {test}(");
    let is_it = |line: &&str| line.trim_start_matches("async ").starts_with(&start);
    let Some(at) = lines.iter().position(is_it) else {
        return false;
    };
    let above = lines[..at].iter().rev().take_while(|l| !l.is_empty());
    above
        .take_while(|line| *line != &"}")
        .any(|line| line.starts_with("#[") && line.ends_with("test]"))
}

/// A page that names a test which is gone promises what nothing shows.
#[test]
fn every_test_named_as_a_proof_exists() {
    let named = named_tests(PROOFS);
    assert!(named.len() >= 8, "the page names {} tests", named.len());
    let missing: Vec<_> = named
        .iter()
        .filter(|(file, test)| !sources(file).iter().any(|source| has_test(source, test)))
        .collect();
    assert!(missing.is_empty(), "no such tests: {missing:?}");
}
