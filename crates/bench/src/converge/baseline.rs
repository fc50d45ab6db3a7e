//! What is measured in place of the system's own distribution.

use wagtaillever_node::Policies;

/// What is measured in place of the system's own distribution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum ConvergeBaseline {
    /// Every node watches the platform itself.
    AllWatch,
    /// Nodes send each other whole snapshots.
    Snapshots,
    /// Nothing repairs what was lost between nodes.
    NoDigest,
}

impl ConvergeBaseline {
    /// Returns the policies of the nodes.
    pub(crate) fn policies(self) -> Policies {
        let all = Policies::default();
        match self {
            Self::AllWatch => Policies {
                relay: false,
                ..all
            },
            Self::Snapshots => Policies {
                delta: false,
                ..all
            },
            Self::NoDigest => Policies {
                digest: false,
                ..all
            },
        }
    }
}
