//! Rules that published values must satisfy.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Rule that a published value breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Rule {
    /// A value must not exceed one megabyte.
    Size,
    /// A value must be UTF-8 text.
    Utf8,
    /// A value must be YAML or JSON that matches the schema, without unknown or duplicate keys.
    Syntax,
    /// YAML aliases must not expand a value beyond the limit.
    Expansion,
    /// A value must name the sequence under which it is published.
    Sequence,
    /// A name must match the allowed length and characters, and the key it is stored under.
    Name,
    /// A name must not be added twice, nor occur twice in a note or list.
    Unique,
    /// A resource that is changed, withdrawn or referred to must exist.
    Exists,
    /// A withdrawn resource must not be referred to.
    InUse,
    /// An address on a VM must belong to one upstream.
    Address,
    /// A VM must be in one failure domain.
    Domain,
    /// A path must be a plain ASCII prefix that starts with a slash.
    Path,
    /// A combination of host, path and method must belong to one route.
    Overlap,
    /// A number must be within its range.
    Range,
}

impl Rule {
    /// Returns the code of the rule as shown in error messages.
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
