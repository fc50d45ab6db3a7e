//! Sends a request to one node once.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    caller::{CallKind, SendOutcome, Target},
    http_client::{HttpClient, HttpError},
    pattern::Pattern,
};

/// Send that has not been made yet.
pub(super) struct SendAttempt<'a> {
    pub(super) client: &'a HttpClient,
    pub(super) target: &'a Target,
    pub(super) kind: &'a CallKind,
    pub(super) request_id: &'a str,
    pub(super) id: &'a str,
    pub(super) key: Option<&'a str>,
    pub(super) caller: &'a str,
    pub(super) time_left: Duration,
}

/// Result of a send.
pub(super) struct Reply {
    pub(super) outcome: SendOutcome,
    pub(super) reason: String,
    pub(super) retry_after: Duration,
}

impl Reply {
    fn of(outcome: SendOutcome) -> Self {
        Self {
            outcome,
            reason: String::new(),
            retry_after: Duration::ZERO,
        }
    }
}

impl SendAttempt<'_> {
    /// Sends the request and reads the complete response.
    pub(super) async fn run(&self) -> Reply {
        let exchange = timeout(self.time_left, self.exchange()).await;
        exchange.unwrap_or_else(|_| Reply::of(SendOutcome::TimedOut))
    }

    async fn exchange(&self) -> Reply {
        match self.client.send(self.target.address, self.request()).await {
            Ok(response) => self.read(response).await,
            Err(HttpError::NotSent { .. }) => Reply::of(SendOutcome::NotConnected),
            Err(HttpError::Lost { .. }) => Reply::of(SendOutcome::Lost),
        }
    }

    /// # Panics
    ///
    /// Does not panic: targets and identifiers are valid in a URI and in headers.
    fn request(&self) -> Request<Full<Bytes>> {
        let method = if self.kind.keyed { "POST" } else { "GET" };
        let body = if self.kind.keyed { KEYED_BODY } else { b"" };
        let mut request = Request::builder()
            .method(method)
            .uri(self.kind.target())
            .header("host", self.target.address.to_string())
            .header("x-request-id", self.request_id)
            .header("x-sending", self.id)
            .header("x-caller", self.caller)
            .header("x-deadline-ms", self.time_left.as_millis().to_string());
        if let Some(key) = self.key {
            request = request.header("idempotency-key", key);
        }
        let body = Full::new(Bytes::from_static(body));
        request.body(body).expect("URI and headers are valid")
    }

    async fn read(&self, response: Response<Incoming>) -> Reply {
        if !response.status().is_success() {
            return refusal(response.headers());
        }
        let is_own_response = header(response.headers(), "x-request-id") == self.request_id;
        Reply::of(self.check_body(response.into_body(), is_own_response).await)
    }

    async fn check_body(&self, mut body: Incoming, is_own_response: bool) -> SendOutcome {
        let pattern = Pattern::of(self.request_id);
        let mut at = 0;
        let mut matches = is_own_response;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return SendOutcome::Broken;
            };
            let Some(part) = frame.data_ref() else {
                continue;
            };
            matches &= pattern.matches(at, part);
            at += part.len() as u64;
        }
        if matches && at == self.kind.size {
            return SendOutcome::Good;
        }
        SendOutcome::Wrong
    }
}

/// Body of a keyed request.
const KEYED_BODY: &[u8] = b"{\"amount\": 12000}";

fn refusal(headers: &HeaderMap) -> Reply {
    let outcome = match header(headers, "x-outcome") {
        "did-not-run" => SendOutcome::DidNotRun,
        "ran" => SendOutcome::Ran,
        _ => SendOutcome::Unknown,
    };
    let retry_after_ms = header(headers, "x-retry-after-ms").parse().unwrap_or(0);
    Reply {
        outcome,
        reason: header(headers, "x-reason").to_string(),
        retry_after: Duration::from_millis(retry_after_ms),
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}
