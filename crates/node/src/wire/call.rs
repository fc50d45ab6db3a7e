//! Heads of calls between an ingress and a sidecar.
//!
//! On one `h2` stream a call is one [`CallHead`] frame followed by the raw body,
//! and a reply is one [`ReplyHead`] frame followed by the raw body. A body that
//! ends early ends with a reset of the stream, never with its regular end.

use bincode::{Decode, Encode};

/// Head of a call from an ingress to a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct CallHead {
    /// Identity of the call over all its attempts and hops.
    pub(crate) call: String,
    /// Number of the attempt, counted from 1.
    pub(crate) attempt: u32,
    /// Sequence of the configuration that routed the call.
    pub(crate) sequence: u64,
    /// Name of the route.
    pub(crate) route: String,
    /// Name of the service.
    pub(crate) service: String,
    /// Name of the upstream that was chosen.
    pub(crate) upstream: String,
    /// Whether the receiver decides on the key or only executes.
    pub(crate) stage: CallStage,
    /// HTTP method.
    pub(crate) method: String,
    /// Path and query.
    pub(crate) target: String,
    /// Headers that are passed on.
    pub(crate) headers: Vec<(String, Vec<u8>)>,
    /// Length of the body in bytes, if it is known.
    pub(crate) length: Option<u64>,
    /// Time that is left until the deadline, in milliseconds.
    pub(crate) left_ms: u64,
    /// Priority of the route; 0 goes first.
    pub(crate) priority: u8,
    /// Time in milliseconds within which callers of the route want the answer, if it states one.
    pub(crate) target_ms: Option<u32>,
    /// Time in milliseconds that the caller has waited, earlier sendings included.
    pub(crate) waited_ms: u32,
    /// Hops that the call has taken.
    pub(crate) hops: u8,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// Idempotency key of the caller.
    pub(crate) key: Option<String>,
    /// Fingerprint that is equal for resends of one request.
    pub(crate) fingerprint: u64,
}

/// What the receiver of a call is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum CallStage {
    /// Run the request on the receiver's upstream; it has no idempotency key.
    Plain,
    /// Decide on the idempotency key as its owner, then run the request.
    Decide,
    /// Run the request for the owner of its key, which has decided.
    Execute,
}

/// Head of a reply from a sidecar to an ingress.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum ReplyHead {
    /// The upstream answered; its body follows.
    Answer {
        /// HTTP status.
        status: u16,
        /// Headers that are passed on.
        headers: Vec<(String, Vec<u8>)>,
        /// Length of the body in bytes, if it is known.
        length: Option<u64>,
        /// Load of the sidecar.
        load: Load,
        /// Sequence in force at the sidecar.
        sequence: u64,
    },
    /// The sidecar gave no answer of an upstream; no body follows.
    Refused {
        /// Why, and whether the request ran.
        refusal: Refusal,
        /// Load of the sidecar.
        load: Load,
        /// Sequence in force at the sidecar.
        sequence: u64,
    },
}

/// Why a call got no answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Refusal {
    /// Whether the request ran.
    pub(crate) outcome: Outcome,
    /// Whether it reached an upstream, also if that one refused it.
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
    /// Proved: nothing of this sending was written to an upstream.
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
    /// The upstream bears no more, or the queue is full.
    Overloaded,
    /// The upstream can't be reached.
    Unreachable,
    /// The connection broke after the request was written.
    Broken,
    /// The deadline passed.
    Deadline,
    /// The upstream or its failure domain leaves.
    Draining,
    /// The node is not ready.
    NotReady,
    /// The receiver does not have the upstream.
    NoUpstream,
    /// The receiver does not own the key.
    NotOwner,
    /// The key is malformed, from the future or too old.
    BadKey,
    /// An earlier process or owner may have run the key; a new key is decided on.
    StaleKey,
    /// A request with the same key is running.
    InProgress,
    /// The request crashed upstreams before.
    Poison,
    /// The request took too many hops.
    TooManyHops,
    /// The upstream's answer broke HTTP.
    BadAnswer,
    /// No route takes the request.
    NoRoute,
}

/// Load of a sidecar, a hint for the choice of upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Load {
    /// Requests that run on the upstream.
    pub(crate) active: u32,
    /// Requests that may run at once.
    pub(crate) limit: u32,
    /// Requests that wait.
    pub(crate) queued: u32,
    /// Time until a good answer relative to the time wanted, in thousandths; 0 if unknown.
    pub(crate) cost: u32,
}
