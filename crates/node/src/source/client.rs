//! HTTP client of the platform's configuration service.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use actix_web::http::header::HeaderMap;
use awc::{Client, ClientResponse, Connector, error::SendRequestError};
use bytes::Bytes;
use serde::Deserialize;
use tokio::time::timeout;
use wagtaillever_coordination::retry_after;

use super::error::SourceError;

/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Time allowed for the body of an answer after its head, so that an answer without end is given up.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of an answer body.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Delay after a refusal that states none.
const DEFAULT_BUSY_DELAY: Duration = Duration::from_secs(1);
/// Maximum delay that a refusal can ask for; longer ones would delay notes.
const MAX_BUSY_DELAY: Duration = Duration::from_secs(30);
/// Estimated size of a request and of the head of its answer, including header names.
const HEADER_BYTES: u64 = 200;

/// Value read from the platform.
pub(super) struct Value {
    pub(super) body: Bytes,
}

/// Answer to a watch.
#[derive(Debug, Deserialize)]
pub(super) struct Changes {
    /// Revision to continue watching from.
    pub(super) revision: u64,
    /// Changed keys.
    pub(super) events: Vec<Change>,
}

/// One changed key.
#[derive(Debug, Deserialize)]
pub(super) struct Change {
    pub(super) key: String,
    pub(super) value: String,
}

/// Client that sends requests to one of the addresses of the platform and can switch to the next.
pub(super) struct PlatformClient {
    client: Client,
    addresses: Vec<SocketAddr>,
    current_index: usize,
}

impl PlatformClient {
    /// Returns a client that connects from a local address.
    pub(super) fn new(local_ip: IpAddr, addresses: Vec<SocketAddr>) -> Self {
        let connector = Connector::new()
            .local_address(local_ip)
            .timeout(Duration::from_secs(1));
        let client = Client::builder()
            .connector(connector)
            .timeout(READ_TIMEOUT)
            .finish();
        Self {
            client,
            addresses,
            current_index: 0,
        }
    }

    /// Returns whether any address is set.
    pub(super) fn has_address(&self) -> bool {
        !self.addresses.is_empty()
    }

    /// Switches to the next address.
    pub(super) fn rotate(&mut self) {
        self.current_index = self.current_index.wrapping_add(1);
    }

    /// Reads a key and returns its value, or `None` if it does not exist, with the revision of the
    /// store.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer, refuses the request or answers with an
    /// error.
    pub(super) async fn get(&self, key: &str) -> Result<(Option<Value>, u64), SourceError> {
        let url = format!("http://{}/v1/keys/{key}", self.address()?);
        let answer = self.client.get(url).send().await;
        let mut answer = check_status(answer)?;
        let store_revision = header_revision(answer.headers());
        if answer.status() == 404 {
            return Ok((None, store_revision));
        }
        let body = read_body(&mut answer).await?;
        count_bytes(body.len());
        let value = Value { body };
        Ok((Some(value), store_revision))
    }

    /// Waits for changes after a revision, at most for `wait`.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer, refuses the request or answers with an
    /// error.
    pub(super) async fn watch(&self, after: u64, wait: Duration) -> Result<Changes, SourceError> {
        let address = self.address()?;
        let wait_ms = wait.as_millis();
        let url = format!("http://{address}/v1/watch?after={after}&wait_ms={wait_ms}");
        let timeout = wait + READ_TIMEOUT;
        let answer = self.client.get(url).timeout(timeout).send().await;
        let mut answer = check_status(answer)?;
        let body = read_body(&mut answer).await?;
        count_bytes(body.len());
        serde_json::from_slice(&body).map_err(|err| SourceError::BadValue {
            key: "watch".into(),
            reason: err.to_string(),
        })
    }

    fn address(&self) -> Result<SocketAddr, SourceError> {
        let count = self.addresses.len().max(1);
        let address = self.addresses.get(self.current_index % count);
        address.copied().ok_or_else(|| SourceError::Unavailable {
            reason: "no address is set".into(),
        })
    }
}

/// Reads the body of an answer. The time limit of the HTTP library ends with the head.
async fn read_body(answer: &mut ClientResponse) -> Result<Bytes, SourceError> {
    let body = timeout(BODY_TIMEOUT, answer.body().limit(MAX_ANSWER_BYTES)).await;
    let body = body.map_err(|err| unavailable(&err))?;
    body.map_err(|err| unavailable(&err))
}

fn check_status<S>(
    answer: Result<ClientResponse<S>, SendRequestError>,
) -> Result<ClientResponse<S>, SourceError> {
    let answer = answer.map_err(|err| unavailable(&err))?;
    let status = answer.status().as_u16();
    let result = match status {
        200 | 404 => "answered",
        429 => "refused",
        _ => "failed",
    };
    metrics::counter!("platform_reads_total", "result" => result).increment(1);
    match status {
        200 | 404 => Ok(answer),
        410 => Err(SourceError::RevisionExpired),
        429 => Err(SourceError::Busy {
            after: busy_delay(answer.headers()),
        }),
        _ => Err(SourceError::Unavailable {
            reason: format!("status {status}"),
        }),
    }
}

fn busy_delay(headers: &HeaderMap) -> Duration {
    let value = headers.get("retry-after").and_then(|v| v.to_str().ok());
    let delay = value.and_then(|value| retry_after(value, MAX_BUSY_DELAY));
    delay.unwrap_or(DEFAULT_BUSY_DELAY)
}

fn header_revision(headers: &HeaderMap) -> u64 {
    let value = headers.get("x-store-revision");
    let value = value.and_then(|v| v.to_str().ok());
    value.and_then(|v| v.parse().ok()).unwrap_or(0)
}

fn count_bytes(body: usize) {
    metrics::counter!("platform_bytes_total").increment(body as u64 + HEADER_BYTES);
}

fn unavailable(err: &impl std::fmt::Display) -> SourceError {
    SourceError::Unavailable {
        reason: err.to_string(),
    }
}
