//! Limits the nesting depth of a YAML document before `serde_yaml_ng` parses it.
//!
//! The parser's run time grows with the square of the nesting depth, so deep documents must be
//! rejected beforehand. The scan tracks quotes, comments and block scalars, and counts brackets
//! outside of them.

use crate::{error::NoteError, rule::Rule};

/// Maximum nesting of brackets, and of block entries that start on one line.
const MAX_DEPTH: usize = 32;

/// Maximum number of brackets that the scan attributes to quotes, comments and block scalars.
///
/// Limits the nesting that gets past the scan if it misjudges where these end.
const MAX_SKIPPED: usize = 1000;

/// Rejects a document that is nested too deeply.
///
/// # Errors
///
/// Returns an error with the line that exceeds the limit.
pub(super) fn check(text: &str) -> Result<(), NoteError> {
    let mut scanner = Scanner::default();
    for (index, line) in text.lines().enumerate() {
        scanner.scan_line(line);
        if scanner.max_depth > MAX_DEPTH {
            let reason = format!("values nest more than {MAX_DEPTH} levels deep");
            return Err(NoteError::new(Rule::Syntax, reason).with_line(index + 1));
        }
    }
    let brackets = text.matches(['[', '{']).count();
    if brackets - scanner.opened > MAX_SKIPPED {
        let reason =
            format!("more than {MAX_SKIPPED} brackets in quotes, comments and block scalars");
        return Err(NoteError::new(Rule::Syntax, reason));
    }
    Ok(())
}

/// Scanner state carried from line to line.
#[derive(Default)]
struct Scanner {
    /// Number of open brackets.
    depth: usize,
    /// Number of brackets opened so far.
    opened: usize,
    /// Maximum nesting depth so far.
    max_depth: usize,
    /// Delimiter of the open quote.
    quote: Option<char>,
    /// Indentation of the entry that holds the current block scalar.
    scalar_indent: Option<usize>,
}

impl Scanner {
    fn scan_line(&mut self, line: &str) {
        let indent = line.len() - line.trim_start_matches(' ').len();
        if let Some(parent) = self.scalar_indent {
            if line.trim().is_empty() || indent > parent {
                return;
            }
            self.scalar_indent = None;
        }
        if self.quote.is_none() && self.depth == 0 {
            let (entries, column) = block_entries(line);
            self.max_depth = self.max_depth.max(entries);
            if has_scalar_header(line) {
                self.scalar_indent = Some(column);
            }
        }
        self.scan_tokens(line);
    }

    fn scan_tokens(&mut self, line: &str) {
        let mut can_start = true;
        let mut chars = line.chars().peekable();
        while let Some(c) = chars.next() {
            if let Some(quote) = self.quote {
                match c {
                    '\\' if quote == '"' => {
                        chars.next();
                    }
                    '\'' if quote == '\'' && chars.peek() == Some(&'\'') => {
                        chars.next();
                    }
                    _ if c == quote => {
                        self.quote = None;
                        can_start = true;
                    }
                    _ => {}
                }
                continue;
            }
            match c {
                '#' if can_start => return,
                '"' | '\'' if can_start => self.quote = Some(c),
                '[' | '{' if can_start || self.depth > 0 => self.open(),
                ']' | '}' => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
            can_start = match c {
                ' ' | '\t' | '[' | '{' | ',' | ']' | '}' => true,
                ':' => can_start,
                _ => false,
            };
        }
    }

    fn open(&mut self) {
        self.depth += 1;
        self.opened += 1;
        self.max_depth = self.max_depth.max(self.depth);
    }
}

/// Returns the number of block list and map entries that start at the beginning of a line, and the
/// column of the last one.
fn block_entries(line: &str) -> (usize, usize) {
    let mut count = 0;
    let mut column = 0;
    for (index, c) in line.char_indices() {
        let is_indicator = matches!(c, '-' | '?' | ':');
        let next = line[index + c.len_utf8()..].chars().next();
        match c {
            ' ' | '\t' => {}
            _ if is_indicator && next.is_none_or(char::is_whitespace) => {
                count += 1;
                column = index;
            }
            _ => {
                let is_key = line[index..].contains(": ") || line.ends_with(':');
                return (count, if is_key { index } else { column });
            }
        }
    }
    (count, column)
}

/// Returns whether a line ends with a block scalar header.
fn has_scalar_header(line: &str) -> bool {
    let line = line.split(" #").next().unwrap_or(line).trim_end();
    let header = line.rsplit([' ', '\t']).next().unwrap_or(line);
    let Some(rest) = header.strip_prefix(['|', '>']) else {
        return false;
    };
    rest.chars().all(|c| matches!(c, '+' | '-' | '1'..='9'))
}
