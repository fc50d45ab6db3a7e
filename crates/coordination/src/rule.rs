//! Rules that published values are held to.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Rule that a published value breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Rule {
    /// A value has at most a megabyte.
    Size,
    /// A value is UTF-8 text.
    Utf8,
    /// A value is YAML or JSON of the expected shape, without unknown or repeated keys.
    Syntax,
    /// Aliases don't blow a value up.
    Expansion,
    /// A note names the sequence number under which it stands.
    Sequence,
    /// A name is short and plain.
    Name,
    /// A thing is added once and named once in a note.
    Unique,
    /// What is changed, withdrawn or referred to exists.
    Exists,
    /// What is withdrawn is no longer referred to.
    InUse,
    /// An address on a VM belongs to one upstream.
    Address,
    /// A VM lies in one failure domain.
    Domain,
    /// A path is a plain prefix that starts with a slash.
    Path,
    /// A path and method belong to one route.
    Overlap,
    /// A number is within its range.
    Range,
}

impl Rule {
    /// Returns the code under which operators find the rule.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::Size => "size",
            Self::Utf8 => "utf8",
            Self::Syntax => "syntax",
            Self::Expansion => "expansion",
            Self::Sequence => "sequence",
            Self::Name => "name",
            Self::Unique => "unique",
            Self::Exists => "exists",
            Self::InUse => "in-use",
            Self::Address => "address",
            Self::Domain => "domain",
            Self::Path => "path",
            Self::Overlap => "overlap",
            Self::Range => "range",
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}
