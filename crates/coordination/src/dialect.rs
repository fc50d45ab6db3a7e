//! HTTP headers by which callers, nodes and upstreams tell each other of a call.

/// Names of the headers of one kind of deployment; `None` where it has no such header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dialect {
    /// Identity of a request, which an upstream echoes in its answer.
    pub call_id: &'static str,
    /// Time in milliseconds that the sender of a request waits for the answer.
    pub deadline_ms: &'static str,
    /// Hops that a call has taken.
    pub hops: Option<&'static str>,
    /// Sequence of the configuration that routed a call.
    pub note: Option<&'static str>,
    /// Service of the VM on which a call began; set by the ingress, whatever the caller sent.
    pub caller_service: Option<&'static str>,
    /// Upstream for which a request is meant; any other refuses it.
    pub target_upstream: Option<&'static str>,
    /// Process of the upstream that answered.
    pub process: Option<&'static str>,
    /// Upstream that answered a request for its health.
    pub answered_by: Option<&'static str>,
    /// Time in milliseconds for which an upstream stays cold, in answers on its health.
    pub cold_ms: Option<&'static str>,
    /// Statement of an upstream that it did not run the request.
    pub not_run: &'static str,
    /// Status with which an upstream refuses a request that is meant for another one.
    pub misdirected_status: Option<u16>,
    /// How callers are told when to come back.
    pub retry_after: RetryAfterFormat,
    /// Whether answers to callers carry the product's own headers on the outcome.
    pub outcome_headers: bool,
}

/// Form of the time after which a caller is to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfterFormat {
    /// Whole seconds, rounded up, and the milliseconds in a header of the product's own.
    WholeSeconds,
    /// Seconds with fractions.
    FractionalSeconds,
}
