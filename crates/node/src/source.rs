//! Service that reads and watches the platform's configuration service.

mod client;
mod error;
mod reader;
mod registration_check;
mod store_reader;
mod value;

use futures_util::future::{FutureExt, LocalBoxFuture};
use tokio_util::sync::CancellationToken;
use wagtaillever_platform::{StoreClient, Topology};

pub(crate) use self::registration_check::RegistrationCheck;

use self::{client::PlatformClient, reader::Reader, store_reader::StoreReader};
use crate::{
    kernel::{Context, Service, StartError, StopDeadlines},
    peers::PeersHandle,
    settings::{Protocol, Settings},
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
            let timing = settings.limits.timing();
            let reader = match settings.protocol {
                Protocol::Notes => {
                    let client = PlatformClient::new(settings.address, settings.platform.clone());
                    Reader::new(client, peers, timing).run().boxed_local()
                }
                Protocol::Store => {
                    let view = context.view().clone();
                    let store = StoreClient::new(
                        settings.address,
                        settings.platform[0],
                        topology(settings),
                    );
                    let check = RegistrationCheck::new(store.clone());
                    context.registry().publish("registrations", check);
                    StoreReader::new(store, peers, view, timing)
                        .run()
                        .boxed_local()
                }
            };
            let token = context.shutdown_token();
            let cancelled = token.clone();
            actix_rt::spawn(async move {
                tokio::select! {
                    () = cancelled.cancelled() => {}
                    () = reader => {}
                }
            });
            self.token = Some(token);
            Ok(())
        })
    }

    fn stop(&mut self, _deadlines: StopDeadlines) -> LocalBoxFuture<'_, ()> {
        Box::pin(async move {
            if let Some(token) = self.token.take() {
                token.cancel();
            }
        })
    }
}

/// Returns the peer port and the regions that the settings state for the VMs of upstreams.
fn topology(settings: &Settings) -> Topology {
    Topology {
        peer_port: settings.peers.port(),
        regions: settings.regions.clone(),
        default_region: settings.region.clone(),
    }
}
