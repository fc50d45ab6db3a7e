//! Check of the line ends of a request head before it is parsed.
//!
//! The parser of the codec accepts some line ends that other parsers take differently. A request
//! whose limits are in doubt could carry a second one past a check ("request smuggling"), so it is
//! refused.

#[cfg(test)]
mod tests;

/// Most empty lines that are ignored before a request.
pub(super) const MAX_EMPTY_LINES: usize = 4;

/// Why the head of a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeadError {
    /// A line does not end in CR LF, or continues the one before it.
    Malformed,
    /// The head is longer than the limit.
    TooLarge,
    /// More than [`MAX_EMPTY_LINES`] empty lines precede the request.
    TooManyEmptyLines,
}

/// Position up to which a head was checked, so that each byte is looked at once.
#[derive(Debug, Default)]
pub(super) struct HeadScan {
    line_start: usize,
    scanned: usize,
    empty_lines: usize,
}

impl HeadScan {
    /// Continues the check of a head that starts at the start of `bytes` and returns its length once
    /// it is complete. Bytes that were checked before must be the same.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is to be refused.
    pub(super) fn advance(
        &mut self,
        bytes: &[u8],
        max_bytes: usize,
    ) -> Result<Option<usize>, HeadError> {
        while let Some(offset) = bytes[self.scanned..].iter().position(|b| *b == b'\n') {
            let end = self.scanned + offset;
            let line = &bytes[self.line_start..end];
            let Some((b'\r', line)) = line.split_last() else {
                return Err(HeadError::Malformed);
            };
            let is_first = self.line_start == 0;
            let is_folded = !is_first && matches!(line.first(), Some(b' ' | b'\t'));
            if is_folded || line.contains(&b'\r') {
                return Err(HeadError::Malformed);
            }
            self.scanned = end + 1;
            self.line_start = end + 1;
            if end >= max_bytes {
                return Err(HeadError::TooLarge);
            }
            if line.is_empty() {
                return Ok(Some(end + 1));
            }
        }
        self.scanned = bytes.len();
        // A CR is complete only with the byte behind it.
        let rest = &bytes[self.line_start..];
        let rest = rest.strip_suffix(b"\r").unwrap_or(rest);
        if rest.contains(&b'\r') {
            return Err(HeadError::Malformed);
        }
        if bytes.len() > max_bytes {
            return Err(HeadError::TooLarge);
        }
        Ok(None)
    }

    /// Counts an empty line before the request.
    ///
    /// # Errors
    ///
    /// Returns an error if there are too many.
    pub(super) fn count_empty_line(&mut self) -> Result<(), HeadError> {
        self.line_start = 0;
        self.scanned = 0;
        self.empty_lines += 1;
        if self.empty_lines > MAX_EMPTY_LINES {
            return Err(HeadError::TooManyEmptyLines);
        }
        Ok(())
    }

    /// Starts with the next head.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }
}
