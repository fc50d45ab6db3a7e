//! One call through one node.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use tokio::time::timeout;
use uuid::Uuid;
use wagtaillever_coordination::DomainName;

use crate::{deployment::ServiceShape, http_client::HttpClient};

/// Maximum time of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// One call through one node.
pub(super) struct Call<'a> {
    pub(super) client: &'a HttpClient,
    pub(super) node: SocketAddr,
    pub(super) domain: &'a DomainName,
    pub(super) shape: &'a ServiceShape,
    pub(super) path: &'a str,
}

impl Call<'_> {
    /// Sends the call and returns its outcome and duration.
    pub(super) async fn run(&self) -> (String, Duration) {
        let begin = Instant::now();
        let outcome = match timeout(CALL_TIMEOUT, self.exchange()).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(reason)) => reason,
            Err(_) => "no answer within the time limit".into(),
        };
        (outcome, begin.elapsed())
    }

    async fn exchange(&self) -> Result<String, String> {
        let request = self.request().map_err(|err| err.to_string())?;
        let response = self.client.send(self.node, request).await;
        let response = response.map_err(|err| err.to_string())?;
        let status = response.status().as_u16();
        let outcome = header(response.headers(), "x-outcome");
        let reason = header(response.headers(), "x-reason");
        let body = response.into_body().collect().await;
        body.map_err(|err| err.to_string())?;
        Ok(format!("{status} {outcome} {reason}").trim().to_owned())
    }

    fn request(&self) -> Result<Request<Full<Bytes>>, http::Error> {
        let id = Uuid::now_v7();
        let method = if self.shape.is_keyed() { "POST" } else { "GET" };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("{}?size={}", self.path, self.shape.answer_bytes))
            .header("host", self.node.to_string())
            .header("x-request-id", id.to_string())
            .header("x-sending", id.to_string())
            .header("x-deadline-ms", CALL_TIMEOUT.as_millis().to_string());
        if self.shape.is_keyed() {
            request = request.header("idempotency-key", format!("{}.{id}", self.domain));
        }
        request.body(Full::default())
    }
}

fn header(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
