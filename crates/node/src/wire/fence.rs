//! Messages of the hand-over of idempotency keys.
//!
//! On a `/fence` stream the asker sends one [`FenceAsk`] and gets one
//! [`FenceReply`]. From the reply on, the answering node decides on keys only
//! by a configuration that is at least as new as the sequence of the reply.

use bincode::{Decode, Encode};

/// Question whether a node applies a configuration yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct FenceAsk {
    /// Sequence that the node is to apply.
    pub(crate) sequence: u64,
}

/// Sequence that a node applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct FenceReply {
    /// Sequence in force at the answering node.
    pub(crate) sequence: u64,
}
