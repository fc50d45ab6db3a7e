//! Finds the line of a note that an error message refers to.

use crate::error::{Kind, Subject};

/// Returns the line, counted from 1, of the first subject that the text names.
///
/// If a subject is named more than once, its last line counts. If no subject is named, the line of
/// the first matching section is returned.
pub(crate) fn find_line(text: &str, subjects: &[Subject]) -> Option<usize> {
    let found = subjects.iter().find_map(|subject| find_name(text, subject));
    found.or_else(|| {
        let kinds = subjects.iter().map(|subject| subject.kind);
        kinds.into_iter().find_map(|kind| find_section(text, kind))
    })
}

/// Returns the line of the second occurrence of a key in the map that starts on line `start`.
///
/// Only keys in the same column are compared, so that keys of nested maps do not match.
pub(crate) fn find_duplicate_key(text: &str, start: usize, key: &str) -> Option<usize> {
    let lines = text.lines().enumerate().skip(start.saturating_sub(1));
    let mut columns = lines.filter_map(|(index, line)| Some((index, key_column(line, key)?)));
    let (_, column) = columns.next()?;
    let (index, _) = columns.find(|(_, other)| *other == column)?;
    Some(index + 1)
}

/// Returns the column of a key at the start of a line, after list markers.
fn key_column(line: &str, key: &str) -> Option<usize> {
    let head = line.trim_start_matches([' ', '-']);
    let rest = head.trim_start_matches(['"', '\'']).strip_prefix(key)?;
    let rest = rest.trim_start_matches(['"', '\'']).trim_start();
    rest.starts_with(':').then_some(line.len() - head.len())
}

fn find_name(text: &str, subject: &Subject) -> Option<usize> {
    let mut section = "";
    let mut found = None;
    for (index, line) in text.lines().enumerate() {
        if let Some(key) = top_level_key(line) {
            section = key;
        }
        if section == subject.kind.section() && has_name(line, &subject.name) {
            found = Some(index + 1);
        }
    }
    found
}

fn find_section(text: &str, kind: Kind) -> Option<usize> {
    let mut lines = text.lines();
    let index = lines.position(|line| top_level_key(line) == Some(kind.section()))?;
    Some(index + 1)
}

fn top_level_key(line: &str) -> Option<&str> {
    let first = line.chars().next()?;
    if first.is_whitespace() || matches!(first, '#' | '-') {
        return None;
    }
    let (key, _) = line.split_once(':')?;
    Some(key.trim_matches(|c: char| c.is_whitespace() || "\"'{".contains(c)))
}

/// Returns whether a line holds the name as a list item or as the value of the key `name`.
fn has_name(line: &str, name: &str) -> bool {
    let line = line.split(" #").next().unwrap_or(line).trim();
    let item = line.strip_prefix('-').map(str::trim);
    if item.is_some_and(|item| unquoted(item) == name) {
        return true;
    }
    line.match_indices("name").any(|(at, key)| {
        let rest = line[at + key.len()..].trim_start_matches(['"', '\'']);
        let value = rest.trim_start().strip_prefix(':');
        value.is_some_and(|value| unquoted(first_scalar(value)) == name)
    }) || flow_items(line).any(|item| item == name)
}

fn first_scalar(value: &str) -> &str {
    value.split([',', '}']).next().unwrap_or(value).trim()
}

/// Iterates over the items of a flow sequence (`[a, b]`) on the line.
fn flow_items(line: &str) -> impl Iterator<Item = &str> {
    let list = line.split_once('[').map(|(_, rest)| rest);
    let list = list.map(|rest| rest.split(']').next().unwrap_or(rest));
    list.unwrap_or_default().split(',').map(unquoted)
}

fn unquoted(text: &str) -> &str {
    text.trim().trim_matches(['"', '\''])
}
