//! Interface between the kernel and its services.

use futures_util::future::LocalBoxFuture;
use snafu::Snafu;

use crate::kernel::{Context, RegistryError, StopDeadlines};

/// Service of the node, run on the main thread.
pub(crate) trait Service {
    /// Returns the name under which other services find this one.
    fn name(&self) -> &'static str;

    /// Starts the service and publishes its handle in the registry.
    fn start<'a>(&'a mut self, context: &'a Context) -> LocalBoxFuture<'a, Result<(), StartError>>;

    /// Stops the service when the calls in flight have finished, or at its deadline.
    fn stop(&mut self, deadlines: StopDeadlines) -> LocalBoxFuture<'_, ()>;
}

/// Error that prevents a service from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// An address can't be bound.
    #[snafu(display("can't bind address {address}: {source}"))]
    Bind {
        /// Address that was requested.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A required service is not registered.
    #[snafu(display("{source}"), context(false))]
    Registry {
        /// Error of the lookup.
        source: RegistryError,
    },
}
