//! Service that answers operators.

use futures_util::future::LocalBoxFuture;

use crate::kernel::{Context, Service, StartError};

/// Service that answers operators.
#[derive(Default)]
pub(crate) struct Admin {}

impl Service for Admin {
    fn name(&self) -> &'static str {
        "admin"
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
