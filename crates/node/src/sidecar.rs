//! Service that admits calls to the upstreams of this VM.

use futures_util::future::LocalBoxFuture;

use crate::kernel::{Context, Service, StartError};

/// Service that admits calls to the upstreams of this VM.
#[derive(Default)]
pub(crate) struct Sidecar {}

impl Service for Sidecar {
    fn name(&self) -> &'static str {
        "sidecar"
    }

    fn start<'a>(
        &'a mut self,
        _context: &'a Context,
    ) -> LocalBoxFuture<'a, Result<(), StartError>> {
        Box::pin(async move { Ok(()) })
    }

    fn stop(&mut self) -> LocalBoxFuture<'_, ()> {
        Box::pin(async move {})
    }
}
