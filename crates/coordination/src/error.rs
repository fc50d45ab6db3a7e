//! Errors of the decision layer.

use snafu::Snafu;

use crate::sequence::Sequence;

/// Why a release note is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum NoteError {
    /// The note is larger than the platform holds.
    #[snafu(display("the note has {bytes} bytes; the limit is {limit}"))]
    TooLarge {
        /// Size of the note in bytes.
        bytes: usize,
        /// Highest size in bytes.
        limit: usize,
    },
    /// The note is not UTF-8 text.
    #[snafu(display("the note is not UTF-8 at byte {offset}"))]
    NotUtf8 {
        /// Offset of the first bad byte.
        offset: usize,
    },
    /// The note is not YAML of the expected shape.
    #[snafu(display("line {line}: {reason}"))]
    Syntax {
        /// Line of the fault, counted from 1.
        line: usize,
        /// What was expected.
        reason: String,
    },
    /// The note stands under another sequence number than it names.
    #[snafu(display("the note names sequence {named} but stands under {published}"))]
    WrongSequence {
        /// Sequence in the text.
        named: Sequence,
        /// Sequence of the key.
        published: Sequence,
    },
    /// Something is added that exists already, or named twice in one note.
    #[snafu(display("{kind} {name} is named twice or exists already"))]
    Duplicate {
        /// Kind of the thing.
        kind: &'static str,
        /// Name of the thing.
        name: String,
    },
    /// Something is changed, withdrawn or referred to that does not exist.
    #[snafu(display("{kind} {name}, which {referrer} names, does not exist"))]
    Unknown {
        /// Kind of the thing.
        kind: &'static str,
        /// Name of the thing.
        name: String,
        /// What names it.
        referrer: String,
    },
    /// Something is withdrawn that is still referred to.
    #[snafu(display("{kind} {name} is withdrawn but {referrer} still needs it"))]
    InUse {
        /// Kind of the thing.
        kind: &'static str,
        /// Name of the thing.
        name: String,
        /// What needs it.
        referrer: String,
    },
    /// A value is outside what its field allows.
    #[snafu(display("{owner}: {reason}"))]
    Invalid {
        /// What holds the value.
        owner: String,
        /// Rule that the value breaks.
        reason: String,
    },
}
