//! Names of the HTTP headers that callers, nodes and upstreams exchange.

/// Header conventions of one kind of deployment; `None` if it has no such header or status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dialect {
    /// Identifier of a request, which an upstream echoes in its answer.
    pub call_id: &'static str,
    /// Whether upstreams echo the identifier in all answers but rejections. An answer without it then
    /// belongs to no request.
    pub echoes_call_id: bool,
    /// Key under which a request that is not idempotent runs at most once.
    pub idempotency_key: Option<&'static str>,
    /// Time in milliseconds for which the sender of a request waits for the answer.
    pub deadline_ms: &'static str,
    /// Number of hops that a call has taken.
    pub hops: Option<&'static str>,
    /// Sequence of the configuration that was used to route a call.
    pub note: Option<&'static str>,
    /// Service of the VM on which a call entered the mesh. The ingress overwrites any value sent by
    /// the caller.
    pub caller_service: Option<&'static str>,
    /// API key of the organisation that a request belongs to. It is not forwarded.
    pub api_key: Option<&'static str>,
    /// Organisation whose API key a request carried. The ingress overwrites any value sent by the
    /// caller.
    pub organisation: Option<&'static str>,
    /// Upstream for which a request is intended; any other upstream rejects it.
    pub target_upstream: Option<&'static str>,
    /// Identifier of the upstream process that answered.
    pub process: Option<&'static str>,
    /// Upstream that answered a health check.
    pub answered_by: Option<&'static str>,
    /// Remaining cold-start time in milliseconds, in answers of an upstream.
    pub cold_ms: Option<&'static str>,
    /// Requests per second that an upstream accepts from all nodes together, in its answers.
    pub request_limit: Option<&'static str>,
    /// Header with the value 1 by which an upstream states in its answers that it will stop.
    pub leaving: Option<&'static str>,
    /// Header by which an upstream states that it did not run the request.
    pub not_run: &'static str,
    /// Status with which an upstream rejects a request intended for another upstream.
    pub misdirected_status: Option<u16>,
    /// Format of the delay after which callers may retry.
    pub retry_after: RetryAfterFormat,
    /// Whether answers to callers carry the product's own headers that describe the outcome.
    pub outcome_headers: bool,
}

/// Format of the delay after which a caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfterFormat {
    /// Whole seconds, rounded up, plus the milliseconds in a header of the product's own.
    WholeSeconds,
    /// Fractional seconds.
    FractionalSeconds,
}
