//! One upstream of this VM.

use std::{sync::Arc, time::Duration};

use awc::{Client, Connector};
use tokio::sync::Semaphore;
use wagtaillever_coordination::Upstream;

use crate::{sidecar::connector::TracedConnector, wire::Load};

/// Longest time to open a connection to an upstream on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(4);

/// An upstream of this VM with its connections and admission.
pub(super) struct LocalUpstream {
    spec: Arc<Upstream>,
    client: Client,
    slots: Arc<Semaphore>,
}

impl LocalUpstream {
    /// Returns the state of an upstream that was never contacted.
    pub(super) fn new(spec: Arc<Upstream>) -> Self {
        let connector = Connector::new()
            .connector(TracedConnector::new(spec.address))
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(KEEP_ALIVE)
            .limit(spec.connections as usize);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        let slots = Arc::new(Semaphore::new(spec.slots as usize));
        Self {
            spec,
            client,
            slots,
        }
    }

    /// Returns what the configuration says of the upstream.
    pub(super) fn spec(&self) -> &Arc<Upstream> {
        &self.spec
    }

    /// Returns the client that holds the connections to the upstream.
    pub(super) fn client(&self) -> &Client {
        &self.client
    }

    /// Returns the slots of the upstream.
    pub(super) fn slots(&self) -> &Arc<Semaphore> {
        &self.slots
    }

    /// Returns the load that is told to ingresses.
    pub(super) fn load(&self) -> Load {
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(0);
        Load {
            active: self.spec.slots.saturating_sub(free),
            limit: self.spec.slots,
            queued: 0,
        }
    }
}
