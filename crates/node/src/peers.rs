//! Service that exchanges notes, orders and lists with other nodes.

use futures_util::future::LocalBoxFuture;

use crate::kernel::{Context, Service, StartError};

/// Service that exchanges notes, orders and lists with other nodes.
#[derive(Default)]
pub(crate) struct Peers {}

impl Service for Peers {
    fn name(&self) -> &'static str {
        "peers"
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
