//! HTTP client of the platform's configuration service.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use actix_web::http::header::HeaderMap;
use awc::{Client, ClientResponse, Connector, error::SendRequestError};
use bytes::Bytes;
use serde::Deserialize;
use wagtaillever_coordination::retry_after;

use super::error::SourceError;

/// Longest time for one read.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which a watch waits for a change, in milliseconds.
pub(super) const WATCH_MS: u64 = 2_000;
/// Longest time for one watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest answer in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Delay after a refusal that names none.
const BUSY_DELAY: Duration = Duration::from_secs(1);
/// Longest delay that a refusal can ask for: what it asks beyond that would hold notes back.
const MAX_BUSY_DELAY: Duration = Duration::from_secs(30);
/// Bytes of a request and of the head of an answer, with the names of headers.
const HEAD_BYTES: u64 = 200;

/// A value of the platform.
pub(super) struct Value {
    /// The value.
    pub(super) body: Bytes,
}

/// Answer of a watch.
#[derive(Debug, Deserialize)]
pub(super) struct Changes {
    /// Revision to go on from.
    pub(super) revision: u64,
    /// Changed keys.
    pub(super) events: Vec<Change>,
}

/// One changed key.
#[derive(Debug, Deserialize)]
pub(super) struct Change {
    /// The key.
    pub(super) key: String,
    /// Its value.
    pub(super) value: String,
}

/// Client that asks one of the platform's addresses, the next one after a failure.
pub(super) struct PlatformClient {
    client: Client,
    addresses: Vec<SocketAddr>,
    current: usize,
}

impl PlatformClient {
    /// Returns a client that connects from a local address.
    pub(super) fn new(local: IpAddr, addresses: Vec<SocketAddr>) -> Self {
        let connector = Connector::new()
            .local_address(local)
            .timeout(Duration::from_secs(1));
        let client = Client::builder()
            .connector(connector)
            .timeout(READ_TIMEOUT)
            .finish();
        Self {
            client,
            addresses,
            current: 0,
        }
    }

    /// Returns whether the platform has any address.
    pub(super) fn is_usable(&self) -> bool {
        !self.addresses.is_empty()
    }

    /// Uses the next address from now on.
    pub(super) fn rotate(&mut self) {
        self.current = self.current.wrapping_add(1);
    }

    /// Reads a key; `None` when there is none, with the store's revision.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform gives no answer.
    pub(super) async fn get(&self, key: &str) -> Result<(Option<Value>, u64), SourceError> {
        let url = format!("http://{}/v1/keys/{key}", self.address()?);
        let answer = self.client.get(url).send().await;
        let mut answer = checked(answer)?;
        let store_revision = revision(answer.headers());
        if answer.status() == 404 {
            return Ok((None, store_revision));
        }
        let body = answer.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|err| out(&err))?;
        count_bytes(body.len());
        let value = Value { body };
        Ok((Some(value), store_revision))
    }

    /// Waits for changes after a revision.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform gives no answer.
    pub(super) async fn watch(&self, after: u64) -> Result<Changes, SourceError> {
        let address = self.address()?;
        let url = format!("http://{address}/v1/watch?after={after}&wait_ms={WATCH_MS}");
        let answer = self.client.get(url).timeout(WATCH_TIMEOUT).send().await;
        let mut answer = checked(answer)?;
        let body = answer.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|err| out(&err))?;
        count_bytes(body.len());
        serde_json::from_slice(&body).map_err(|err| SourceError::BadValue {
            key: "watch".into(),
            reason: err.to_string(),
        })
    }

    fn address(&self) -> Result<SocketAddr, SourceError> {
        let count = self.addresses.len().max(1);
        let address = self.addresses.get(self.current % count);
        address.copied().ok_or_else(|| SourceError::Out {
            reason: "no address is set".into(),
        })
    }
}

fn checked<S>(
    answer: Result<ClientResponse<S>, SendRequestError>,
) -> Result<ClientResponse<S>, SourceError> {
    let answer = answer.map_err(|err| out(&err))?;
    let status = answer.status().as_u16();
    let result = match status {
        200 | 404 => "answered",
        429 => "refused",
        _ => "failed",
    };
    metrics::counter!("platform_reads_total", "result" => result).increment(1);
    match status {
        200 | 404 => Ok(answer),
        410 => Err(SourceError::Forgotten),
        429 => Err(SourceError::Busy {
            after: busy_delay(answer.headers()),
        }),
        _ => Err(SourceError::Out {
            reason: format!("status {status}"),
        }),
    }
}

fn busy_delay(headers: &HeaderMap) -> Duration {
    let value = headers.get("retry-after").and_then(|v| v.to_str().ok());
    let delay = value.and_then(|value| retry_after(value, MAX_BUSY_DELAY));
    delay.unwrap_or(BUSY_DELAY)
}

fn revision(headers: &HeaderMap) -> u64 {
    let value = headers.get("x-store-revision");
    let value = value.and_then(|v| v.to_str().ok());
    value.and_then(|v| v.parse().ok()).unwrap_or(0)
}

fn count_bytes(body: usize) {
    metrics::counter!("platform_bytes_total").increment(body as u64 + HEAD_BYTES);
}

fn out(err: &impl std::fmt::Display) -> SourceError {
    SourceError::Out {
        reason: err.to_string(),
    }
}
