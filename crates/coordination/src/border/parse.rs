//! Parsers for published values that limit size, nesting and alias expansion.

use serde::de::DeserializeOwned;

use crate::{
    border::{
        MAX_VALUE_BYTES, nesting,
        shape::{self, EXPANSION_MESSAGE},
    },
    error::NoteError,
    rule::Rule,
};

/// Error message of `serde_yaml_ng` when aliases expand too far.
const REPETITION_MESSAGE: &str = "repetition limit exceeded";

/// Parses YAML; limits size, nesting and alias expansion, and rejects duplicate keys.
///
/// # Errors
///
/// Returns the rule that the text breaks, with the line if it is known.
pub fn parse_yaml<T: DeserializeOwned>(text: &[u8]) -> Result<T, NoteError> {
    let text = check_text(text)?;
    if text.trim().is_empty() {
        return Err(NoteError::new(Rule::Syntax, "the value is empty"));
    }
    check_single_document(text)?;
    nesting::check(text)?;
    shape::check(text)?;
    serde_yaml_ng::from_str(text).map_err(|err| yaml_error(&err))
}

/// Parses JSON.
///
/// # Errors
///
/// Returns the rule that the text breaks, with the line if it is known.
pub(crate) fn from_json<T: DeserializeOwned>(text: &[u8]) -> Result<T, NoteError> {
    let text = check_text(text)?;
    serde_json::from_str(text).map_err(|err| {
        let reason = strip_positions(&err.to_string());
        NoteError::new(Rule::Syntax, reason).with_line(err.line())
    })
}

/// Checks that a value is UTF-8 text within the size limit.
///
/// # Errors
///
/// Returns the rule that the text breaks, with the line if it is known.
pub(crate) fn check_text(text: &[u8]) -> Result<&str, NoteError> {
    let bytes = text.len();
    if bytes > MAX_VALUE_BYTES {
        let reason = format!("the value has {bytes} bytes; the limit is {MAX_VALUE_BYTES}");
        return Err(NoteError::new(Rule::Size, reason));
    }
    std::str::from_utf8(text).map_err(|err| {
        let offset = err.valid_up_to();
        let line = 1 + text[..offset].iter().filter(|&&byte| byte == b'\n').count();
        let reason = format!("invalid UTF-8 at byte {offset}");
        NoteError::new(Rule::Utf8, reason).with_line(line)
    })
}

/// Rejects a second document, for which `serde_yaml_ng` reports no line.
fn check_single_document(text: &str) -> Result<(), NoteError> {
    let mut has_content = false;
    for (index, line) in text.lines().enumerate() {
        let is_marker = line == "---" || line.starts_with("--- ");
        if is_marker && has_content {
            let reason = "the value holds more than one document";
            return Err(NoteError::new(Rule::Syntax, reason).with_line(index + 1));
        }
        has_content |= is_marker || !(line.trim().is_empty() || line.starts_with('#'));
    }
    Ok(())
}

/// Converts an error of `serde_yaml_ng`.
pub(super) fn yaml_error(err: &serde_yaml_ng::Error) -> NoteError {
    let line = err.location().map_or(0, |position| position.line());
    let reason = strip_positions(&err.to_string());
    let is_expansion = reason.contains(EXPANSION_MESSAGE) || reason.contains(REPETITION_MESSAGE);
    let rule = if is_expansion {
        Rule::Expansion
    } else {
        Rule::Syntax
    };
    NoteError::new(rule, reason).with_line(line)
}

/// Removes the positions from a library's error message, as the line is reported separately.
fn strip_positions(message: &str) -> String {
    let mut parts = message.split(" at line ");
    let mut text = parts.next().unwrap_or_default().to_string();
    let is_position = |c: char| c.is_ascii_digit() || " column".contains(c);
    for part in parts {
        text.push_str(part.trim_start_matches(is_position));
    }
    text
}
