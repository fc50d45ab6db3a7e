//! Client of the nodes' admin interfaces.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use serde::de::DeserializeOwned;
use wagtaillever_coordination::{DrainOrder, StatusReport};

use crate::fleet::Event;

/// Longest time that an answer may take.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Largest answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Client of the nodes' admin interfaces.
#[derive(Clone)]
pub(crate) struct AdminClient {
    client: Client,
}

impl Default for AdminClient {
    fn default() -> Self {
        Self {
            client: Client::builder().timeout(TIMEOUT).finish(),
        }
    }
}

impl AdminClient {
    /// Returns the status of a node, if it answers.
    pub(crate) async fn status(&self, address: SocketAddr) -> Option<StatusReport> {
        self.json(address, "/status").await
    }

    /// Returns the events of a node, if it answers.
    pub(crate) async fn timeline(&self, address: SocketAddr) -> Option<Vec<Event>> {
        self.json(address, "/timeline").await
    }

    /// Returns the metrics of a node as Prometheus text, if it answers.
    pub(crate) async fn metrics(&self, address: SocketAddr) -> Option<String> {
        let body = self.get(address, "/metrics").await?;
        String::from_utf8(body.to_vec()).ok()
    }

    /// Gives an order to a node and returns whether it was taken.
    pub(crate) async fn send_order(
        &self,
        address: SocketAddr,
        token: &str,
        order: &DrainOrder,
    ) -> bool {
        let request = self.client.post(format!("http://{address}/drains"));
        let answer = request.bearer_auth(token).send_json(order).await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    async fn json<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Option<T> {
        let body = self.get(address, path).await?;
        match serde_json::from_slice(&body) {
            Ok(value) => Some(value),
            Err(err) => {
                log::warn!("{path} of {address} is not understood: {err}");
                None
            }
        }
    }

    async fn get(&self, address: SocketAddr, path: &str) -> Option<bytes::Bytes> {
        let request = self.client.get(format!("http://{address}{path}"));
        let mut answer = request.send().await.ok()?;
        if !answer.status().is_success() {
            return None;
        }
        answer.body().limit(MAX_ANSWER_BYTES).await.ok()
    }
}
