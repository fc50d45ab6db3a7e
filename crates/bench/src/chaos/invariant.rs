//! Names of what must always hold.

/// No node goes back to an older configuration.
pub(crate) const NEVER_BACK: &str = "never-back";
/// Requests reach only upstreams of their own service.
pub(crate) const ROUTED_TO_OWN_SERVICE: &str = "routed-to-own-service";
/// Every node reaches the configuration that the notes fold to, and no other.
pub(crate) const WHOLE_NOTES: &str = "whole-notes";
/// All nodes have the same verdict on each note.
pub(crate) const ONE_VERDICT: &str = "one-verdict";
/// An upstream that has just started receives no more than it can bear.
pub(crate) const COLD_UPSTREAM_SPARED: &str = "cold-upstream-spared";
/// A failure domain or VM that is drained gets no new work.
pub(crate) const DRAINED_GETS_NO_WORK: &str = "drained-gets-no-work";
/// An upstream that is leaving gets no new work.
pub(crate) const LEAVING_GETS_NO_WORK: &str = "leaving-gets-no-work";
/// Every caller gets the whole answer to its own request.
pub(crate) const OWN_WHOLE_ANSWER: &str = "own-whole-answer";
/// A refusal that says that a request did not run is true.
pub(crate) const REFUSAL_IS_TRUE: &str = "refusal-is-true";
/// A non-idempotent request runs at most once.
pub(crate) const AT_MOST_ONCE: &str = "at-most-once";
/// A planned stop ends well and cuts no request in flight.
pub(crate) const STOP_CUTS_NOTHING: &str = "stop-cuts-nothing";
/// An accepted note is in force everywhere after the last fault ended.
pub(crate) const IN_FORCE_EVERYWHERE: &str = "in-force-everywhere";
/// The platform is read no more often than it bears.
pub(crate) const PLATFORM_RATE: &str = "platform-rate";
/// No node ends by itself, as on a broken assertion.
pub(crate) const NODES_RUN: &str = "nodes-run";
/// No node counts a broken invariant.
pub(crate) const INSIDE_HOLDS: &str = "inside-holds";
