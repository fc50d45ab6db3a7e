//! Errors of the node as a whole.

use snafu::Snafu;

use crate::kernel::{RegistryError, StartError};

/// Why a node can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// A service could not start.
    #[snafu(display("service {service} could not start: {source}"))]
    Start {
        /// Name of the service.
        service: &'static str,
        /// Cause.
        source: StartError,
    },
    /// A service that is needed is not there.
    #[snafu(display("{source}"), context(false))]
    Registry {
        /// Cause.
        source: RegistryError,
    },
}
