//! Names of the invariants.

/// No node returns to an older configuration.
pub(crate) const NEVER_BACK: &str = "never-back";
/// Requests reach only upstreams of the requested service.
pub(crate) const ROUTED_TO_OWN_SERVICE: &str = "routed-to-own-service";
/// Every node reaches exactly the configuration that the notes fold to.
pub(crate) const WHOLE_NOTES: &str = "whole-notes";
/// All nodes agree on whether to accept each note.
pub(crate) const ONE_VERDICT: &str = "one-verdict";
/// A cold upstream receives no more requests than it can handle.
pub(crate) const COLD_UPSTREAM_SPARED: &str = "cold-upstream-spared";
/// A drained failure domain or VM receives no new requests.
pub(crate) const DRAINED_GETS_NO_WORK: &str = "drained-gets-no-work";
/// A leaving upstream receives no new requests.
pub(crate) const LEAVING_GETS_NO_WORK: &str = "leaving-gets-no-work";
/// An upstream receives no more requests than the limit that it states.
pub(crate) const STATED_LIMIT_KEPT: &str = "stated-limit-kept";
/// Every answer that a caller takes as complete is complete and belongs to its request.
pub(crate) const OWN_WHOLE_ANSWER: &str = "own-whole-answer";
/// A request that was refused as not executed was not executed.
pub(crate) const REFUSAL_IS_TRUE: &str = "refusal-is-true";
/// A non-idempotent request runs at most once.
pub(crate) const AT_MOST_ONCE: &str = "at-most-once";
/// A planned stop exits with code 0 and cuts no request in flight.
pub(crate) const STOP_CUTS_NOTHING: &str = "stop-cuts-nothing";
/// Every accepted note is in force on all nodes after the last fault ends.
pub(crate) const IN_FORCE_EVERYWHERE: &str = "in-force-everywhere";
/// Reads of the platform stay within its rate limit.
pub(crate) const PLATFORM_RATE: &str = "platform-rate";
/// No node exits by itself, for example on a failed assertion.
pub(crate) const NODES_RUN: &str = "nodes-run";
/// No node counts a violation of its internal invariants.
pub(crate) const INSIDE_HOLDS: &str = "inside-holds";
