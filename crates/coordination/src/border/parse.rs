//! Parsing of published text with bounds on its size and expansion.

use serde::de::DeserializeOwned;

use crate::{
    border::{
        MAX_VALUE_BYTES, nesting,
        shape::{self, EXPANDED},
    },
    error::NoteError,
    rule::Rule,
};

/// Message of the YAML library when aliases expand too far.
const REPETITION: &str = "repetition limit exceeded";

/// Parses YAML, with bounds on its size, nesting and expansion and without repeated keys.
///
/// # Errors
///
/// Returns an error that names the line and the rule that the text breaks.
pub fn parse_yaml<T: DeserializeOwned>(text: &[u8]) -> Result<T, NoteError> {
    let text = check_text(text)?;
    if text.trim().is_empty() {
        return Err(NoteError::new(Rule::Syntax, "the value is empty"));
    }
    check_single(text)?;
    nesting::check(text)?;
    shape::check(text)?;
    serde_yaml_ng::from_str(text).map_err(|err| yaml_error(&err))
}

/// Parses JSON.
///
/// # Errors
///
/// Returns an error that names the line and the rule that the text breaks.
pub(crate) fn from_json<T: DeserializeOwned>(text: &[u8]) -> Result<T, NoteError> {
    let text = check_text(text)?;
    serde_json::from_str(text).map_err(|err| {
        let reason = strip_places(&err.to_string());
        NoteError::new(Rule::Syntax, reason).at_line(err.line())
    })
}

/// Checks that a value is text of a size that the platform holds.
///
/// # Errors
///
/// Returns an error that names the line and the rule that the text breaks.
pub(crate) fn check_text(text: &[u8]) -> Result<&str, NoteError> {
    let bytes = text.len();
    if bytes > MAX_VALUE_BYTES {
        let reason = format!("the value has {bytes} bytes; the limit is {MAX_VALUE_BYTES}");
        return Err(NoteError::new(Rule::Size, reason));
    }
    std::str::from_utf8(text).map_err(|err| {
        let offset = err.valid_up_to();
        let line = 1 + text[..offset].iter().filter(|&&byte| byte == b'\n').count();
        let reason = format!("byte {offset} is not part of UTF-8 text");
        NoteError::new(Rule::Utf8, reason).at_line(line)
    })
}

/// Refuses a second document, for which the YAML library tells no line.
fn check_single(text: &str) -> Result<(), NoteError> {
    let mut has_content = false;
    for (index, line) in text.lines().enumerate() {
        let is_marker = line == "---" || line.starts_with("--- ");
        if is_marker && has_content {
            let reason = "a value holds one document, not more";
            return Err(NoteError::new(Rule::Syntax, reason).at_line(index + 1));
        }
        has_content |= is_marker || !(line.trim().is_empty() || line.starts_with('#'));
    }
    Ok(())
}

/// Converts an error of the YAML library.
pub(super) fn yaml_error(err: &serde_yaml_ng::Error) -> NoteError {
    let line = err.location().map_or(0, |place| place.line());
    let reason = strip_places(&err.to_string());
    let is_expansion = reason.contains(EXPANDED) || reason.contains(REPETITION);
    let rule = if is_expansion {
        Rule::Expansion
    } else {
        Rule::Syntax
    };
    NoteError::new(rule, reason).at_line(line)
}

/// Removes the places from a library's message, as the line is stated apart.
fn strip_places(message: &str) -> String {
    let mut parts = message.split(" at line ");
    let mut text = parts.next().unwrap_or_default().to_string();
    let is_place = |c: char| c.is_ascii_digit() || " column".contains(c);
    for part in parts {
        text.push_str(part.trim_start_matches(is_place));
    }
    text
}
