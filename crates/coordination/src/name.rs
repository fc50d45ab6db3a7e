//! Name types, which are immutable and cheap to clone.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Returns whether a text is a valid name: 1 to 63 lower-case letters, digits, dashes, dots or
/// underscores.
#[must_use]
pub fn is_name(text: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_plain)
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }
    };
}

name_type!(
    /// Name of a VM.
    VmName
);
name_type!(
    /// Name of a failure domain.
    DomainName
);
name_type!(
    /// Name of a region.
    RegionName
);
name_type!(
    /// Name of an organisation.
    OrganisationName
);
name_type!(
    /// Name of a service.
    ServiceName
);
name_type!(
    /// Name of a route.
    RouteName
);
name_type!(
    /// Name of an upstream.
    UpstreamName
);
