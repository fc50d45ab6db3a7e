//! Service that reads and watches the platform's configuration service.

use futures_util::future::LocalBoxFuture;

use crate::kernel::{Context, Service, StartError};

/// Service that reads and watches the platform's configuration service.
#[derive(Default)]
pub(crate) struct Source {}

impl Service for Source {
    fn name(&self) -> &'static str {
        "source"
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
