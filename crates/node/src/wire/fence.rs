//! Messages of the handover of idempotency keys.
//!
//! On a `/fence` stream, the new owner sends one [`FenceRequest`] and receives one [`FenceReply`].
//! After its reply, the answering node decides on keys only by a configuration that is at least as
//! new as the sequence in the reply.

use bincode::{Decode, Encode};

/// Request for confirmation that a node applies a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct FenceRequest {
    /// Sequence that the node has to apply.
    pub(crate) sequence: u64,
    /// VM of the requesting node.
    pub(crate) vm: String,
}

/// Sequence that a node applies, with the idempotency keys it hands over.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct FenceReply {
    /// Sequence in force at the answering node.
    pub(crate) sequence: u64,
    /// Keys known to the answering node that the requesting node owns as of that sequence. `None`
    /// if they can't be listed completely.
    pub(crate) known: Option<FenceKeys>,
}

/// Idempotency keys known to a previous owner.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct FenceKeys {
    /// Time in milliseconds since the Unix epoch; keys from before it may be missing.
    pub(crate) floor: u64,
    /// Pairs of service and key.
    pub(crate) requests: Vec<(String, String)>,
}
