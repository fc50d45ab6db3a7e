//! Client of the nodes' admin interfaces.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use serde::de::DeserializeOwned;
use wagtaillever_coordination::{DrainOrder, StatusReport};

use crate::fleet::Event;

/// Maximum time until a response arrives.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Client of the nodes' admin interfaces.
#[derive(Clone)]
pub(crate) struct AdminClient {
    client: Client,
}

impl Default for AdminClient {
    fn default() -> Self {
        Self {
            client: Client::builder().timeout(REQUEST_TIMEOUT).finish(),
        }
    }
}

impl AdminClient {
    /// Queries the status of a node; `None` if it does not answer.
    pub(crate) async fn status(&self, address: SocketAddr) -> Option<StatusReport> {
        self.json(address, "/status").await
    }

    /// Queries the events of a node; `None` if it does not answer.
    pub(crate) async fn timeline(&self, address: SocketAddr) -> Option<Vec<Event>> {
        self.json(address, "/timeline").await
    }

    /// Queries the metrics of a node as Prometheus text; `None` if it does not answer.
    pub(crate) async fn metrics(&self, address: SocketAddr) -> Option<String> {
        let body = self.get(address, "/metrics").await?;
        String::from_utf8(body.to_vec()).ok()
    }

    /// Sends a drain order to a node and returns whether the node accepted it.
    pub(crate) async fn send_order(
        &self,
        address: SocketAddr,
        token: &str,
        order: &DrainOrder,
    ) -> bool {
        let request = self.client.post(format!("http://{address}/drains"));
        let response = request.bearer_auth(token).send_json(order).await;
        response.is_ok_and(|response| response.status().is_success())
    }

    async fn json<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Option<T> {
        let body = self.get(address, path).await?;
        match serde_json::from_slice(&body) {
            Ok(value) => Some(value),
            Err(err) => {
                log::warn!("invalid JSON from {path} of {address}: {err}");
                None
            }
        }
    }

    async fn get(&self, address: SocketAddr, path: &str) -> Option<bytes::Bytes> {
        let request = self.client.get(format!("http://{address}{path}"));
        let mut response = request.send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        response.body().limit(MAX_RESPONSE_BYTES).await.ok()
    }
}
