//! Service that reads and watches the platform's configuration service.

mod client;
mod error;
mod reader;
mod value;

use futures_util::future::LocalBoxFuture;
use tokio_util::sync::CancellationToken;

use self::{client::PlatformClient, reader::Reader};
use crate::{
    kernel::{Context, Service, StartError},
    peers::PeersHandle,
};

/// Service that reads and watches the platform's configuration service.
#[derive(Default)]
pub(crate) struct Source {
    token: Option<CancellationToken>,
}

impl Service for Source {
    fn name(&self) -> &'static str {
        "source"
    }

    fn start<'a>(&'a mut self, context: &'a Context) -> LocalBoxFuture<'a, Result<(), StartError>> {
        Box::pin(async move {
            let peers: PeersHandle = context.registry().find("peers")?;
            let settings = context.settings();
            let client = PlatformClient::new(settings.address, settings.platform.clone());
            let reader = Reader::new(client, peers);
            let token = context.token();
            let cancelled = token.clone();
            actix_rt::spawn(async move {
                tokio::select! {
                    () = cancelled.cancelled() => {}
                    () = reader.run() => {}
                }
            });
            self.token = Some(token);
            Ok(())
        })
    }

    fn stop(&mut self) -> LocalBoxFuture<'_, ()> {
        Box::pin(async move {
            if let Some(token) = self.token.take() {
                token.cancel();
            }
        })
    }
}
