//! Heads of calls and replies between an ingress and a sidecar.
//!
//! On an HTTP/2 stream, a call is one [`CallHead`] frame followed by the raw body, and a reply is
//! one [`ReplyHead`] frame followed by the raw body. If a body is cut short, the stream is reset
//! and never ended regularly.

use bincode::{Decode, Encode};

/// Head of a call from an ingress to a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct CallHead {
    /// ID of the call, the same for all attempts and hops.
    pub(crate) call: String,
    /// Number of the attempt, starting at 1.
    pub(crate) attempt: u32,
    /// Sequence of the configuration by which the call was routed.
    pub(crate) sequence: u64,
    /// Name of the route.
    pub(crate) route: String,
    /// Name of the service.
    pub(crate) service: String,
    /// Name of the selected upstream.
    pub(crate) upstream: String,
    /// Whether the receiver decides on the idempotency key or only executes the request.
    pub(crate) stage: CallStage,
    /// HTTP method.
    pub(crate) method: String,
    /// Path and query.
    pub(crate) target: String,
    /// Forwarded headers.
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    /// Length of the body in bytes, if known.
    pub(crate) length: Option<u64>,
    /// Time left until the deadline, in milliseconds.
    pub(crate) left_ms: u64,
    /// Priority of the organisation or else of the route; 0 is the highest.
    pub(crate) priority: u8,
    /// Target latency of the route in milliseconds, if the route states one.
    pub(crate) target_ms: Option<u32>,
    /// Time in milliseconds that the caller has waited since it first sent the request.
    pub(crate) waited_ms: u32,
    /// Number of hops that the call has taken.
    pub(crate) hops: u8,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// Idempotency key set by the caller.
    pub(crate) key: Option<String>,
    /// Fingerprint of the request, equal for all resends.
    pub(crate) fingerprint: u64,
}

/// What the receiver of a call has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum CallStage {
    /// Run the request, which has no idempotency key, on the receiver's upstream.
    Plain,
    /// Decide on the idempotency key as its owner, then run the request.
    Decide,
    /// Run the request for the owner of its idempotency key, which has already decided on the key.
    Execute,
}

/// Head of a reply from a sidecar to an ingress.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum ReplyHead {
    /// The upstream answered; the body of its answer follows.
    Answer {
        /// HTTP status.
        status: u16,
        /// Forwarded headers.
        headers: Vec<(String, Vec<u8>)>,
        /// Length of the body in bytes, if known.
        length: Option<u64>,
        /// Load of the sidecar.
        load: Load,
        /// Sequence in force at the sidecar.
        sequence: u64,
    },
    /// The call got no answer from an upstream; no body follows.
    Refused {
        /// Cause, and whether the request ran.
        refusal: Refusal,
        /// Load of the sidecar.
        load: Load,
        /// Sequence in force at the sidecar.
        sequence: u64,
    },
}

/// Reason why a call got no answer from an upstream, and whether the request ran.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Refusal {
    /// Whether the request ran.
    pub(crate) outcome: Outcome,
    /// Whether the request reached an upstream, even if the upstream refused it.
    pub(crate) is_arrived: bool,
    /// Cause.
    pub(crate) reason: RefusalReason,
    /// Time after which a resend makes sense, in milliseconds.
    pub(crate) after_ms: u64,
}

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Outcome {
    /// Proven: no part of the request was written to an upstream for this call.
    DidNotRun,
    /// An upstream ran the request.
    Ran,
    /// The request may have run.
    Unknown,
}

/// Cause of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum RefusalReason {
    /// The upstream has no capacity left, or the queue is full.
    Overloaded,
    /// The upstream can't be reached.
    Unreachable,
    /// The connection broke after the request was written.
    Broken,
    /// The deadline passed.
    Deadline,
    /// The upstream or its failure domain is being drained.
    Draining,
    /// The node is not ready.
    NotReady,
    /// The receiver does not have the upstream.
    NoUpstream,
    /// The receiver does not own the idempotency key.
    NotOwner,
    /// The idempotency key is malformed, too old or has a time in the future.
    BadKey,
    /// A previous process or owner of the idempotency key may have run the request. A request
    /// with a new key can run.
    StaleKey,
    /// A request with the same idempotency key is running.
    InProgress,
    /// Earlier attempts at the request crashed upstreams.
    Poison,
    /// The request took too many hops.
    TooManyHops,
    /// The answer of the upstream violates HTTP.
    BadAnswer,
    /// No route matches the request.
    NoRoute,
    /// The organisation has used up its quota.
    QuotaExceeded,
    /// The ID that the caller gave is too long or not printable ASCII.
    BadCallId,
    /// The request needs an API key and has none.
    NoApiKey,
    /// No organisation holds the API key of the request.
    UnknownApiKey,
    /// The body of the request is larger than a caller may send.
    BodyTooLarge,
    /// The bodies of all calls take up the memory for them.
    NoMemory,
}

impl RefusalReason {
    /// Returns whether a request is refused for want of a known API key.
    pub(crate) fn is_about_api_key(self) -> bool {
        matches!(self, Self::NoApiKey | Self::UnknownApiKey)
    }
}

/// Load of a sidecar, a hint for the selection of upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Load {
    /// Number of requests that run on the upstream.
    pub(crate) active: u32,
    /// Maximum number of requests that may run concurrently.
    pub(crate) limit: u32,
    /// Number of queued requests.
    pub(crate) queued: u32,
    /// Time to a successful answer relative to the target latency, in thousandths; 0 if unknown.
    pub(crate) cost: u32,
}
