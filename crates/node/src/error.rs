//! Errors that end the node.

use snafu::Snafu;

use crate::kernel::{RegistryError, StartError};

/// Error that prevents the node from running.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// A service could not start.
    #[snafu(display("service {service} could not start: {source}"))]
    Start {
        /// Name of the service.
        service: &'static str,
        /// Cause of the failure.
        source: StartError,
    },
    /// A required service is not registered.
    #[snafu(display("{source}"), context(false))]
    Registry {
        /// Error of the lookup.
        source: RegistryError,
    },
}
