//! Service that takes calls of callers and routes them to sidecars.

use futures_util::future::LocalBoxFuture;

use crate::kernel::{Context, Service, StartError};

/// Service that takes calls of callers and routes them to sidecars.
#[derive(Default)]
pub(crate) struct Ingress {}

impl Service for Ingress {
    fn name(&self) -> &'static str {
        "ingress"
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
