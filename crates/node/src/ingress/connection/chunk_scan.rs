//! Check of the framing of a chunked body before it is decoded.
//!
//! The decoder of the codec takes a bare LF behind the last chunk for the start of trailers, where
//! other parsers see the end of the body.

#[cfg(test)]
mod tests;

/// Longest line with the size of a chunk and its extensions, which are ignored.
const MAX_SIZE_LINE_BYTES: usize = 1 << 10;
/// Longest trailers, which are ignored.
const MAX_TRAILER_BYTES: usize = 8 << 10;
/// Hexadecimal digits of the largest chunk, which fits into 60 bits.
const MAX_SIZE_DIGITS: usize = 15;

/// The framing of a chunked body is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct InvalidChunk;

/// Where the check is within a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// In the size of a chunk.
    Size { size: u64, digits: usize },
    /// In the extensions of a chunk.
    Extension { size: u64 },
    /// In the data of a chunk.
    Data { left: u64 },
    /// Behind the data of a chunk.
    DataEnd,
    /// In the trailers.
    Trailer { is_line_empty: bool },
    /// Behind the body.
    End,
}

/// Checks the framing of one chunked body, each byte once.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChunkScan {
    place: Place,
    /// Whether the last byte was a CR.
    has_cr: bool,
    /// Bytes of the current line, or of all trailers.
    line_bytes: usize,
}

impl ChunkScan {
    pub(super) fn new() -> Self {
        Self {
            place: Place::START_OF_SIZE,
            has_cr: false,
            line_bytes: 0,
        }
    }

    /// Checks the next bytes of the connection, up to the end of the body at most.
    ///
    /// # Errors
    ///
    /// Returns an error if the framing is invalid.
    pub(super) fn check(&mut self, mut bytes: &[u8]) -> Result<(), InvalidChunk> {
        while let Some((byte, rest)) = bytes.split_first() {
            match &mut self.place {
                Place::End => return Ok(()),
                Place::Data { left } => {
                    let count = usize::try_from(*left)
                        .unwrap_or(usize::MAX)
                        .min(bytes.len());
                    *left -= count as u64;
                    if *left == 0 {
                        self.place = Place::DataEnd;
                    }
                    bytes = &bytes[count..];
                }
                _ => {
                    self.check_line_byte(*byte)?;
                    bytes = rest;
                }
            }
        }
        Ok(())
    }

    fn check_line_byte(&mut self, byte: u8) -> Result<(), InvalidChunk> {
        self.line_bytes += 1;
        let max_bytes = match self.place {
            Place::Trailer { .. } => MAX_TRAILER_BYTES,
            _ => MAX_SIZE_LINE_BYTES,
        };
        if self.line_bytes > max_bytes {
            return Err(InvalidChunk);
        }
        match (std::mem::replace(&mut self.has_cr, byte == b'\r'), byte) {
            (true, b'\n') => self.end_line(),
            (false, b'\r') => Ok(()),
            (true, _) | (false, b'\n') => Err(InvalidChunk),
            (false, byte) => self.check_text(byte),
        }
    }

    fn check_text(&mut self, byte: u8) -> Result<(), InvalidChunk> {
        self.place = match self.place {
            Place::Size { size, digits }
                if digits < MAX_SIZE_DIGITS && byte.is_ascii_hexdigit() =>
            {
                let digit = char::from(byte).to_digit(16).ok_or(InvalidChunk)?;
                Place::Size {
                    size: size << 4 | u64::from(digit),
                    digits: digits + 1,
                }
            }
            Place::Size { size, digits } if digits > 0 && matches!(byte, b';' | b' ' | b'\t') => {
                Place::Extension { size }
            }
            Place::Extension { size } => Place::Extension { size },
            Place::Trailer { is_line_empty } => {
                // A folded line, as in the head.
                if is_line_empty && matches!(byte, b' ' | b'\t') {
                    return Err(InvalidChunk);
                }
                Place::Trailer {
                    is_line_empty: false,
                }
            }
            _ => return Err(InvalidChunk),
        };
        Ok(())
    }

    fn end_line(&mut self) -> Result<(), InvalidChunk> {
        let first_trailer = Place::Trailer {
            is_line_empty: true,
        };
        self.place = match self.place {
            Place::Size { digits: 0, .. } => return Err(InvalidChunk),
            Place::Size { size: 0, .. } | Place::Extension { size: 0 } => first_trailer,
            Place::Size { size, .. } | Place::Extension { size } => Place::Data { left: size },
            Place::DataEnd => Place::START_OF_SIZE,
            // The bytes of all trailers count together.
            Place::Trailer {
                is_line_empty: false,
            } => {
                self.place = first_trailer;
                return Ok(());
            }
            Place::Trailer {
                is_line_empty: true,
            }
            | Place::Data { .. }
            | Place::End => Place::End,
        };
        self.line_bytes = 0;
        Ok(())
    }
}

impl Place {
    const START_OF_SIZE: Self = Self::Size { size: 0, digits: 0 };
}
