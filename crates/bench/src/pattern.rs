//! Response bodies that can be checked against their request at any offset.

use std::hash::{DefaultHasher, Hash, Hasher};

use bytes::Bytes;

/// Body in which each byte is a function of the request and the offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Pattern {
    seed: u64,
}

impl Pattern {
    /// Returns the pattern for a request identifier.
    pub(crate) fn of(request: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        request.hash(&mut hasher);
        Self {
            seed: hasher.finish(),
        }
    }

    /// Returns `length` bytes of the body from an offset.
    pub(crate) fn bytes(self, offset: u64, length: usize) -> Bytes {
        let end = offset + length as u64;
        (offset..end).map(|at| self.byte(at)).collect()
    }

    /// Returns whether a part of a body at an offset matches the request.
    pub(crate) fn matches(self, offset: u64, part: &[u8]) -> bool {
        let mut expected = (offset..).map(|at| self.byte(at));
        part.iter().all(|&byte| expected.next() == Some(byte))
    }

    fn byte(self, at: u64) -> u8 {
        let word = (self.seed ^ (at >> 3)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        word.to_be_bytes()[(at & 7) as usize]
    }
}
