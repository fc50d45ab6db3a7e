//! Where a replica learned of a change.

use std::fmt;

use crate::name::VmName;

/// Where a replica learned of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// This node read it from the platform.
    Platform,
    /// An operator sent it to this node.
    Operator,
    /// A neighbour sent it.
    Neighbour(VmName),
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform => f.write_str("platform"),
            Self::Operator => f.write_str("operator"),
            Self::Neighbour(vm) => f.write_str(vm.as_str()),
        }
    }
}
