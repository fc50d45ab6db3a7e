//! Baselines of the convergence experiment.

use wagtaillever_node::Policies;

/// Distribution that is measured for comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum ConvergeBaseline {
    /// Every node watches the platform directly.
    AllWatch,
    /// Nodes send each other complete snapshots instead of deltas.
    Snapshots,
    /// Nodes exchange no digests, so lost messages are not repaired.
    NoDigest,
}

impl ConvergeBaseline {
    /// Returns the node policies of the baseline.
    pub(crate) fn policies(self) -> Policies {
        let defaults = Policies::default();
        match self {
            Self::AllWatch => Policies {
                relay: false,
                ..defaults
            },
            Self::Snapshots => Policies {
                delta: false,
                ..defaults
            },
            Self::NoDigest => Policies {
                digest: false,
                ..defaults
            },
        }
    }
}
