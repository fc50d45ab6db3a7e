//! One sending of a request to one node.

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

/// A sending that is about to be made.
pub(super) struct Sending<'a> {
    pub(super) client: &'a HttpClient,
    pub(super) target: &'a Target,
    pub(super) kind: &'a CallKind,
    pub(super) request: &'a str,
    pub(super) id: &'a str,
    pub(super) key: Option<&'a str>,
    pub(super) caller: &'a str,
    pub(super) left: Duration,
}

/// Result of a send.
pub(super) struct Reply {
    pub(super) outcome: SendOutcome,
    pub(super) reason: String,
    pub(super) after: Duration,
}

impl Reply {
    fn of(outcome: SendOutcome) -> Self {
        Self {
            outcome,
            reason: String::new(),
            after: Duration::ZERO,
        }
    }
}

impl Sending<'_> {
    /// Sends the request and reads the answer whole.
    pub(super) async fn run(&self) -> Reply {
        let exchange = timeout(self.left, self.exchange()).await;
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
    /// Does not panic: targets and identities are well-formed.
    fn request(&self) -> Request<Full<Bytes>> {
        let method = if self.kind.keyed { "POST" } else { "GET" };
        let body = if self.kind.keyed { BODY } else { b"" };
        let mut request = Request::builder()
            .method(method)
            .uri(self.kind.target())
            .header("host", self.target.address.to_string())
            .header("x-request-id", self.request)
            .header("x-sending", self.id)
            .header("x-caller", self.caller)
            .header("x-deadline-ms", self.left.as_millis().to_string());
        if let Some(key) = self.key {
            request = request.header("idempotency-key", key);
        }
        let body = Full::new(Bytes::from_static(body));
        request.body(body).expect("the request is well-formed")
    }

    async fn read(&self, response: Response<Incoming>) -> Reply {
        if !response.status().is_success() {
            return refused(response.headers());
        }
        let is_own = text(response.headers(), "x-request-id") == self.request;
        Reply::of(self.check_body(response.into_body(), is_own).await)
    }

    async fn check_body(&self, mut body: Incoming, is_own: bool) -> SendOutcome {
        let pattern = Pattern::of(self.request);
        let mut at = 0;
        let mut matches = is_own;
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
const BODY: &[u8] = b"{\"amount\": 12000}";

fn refused(headers: &HeaderMap) -> Reply {
    let outcome = match text(headers, "x-outcome") {
        "did-not-run" => SendOutcome::DidNotRun,
        "ran" => SendOutcome::Ran,
        _ => SendOutcome::Unknown,
    };
    let after = text(headers, "x-retry-after-ms").parse().unwrap_or(0);
    Reply {
        outcome,
        reason: text(headers, "x-reason").to_string(),
        after: Duration::from_millis(after),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}
