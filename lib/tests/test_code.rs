//! Checks that result codes are unique and that the page of errors lists them.

use poplarvale_lib::Code;

const PAGE: &str = include_str!("../../docs/errors.md");

#[test]
fn the_page_lists_exactly_the_existing_codes() {
    let row = |code: &Code| {
        format!(
            "| {} | {} | {} |",
            code.number(),
            code.status(),
            code.title()
        )
    };
    let mut expected: Vec<String> = Code::ALL.iter().map(row).collect();
    expected.sort();
    let rows = PAGE
        .lines()
        .filter(|line| line.starts_with("| ") && line.contains("| "));
    let numbered = |line: &&str| line[2..].starts_with(|c: char| c.is_ascii_digit());
    let mut found: Vec<String> = rows.filter(numbered).map(without_advice).collect();
    found.sort();
    assert_eq!(found, expected);
}

/// A row of the page without its last column, the advice.
fn without_advice(line: &str) -> String {
    let cells: Vec<&str> = line.split('|').collect();
    format!("{}|", cells[..4].join("|"))
}

#[test]
fn numbers_and_titles_are_unique() {
    let mut numbers: Vec<u32> = Code::ALL.iter().map(|code| code.number()).collect();
    numbers.sort_unstable();
    numbers.dedup();
    assert_eq!(numbers.len(), Code::ALL.len());
    let mut titles: Vec<&str> = Code::ALL.iter().map(|code| code.title()).collect();
    titles.sort_unstable();
    titles.dedup();
    assert_eq!(titles.len(), Code::ALL.len());
}
