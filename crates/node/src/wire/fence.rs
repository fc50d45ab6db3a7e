//! Messages of the hand-over of idempotency keys.
//!
//! On a `/fence` stream the asker sends one [`FenceRequest`] and gets one
//! [`FenceReply`]. From the reply on, the answering node decides on keys only
//! by a configuration that is at least as new as the sequence of the reply.

use bincode::{Decode, Encode};

/// Question whether a node applies a configuration yet.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct FenceRequest {
    /// Sequence that the node is to apply.
    pub(crate) sequence: u64,
    /// VM that asks.
    pub(crate) vm: String,
}

/// Sequence that a node applies.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct FenceReply {
    /// Sequence in force at the answering node.
    pub(crate) sequence: u64,
    /// Keys that the asker owns by that sequence and the answering node knows, if it can tell
    /// them all.
    pub(crate) known: Option<FenceKeys>,
}

/// Keys that an earlier owner knows.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct FenceKeys {
    /// Time in milliseconds since the Unix epoch before which there may be more.
    pub(crate) floor: u64,
    /// Services and keys.
    pub(crate) requests: Vec<(String, String)>,
}
