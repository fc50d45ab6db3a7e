//! What the kernel asks of a service.

use futures_util::future::LocalBoxFuture;
use snafu::Snafu;
use tokio::time::Instant;

use crate::kernel::{Context, RegistryError};

/// One service of the node, run on the main thread.
pub(crate) trait Service {
    /// Returns the name under which others find the service.
    fn name(&self) -> &'static str;

    /// Starts the service and publishes its handle in the registry.
    fn start<'a>(&'a mut self, context: &'a Context) -> LocalBoxFuture<'a, Result<(), StartError>>;

    /// Stops the service after the calls in flight are finished, `until` at the latest.
    fn stop(&mut self, until: Instant) -> LocalBoxFuture<'_, ()>;
}

/// Why a service can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// An address can't be bound.
    #[snafu(display("address {address} can't be bound: {source}"))]
    Bind {
        /// Address.
        address: std::net::SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// A service that is needed is not there.
    #[snafu(display("{source}"), context(false))]
    Registry {
        /// Cause.
        source: RegistryError,
    },
}
