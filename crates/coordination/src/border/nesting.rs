//! Bound on the nesting of a YAML text, checked before the YAML library sees it.
//!
//! The library needs time that grows with the square of the nesting, so a deep
//! text must be refused without it. The scan follows quotes, comments and block
//! scalars, and takes brackets for what they are elsewhere.

use crate::{error::NoteError, rule::Rule};

/// Deepest nesting of brackets, and of block entries that start on one line.
const MAX_DEPTH: usize = 32;

/// Brackets that may stand in quotes, comments and block scalars, where the scan
/// could be misled.
const MAX_HIDDEN: usize = 1000;

/// Refuses a text that nests too deeply.
///
/// # Errors
///
/// Returns an error with the line on which the nesting goes too deep.
pub(super) fn check(text: &str) -> Result<(), NoteError> {
    let mut scan = Scan::default();
    for (index, line) in text.lines().enumerate() {
        scan.line(line);
        if scan.deepest > MAX_DEPTH {
            let reason = format!("values nest more than {MAX_DEPTH} levels deep");
            return Err(NoteError::new(Rule::Syntax, reason).at_line(index + 1));
        }
    }
    let brackets = text.matches(['[', '{']).count();
    if brackets - scan.opened > MAX_HIDDEN {
        let reason = format!("more than {MAX_HIDDEN} brackets stand in quotes and comments");
        return Err(NoteError::new(Rule::Syntax, reason));
    }
    Ok(())
}

/// State of the scan between two lines.
#[derive(Default)]
struct Scan {
    /// Brackets that are open.
    depth: usize,
    /// Brackets that were opened so far.
    opened: usize,
    /// Deepest nesting so far.
    deepest: usize,
    /// Quote that is open.
    quote: Option<char>,
    /// Indentation of the entry that holds the block scalar being read.
    scalar: Option<usize>,
}

impl Scan {
    fn line(&mut self, line: &str) {
        let indent = line.len() - line.trim_start_matches(' ').len();
        if let Some(parent) = self.scalar {
            if line.trim().is_empty() || indent > parent {
                return;
            }
            self.scalar = None;
        }
        if self.quote.is_none() && self.depth == 0 {
            let (entries, column) = block_entries(line);
            self.deepest = self.deepest.max(entries);
            if opens_scalar(line) {
                self.scalar = Some(column);
            }
        }
        self.tokens(line);
    }

    fn tokens(&mut self, line: &str) {
        let mut starts = true;
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
                        starts = true;
                    }
                    _ => {}
                }
                continue;
            }
            match c {
                '#' if starts => return,
                '"' | '\'' if starts => self.quote = Some(c),
                '[' | '{' if starts || self.depth > 0 => self.open(),
                ']' | '}' => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
            starts = match c {
                ' ' | '\t' | '[' | '{' | ',' | ']' | '}' => true,
                ':' => starts,
                _ => false,
            };
        }
    }

    fn open(&mut self) {
        self.depth += 1;
        self.opened += 1;
        self.deepest = self.deepest.max(self.depth);
    }
}

/// Returns how many entries of block lists and maps start at the head of a line,
/// and the column of the last one.
fn block_entries(line: &str) -> (usize, usize) {
    let mut count = 0;
    let mut column = 0;
    for (at, c) in line.char_indices() {
        let is_indicator = matches!(c, '-' | '?' | ':');
        let ends = line[at + c.len_utf8()..].chars().next();
        match c {
            ' ' | '\t' => {}
            _ if is_indicator && ends.is_none_or(char::is_whitespace) => {
                count += 1;
                column = at;
            }
            _ => {
                let is_key = line[at..].contains(": ") || line.ends_with(':');
                return (count, if is_key { at } else { column });
            }
        }
    }
    (count, column)
}

/// Tells whether a line ends with the head of a block scalar.
fn opens_scalar(line: &str) -> bool {
    let line = line.split(" #").next().unwrap_or(line).trim_end();
    let head = line.rsplit([' ', '\t']).next().unwrap_or(line);
    let Some(rest) = head.strip_prefix(['|', '>']) else {
        return false;
    };
    rest.chars().all(|c| matches!(c, '+' | '-' | '1'..='9'))
}
