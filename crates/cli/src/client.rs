//! HTTP client for the nodes' admin interface.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::error::NodeError;

/// Client for the admin interface of one node.
pub(crate) struct NodeClient<'a> {
    client: &'a Client,
    node: SocketAddr,
}

/// Time limit for one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Returns the HTTP client shared by the clients of all nodes.
pub(crate) fn http_client() -> Client {
    Client::builder().timeout(RESPONSE_TIMEOUT).finish()
}

impl<'a> NodeClient<'a> {
    /// Creates a client for one node.
    pub(crate) fn new(client: &'a Client, node: SocketAddr) -> Self {
        Self { client, node }
    }

    /// Sends a GET request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Returns an error that names the node if the request or decoding fails.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, NodeError> {
        let request = self.client.get(self.url(path));
        let response = request.send().await.map_err(|err| self.unreachable(&err))?;
        self.read_response(response).await
    }

    /// Posts a JSON body and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Returns an error that names the node if the request or decoding fails.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        token: Option<&str>,
        body: &impl Serialize,
    ) -> Result<T, NodeError> {
        let mut request = self.client.post(self.url(path));
        if let Some(token) = token {
            request = request.bearer_auth(token);
        }
        let response = request.send_json(body).await;
        let response = response.map_err(|err| self.unreachable(&err))?;
        self.read_response(response).await
    }

    async fn read_response<T, S>(
        &self,
        mut response: awc::ClientResponse<S>,
    ) -> Result<T, NodeError>
    where
        T: DeserializeOwned,
        S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
    {
        let status = response.status();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|err| self.bad_answer(&err))?;
        if !status.is_success() {
            return Err(NodeError::Refused {
                node: self.node,
                status: status.as_u16(),
                reason: refusal_reason(&body),
            });
        }
        serde_json::from_slice(&body).map_err(|err| self.bad_answer(&err))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.node)
    }

    fn unreachable(&self, err: &dyn std::error::Error) -> NodeError {
        NodeError::Unreachable {
            node: self.node,
            reason: err.to_string(),
        }
    }

    fn bad_answer(&self, err: &dyn std::error::Error) -> NodeError {
        NodeError::BadAnswer {
            node: self.node,
            reason: err.to_string(),
        }
    }
}

#[derive(Deserialize)]
struct Refusal {
    error: String,
}

fn refusal_reason(body: &[u8]) -> String {
    let refusal = serde_json::from_slice::<Refusal>(body);
    refusal.map_or_else(
        |_| String::from_utf8_lossy(body).trim().to_string(),
        |refusal| refusal.error,
    )
}
